//! Finds the events in a stream of bytes.

/// Cuts a stream of bytes into events (HTML Living Standard, 9.2).
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: Vec<u8>,
}

impl EventSplitter {
    /// Takes in bytes and returns the events that are now whole, each with its end.
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

    /// Returns the bytes of an event that is not whole yet.
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Forgets a part of an event, before the stream goes on elsewhere.
    pub fn clear(&mut self) {
        self.partial.clear();
    }
}

fn find_event_end(bytes: &[u8]) -> Option<usize> {
    let line_feeds = bytes.windows(2).position(|pair| pair == b"\n\n").map(|at| at + 2);
    let with_returns = bytes
        .windows(4)
        .position(|four| four == b"\r\n\r\n")
        .map(|at| at + 4);
    match (line_feeds, with_returns) {
        (Some(one), Some(other)) => Some(one.min(other)),
        (one, other) => one.or(other),
    }
}
