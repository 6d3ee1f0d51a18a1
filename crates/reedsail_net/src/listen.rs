//! Binds listening sockets, with errors that name the address.

use std::net::SocketAddr;
use std::net::TcpListener;

use anyhow::Context as _;

/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: i32 = 1_024;

/// Returns a non-blocking socket that listens on an address. Port 0 selects any free port.
///
/// # Errors
/// Names the address if binding fails.
pub fn listen_on(address: SocketAddr) -> anyhow::Result<TcpListener> {
    let socket = socket2::Socket::new(
        socket2::Domain::for_address(address),
        socket2::Type::STREAM,
        Some(socket2::Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket
        .bind(&address.into())
        .with_context(|| format!("cannot listen on {address}; free the port or change the setting"))?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(socket.into())
}
