//! A loopback proxy that injects faults into a link.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::LinkFault;

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Maximum size of a forwarded chunk.
const CHUNK_BYTES_MAX: usize = 16 << 10;

/// The current state of a proxy.
#[derive(Clone, Copy, Debug)]
struct LinkState {
    /// Address that connections are forwarded to; `None` refuses them.
    upstream: Option<SocketAddr>,
    fault: Option<LinkFault>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

/// A running proxy.
#[derive(Debug)]
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    state: watch::Sender<LinkState>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Starts a proxy on a free loopback port.
    pub(crate) fn start(upstream: Option<SocketAddr>) -> io::Result<Self> {
        // A bound socket that does not listen keeps the port while connections are refused.
        let reserved = bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = reserved.local_addr()?;
        let state = watch::Sender::new(LinkState {
            upstream,
            fault: None,
        });
        let state_receiver = state.subscribe();
        let task = tokio::spawn(async move {
            if let Err(error) = accept(reserved, address, state_receiver).await {
                log::error!("the proxy at {address} ended: {error}");
            }
        });
        Ok(Self { address, state, task })
    }

    /// Sets the address that new connections are forwarded to.
    pub(crate) fn set_upstream(&self, upstream: Option<SocketAddr>) {
        self.state.send_modify(|state| state.upstream = upstream);
    }

    /// Begins or ends a fault.
    pub(crate) fn set_fault(&self, fault: Option<LinkFault>) {
        self.state.send_modify(|state| state.fault = fault);
    }

    /// Stops accepting connections; open connections last until an end closes them.
    pub(crate) fn close(self) {
        self.task.abort();
    }
}

/// Binds a socket to an address that another one may have bound without listening.
fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Accepts connections while there is an upstream, and refuses them otherwise, as the address of an ended process does.
async fn accept(
    reserved: TcpSocket,
    address: SocketAddr,
    mut state: watch::Receiver<LinkState>,
) -> io::Result<()> {
    let _reserved = reserved;
    // The sender lives as long as the proxy.
    while state.wait_for(|state| state.upstream.is_some()).await.is_ok() {
        let listener = bind(address)?.listen(BACKLOG)?;
        let connections = state.clone();
        let accepting = async {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(forward_connection(client, connections.clone()));
            }
        };
        tokio::select! {
            () = accepting => return Ok(()),
            _ = state.wait_for(|state| state.upstream.is_none()) => {}
        }
    }
    Ok(())
}

async fn forward_connection(client: TcpStream, state: watch::Receiver<LinkState>) {
    let LinkState { upstream, fault } = *state.borrow();
    if fault == Some(LinkFault::Reset) {
        reset(&client);
        return;
    }
    let Some(upstream) = upstream else {
        reset(&client);
        return;
    };
    let Ok(server) = TcpStream::connect(upstream).await else {
        reset(&client);
        return;
    };
    // Disables Nagle's algorithm, so that small chunks are not delayed; if this fails, they are only slower.
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client, server) = (Arc::new(client), Arc::new(server));
    let reset_fault = wait_for_reset(state.clone());
    let to_server = Pipe::new(&client, &server, Direction::ToServer, &state);
    let to_client = Pipe::new(&server, &client, Direction::ToClient, &state);
    tokio::select! {
        () = reset_fault => {
            reset(&client);
            reset(&server);
        }
        () = run_pipes(to_server, to_client) => {}
    }
}

async fn run_pipes(to_server: Pipe, to_client: Pipe) {
    tokio::join!(to_server.run(), to_client.run());
}

async fn wait_for_reset(mut state: watch::Receiver<LinkState>) {
    // The sender is gone when the soak ends.
    let _ = state
        .wait_for(|state| state.fault == Some(LinkFault::Reset))
        .await;
}

/// Makes the connection send a reset when it is dropped.
fn reset(stream: &TcpStream) {
    // If this fails, the connection is closed without a reset.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// One direction of a connection.
struct Pipe {
    from: Arc<TcpStream>,
    to: Arc<TcpStream>,
    direction: Direction,
    state: watch::Receiver<LinkState>,
    /// Whether a chunk was lost; no later chunk may pass, since a connection never loses bytes in the middle.
    has_lost_data: bool,
}

/// What happens to a chunk.
enum ChunkAction {
    /// The chunk is forwarded.
    Forward,
    /// The chunk is dropped, and the connection stays open.
    Drop,
    /// Half of the chunk is forwarded, and the connection is closed.
    Truncate,
}

impl Pipe {
    fn new(
        from: &Arc<TcpStream>,
        to: &Arc<TcpStream>,
        direction: Direction,
        state: &watch::Receiver<LinkState>,
    ) -> Self {
        Self {
            from: Arc::clone(from),
            to: Arc::clone(to),
            direction,
            state: state.clone(),
            has_lost_data: false,
        }
    }

    /// Forwards chunks until one end closes, then closes the other end.
    async fn run(mut self) {
        let mut chunk = vec![0; CHUNK_BYTES_MAX];
        while let Some(length) = read(&self.from, &mut chunk).await {
            match self.apply_fault().await {
                ChunkAction::Forward => {
                    if write_all(&self.to, &chunk[..length]).await.is_none() {
                        break;
                    }
                }
                ChunkAction::Drop => self.has_lost_data = true,
                ChunkAction::Truncate => {
                    // The other end sees the truncation whether or not this part arrives.
                    let _ = write_all(&self.to, &chunk[..length / 2]).await;
                    shut_down(&self.from);
                    break;
                }
            }
        }
        shut_down(&self.to);
    }

    /// Waits for the duration of a delay or silence, then returns what happens to the chunk.
    async fn apply_fault(&mut self) -> ChunkAction {
        if self.has_lost_data {
            return ChunkAction::Drop;
        }
        loop {
            let fault = self.state.borrow_and_update().fault;
            match (fault, self.direction) {
                (Some(LinkFault::Delay(delay_ms)), _) => {
                    sleep(Duration::from_millis(delay_ms)).await;
                    return ChunkAction::Forward;
                }
                (Some(LinkFault::Silence), _) | (Some(LinkFault::HoldAnswers), Direction::ToClient) => {
                    if self.state.changed().await.is_err() {
                        return ChunkAction::Drop;
                    }
                }
                (Some(LinkFault::LoseRequests), Direction::ToServer)
                | (Some(LinkFault::LoseAnswers), Direction::ToClient) => return ChunkAction::Drop,
                (Some(LinkFault::CutTails), Direction::ToClient) => return ChunkAction::Truncate,
                (Some(LinkFault::LoseRequests), Direction::ToClient)
                | (
                    Some(LinkFault::LoseAnswers | LinkFault::HoldAnswers | LinkFault::CutTails),
                    Direction::ToServer,
                )
                | (Some(LinkFault::Reset) | None, _) => return ChunkAction::Forward,
            }
        }
    }
}

/// Reads a chunk; returns `None` at the end of the stream or on an error.
async fn read(stream: &TcpStream, chunk: &mut [u8]) -> Option<usize> {
    loop {
        stream.readable().await.ok()?;
        match stream.try_read(chunk) {
            Ok(0) => return None,
            Ok(length) => return Some(length),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return None,
        }
    }
}

async fn write_all(stream: &TcpStream, mut rest: &[u8]) -> Option<()> {
    while !rest.is_empty() {
        stream.writable().await.ok()?;
        match stream.try_write(rest) {
            Ok(length) => rest = &rest[length..],
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return None,
        }
    }
    Some(())
}

/// Shuts down both directions of a connection; has no effect if it is already closed.
fn shut_down(stream: &TcpStream) {
    let _ = SockRef::from(stream).shutdown(std::net::Shutdown::Both);
}
