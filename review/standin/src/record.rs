//! The record of a case: one line an event, with the milliseconds since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::time::Instant;

struct Record {
    file: Mutex<File>,
    start: Instant,
}

static RECORD: OnceLock<Record> = OnceLock::new();

/// Opens the record of the case.
pub fn open(path: &Path) -> std::io::Result<()> {
    let record = Record {
        file: Mutex::new(File::create(path)?),
        start: Instant::now(),
    };
    let _ = RECORD.set(record);
    Ok(())
}

/// Returns the milliseconds since the start.
pub fn now_ms() -> u64 {
    RECORD
        .get()
        .map_or(0, |record| record.start.elapsed().as_millis() as u64)
}

/// Writes a line.
pub fn note(text: &str) {
    let at = now_ms();
    if let Some(record) = RECORD.get() {
        let mut file = record.file.lock().unwrap();
        let _ = writeln!(file, "{:>8.3} s  {text}", at as f64 / 1_000.0);
    }
}

/// Writes a line, and prints it as well.
pub fn tell(text: &str) {
    note(text);
    println!("{text}");
}
