//! Splits a byte stream into server-sent events.

/// Splits a byte stream into server-sent events (HTML Living Standard, 9.2).
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: Vec<u8>,
}

impl EventSplitter {
    /// Appends bytes and returns the events that are now complete, each with its terminating blank line.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<Vec<u8>> {
        self.partial.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(length) = find_event_end(&self.partial[start..]) {
            events.push(self.partial[start..start + length].to_vec());
            start += length;
        }
        self.partial.drain(..start);
        events
    }

    /// Returns the size of the incomplete event in bytes.
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Discards the incomplete event, before the stream is resumed on another backend server.
    pub fn clear(&mut self) {
        self.partial.clear();
    }
}

fn find_event_end(bytes: &[u8]) -> Option<usize> {
    let lf_end = bytes.windows(2).position(|pair| pair == b"\n\n").map(|at| at + 2);
    let crlf_end = bytes
        .windows(4)
        .position(|four| four == b"\r\n\r\n")
        .map(|at| at + 4);
    match (lf_end, crlf_end) {
        (Some(one), Some(other)) => Some(one.min(other)),
        (one, other) => one.or(other),
    }
}
