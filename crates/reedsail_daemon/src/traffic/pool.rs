//! Connections to backend servers that wait for their next request; one pool for each thread.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;

use reedsail_net::ByteCounter;
use reedsail_net::HttpConnection;

/// The most idle connections to one server.
const IDLE_MAX: usize = 256;
/// How long connecting may take.
const CONNECT_LIMIT_MS: u64 = 500;

/// Keeps connections whose last answer was read to its end. No other connection comes back, so an
/// answer that arrives late can meet nobody else's request.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<HttpConnection>>>,
}

impl Pool {
    /// Takes an idle connection, or opens one; tells which.
    pub(crate) async fn take(&self, address: SocketAddr) -> std::io::Result<(HttpConnection, bool)> {
        while let Some(connection) = self.take_idle(address) {
            if connection.is_ready() {
                return Ok((connection, true));
            }
        }
        Ok((self.open(address).await?, false))
    }

    /// Opens a connection.
    pub(crate) async fn open(&self, address: SocketAddr) -> std::io::Result<HttpConnection> {
        let mut connection = HttpConnection::open(address, CONNECT_LIMIT_MS, ByteCounter::default()).await?;
        if connection.ready().await {
            Ok(connection)
        } else {
            Err(std::io::ErrorKind::ConnectionReset.into())
        }
    }

    /// Gives a connection back whose answer was read to its end.
    pub(crate) fn give_back(&self, address: SocketAddr, connection: HttpConnection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(address).or_default();
        if connections.len() < IDLE_MAX {
            connections.push(connection);
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<HttpConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.get_mut(&address)?.pop()
    }
}
