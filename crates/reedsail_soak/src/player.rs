//! Injects the faults of a schedule into the fleet and records their times.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use reedsail_net::Clock;
use reedsail_platform_standin::StoreCommand;
use reedsail_platform_standin::StoreFaults;
use rustix::process::Signal;
use tokio::time::sleep;

use crate::AnswerFault;
use crate::Departure;
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
use crate::fleet::Server;
use crate::fleet::ServerLife;
use crate::instance::Instance;
use crate::layout;

/// An instance that was asked to stop is killed after this time.
const STOP_LIMIT_MS: u64 = 12_000;
/// Time from the start of an instance until it serves requests.
const START_MS: u64 = 1_500;
/// Time that the record of a killed server remains in the store.
const LAPSE_MS: u64 = 1_000;
/// Time for a leaving server to finish its requests.
const FINISH_MS: u64 = 3_000;

/// What the player records.
#[derive(Debug, Default)]
pub(crate) struct Played {
    pub(crate) faults: Vec<FaultSpan>,
    pub(crate) writes: Vec<VersionWrite>,
    pub(crate) departures: Vec<Departure>,
    pub(crate) exits: Vec<Exit>,
    pub(crate) counts: HashMap<&'static str, u64>,
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
struct Acting {
    newest: HashMap<Place, u64>,
    number: u64,
}

/// Plays a schedule.
#[derive(Debug)]
pub(crate) struct Player {
    fleet: Arc<Fleet>,
    callers: Arc<CallerShared>,
    newest_version: Arc<AtomicU64>,
    played: Mutex<Played>,
    acting: Mutex<Acting>,
    /// Serializes writes of configuration versions.
    writing: tokio::sync::Mutex<()>,
}

impl Player {
    pub(crate) fn new(fleet: Arc<Fleet>, callers: Arc<CallerShared>, newest_version: Arc<AtomicU64>) -> Self {
        let first = VersionWrite {
            version: 1,
            at_ms: 0,
            key: 1,
        };
        Self {
            fleet,
            callers,
            newest_version,
            played: Mutex::new(Played {
                writes: vec![first],
                ..Played::default()
            }),
            acting: Mutex::default(),
            writing: tokio::sync::Mutex::new(()),
        }
    }

    /// Returns the record; called after all faults have ended.
    pub(crate) fn take_played(&self) -> Played {
        std::mem::take(&mut *self.played())
    }

    /// Waits for a fault's start time, then runs the fault to its end.
    pub(crate) async fn play(&self, fault: Fault) -> anyhow::Result<()> {
        sleep(Duration::from_millis(fault.at_ms.saturating_sub(self.now_ms()))).await;
        *self.played().counts.entry(fault.kind.name()).or_default() += 1;
        match fault.kind {
            FaultKind::Link(link, what) => self.disturb_link(link, what, fault.for_ms).await,
            FaultKind::KillDaemon(instance) => self.kill_instance(instance, fault.for_ms).await?,
            FaultKind::FreezeDaemon(instance) => self.freeze_instance(instance, fault.for_ms).await,
            FaultKind::StopDaemon(instance) => self.stop_instance(instance, fault.for_ms).await?,
            FaultKind::ReloadDaemon(instance) => self.reload_instance(instance).await?,
            FaultKind::KillServer(server) => self.kill_server(server, fault.for_ms).await?,
            FaultKind::FreezeServer(server) => self.freeze_server(server, fault.for_ms).await,
            FaultKind::RetireServer(server) => self.retire_server(server, fault.for_ms).await?,
            FaultKind::DrainByAnswers(server) => self.drain_by_answers(server, fault.for_ms).await?,
            FaultKind::HideServer(server) => self.hide_server(server, fault.for_ms).await?,
            FaultKind::ServerAnswers(server, what) => self.disturb_answers(server, what, fault.for_ms).await,
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
            FaultKind::StoreForgets => self.fleet.store.obey(&StoreCommand::Forget).await?,
            FaultKind::StoreGoesBack(records) => self.take_store_back(records, fault.for_ms).await?,
            FaultKind::Configure => self.configure(false).await?,
            FaultKind::ReplaceKey => self.configure(true).await?,
        }
        Ok(())
    }

    async fn disturb_link(&self, link: Link, what: LinkFault, for_ms: u64) {
        let (proxy, target) = match link {
            Link::Callers(instance) => (
                &self.fleet.instances[instance].callers,
                Target::CallersLink(instance),
            ),
            Link::Store(instance) => (&self.fleet.instances[instance].store, Target::StoreLink(instance)),
            Link::Server(server) => (&self.fleet.servers[server].proxy, Target::Server(server)),
        };
        let span = self.begin(target);
        let number = self.begin_at(Place::Link(link));
        proxy.set_fault(Some(what));
        sleep(Duration::from_millis(for_ms)).await;
        if self.is_newest(Place::Link(link), number) {
            proxy.set_fault(None);
        }
        self.end(span);
    }

    async fn kill_instance(&self, number: usize, for_ms: u64) -> anyhow::Result<()> {
        let instance = &self.fleet.instances[number];
        let Some(process) = instance.take() else {
            return Ok(());
        };
        let span = self.begin(Target::Daemon(number));
        process.close().await;
        sleep(Duration::from_millis(for_ms)).await;
        self.revive(instance).await?;
        self.end(span);
        Ok(())
    }

    async fn freeze_instance(&self, number: usize, for_ms: u64) {
        let instance = &self.fleet.instances[number];
        let life = instance.life();
        let span = self.begin(Target::Daemon(number));
        instance.signal(Signal::STOP, life);
        sleep(Duration::from_millis(for_ms)).await;
        instance.signal(Signal::CONT, life);
        self.end(span);
    }

    /// Changes the settings and signals the instance to reload them. The signal would end a process that
    /// has just started and has no handler yet, so this waits for [`START_MS`] first.
    async fn reload_instance(&self, number: usize) -> anyhow::Result<()> {
        let instance = &self.fleet.instances[number];
        let life = instance.life();
        let age_ms = Clock::unix_ms().saturating_sub(instance.started_unix_ms.load(Ordering::Relaxed));
        sleep(Duration::from_millis(START_MS.saturating_sub(age_ms))).await;
        instance.change_settings()?;
        instance.signal(Signal::HUP, life);
        Ok(())
    }

    async fn stop_instance(&self, number: usize, for_ms: u64) -> anyhow::Result<()> {
        let instance = &self.fleet.instances[number];
        let Some(mut process) = instance.take() else {
            return Ok(());
        };
        let span = self.begin(Target::Stop(number));
        let asked_ms = self.now_ms();
        let started_unix_ms = instance.started_unix_ms.load(Ordering::Relaxed);
        process.signal(Signal::TERM);
        // Resumes a paused process: the end of the pause cannot signal it, since the process was taken out.
        process.signal(Signal::CONT);
        let code = process.wait(STOP_LIMIT_MS).await;
        self.played().exits.push(Exit {
            daemon: number,
            started_ms: self.callers.clock.since_start_ms(started_unix_ms),
            asked_ms,
            ended_ms: code.map(|_| self.now_ms()),
            code: code.flatten(),
        });
        process.close().await;
        sleep(Duration::from_millis(for_ms / 4)).await;
        self.revive(instance).await?;
        self.end(span);
        Ok(())
    }

    async fn revive(&self, instance: &Instance) -> anyhow::Result<()> {
        if instance.revive()? {
            sleep(Duration::from_millis(START_MS)).await;
        }
        Ok(())
    }

    async fn kill_server(&self, number: usize, for_ms: u64) -> anyhow::Result<()> {
        let server = &self.fleet.servers[number];
        let Some(life) = server.life.lock().await.take() else {
            return Ok(());
        };
        let span = self.begin(Target::Server(number));
        server.proxy.set_upstream(None);
        life.process.close().await;
        sleep(Duration::from_millis(LAPSE_MS)).await;
        self.fleet.store.obey(&StoreCommand::Drop(life.id)).await?;
        sleep(Duration::from_millis(for_ms)).await;
        server.revive(&self.fleet.store).await?;
        self.end(span);
        Ok(())
    }

    async fn freeze_server(&self, number: usize, for_ms: u64) {
        let server = &self.fleet.servers[number];
        let span = self.begin(Target::Server(number));
        let id = self.signal_server(server, Signal::STOP, None).await;
        sleep(Duration::from_millis(for_ms)).await;
        self.signal_server(server, Signal::CONT, id.as_deref()).await;
        self.end(span);
    }

    /// Signals a server if its id matches the given one, and returns its id; `None` matches any id.
    async fn signal_server(&self, server: &Server, signal: Signal, meant: Option<&str>) -> Option<String> {
        let life = server.life.lock().await;
        let life = life
            .as_ref()
            .filter(|life| meant.is_none_or(|meant| meant == life.id))?;
        life.process.signal(signal);
        Some(life.id.clone())
    }

    async fn retire_server(&self, number: usize, for_ms: u64) -> anyhow::Result<()> {
        let server = &self.fleet.servers[number];
        let Some(life) = server.life.lock().await.take() else {
            return Ok(());
        };
        let leaving = server.spec(&life.id, true);
        self.fleet.store.obey(&StoreCommand::Announce(leaving)).await?;
        self.played().departures.push(Departure {
            server: life.id.clone(),
            at_ms: self.now_ms(),
        });
        sleep(Duration::from_millis(FINISH_MS)).await;
        self.replace_server(number, life, for_ms / 4).await
    }

    /// Drops the record of a drained server, stops it, and starts a new server after a pause.
    async fn replace_server(&self, number: usize, life: ServerLife, pause_ms: u64) -> anyhow::Result<()> {
        self.fleet.store.obey(&StoreCommand::Drop(life.id)).await?;
        // After this time, requests that began before the departure are over; the checker looks for newer ones.
        sleep(Duration::from_millis(FINISH_MS)).await;
        let span = self.begin(Target::Server(number));
        life.process.close().await;
        sleep(Duration::from_millis(pause_ms)).await;
        self.fleet.servers[number].revive(&self.fleet.store).await?;
        self.end(span);
        Ok(())
    }

    /// Makes a server report in its answers that it is draining, while its record says that it is not.
    async fn drain_by_answers(&self, number: usize, for_ms: u64) -> anyhow::Result<()> {
        let server = &self.fleet.servers[number];
        let Some(mut life) = server.life.lock().await.take() else {
            return Ok(());
        };
        let draining = self.begin(Target::Notices(number));
        life.answer_with(Some(AnswerFault::Draining)).await;
        sleep(Duration::from_millis(FINISH_MS + for_ms)).await;
        self.end(draining);
        self.replace_server(number, life, 0).await
    }

    async fn hide_server(&self, number: usize, for_ms: u64) -> anyhow::Result<()> {
        let server = &self.fleet.servers[number];
        let life = server.life.lock().await;
        let Some(id) = life.as_ref().map(|life| life.id.clone()) else {
            return Ok(());
        };
        drop(life);
        self.fleet.store.obey(&StoreCommand::Drop(id.clone())).await?;
        sleep(Duration::from_millis(for_ms)).await;
        // The server may have been killed or have left in the meantime.
        let life = server.life.lock().await;
        if life.as_ref().is_some_and(|life| life.id == id) {
            let record = server.spec(&id, false);
            self.fleet.store.obey(&StoreCommand::Announce(record)).await?;
        }
        Ok(())
    }

    async fn disturb_answers(&self, number: usize, what: AnswerFault, for_ms: u64) {
        let span = self.begin(match what {
            AnswerFault::Busy(_) => Target::Notices(number),
            _ => Target::Server(number),
        });
        let place = Place::Answers(number);
        let acting = self.begin_at(place);
        self.set_answers(number, Some(what)).await;
        sleep(Duration::from_millis(for_ms)).await;
        if self.is_newest(place, acting) {
            self.set_answers(number, None).await;
        }
        self.end(span);
    }

    async fn set_answers(&self, number: usize, what: Option<AnswerFault>) {
        let mut life = self.fleet.servers[number].life.lock().await;
        if let Some(life) = life.as_mut() {
            life.answer_with(what).await;
        }
    }

    async fn disturb_store(&self, trouble: StoreFaults, for_ms: u64) -> anyhow::Result<()> {
        let span = self.begin(Target::Store);
        let number = self.begin_at(Place::Store);
        self.fleet.store.obey(&StoreCommand::Trouble(trouble)).await?;
        sleep(Duration::from_millis(for_ms)).await;
        if self.is_newest(Place::Store, number) {
            let well = StoreCommand::Trouble(StoreFaults::default());
            self.fleet.store.obey(&well).await?;
        }
        self.end(span);
        Ok(())
    }

    /// Restores the store from an older copy, and later writes the lost records again.
    async fn take_store_back(&self, records: usize, for_ms: u64) -> anyhow::Result<()> {
        let span = self.begin(Target::Store);
        self.fleet.store.obey(&StoreCommand::GoBack(records)).await?;
        sleep(Duration::from_millis(for_ms)).await;
        self.fleet.store.obey(&StoreCommand::WriteAgain).await?;
        self.end(span);
        Ok(())
    }

    /// Writes the next version; `with_new_key` gives the changing workspace another key.
    async fn configure(&self, with_new_key: bool) -> anyhow::Result<()> {
        let _writing = self.writing.lock().await;
        let version = self.newest_version.load(Ordering::Relaxed) + 1;
        let key = self.callers.newest_key.load(Ordering::Relaxed) + u64::from(with_new_key);
        let configuration = layout::configuration(version, key);
        // Recorded first: an instance may have the version in force before the call returns.
        self.played().writes.push(VersionWrite {
            version,
            at_ms: self.now_ms(),
            key,
        });
        self.newest_version.store(version, Ordering::Relaxed);
        self.fleet
            .store
            .obey(&StoreCommand::Configure(configuration))
            .await?;
        self.callers.newest_key.store(key, Ordering::Relaxed);
        Ok(())
    }

    fn begin(&self, target: Target) -> usize {
        let mut played = self.played();
        played.faults.push(FaultSpan {
            target,
            from_ms: self.now_ms(),
            until_ms: u64::MAX,
        });
        played.faults.len() - 1
    }

    fn end(&self, span: usize) {
        let now_ms = self.now_ms();
        self.played().faults[span].until_ms = now_ms;
    }

    fn now_ms(&self) -> u64 {
        self.callers.clock.now_ms()
    }

    /// Records a fault as the newest of its place, and returns its number.
    fn begin_at(&self, place: Place) -> u64 {
        let mut acting = self.acting();
        acting.number += 1;
        let number = acting.number;
        acting.newest.insert(place, number);
        number
    }

    fn is_newest(&self, place: Place, number: u64) -> bool {
        self.acting().newest.get(&place) == Some(&number)
    }

    fn played(&self) -> MutexGuard<'_, Played> {
        self.played.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn acting(&self) -> MutexGuard<'_, Acting> {
        self.acting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
