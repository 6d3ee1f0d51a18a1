//! Kills, pauses, stops and reloads instances.

use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::future::join_all;
use reedsail_net::Clock;
use rustix::process::Signal;
use tokio::time::sleep;

use super::Player;
use crate::Exit;
use crate::Target;
use crate::instance::Instance;

/// An instance that was asked to stop is killed after this time.
const STOP_LIMIT_MS: u64 = 12_000;
/// Time from the start of an instance until it serves requests.
const INSTANCE_START_MS: u64 = 1_500;

impl Player {
    pub(super) async fn kill_instance(&self, number: usize, for_ms: u64) -> anyhow::Result<()> {
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
    pub(super) async fn kill_all_instances(&self, for_ms: u64) -> anyhow::Result<()> {
        let kills = (0..self.fleet.instances.len()).map(|number| self.kill_instance(number, for_ms));
        join_all(kills).await.into_iter().collect()
    }

    /// Asks all instances to stop at once, and starts them again.
    pub(super) async fn stop_all_instances(&self, for_ms: u64) -> anyhow::Result<()> {
        let stops = (0..self.fleet.instances.len()).map(|number| self.stop_instance(number, for_ms));
        join_all(stops).await.into_iter().collect()
    }

    pub(super) async fn freeze_instance(&self, number: usize, for_ms: u64) {
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
    pub(super) async fn reload_instance(&self, number: usize) -> anyhow::Result<()> {
        let instance = &self.fleet.instances[number];
        let start_count = instance.start_count();
        let age_ms = Clock::unix_ms().saturating_sub(instance.started_unix_ms.load(Ordering::Relaxed));
        sleep(Duration::from_millis(INSTANCE_START_MS.saturating_sub(age_ms))).await;
        instance.change_settings()?;
        instance.signal(Signal::HUP, start_count);
        Ok(())
    }

    pub(super) async fn stop_instance(&self, number: usize, for_ms: u64) -> anyhow::Result<()> {
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

    pub(super) async fn start_instance(&self, instance: &Instance) -> anyhow::Result<()> {
        if instance.start_process()? {
            sleep(Duration::from_millis(INSTANCE_START_MS)).await;
        }
        Ok(())
    }
}
