//! Splits a byte stream into server-sent events.

use crate::EventScanner;

/// Splits a byte stream into server-sent events (HTML Living Standard, 9.2).
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: Vec<u8>,
    scanner: EventScanner,
}

impl EventSplitter {
    /// Appends bytes and returns the events that are now complete, each with its terminating blank line. If that ends
    /// with CR, a LF that arrives later comes with the next event.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<Vec<u8>> {
        let mut events = Vec::new();
        let mut start = 0;
        for (index, byte) in bytes.iter().enumerate() {
            if !self.scanner.read_byte(*byte) {
                continue;
            }
            let ends_with_crlf = *byte == b'\r' && bytes.get(index + 1) == Some(&b'\n');
            let end = index + 1 + usize::from(ends_with_crlf);
            let mut event = std::mem::take(&mut self.partial);
            event.extend_from_slice(&bytes[start..end]);
            events.push(event);
            start = end;
        }
        self.partial.extend_from_slice(&bytes[start..]);
        events
    }

    /// Returns the size of the bytes after the last event.
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Returns whether the stream is inside an event.
    pub fn is_inside_event(&self) -> bool {
        self.scanner.is_inside_event()
    }

    /// Removes and returns the bytes after the last event of a stream that has ended, such as a comment.
    pub fn take_rest(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.partial)
    }

    /// Discards the incomplete event, before the stream is resumed on another backend server.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
