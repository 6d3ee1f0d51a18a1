//! Connects to servers at which connections broke, to find out whether they have ended.
//!
//! Relies on the dispatcher for which servers those are. A connection that opens is kept for requests.

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

/// Time from a break to the check, in milliseconds: all connections to a server that ends break together, and one
/// check serves for all of them.
const CHECK_DELAY_MS: u64 = 20;

/// Checks servers for as long as the instance runs.
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
    // A server without a record has ended, which the dispatcher finds by itself.
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
        // This instance is late, or the server has too many connections: nothing was found out.
        Err(_) => {}
    }
}
