//! Lets backend servers end, leave, pause, and answer wrongly.

use std::time::Duration;

use futures_util::future::join_all;
use reedsail_platform_standin::StoreCommand;
use rustix::process::Signal;
use tokio::time::sleep;

use super::Place;
use super::Player;
use crate::AnswerFault;
use crate::Departure;
use crate::FaultSpan;
use crate::Target;
use crate::fleet::RunningServer;
use crate::fleet::Server;

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

impl Player {
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

    pub(super) async fn freeze_server(&self, number: usize, for_ms: u64) {
        let server = &self.fleet.servers[number];
        let span = self.begin_span(Target::Server(number));
        let id = self.signal_server(server, Signal::STOP, None).await;
        sleep(Duration::from_millis(for_ms)).await;
        self.signal_server(server, Signal::CONT, id.as_deref()).await;
        self.end_span(span);
    }

    /// Signals a server if its id matches the given one, and returns its id; `None` matches any id.
    pub(super) async fn signal_server(
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
    pub(super) async fn leave_unannounced(&self, number: usize, for_ms: u64) -> anyhow::Result<()> {
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
    pub(super) fn record_departure(&self, server: &str, due_after_ms: u64) {
        let at_ms = self.now_ms();
        self.record().departures.push(Departure {
            server: server.to_owned(),
            at_ms,
            due_ms: at_ms + due_after_ms,
        });
    }

    /// Drops the record of a drained server, stops it, and starts a new server after a pause.
    pub(super) async fn replace_server(
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
    pub(super) async fn drain_by_answers(&self, number: usize, for_ms: u64) -> anyhow::Result<()> {
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

    pub(super) async fn hide_server(&self, number: usize, for_ms: u64) -> anyhow::Result<()> {
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

    pub(super) async fn disturb_answers(&self, number: usize, answer_fault: AnswerFault, for_ms: u64) {
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

    pub(super) async fn set_answers(&self, number: usize, answer_fault: Option<AnswerFault>) {
        let mut running = self.fleet.servers[number].running.lock().await;
        if let Some(running) = running.as_mut() {
            running.set_answer_fault(answer_fault).await;
        }
    }

    /// Lets all servers of a service answer with errors.
    pub(super) async fn fail_service(&self, is_engine: bool, for_ms: u64) {
        let servers = self.fleet.servers.iter().enumerate();
        let of_service = servers.filter(|(_, server)| server.is_engine() == is_engine);
        let failures = of_service.map(|(number, _)| self.disturb_answers(number, AnswerFault::Error, for_ms));
        join_all(failures).await;
    }
}
