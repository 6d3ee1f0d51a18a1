//! Disturbs the store, and writes to it as operators do.

use std::sync::atomic::Ordering;
use std::time::Duration;

use reedsail_platform_standin::StoreCommand;
use reedsail_platform_standin::StoreFaults;
use tokio::time::sleep;

use super::KeyChange;
use super::Place;
use super::Player;
use crate::Target;
use crate::VersionWrite;
use crate::layout;

impl Player {
    pub(super) async fn disturb_store(&self, trouble: StoreFaults, for_ms: u64) -> anyhow::Result<()> {
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
    pub(super) async fn roll_back_store(&self, records: usize, for_ms: u64) -> anyhow::Result<()> {
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

    /// Writes the next version of the configuration.
    pub(super) async fn configure(&self, key_change: KeyChange) -> anyhow::Result<()> {
        let _guard = self.configure_lock.lock().await;
        let version = self.newest_version.load(Ordering::Relaxed) + 1;
        let replaced = u64::from(key_change == KeyChange::Replace);
        let key = self.callers.newest_key.load(Ordering::Relaxed) + replaced;
        let write = VersionWrite {
            version,
            at_ms: self.now_ms(),
            key,
            without_workspaces: self.emptying_faults.load(Ordering::Relaxed) > 0,
        };
        let configuration = layout::configuration(&write);
        // Recorded first: an instance may have the version in force before the call returns.
        self.record().writes.push(write);
        self.newest_version.store(version, Ordering::Relaxed);
        self.fleet
            .store
            .send_command(&StoreCommand::Configure(configuration))
            .await?;
        self.callers.newest_key.store(key, Ordering::Relaxed);
        Ok(())
    }

    /// Takes all workspaces away, and later writes them again unless another fault still keeps them away.
    pub(super) async fn empty_workspaces(&self, for_ms: u64) -> anyhow::Result<()> {
        self.emptying_faults.fetch_add(1, Ordering::Relaxed);
        self.configure(KeyChange::Keep).await?;
        sleep(Duration::from_millis(for_ms)).await;
        self.emptying_faults.fetch_sub(1, Ordering::Relaxed);
        self.configure(KeyChange::Keep).await
    }
}
