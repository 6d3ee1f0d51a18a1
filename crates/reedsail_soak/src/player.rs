//! Injects the faults of a schedule into the fleet and records their times.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::future::join_all;
use reedsail_net::Clock;
use reedsail_platform_standin::StoreCommand;
use reedsail_platform_standin::StoreFaults;
use rustix::process::Signal;
use tokio::task::JoinSet;
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
use crate::fleet::RunningServer;
use crate::fleet::Server;
use crate::instance::Instance;
use crate::layout;
use crate::poison::send_poison_request;

/// An instance that was asked to stop is killed after this time.
const STOP_LIMIT_MS: u64 = 12_000;
/// Time from the start of an instance until it serves requests.
const INSTANCE_START_MS: u64 = 1_500;
/// Time that the record of a killed server remains in the store.
const RECORD_EXPIRY_MS: u64 = 1_000;
/// Maximum time until the end of a server is noticed that ends by itself.
const CRASH_NOTICED_WITHIN_MS: u64 = 200;
/// Time for a leaving server to finish its requests.
const SERVER_DRAIN_MS: u64 = 3_000;
/// A server must get no new request once this time has passed since its record said that it leaves.
const LEAVING_WITHIN_MS: u64 = 5_000;
/// The same for a server whose record was deleted while the store was sound.
const DRAIN_MS: u64 = 2_000;
/// Interval at which such a server repeats its record before.
const REPEAT_INTERVAL_MS: u64 = 100;
/// How long such a server serves on.
const UNANNOUNCED_SERVES_MS: u64 = 8_000;

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
    poison_requests: AtomicU64,
    record: Mutex<PlayerRecord>,
    active_faults: Mutex<ActiveFaults>,
    /// Serializes writes of configuration versions.
    configure_lock: tokio::sync::Mutex<()>,
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
            poison_requests: AtomicU64::new(0),
            record: Mutex::new(PlayerRecord {
                writes: vec![first],
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
            FaultKind::PoisonSegment(interval_ms) => self.send_poison(interval_ms, fault.for_ms).await,
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
            FaultKind::Configure => self.configure(false).await?,
            FaultKind::ReplaceKey => self.configure(true).await?,
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

    async fn kill_instance(&self, number: usize, for_ms: u64) -> anyhow::Result<()> {
        let instance = &self.fleet.instances[number];
        let Some(process) = instance.take_process() else {
            return Ok(());
        };
        let span = self.begin_span(Target::Daemon(number));
        process.close().await;
        sleep(Duration::from_millis(for_ms)).await;
        self.start_instance(instance).await?;
        self.end_span(span);
        Ok(())
    }

    /// Kills all instances at once, and starts them again.
    async fn kill_all_instances(&self, for_ms: u64) -> anyhow::Result<()> {
        let kills = (0..self.fleet.instances.len()).map(|number| self.kill_instance(number, for_ms));
        join_all(kills).await.into_iter().collect()
    }

    /// Lets all servers of a service answer with errors.
    async fn fail_service(&self, is_engine: bool, for_ms: u64) {
        let servers = self.fleet.servers.iter().enumerate();
        let of_service = servers.filter(|(_, server)| server.is_engine() == is_engine);
        let failures = of_service.map(|(number, _)| self.disturb_answers(number, AnswerFault::Error, for_ms));
        join_all(failures).await;
    }

    async fn freeze_instance(&self, number: usize, for_ms: u64) {
        let instance = &self.fleet.instances[number];
        let start_count = instance.start_count();
        let span = self.begin_span(Target::Daemon(number));
        instance.signal(Signal::STOP, start_count);
        sleep(Duration::from_millis(for_ms)).await;
        instance.signal(Signal::CONT, start_count);
        self.end_span(span);
    }

    /// Changes the settings and signals the instance to reload them. The signal would end a process that
    /// has just started and has no handler yet, so this waits for [`INSTANCE_START_MS`] first.
    async fn reload_instance(&self, number: usize) -> anyhow::Result<()> {
        let instance = &self.fleet.instances[number];
        let start_count = instance.start_count();
        let age_ms = Clock::unix_ms().saturating_sub(instance.started_unix_ms.load(Ordering::Relaxed));
        sleep(Duration::from_millis(INSTANCE_START_MS.saturating_sub(age_ms))).await;
        instance.change_settings()?;
        instance.signal(Signal::HUP, start_count);
        Ok(())
    }

    async fn stop_instance(&self, number: usize, for_ms: u64) -> anyhow::Result<()> {
        let instance = &self.fleet.instances[number];
        let Some(mut process) = instance.take_process() else {
            return Ok(());
        };
        let span = self.begin_span(Target::Stop(number));
        let asked_ms = self.now_ms();
        let started_unix_ms = instance.started_unix_ms.load(Ordering::Relaxed);
        process.signal(Signal::TERM);
        // Resumes a paused process: the end of the pause cannot signal it, since the process was taken out.
        process.signal(Signal::CONT);
        let code = process.wait(STOP_LIMIT_MS).await;
        self.record().exits.push(Exit {
            daemon: number,
            started_ms: self.callers.clock.since_start_ms(started_unix_ms),
            asked_ms,
            ended_ms: code.map(|_| self.now_ms()),
            code: code.flatten(),
        });
        process.close().await;
        sleep(Duration::from_millis(for_ms / 4)).await;
        self.start_instance(instance).await?;
        self.end_span(span);
        Ok(())
    }

    async fn start_instance(&self, instance: &Instance) -> anyhow::Result<()> {
        if instance.start_process()? {
            sleep(Duration::from_millis(INSTANCE_START_MS)).await;
        }
        Ok(())
    }

    /// Sends requests with the poison segment, each to the next instance.
    async fn send_poison(&self, interval_ms: u64, for_ms: u64) {
        let from_ms = self.now_ms();
        let until_ms = from_ms + for_ms;
        let mut requests = JoinSet::new();
        while self.now_ms() < until_ms {
            let number = self.poison_requests.fetch_add(1, Ordering::Relaxed);
            requests.spawn(send_poison_request(Arc::clone(&self.callers), number));
            sleep(Duration::from_millis(interval_ms)).await;
        }
        self.record().poison_spans.push((from_ms, self.now_ms()));
        requests.join_all().await;
    }

    /// Returns the numbers of the servers that have ended by themselves.
    pub(crate) async fn crashed_servers(&self) -> Vec<usize> {
        let mut crashed = Vec::new();
        for (number, server) in self.fleet.servers.iter().enumerate() {
            let mut running = server.running.lock().await;
            if running
                .as_mut()
                .is_some_and(|running| running.process.has_ended())
            {
                crashed.push(number);
            }
        }
        crashed
    }

    /// Records that a server ended by itself, shortly before this was noticed.
    pub(crate) fn record_crash(&self, number: usize) {
        let now_ms = self.now_ms();
        self.record().faults.push(FaultSpan {
            target: Target::Server(number),
            from_ms: now_ms.saturating_sub(CRASH_NOTICED_WITHIN_MS),
            until_ms: now_ms,
        });
    }

    /// Kills a server if it has not ended by itself, and starts another after a pause.
    pub(crate) async fn kill_server(&self, number: usize, for_ms: u64) -> anyhow::Result<()> {
        let server = &self.fleet.servers[number];
        let Some(running) = server.running.lock().await.take() else {
            return Ok(());
        };
        let span = self.begin_span(Target::Server(number));
        self.fleet.lives.end(&running.id);
        server.proxy.set_upstream(None);
        running.process.close().await;
        sleep(Duration::from_millis(RECORD_EXPIRY_MS)).await;
        self.fleet
            .store
            .send_command(&StoreCommand::Drop(running.id))
            .await?;
        sleep(Duration::from_millis(for_ms)).await;
        server.start_process(&self.fleet.store).await?;
        self.end_span(span);
        Ok(())
    }

    async fn freeze_server(&self, number: usize, for_ms: u64) {
        let server = &self.fleet.servers[number];
        let span = self.begin_span(Target::Server(number));
        let id = self.signal_server(server, Signal::STOP, None).await;
        sleep(Duration::from_millis(for_ms)).await;
        self.signal_server(server, Signal::CONT, id.as_deref()).await;
        self.end_span(span);
    }

    /// Signals a server if its id matches the given one, and returns its id; `None` matches any id.
    async fn signal_server(
        &self,
        server: &Server,
        signal: Signal,
        expected_id: Option<&str>,
    ) -> Option<String> {
        let running = server.running.lock().await;
        let running = running
            .as_ref()
            .filter(|running| expected_id.is_none_or(|expected_id| expected_id == running.id))?;
        running.process.signal(signal);
        Some(running.id.clone())
    }

    pub(crate) async fn retire_server(&self, number: usize, for_ms: u64) -> anyhow::Result<()> {
        let server = &self.fleet.servers[number];
        let Some(running) = server.running.lock().await.take() else {
            return Ok(());
        };
        let leaving = server.spec(&running, true);
        self.fleet.lives.end(&running.id);
        self.fleet
            .store
            .send_command(&StoreCommand::Announce(leaving))
            .await?;
        self.record_departure(&running.id, LEAVING_WITHIN_MS);
        sleep(Duration::from_millis(SERVER_DRAIN_MS)).await;
        self.replace_server(number, running, for_ms / 4).await
    }

    /// Repeats the record of a server, deletes it while the server serves on, and later replaces the server.
    async fn leave_unannounced(&self, number: usize, for_ms: u64) -> anyhow::Result<()> {
        let server = &self.fleet.servers[number];
        let Some(running) = server.running.lock().await.take() else {
            return Ok(());
        };
        let leaves_at_ms = self.now_ms() + for_ms / 2;
        while self.now_ms() < leaves_at_ms {
            let repeated = StoreCommand::Announce(server.spec(&running, false));
            self.fleet.store.send_command(&repeated).await?;
            sleep(Duration::from_millis(REPEAT_INTERVAL_MS)).await;
        }
        self.fleet.lives.end(&running.id);
        self.fleet
            .store
            .send_command(&StoreCommand::Drop(running.id.clone()))
            .await?;
        self.record_departure(&running.id, DRAIN_MS);
        sleep(Duration::from_millis(UNANNOUNCED_SERVES_MS)).await;
        let span = self.begin_span(Target::Server(number));
        running.process.close().await;
        server.start_process(&self.fleet.store).await?;
        self.end_span(span);
        Ok(())
    }

    /// Records that a server has left just now, and must get no new request after `due_after_ms`.
    fn record_departure(&self, server: &str, due_after_ms: u64) {
        let at_ms = self.now_ms();
        self.record().departures.push(Departure {
            server: server.to_owned(),
            at_ms,
            due_ms: at_ms + due_after_ms,
        });
    }

    /// Drops the record of a drained server, stops it, and starts a new server after a pause.
    async fn replace_server(
        &self,
        number: usize,
        running: RunningServer,
        pause_ms: u64,
    ) -> anyhow::Result<()> {
        self.fleet
            .store
            .send_command(&StoreCommand::Drop(running.id))
            .await?;
        // After this time, requests that began before the departure are over; the checker looks for newer ones.
        sleep(Duration::from_millis(SERVER_DRAIN_MS)).await;
        let span = self.begin_span(Target::Server(number));
        running.process.close().await;
        sleep(Duration::from_millis(pause_ms)).await;
        self.fleet.servers[number]
            .start_process(&self.fleet.store)
            .await?;
        self.end_span(span);
        Ok(())
    }

    /// Makes a server report in its answers that it is draining, while its record says that it is not.
    async fn drain_by_answers(&self, number: usize, for_ms: u64) -> anyhow::Result<()> {
        let server = &self.fleet.servers[number];
        let Some(mut running) = server.running.lock().await.take() else {
            return Ok(());
        };
        self.fleet.lives.end(&running.id);
        let draining_span = self.begin_span(Target::Notices(number));
        running.set_answer_fault(Some(AnswerFault::Draining)).await;
        sleep(Duration::from_millis(SERVER_DRAIN_MS + for_ms)).await;
        self.end_span(draining_span);
        self.replace_server(number, running, 0).await
    }

    async fn hide_server(&self, number: usize, for_ms: u64) -> anyhow::Result<()> {
        let server = &self.fleet.servers[number];
        let running = server.running.lock().await;
        let Some(id) = running.as_ref().map(|running| running.id.clone()) else {
            return Ok(());
        };
        drop(running);
        self.fleet.lives.end(&id);
        self.fleet
            .store
            .send_command(&StoreCommand::Drop(id.clone()))
            .await?;
        sleep(Duration::from_millis(for_ms)).await;
        // The server may have been killed or have left in the meantime.
        let running = server.running.lock().await;
        if let Some(running) = running.as_ref().filter(|running| running.id == id) {
            let announced = server.spec(running, false);
            self.fleet
                .store
                .send_command(&StoreCommand::Announce(announced))
                .await?;
            self.fleet
                .lives
                .begin(number, server.is_engine(), &id, &running.version);
        }
        Ok(())
    }

    async fn disturb_answers(&self, number: usize, answer_fault: AnswerFault, for_ms: u64) {
        let span = self.begin_span(match answer_fault {
            AnswerFault::Busy(_) => Target::Notices(number),
            _ => Target::Server(number),
        });
        let place = Place::Answers(number);
        let fault_number = self.set_newest(place);
        self.set_answers(number, Some(answer_fault)).await;
        sleep(Duration::from_millis(for_ms)).await;
        if self.is_newest(place, fault_number) {
            self.set_answers(number, None).await;
        }
        self.end_span(span);
    }

    async fn set_answers(&self, number: usize, answer_fault: Option<AnswerFault>) {
        let mut running = self.fleet.servers[number].running.lock().await;
        if let Some(running) = running.as_mut() {
            running.set_answer_fault(answer_fault).await;
        }
    }

    async fn disturb_store(&self, trouble: StoreFaults, for_ms: u64) -> anyhow::Result<()> {
        let span = self.begin_span(Target::Store);
        let number = self.set_newest(Place::Store);
        self.fleet
            .store
            .send_command(&StoreCommand::Trouble(trouble))
            .await?;
        sleep(Duration::from_millis(for_ms)).await;
        if self.is_newest(Place::Store, number) {
            let no_trouble = StoreCommand::Trouble(StoreFaults::default());
            self.fleet.store.send_command(&no_trouble).await?;
        }
        self.end_span(span);
        Ok(())
    }

    /// Restores the store from an older copy, and later writes the lost records again.
    async fn roll_back_store(&self, records: usize, for_ms: u64) -> anyhow::Result<()> {
        let span = self.begin_span(Target::Store);
        self.fleet
            .store
            .send_command(&StoreCommand::GoBack(records))
            .await?;
        sleep(Duration::from_millis(for_ms)).await;
        self.fleet.store.send_command(&StoreCommand::WriteAgain).await?;
        self.end_span(span);
        Ok(())
    }

    /// Writes the next version; `with_new_key` gives the changing workspace another key.
    async fn configure(&self, with_new_key: bool) -> anyhow::Result<()> {
        let _guard = self.configure_lock.lock().await;
        let version = self.newest_version.load(Ordering::Relaxed) + 1;
        let key = self.callers.newest_key.load(Ordering::Relaxed) + u64::from(with_new_key);
        let configuration = layout::configuration(version, key);
        // Recorded first: an instance may have the version in force before the call returns.
        self.record().writes.push(VersionWrite {
            version,
            at_ms: self.now_ms(),
            key,
        });
        self.newest_version.store(version, Ordering::Relaxed);
        self.fleet
            .store
            .send_command(&StoreCommand::Configure(configuration))
            .await?;
        self.callers.newest_key.store(key, Ordering::Relaxed);
        Ok(())
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
