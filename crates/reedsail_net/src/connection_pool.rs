//! A pool of idle connections to backend servers. Each traffic thread has one pool.

use std::collections::HashMap;
use std::hash::Hash;
use std::sync::Mutex;
use std::sync::PoisonError;

use hyper::HeaderMap;
use reedsail_core::TimeMs;

use crate::HttpConnection;

/// Idle timeout of a connection if the server specifies none, in milliseconds.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 4_000;
/// Time before the server closes an idle connection at which the pool stops using it, in milliseconds.
const IDLE_TIMEOUT_MARGIN_MS: u64 = 700;

#[derive(Debug)]
struct Idle {
    connection: HttpConnection,
    use_until: TimeMs,
}

/// Keeps idle connections by the key of their server. A connection returns to the pool only after its last response was
/// read completely, so a late response never reaches another request. If another server can reuse an address, the
/// key must not be the address.
#[derive(Debug)]
pub struct ConnectionPool<K> {
    idle: Mutex<HashMap<K, Vec<Idle>>>,
    idle_max: usize,
}

impl<K: Copy + Eq + Hash> ConnectionPool<K> {
    /// Creates an empty pool that keeps at most `idle_max` connections to one server.
    pub fn new(idle_max: usize) -> Self {
        Self {
            idle: Mutex::new(HashMap::new()),
            idle_max,
        }
    }

    /// Removes and returns the most recently used connection to a server.
    pub fn take(&self, server: K, now: TimeMs) -> Option<HttpConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&server)?;
        connections.retain(|idle| idle.use_until > now && idle.connection.is_ready());
        connections.pop().map(|idle| idle.connection)
    }

    /// Returns a connection to the pool after its response was read completely.
    pub fn give_back(
        &self,
        server: K,
        connection: HttpConnection,
        response_headers: &HeaderMap,
        now: TimeMs,
    ) {
        let idle_timeout_ms = keep_alive_ms(response_headers).unwrap_or(DEFAULT_IDLE_TIMEOUT_MS);
        let use_until = now.plus_ms(idle_timeout_ms.saturating_sub(IDLE_TIMEOUT_MARGIN_MS));
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(server).or_default();
        if connections.len() < self.idle_max {
            connections.push(Idle {
                connection,
                use_until,
            });
        }
    }

    /// Closes connections that exceeded their idle timeout, and connections to servers that are no longer known.
    pub fn drop_old(&self, is_known: impl Fn(K) -> bool, now: TimeMs) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|server, connections| {
            connections.retain(|idle| idle.use_until > now);
            is_known(*server) && !connections.is_empty()
        });
    }
}

/// Returns the server's idle timeout from the `Keep-Alive` header, in milliseconds.
fn keep_alive_ms(headers: &HeaderMap) -> Option<u64> {
    // The default applies if the header is invalid.
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let parameter = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    // The default also applies if the timeout is not a number.
    Some(parameter.trim().parse::<u64>().ok()?.saturating_mul(1_000))
}
