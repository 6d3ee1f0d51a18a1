//! Connects to servers whose connections broke, to determine whether they have ended.
//!
//! The dispatcher provides the list of servers whose connections broke; `response_end` asks about a server whose response
//! ended with its connection. A connection that opens goes to the pool for later requests.

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
            let (shared, pool) = (Arc::clone(&shared), Arc::clone(&pool));
            tokio::spawn(async move { check_server(&shared, &pool, server).await });
        }
    }
}

/// What a connect to a server tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServerCheck {
    /// The server accepts connections.
    Listening,
    /// Nothing listens at the server's address.
    Ended,
    /// The server is no longer listed, accepts no connection in time, or has too many.
    Inconclusive,
}

/// Connects to a server once and records what that tells.
pub(super) async fn check_server<H: HeaderProtocol>(
    shared: &Arc<Shared<H>>,
    pool: &Pool,
    key: ServerKey,
) -> ServerCheck {
    // The dispatcher detects without a check that a server without a record has ended.
    let Some(server) = shared.servers.get(key) else {
        return ServerCheck::Inconclusive;
    };
    let checked_at = shared.clock.now();
    let outcome = connect(shared, &server, CONNECT_TIMEOUT_MS).await;
    let now = shared.clock.now();
    match outcome {
        Ok(connection) => {
            pool.give_back(key, connection, &HeaderMap::new(), now);
            shared.dispatcher().record_check(key, true, checked_at, now);
            ServerCheck::Listening
        }
        Err(failure) => {
            if failure.outcome == AttemptOutcome::Down {
                shared.dispatcher().record_check(key, false, checked_at, now);
            }
            // A server that accepts no connection in time may be busy.
            if failure.is_refused {
                ServerCheck::Ended
            } else {
                ServerCheck::Inconclusive
            }
        }
    }
}
