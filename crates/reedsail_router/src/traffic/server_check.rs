//! Connects to servers whose connections broke, to determine whether they have ended.
//!
//! The dispatcher provides the list of these servers. A connection that opens goes to the pool for later requests.

use std::sync::Arc;
use std::time::Duration;

use hyper::HeaderMap;
use reedsail_core::ServerKey;
use reedsail_dispatch::AttemptOutcome;
use tokio::time::sleep;

use super::Pool;
use super::exchange::CONNECT_TIMEOUT_MS;
use super::exchange::connect;
use crate::HeaderProtocol;
use crate::shared::Shared;

/// Delay between a broken connection and the check, in milliseconds. All connections to a server break together when
/// it ends, and one check covers all of them.
const CHECK_DELAY_MS: u64 = 20;

/// Checks servers while the instance runs.
pub(crate) async fn check_servers<H: HeaderProtocol>(shared: Arc<Shared<H>>, pool: Arc<Pool>) {
    loop {
        shared.connection_failed.notified().await;
        sleep(Duration::from_millis(CHECK_DELAY_MS)).await;
        let servers = shared.dispatcher().take_servers_to_check();
        for server in servers {
            tokio::spawn(check_server(Arc::clone(&shared), Arc::clone(&pool), server));
        }
    }
}

async fn check_server<H: HeaderProtocol>(shared: Arc<Shared<H>>, pool: Arc<Pool>, key: ServerKey) {
    // A server without a record has ended. The dispatcher detects that without a check.
    let Some(server) = shared.servers.get(key) else {
        return;
    };
    let outcome = connect(&shared, &server, CONNECT_TIMEOUT_MS).await;
    let now = shared.clock.now();
    match outcome {
        Ok(connection) => {
            pool.give_back(key, connection, &HeaderMap::new(), now);
            shared.dispatcher().record_check(key, true, now);
        }
        Err(AttemptOutcome::Down) => shared.dispatcher().record_check(key, false, now),
        // This instance is late, or the server has too many connections: the result is inconclusive.
        Err(_) => {}
    }
}
