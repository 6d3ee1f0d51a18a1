//! How late the traffic thread gets to what is due, which tells when its processor is not enough.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use reedsail_net::Clock;
use tokio::time::sleep;

/// How often the thread measures its lag.
const MEASURE_EVERY_MS: u64 = 100;
/// The newest measure has one part in so many of the average.
const AVERAGE_PARTS: u64 = 3;
/// A thread that is so late on average takes no further request. A processor that is shared out in
/// tenths of a second makes it late by less.
const OVERLOADED_MS: u64 = 400;

/// A moving average of the thread's lag.
#[derive(Debug, Default)]
pub(crate) struct Lag {
    average_ms: AtomicU64,
}

impl Lag {
    /// Tells whether the thread is so late that requests would miss their goals.
    pub(crate) fn is_overloaded(&self) -> bool {
        self.average_ms.load(Ordering::Relaxed) >= OVERLOADED_MS
    }

    /// Measures for as long as the thread runs.
    pub(crate) async fn measure(&self, clock: Clock) {
        loop {
            let due_at = clock.now().plus_ms(MEASURE_EVERY_MS);
            sleep(Duration::from_millis(MEASURE_EVERY_MS)).await;
            let late_ms = clock.now().since_ms(due_at);
            let before_ms = self.average_ms.load(Ordering::Relaxed);
            let average_ms = (before_ms * (AVERAGE_PARTS - 1) + late_ms) / AVERAGE_PARTS;
            self.average_ms.store(average_ms, Ordering::Relaxed);
        }
    }
}
