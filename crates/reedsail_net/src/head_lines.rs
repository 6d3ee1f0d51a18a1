//! Watches how the lines of the head of a response end.
//!
//! HTTP lets a reader accept a line feed alone as the end of a line (RFC 9112, 2.2), and the parser does. A spoilt byte can
//! so end a line, or the whole head, before its time: the rest of the head is read as the body. A server that ends its lines
//! as it must sends no such line feed. Of an answer with interim responses before it, only the first head is watched.

use std::sync::Arc;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

/// What was read of a head so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
enum Progress {
    /// No head is read, or it has ended.
    Outside,
    /// A line has begun.
    InLine,
    /// A line has begun, and its last byte is a carriage return.
    AfterReturn,
    /// A line has ended.
    BetweenLines,
    /// A line has ended, and a carriage return follows.
    AtBlankLine,
    /// A line has ended by a line feed alone.
    BareLineFeed,
}

impl Progress {
    const ALL: [Self; 6] = [
        Self::Outside,
        Self::InLine,
        Self::AfterReturn,
        Self::BetweenLines,
        Self::AtBlankLine,
        Self::BareLineFeed,
    ];

    /// Returns the progress after one more byte of a head.
    fn after(self, byte: u8) -> Self {
        match (self, byte) {
            (Self::Outside | Self::BareLineFeed, _) => self,
            (Self::AfterReturn, b'\n') => Self::BetweenLines,
            (Self::AtBlankLine, b'\n') => Self::Outside,
            (_, b'\n') => Self::BareLineFeed,
            (Self::BetweenLines, b'\r') => Self::AtBlankLine,
            (_, b'\r') => Self::AfterReturn,
            (_, _) => Self::InLine,
        }
    }
}

/// The lines of the head that a connection reads. Clones share their state.
#[derive(Clone, Debug)]
pub(crate) struct HeadLines(Arc<AtomicU8>);

impl Default for HeadLines {
    fn default() -> Self {
        Self(Arc::new(AtomicU8::new(Progress::Outside as u8)))
    }
}

impl HeadLines {
    /// Begins to watch a head.
    pub(crate) fn begin(&self) {
        self.set(Progress::InLine);
    }

    /// Watches bytes that were read.
    pub(crate) fn read(&self, bytes: &[u8]) {
        let mut progress = self.progress();
        if progress == Progress::Outside {
            return;
        }
        for byte in bytes {
            progress = progress.after(*byte);
            if matches!(progress, Progress::Outside | Progress::BareLineFeed) {
                break;
            }
        }
        self.set(progress);
    }

    /// Stops watching. Returns whether a line of the head has ended by a line feed alone.
    pub(crate) fn end(&self) -> bool {
        let has_bare_line_feed = self.progress() == Progress::BareLineFeed;
        self.set(Progress::Outside);
        has_bare_line_feed
    }

    fn progress(&self) -> Progress {
        Progress::ALL[usize::from(self.0.load(Ordering::Relaxed))]
    }

    fn set(&self, progress: Progress) {
        self.0.store(progress as u8, Ordering::Relaxed);
    }
}
