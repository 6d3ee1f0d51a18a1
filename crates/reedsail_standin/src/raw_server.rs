//! A stand-in that answers with given bytes, which need not be valid HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Pause between two writes of an answer, in milliseconds, so that the reader gets them apart.
const WRITE_PAUSE_MS: u64 = 20;
/// The end of the head of a request.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// What a raw server sends in answer to a request.
#[derive(Clone, Debug)]
pub struct RawAnswer {
    /// The bytes, in the pieces in which they are written.
    pub writes: Vec<Vec<u8>>,
    /// Whether the server closes the connection after the answer.
    pub closes: bool,
}

impl RawAnswer {
    /// Returns an answer in one write, after which the server closes the connection.
    pub fn closing(bytes: impl Into<Vec<u8>>) -> Self {
        Self {
            writes: vec![bytes.into()],
            closes: true,
        }
    }

    /// Returns an answer in one write, after which the server reads the next request.
    pub fn keeping(bytes: impl Into<Vec<u8>>) -> Self {
        Self {
            writes: vec![bytes.into()],
            closes: false,
        }
    }
}

/// A running raw server.
#[derive(Debug)]
pub struct RawServer {
    /// The address at which it accepts connections.
    pub address: SocketAddr,
    requests: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl RawServer {
    /// Starts a server on a free loopback port. It gives the answers in turn, and then the last one again and again.
    ///
    /// # Errors
    /// Returns the system's error if the port cannot be bound.
    pub async fn start(answers: Vec<RawAnswer>) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let requests = Arc::<AtomicUsize>::default();
        let task = tokio::spawn(accept(listener, answers.into(), Arc::clone(&requests)));
        Ok(Self {
            address,
            requests,
            task,
        })
    }

    /// Returns the number of requests that were read.
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }
}

impl Drop for RawServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, answers: Arc<[RawAnswer]>, requests: Arc<AtomicUsize>) {
    while let Ok((stream, _)) = listener.accept().await {
        let (answers, requests) = (Arc::clone(&answers), Arc::clone(&requests));
        // A connection that the client closes needs no further answer.
        tokio::spawn(async move { drop(serve(stream, &answers, &requests).await) });
    }
}

async fn serve(mut stream: TcpStream, answers: &[RawAnswer], requests: &AtomicUsize) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    loop {
        read_request(&mut stream).await?;
        let number = requests.fetch_add(1, Ordering::SeqCst);
        let Some(answer) = answers.get(number).or(answers.last()) else {
            return Ok(());
        };
        for (index, piece) in answer.writes.iter().enumerate() {
            if index > 0 {
                sleep(Duration::from_millis(WRITE_PAUSE_MS)).await;
            }
            stream.write_all(piece).await?;
        }
        if answer.closes {
            return stream.shutdown().await;
        }
    }
}

/// Reads a request whose body, if it has one, has a length.
async fn read_request(stream: &mut TcpStream) -> std::io::Result<()> {
    let mut head = Vec::new();
    while !head.ends_with(HEAD_END) {
        head.push(stream.read_u8().await?);
    }
    let mut body = vec![0; content_length(&head)];
    stream.read_exact(&mut body).await?;
    Ok(())
}

fn content_length(head: &[u8]) -> usize {
    let head = String::from_utf8_lossy(head).to_ascii_lowercase();
    let stated = head.lines().find_map(|line| line.strip_prefix("content-length:"));
    // A request without a length has no body.
    stated.and_then(|text| text.trim().parse().ok()).unwrap_or(0)
}
