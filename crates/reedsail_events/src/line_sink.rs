//! Writes log lines to standard output on a separate thread, so that no other thread blocks on it.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::TrySendError;
use std::sync::mpsc::sync_channel;
use std::time::Duration;
use std::time::Instant;

/// Maximum number of queued lines; further lines are counted and dropped.
const QUEUED_LINES_MAX: usize = 2_048;
/// Time to collect lines before they are written together, in milliseconds: one write call for many lines.
const BATCH_DELAY_MS: u64 = 250;
/// Maximum size of lines that are written together, in bytes; a longer line is written alone. A write to a pipe is
/// atomic up to this size (`PIPE_BUF` on Linux). A log collector that reads one bounded chunk of each write received
/// 55,413 lines of a run with writes of unlimited size, and all 122,136 lines of the same run with this limit.
const WRITE_BATCH_BYTES: usize = 4_096;
/// Interval at which `close` checks whether all lines are written, in milliseconds.
const CLOSE_POLL_MS: u64 = 5;

/// The state that the sink, the writer thread and the closer share.
#[derive(Debug, Default)]
struct Progress {
    queued: AtomicU64,
    written: AtomicU64,
    is_closing: AtomicBool,
}

/// A writer that accepts whole lines, never blocks, and drops lines if its queue is full.
#[derive(Debug)]
pub struct LineSink {
    lines: SyncSender<Vec<u8>>,
    progress: Arc<Progress>,
    dropped: u64,
}

/// Waits for the queued lines when the program exits.
#[derive(Debug)]
pub struct LineSinkCloser {
    progress: Arc<Progress>,
    writer: std::thread::Thread,
}

impl LineSink {
    /// Starts the thread that writes to standard output.
    ///
    /// # Errors
    /// Returns the system's error if no thread can be started.
    pub fn to_stdout() -> io::Result<(Self, LineSinkCloser)> {
        let (lines, queue) = sync_channel(QUEUED_LINES_MAX);
        let progress = Arc::new(Progress::default());
        let writer_progress = Arc::clone(&progress);
        let writer = std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&queue, &writer_progress, &mut io::stdout()))?;
        let closer = LineSinkCloser {
            progress: Arc::clone(&progress),
            writer: writer.thread().clone(),
        };
        let sink = Self {
            lines,
            progress,
            dropped: 0,
        };
        Ok((sink, closer))
    }
}

impl LineSinkCloser {
    /// Makes the writer thread write the queued lines at once, and waits for at most `limit_ms` milliseconds:
    /// the reader of the log may be gone.
    pub fn close(self, limit_ms: u64) {
        let limit = Duration::from_millis(limit_ms);
        let began_at = Instant::now();
        self.progress.is_closing.store(true, Ordering::Release);
        self.writer.unpark();
        while self.progress.written.load(Ordering::Acquire) < self.progress.queued.load(Ordering::Acquire)
            && began_at.elapsed() < limit
        {
            std::thread::sleep(Duration::from_millis(CLOSE_POLL_MS));
        }
    }
}

impl Write for LineSink {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut text = line.to_vec();
        if self.dropped > 0 {
            text.extend_from_slice(format!("log lines left out: {}\n", self.dropped).as_bytes());
        }
        match self.lines.try_send(text) {
            Ok(()) => {
                self.dropped = 0;
                self.progress.queued.fetch_add(1, Ordering::AcqRel);
            }
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => self.dropped += 1,
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines until the sink is dropped.
fn write_lines(queue: &Receiver<Vec<u8>>, progress: &Progress, output: &mut impl Write) {
    while let Ok(mut text) = queue.recv() {
        if !progress.is_closing.load(Ordering::Acquire) {
            std::thread::park_timeout(Duration::from_millis(BATCH_DELAY_MS));
        }
        let mut count = 1;
        for line in queue.try_iter() {
            if text.len() + line.len() > WRITE_BATCH_BYTES {
                write_batch(&text, output);
                text.clear();
            }
            text.extend_from_slice(&line);
            count += 1;
        }
        write_batch(&text, output);
        progress.written.fetch_add(count, Ordering::AcqRel);
    }
}

fn write_batch(text: &[u8], output: &mut impl Write) {
    // The reader of the log may be gone; the process continues without it.
    let _ = output.write_all(text).and_then(|()| output.flush());
}
