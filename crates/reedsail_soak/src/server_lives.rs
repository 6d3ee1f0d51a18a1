//! Records when each server process took requests, and at which software version.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use reedsail_net::Clock;

use crate::ServerLife;

/// The lives of all server processes, in Unix time.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerLives(Arc<Mutex<Vec<ServerLife>>>);

impl ServerLives {
    /// Records that a server takes requests from now on.
    pub(crate) fn begin(&self, server: usize, is_engine: bool, id: &str, version: &str) {
        self.lock().push(ServerLife {
            is_engine,
            server,
            id: id.to_owned(),
            version: version.to_owned(),
            from_ms: Clock::unix_ms(),
            until_ms: u64::MAX,
        });
    }

    /// Records that a server takes no requests from now on.
    pub(crate) fn end(&self, id: &str) {
        let now_ms = Clock::unix_ms();
        let mut lives = self.lock();
        let open = lives
            .iter_mut()
            .filter(|life| life.id == id && life.until_ms == u64::MAX);
        for life in open {
            life.until_ms = now_ms;
        }
    }

    /// Returns all lives.
    pub(crate) fn take(&self) -> Vec<ServerLife> {
        std::mem::take(&mut self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, Vec<ServerLife>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
