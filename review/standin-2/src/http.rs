//! A small HTTP/1.1 reader and writer, so that a stand-in decides about every byte that it sends.

use std::io;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// The head of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The first line.
    pub start: String,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns a header, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value.as_str())
    }

    /// Returns the status of an answer; zero if it has none.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1).unwrap_or_default();
        status.parse().unwrap_or(0)
    }
}

/// A connection with the bytes that were read ahead.
#[derive(Debug)]
pub struct Connection {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            ahead: Vec::new(),
        }
    }

    /// Reads more bytes. Returns `false` at the end of the connection.
    async fn fill(&mut self) -> io::Result<bool> {
        let mut buffer = [0; 16 << 10];
        let read = self.stream.read(&mut buffer).await?;
        self.ahead.extend_from_slice(&buffer[..read]);
        Ok(read > 0)
    }

    /// Reads a head; `None` if the connection ends before one.
    pub async fn read_head(&mut self) -> io::Result<Option<Head>> {
        let end = loop {
            if let Some(end) = self.ahead.windows(4).position(|four| four == b"\r\n\r\n") {
                break end + 4;
            }
            if !self.fill().await? {
                return Ok(None);
            }
        };
        let bytes: Vec<u8> = self.ahead.drain(..end).collect();
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let mut lines = text.split("\r\n");
        let start = lines.next().unwrap_or_default().to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        Ok(Some(Head { start, headers }))
    }

    /// Reads exactly `length` bytes.
    ///
    /// # Errors
    /// The connection ends before.
    pub async fn read_exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.ahead.len() < length {
            if !self.fill().await? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.ahead.drain(..length).collect())
    }

    /// Reads the body of a message that states its length or comes in chunks.
    ///
    /// # Errors
    /// The connection ends before the body does.
    pub async fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
            let mut body = Vec::new();
            loop {
                let size = self.read_line().await?;
                let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
                let chunk = self.read_exactly(size + 2).await?;
                if size == 0 {
                    return Ok(body);
                }
                body.extend_from_slice(&chunk[..size]);
            }
        }
        let length = head.header("content-length").parse().unwrap_or(0);
        self.read_exactly(length).await
    }

    async fn read_line(&mut self) -> io::Result<String> {
        let end = loop {
            if let Some(end) = self.ahead.windows(2).position(|two| two == b"\r\n") {
                break end;
            }
            if !self.fill().await? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let line: Vec<u8> = self.ahead.drain(..end + 2).collect();
        Ok(String::from_utf8_lossy(&line[..end]).into_owned())
    }
}
