//! A loopback proxy before a link, which disturbs what passes.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::LinkFault;

/// The largest piece that is passed on at once.
const PIECE_BYTES: usize = 16 << 10;

/// What a proxy does at present.
#[derive(Clone, Copy, Debug)]
struct LinkState {
    /// Where connections go on to; `None` refuses them.
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
    pub(crate) async fn start(upstream: Option<SocketAddr>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = watch::Sender::new(LinkState {
            upstream,
            fault: None,
        });
        let seen = state.subscribe();
        let task = tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(pass_connection(client, seen.clone()));
            }
        });
        Ok(Self { address, state, task })
    }

    /// Sends new connections somewhere else.
    pub(crate) fn set_upstream(&self, upstream: Option<SocketAddr>) {
        self.state.send_modify(|state| state.upstream = upstream);
    }

    /// Begins or ends a fault.
    pub(crate) fn set_fault(&self, fault: Option<LinkFault>) {
        self.state.send_modify(|state| state.fault = fault);
    }

    /// Stops the proxy; open connections end with their ends.
    pub(crate) fn close(self) {
        self.task.abort();
    }
}

async fn pass_connection(client: TcpStream, state: watch::Receiver<LinkState>) {
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
    // Small pieces must not wait for each other; one that cannot be set so is only slower.
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client, server) = (Arc::new(client), Arc::new(server));
    let broken = wait_for_reset(state.clone());
    let to_server = Pipe::new(&client, &server, Direction::ToServer, &state);
    let to_client = Pipe::new(&server, &client, Direction::ToClient, &state);
    tokio::select! {
        () = broken => {
            reset(&client);
            reset(&server);
        }
        () = both(to_server, to_client) => {}
    }
}

async fn both(to_server: Pipe, to_client: Pipe) {
    tokio::join!(to_server.run(), to_client.run());
}

async fn wait_for_reset(mut state: watch::Receiver<LinkState>) {
    // The sender is gone when the soak ends.
    let _ = state
        .wait_for(|state| state.fault == Some(LinkFault::Reset))
        .await;
}

/// Makes the connection end with a reset once it is dropped.
fn reset(stream: &TcpStream) {
    // One that cannot be reset is closed.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// One direction of a connection.
struct Pipe {
    from: Arc<TcpStream>,
    to: Arc<TcpStream>,
    direction: Direction,
    state: watch::Receiver<LinkState>,
    /// A piece was lost; no later one may pass, since a connection never loses bytes in the middle.
    has_lost: bool,
}

/// What becomes of a piece.
enum Passing {
    /// It is passed on.
    Whole,
    /// It is lost, and the connection stays.
    Lost,
    /// Half of it is passed on, and the connection ends.
    CutOff,
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
            has_lost: false,
        }
    }

    /// Passes pieces on until an end closes, then closes the other one.
    async fn run(mut self) {
        let mut piece = vec![0; PIECE_BYTES];
        while let Some(length) = read(&self.from, &mut piece).await {
            match self.judge().await {
                Passing::Whole => {
                    if write_all(&self.to, &piece[..length]).await.is_none() {
                        break;
                    }
                }
                Passing::Lost => self.has_lost = true,
                Passing::CutOff => {
                    // The other end sees the cut whether or not this part arrives.
                    let _ = write_all(&self.to, &piece[..length / 2]).await;
                    shut(&self.from);
                    break;
                }
            }
        }
        shut(&self.to);
    }

    /// Waits as long as the fault says, and tells what becomes of the piece.
    async fn judge(&mut self) -> Passing {
        if self.has_lost {
            return Passing::Lost;
        }
        loop {
            let fault = self.state.borrow_and_update().fault;
            match (fault, self.direction) {
                (Some(LinkFault::Delay(delay_ms)), _) => {
                    sleep(Duration::from_millis(delay_ms)).await;
                    return Passing::Whole;
                }
                (Some(LinkFault::Silence), _) => {
                    if self.state.changed().await.is_err() {
                        return Passing::Lost;
                    }
                }
                (Some(LinkFault::LoseRequests), Direction::ToServer)
                | (Some(LinkFault::LoseAnswers), Direction::ToClient) => return Passing::Lost,
                (Some(LinkFault::CutTails), Direction::ToClient) => return Passing::CutOff,
                (Some(LinkFault::LoseRequests), Direction::ToClient)
                | (Some(LinkFault::LoseAnswers | LinkFault::CutTails), Direction::ToServer)
                | (Some(LinkFault::Reset) | None, _) => return Passing::Whole,
            }
        }
    }
}

/// Reads a piece; `None` at the end.
async fn read(stream: &TcpStream, piece: &mut [u8]) -> Option<usize> {
    loop {
        stream.readable().await.ok()?;
        match stream.try_read(piece) {
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

/// Closes the way out of a connection; one that is closed already stays so.
fn shut(stream: &TcpStream) {
    let _ = SockRef::from(stream).shutdown(std::net::Shutdown::Both);
}
