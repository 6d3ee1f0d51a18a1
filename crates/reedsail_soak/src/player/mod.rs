//! Injects the faults of a schedule into the fleet and records their times.

mod instances;
mod servers;
mod store;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use reedsail_platform_standin::StoreCommand;
use reedsail_platform_standin::StoreFaults;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::Departure;
use crate::EngineEnd;
use crate::Exit;
use crate::Fault;
use crate::FaultKind;
use crate::FaultSpan;
use crate::Link;
use crate::LinkFault;
use crate::Target;
use crate::VersionWrite;
use crate::caller::CallerShared;
use crate::fleet::Fleet;
use crate::layout;
use crate::poison::send_poison_request;

/// What the player records.
#[derive(Debug, Default)]
pub(crate) struct PlayerRecord {
    pub(crate) faults: Vec<FaultSpan>,
    pub(crate) poison_spans: Vec<(u64, u64)>,
    pub(crate) writes: Vec<VersionWrite>,
    pub(crate) departures: Vec<Departure>,
    pub(crate) exits: Vec<Exit>,
    pub(crate) counts: HashMap<&'static str, u64>,
}

/// What a new version does to the key of the workspace whose key changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KeyChange {
    Keep,
    Replace,
}

/// A place that has at most one active fault: a later fault replaces an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Place {
    Link(Link),
    Answers(usize),
    Store,
}

/// The number of the newest fault of each place, so that the end of a fault does not end a later one.
#[derive(Debug, Default)]
struct ActiveFaults {
    newest: HashMap<Place, u64>,
    number: u64,
}

/// Plays a schedule.
#[derive(Debug)]
pub(crate) struct Player {
    pub(crate) fleet: Arc<Fleet>,
    callers: Arc<CallerShared>,
    newest_version: Arc<AtomicU64>,
    /// Number of active faults that keep the table of workspaces empty.
    emptying_faults: AtomicU64,
    poison_requests: AtomicU64,
    record: Mutex<PlayerRecord>,
    active_faults: Mutex<ActiveFaults>,
    /// Serializes writes of configuration versions.
    configure_lock: tokio::sync::Mutex<()>,
}

impl Player {
    pub(crate) fn new(fleet: Arc<Fleet>, callers: Arc<CallerShared>, newest_version: Arc<AtomicU64>) -> Self {
        Self {
            fleet,
            callers,
            newest_version,
            emptying_faults: AtomicU64::new(0),
            poison_requests: AtomicU64::new(0),
            record: Mutex::new(PlayerRecord {
                writes: vec![layout::first_version()],
                ..PlayerRecord::default()
            }),
            active_faults: Mutex::default(),
            configure_lock: tokio::sync::Mutex::new(()),
        }
    }

    /// Returns the record; called after all faults have ended.
    pub(crate) fn take_record(&self) -> PlayerRecord {
        std::mem::take(&mut *self.record())
    }

    /// Waits for a fault's start time, then runs the fault to its end.
    pub(crate) async fn play(&self, fault: Fault) -> anyhow::Result<()> {
        sleep(Duration::from_millis(fault.at_ms.saturating_sub(self.now_ms()))).await;
        *self.record().counts.entry(fault.kind.name()).or_default() += 1;
        match fault.kind {
            FaultKind::Link(link, link_fault) => self.disturb_link(link, link_fault, fault.for_ms).await,
            FaultKind::KillDaemon(instance) => self.kill_instance(instance, fault.for_ms).await?,
            FaultKind::KillAllDaemons => self.kill_all_instances(fault.for_ms).await?,
            FaultKind::FreezeDaemon(instance) => self.freeze_instance(instance, fault.for_ms).await,
            FaultKind::StopDaemon(instance) => self.stop_instance(instance, fault.for_ms).await?,
            FaultKind::StopAllDaemons => self.stop_all_instances(fault.for_ms).await?,
            FaultKind::ReloadDaemon(instance) => self.reload_instance(instance).await?,
            FaultKind::KillServer(server) => self.kill_server(server, fault.for_ms).await?,
            FaultKind::FreezeServer(server) => self.freeze_server(server, fault.for_ms).await,
            FaultKind::RetireServer(server) => self.retire_server(server, fault.for_ms).await?,
            FaultKind::LeaveUnannounced(server) => self.leave_unannounced(server, fault.for_ms).await?,
            FaultKind::DrainByAnswers(server) => self.drain_by_answers(server, fault.for_ms).await?,
            FaultKind::ReleaseServer(server, version) => {
                self.release_server(server, version, fault.for_ms).await?;
            }
            FaultKind::RestartServer(server, version) => {
                self.restart_server_under_its_id(server, version, fault.for_ms)
                    .await?;
            }
            FaultKind::HideServer(server) => self.hide_server(server, fault.for_ms).await?,
            FaultKind::ServerAnswers(server, kind) => self.disturb_answers(server, kind, fault.for_ms).await,
            FaultKind::ServiceFails { is_engine } => self.fail_service(is_engine, fault.for_ms).await,
            FaultKind::PoisonSegment(interval_ms) => self.send_poison(interval_ms, None, fault.for_ms).await,
            FaultKind::PoisonSegmentAt {
                interval_ms,
                engine_end,
            } => {
                self.send_poison(interval_ms, Some(engine_end), fault.for_ms)
                    .await;
            }
            FaultKind::StoreRefuses => {
                let refusal = Some(503);
                let trouble = StoreFaults {
                    refusal,
                    ..StoreFaults::default()
                };
                self.disturb_store(trouble, fault.for_ms).await?;
            }
            FaultKind::StoreSlow(delay_ms) => {
                let trouble = StoreFaults {
                    delay_ms,
                    ..StoreFaults::default()
                };
                self.disturb_store(trouble, fault.for_ms).await?;
            }
            FaultKind::StoreLoses(lost_every) => {
                let trouble = StoreFaults {
                    lost_every,
                    ..StoreFaults::default()
                };
                self.disturb_store(trouble, fault.for_ms).await?;
            }
            FaultKind::StoreForgets => self.fleet.store.send_command(&StoreCommand::Forget).await?,
            FaultKind::StoreGoesBack(records) => self.roll_back_store(records, fault.for_ms).await?,
            FaultKind::Configure => self.configure(KeyChange::Keep).await?,
            FaultKind::ReplaceKey => self.configure(KeyChange::Replace).await?,
            FaultKind::EmptyWorkspaces => self.empty_workspaces(fault.for_ms).await?,
        }
        Ok(())
    }

    async fn disturb_link(&self, link: Link, link_fault: LinkFault, for_ms: u64) {
        let (proxy, target) = match link {
            Link::Callers(instance) => (
                &self.fleet.instances[instance].callers,
                Target::CallersLink(instance),
            ),
            Link::Store(instance) => {
                let target = match link_fault {
                    LinkFault::HoldAnswers => Target::LateStoreAnswers(instance),
                    _ => Target::StoreLink(instance),
                };
                (&self.fleet.instances[instance].store, target)
            }
            Link::Server(server) => (&self.fleet.servers[server].proxy, Target::Server(server)),
        };
        let span = self.begin_span(target);
        let number = self.set_newest(Place::Link(link));
        proxy.set_fault(Some(link_fault));
        sleep(Duration::from_millis(for_ms)).await;
        if self.is_newest(Place::Link(link), number) {
            proxy.set_fault(None);
        }
        self.end_span(span);
    }

    /// Sends requests with the poison segment, each to the next instance.
    async fn send_poison(&self, interval_ms: u64, engine_end: Option<EngineEnd>, for_ms: u64) {
        let from_ms = self.now_ms();
        let until_ms = from_ms + for_ms;
        let mut requests = JoinSet::new();
        while self.now_ms() < until_ms {
            let number = self.poison_requests.fetch_add(1, Ordering::Relaxed);
            requests.spawn(send_poison_request(Arc::clone(&self.callers), number, engine_end));
            sleep(Duration::from_millis(interval_ms)).await;
        }
        self.record().poison_spans.push((from_ms, self.now_ms()));
        requests.join_all().await;
    }

    pub(crate) fn begin_span(&self, target: Target) -> usize {
        let mut record = self.record();
        record.faults.push(FaultSpan {
            target,
            from_ms: self.now_ms(),
            until_ms: u64::MAX,
        });
        record.faults.len() - 1
    }

    pub(crate) fn end_span(&self, span: usize) {
        let now_ms = self.now_ms();
        self.record().faults[span].until_ms = now_ms;
    }

    fn now_ms(&self) -> u64 {
        self.callers.clock.now_ms()
    }

    /// Records a fault as the newest of its place, and returns its number.
    fn set_newest(&self, place: Place) -> u64 {
        let mut active_faults = self.active_faults();
        active_faults.number += 1;
        let number = active_faults.number;
        active_faults.newest.insert(place, number);
        number
    }

    fn is_newest(&self, place: Place, number: u64) -> bool {
        self.active_faults().newest.get(&place) == Some(&number)
    }

    fn record(&self) -> MutexGuard<'_, PlayerRecord> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn active_faults(&self) -> MutexGuard<'_, ActiveFaults> {
        self.active_faults.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
