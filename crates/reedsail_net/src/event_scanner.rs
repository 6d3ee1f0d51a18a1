//! Finds the ends of server-sent events in a byte stream.

/// The byte order mark that a stream may begin with.
const BYTE_ORDER_MARK: [u8; 3] = [0xef, 0xbb, 0xbf];

/// What the current line has held so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Line {
    #[default]
    Empty,
    Comment,
    Field,
}

/// Follows a stream of server-sent events byte by byte (HTML Living Standard, 9.2.5). A line ends with LF, CR or CRLF, and
/// a blank line ends an event.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventScanner {
    line: Line,
    /// Whether the last byte was a CR, so that a LF belongs to the same line ending.
    follows_cr: bool,
    /// Whether the current event has a complete line that is not a comment.
    has_field: bool,
    /// Whether a byte after the byte order mark was read.
    has_begun: bool,
    /// Number of bytes of the byte order mark that were read.
    mark_bytes: usize,
}

impl EventScanner {
    /// Reads bytes of the stream.
    pub fn read(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.read_byte(*byte);
        }
    }

    /// Returns whether the stream is inside an event: ending here, it would have been broken off. Complete comment lines
    /// are no event.
    pub fn is_inside_event(&self) -> bool {
        self.has_field || self.line != Line::Empty
    }

    /// Reads one byte, and returns whether it ends a blank line.
    pub(crate) fn read_byte(&mut self, byte: u8) -> bool {
        if self.is_byte_order_mark(byte) {
            return false;
        }
        self.has_begun = true;
        let ends_crlf = self.follows_cr && byte == b'\n';
        self.follows_cr = byte == b'\r';
        if ends_crlf {
            return false;
        }
        match (byte, self.line) {
            (b'\n' | b'\r', _) => return self.end_line(),
            (b':', Line::Empty) => self.line = Line::Comment,
            (_, Line::Empty) => self.line = Line::Field,
            (_, Line::Comment | Line::Field) => {}
        }
        false
    }

    fn is_byte_order_mark(&mut self, byte: u8) -> bool {
        let is_next = !self.has_begun && BYTE_ORDER_MARK.get(self.mark_bytes) == Some(&byte);
        self.mark_bytes += usize::from(is_next);
        is_next
    }

    fn end_line(&mut self) -> bool {
        let line = std::mem::take(&mut self.line);
        let is_blank = line == Line::Empty;
        self.has_field = !is_blank && (self.has_field || line == Line::Field);
        is_blank
    }
}
