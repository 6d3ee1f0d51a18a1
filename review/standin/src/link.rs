//! The link between a machine and the store: a proxy that can lose what the store sends for a while.
//!
//! A lost answer arrives as over TCP: its sender repeats it 200 ms, 600 ms and 1,400 ms after the first time, and the first
//! repetition after the loss arrives.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::record::note;
use crate::record::now_ms;

/// When the sender repeats what was not acknowledged, in milliseconds after the first time.
const REPETITIONS_MS: [u64; 4] = [0, 200, 600, 1_400];

/// A link.
pub struct Link {
    pub machine: String,
    pub address: SocketAddr,
    /// From when until when what the store sends is lost.
    cut: Mutex<Option<(Instant, Instant)>>,
    /// When the machine last asked for the servers' records, and how long after the time before, in milliseconds.
    asked_at_ms: AtomicU64,
    asked_after_ms: AtomicU64,
}

impl Link {
    pub fn start(machine: &str, store: SocketAddr) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let link = Arc::new(Self {
            machine: machine.to_owned(),
            address: listener.local_addr()?,
            cut: Mutex::new(None),
            asked_at_ms: AtomicU64::new(0),
            asked_after_ms: AtomicU64::new(0),
        });
        let accepting = Arc::clone(&link);
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(store) else {
                    continue;
                };
                accepting.forward(client, server);
            }
        });
        Ok(link)
    }

    /// Loses what the store sends from now on, for `for_ms`.
    pub fn cut_one_way(&self, for_ms: u64) {
        let now = Instant::now();
        *self.cut.lock().unwrap() = Some((now, now + Duration::from_millis(for_ms)));
        note(&format!(
            "{}: what the store sends is lost for {for_ms} ms",
            self.machine
        ));
    }

    /// Returns when the machine last asked for the servers' records.
    pub fn asked_at_ms(&self) -> u64 {
        self.asked_at_ms.load(Ordering::SeqCst)
    }

    /// Returns when the machine will ask for them next, if it asks regularly.
    pub fn asks_next_at_ms(&self) -> Option<u64> {
        let next = self.asked_at_ms() + self.asked_after_ms.load(Ordering::SeqCst);
        (next > now_ms() && next < now_ms() + 1_000).then_some(next)
    }

    fn forward(self: &Arc<Self>, client: TcpStream, server: TcpStream) -> Option<()> {
        client.set_nodelay(true).ok()?;
        server.set_nodelay(true).ok()?;
        let (from_client, to_server) = (client.try_clone().ok()?, server.try_clone().ok()?);
        let link = Arc::clone(self);
        std::thread::spawn(move || link.copy_up(from_client, to_server));
        let link = Arc::clone(self);
        std::thread::spawn(move || link.copy_down(server, client));
        Some(())
    }

    fn copy_up(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = vec![0; 16 << 10];
        while let Ok(read) = from.read(&mut buffer) {
            if read == 0 || to.write_all(&buffer[..read]).is_err() {
                break;
            }
            if String::from_utf8_lossy(&buffer[..read]).contains("keyed.servers") {
                let now = now_ms();
                let before = self.asked_at_ms.swap(now, Ordering::SeqCst);
                self.asked_after_ms.store(now - before, Ordering::SeqCst);
            }
        }
        let _ = to.shutdown(Shutdown::Both);
    }

    fn copy_down(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = vec![0; 256 << 10];
        while let Ok(read) = from.read(&mut buffer) {
            if read == 0 {
                break;
            }
            self.wait_for_way();
            if to.write_all(&buffer[..read]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
    }

    /// Waits until the first repetition that is not lost.
    fn wait_for_way(&self) {
        let first = Instant::now();
        for repetition_ms in REPETITIONS_MS {
            let sent_at = first + Duration::from_millis(repetition_ms);
            std::thread::sleep(sent_at.saturating_duration_since(Instant::now()));
            let cut = *self.cut.lock().unwrap();
            if cut.is_none_or(|(begin, end)| sent_at < begin || sent_at >= end) {
                return;
            }
        }
    }
}
