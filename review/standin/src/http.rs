//! As much of HTTP/1.1 as the stand-ins need.

use std::io::BufRead;
use std::io::Read;

/// The first line and the headers of a message. Header names are in lower case.
#[derive(Clone, Debug)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the length that the message states.
    pub fn content_length(&self) -> Option<usize> {
        self.header("content-length")?.trim().parse().ok()
    }

    /// Returns the path and query of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1).unwrap_or_default();
        status.parse().unwrap_or(0)
    }
}

/// Reads the head of a message; `None` if the connection ended before its first byte.
pub fn read_head(reader: &mut impl BufRead) -> std::io::Result<Option<Head>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            if lines.is_empty() {
                return Ok(None);
            }
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        lines.push(line);
    }
    let mut lines = lines.into_iter();
    let first_line = lines.next().unwrap_or_default();
    let headers = lines.filter_map(|line| {
        let (name, value) = line.split_once(':')?;
        Some((name.trim().to_ascii_lowercase(), value.trim().to_owned()))
    });
    Ok(Some(Head {
        first_line,
        headers: headers.collect(),
    }))
}

/// Reads exactly `length` bytes and drops them.
pub fn skip_body(reader: &mut impl Read, length: usize) -> std::io::Result<()> {
    let mut buffer = vec![0; 64 << 10];
    let mut left = length;
    while left > 0 {
        let part = left.min(buffer.len());
        let read = reader.read(&mut buffer[..part])?;
        if read == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        left -= read;
    }
    Ok(())
}
