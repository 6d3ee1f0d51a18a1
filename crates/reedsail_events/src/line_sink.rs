//! Writes log lines to standard output from a thread of their own, so that nobody waits for it.

use std::io;
use std::io::Write;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::TrySendError;
use std::sync::mpsc::sync_channel;
use std::time::Duration;

/// The most lines that wait to be written; further ones are counted and left out.
const LINES_MAX: usize = 2_048;
/// How long lines are gathered before they are written together.
const GATHER_MS: u64 = 250;

/// A writer that takes whole lines, never blocks, and drops what does not fit.
#[derive(Debug)]
pub struct LineSink {
    lines: SyncSender<Vec<u8>>,
    dropped: u64,
}

impl LineSink {
    /// Starts the thread that writes to standard output.
    ///
    /// # Errors
    /// The system's, if no thread can be started.
    pub fn to_stdout() -> io::Result<Self> {
        let (lines, waiting) = sync_channel(LINES_MAX);
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&waiting, &mut io::stdout()))?;
        Ok(Self { lines, dropped: 0 })
    }
}

impl Write for LineSink {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut text = line.to_vec();
        if self.dropped > 0 {
            text.extend_from_slice(format!("log lines left out: {}\n", self.dropped).as_bytes());
        }
        match self.lines.try_send(text) {
            Ok(()) => self.dropped = 0,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => self.dropped += 1,
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes what comes until nobody can send any more.
fn write_lines(waiting: &Receiver<Vec<u8>>, output: &mut impl Write) {
    while let Ok(mut text) = waiting.recv() {
        std::thread::sleep(Duration::from_millis(GATHER_MS));
        for line in waiting.try_iter() {
            text.extend_from_slice(&line);
        }
        // Whoever reads the log may be gone; the daemon goes on.
        let _ = output.write_all(&text).and_then(|()| output.flush());
    }
}
