//! A client with one kept connection.

use std::io::BufReader;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use crate::http::read_head;

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    pub method: &'a str,
    pub host: &'a str,
    pub path: &'a str,
    pub request_id: &'a str,
    pub deadline_ms: u64,
    pub body_bytes: usize,
    /// Bytes a second that the client's link carries upwards; zero for no limit.
    pub upload_bytes_per_s: usize,
    /// Bytes a second that the client's link carries downwards; zero for no limit.
    pub download_bytes_per_s: usize,
}

/// What a client got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer, with its status and size.
    Answered(u16, usize),
    /// The answer ended early: its status, the bytes that arrived, and the bytes that it had announced.
    Cut(u16, usize, usize),
    /// The connection ended without an answer.
    Closed,
    /// No answer until the deadline.
    TimedOut,
    /// No connection could be made, or it broke before the whole request was written.
    Unsent,
}

/// A client.
pub struct Client {
    target: SocketAddr,
    connection: Option<BufReader<TcpStream>>,
    /// Whether the last request went out on a connection that had carried one before.
    pub was_kept: bool,
}

impl Client {
    pub fn new(target: SocketAddr) -> Self {
        Self {
            target,
            connection: None,
            was_kept: false,
        }
    }

    /// Sends a request, and waits for its answer.
    pub fn call(&mut self, call: &Call<'_>) -> Outcome {
        self.was_kept = self.connection.is_some();
        if self.connection.is_none() {
            let Ok(stream) = TcpStream::connect_timeout(&self.target, Duration::from_secs(1)) else {
                return Outcome::Unsent;
            };
            let _ = stream.set_nodelay(true);
            self.connection = Some(BufReader::with_capacity(16 << 10, stream));
        }
        let Some(mut connection) = self.connection.take() else {
            return Outcome::Unsent;
        };
        let deadline = Instant::now() + Duration::from_millis(call.deadline_ms);
        if write_call(connection.get_mut(), call).is_err() {
            return Outcome::Unsent;
        }
        let left = deadline
            .saturating_duration_since(Instant::now())
            .max(Duration::from_millis(1));
        let _ = connection.get_ref().set_read_timeout(Some(left));
        let head = match read_head(&mut connection) {
            Ok(Some(head)) => head,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return Outcome::TimedOut;
            }
            Ok(None) | Err(_) => return Outcome::Closed,
        };
        let announced = head.content_length().unwrap_or(0);
        let got = read_paced(&mut connection, announced, call.download_bytes_per_s);
        if got < announced {
            return Outcome::Cut(head.status(), got, announced);
        }
        if head.header("connection").is_none_or(|value| value != "close") {
            self.connection = Some(connection);
        }
        Outcome::Answered(head.status(), announced)
    }
}

fn write_call(stream: &mut TcpStream, call: &Call<'_>) -> std::io::Result<()> {
    let Call {
        method,
        host,
        path,
        request_id,
        deadline_ms,
        body_bytes,
        ..
    } = call;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: {request_id}\r\nX-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer key-1\r\nContent-Length: {body_bytes}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let chunk = vec![b'b'; 16 << 10];
    let start = Instant::now();
    let mut sent = 0;
    while sent < *body_bytes {
        let part = chunk.len().min(body_bytes - sent);
        stream.write_all(&chunk[..part])?;
        sent += part;
        pace(start, sent, call.upload_bytes_per_s);
    }
    Ok(())
}

fn read_paced(reader: &mut impl Read, length: usize, bytes_per_s: usize) -> usize {
    let mut buffer = vec![0; 16 << 10];
    let start = Instant::now();
    let mut got = 0;
    while got < length {
        let part = buffer.len().min(length - got);
        match reader.read(&mut buffer[..part]) {
            Ok(0) | Err(_) => break,
            Ok(read) => got += read,
        }
        pace(start, got, bytes_per_s);
    }
    got
}

/// Waits until a link that carries `bytes_per_s` has carried `bytes`.
fn pace(start: Instant, bytes: usize, bytes_per_s: usize) {
    if bytes_per_s > 0 {
        let due = Duration::from_secs_f64(bytes as f64 / bytes_per_s as f64);
        std::thread::sleep(due.saturating_sub(start.elapsed()));
    }
}
