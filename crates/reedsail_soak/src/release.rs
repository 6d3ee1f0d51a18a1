//! Injects changes of servers' software versions.

use std::time::Duration;

use reedsail_net::Clock;
use reedsail_platform_standin::StoreCommand;
use tokio::time::sleep;

use crate::Target;
use crate::player::Player;

/// Time from the start of a server under an earlier id until its record is written, during which lists are old.
const RECORD_DELAY_MS: u64 = 300;

impl Player {
    /// Lets a server leave in order, and starts one of another software version in its place.
    pub(crate) async fn release_server(
        &self,
        number: usize,
        version: u32,
        for_ms: u64,
    ) -> anyhow::Result<()> {
        self.fleet.servers[number].set_version(version);
        self.retire_server(number, for_ms).await
    }

    /// Kills a server, and starts it again under its id and address at another software version.
    pub(crate) async fn restart_server_under_its_id(
        &self,
        number: usize,
        version: u32,
        for_ms: u64,
    ) -> anyhow::Result<()> {
        let server = &self.fleet.servers[number];
        let Some(running) = server.running.lock().await.take() else {
            return Ok(());
        };
        let span = self.begin_span(Target::Server(number));
        self.fleet.lives.end(&running.id);
        server.proxy.set_upstream(None);
        running.process.close().await;
        sleep(Duration::from_millis(for_ms / 4)).await;
        server.set_version(version);
        let born_ms = Clock::unix_ms();
        let mut running_again = server.running.lock().await;
        let restarted = server.spawn_process(&running.id, born_ms).await?;
        sleep(Duration::from_millis(RECORD_DELAY_MS)).await;
        let announced = StoreCommand::Announce(server.spec(&restarted, false));
        self.fleet.store.send_command(&announced).await?;
        self.fleet
            .lives
            .begin(number, server.is_engine(), &restarted.id, &restarted.version);
        *running_again = Some(restarted);
        drop(running_again);
        self.end_span(span);
        Ok(())
    }
}
