//! The scenario of a simulated fleet whose callers continue broken streams, and its outcome.

/// How instances tell each other at which software version a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RowSpread {
    /// The row goes to the holders of the stream, which are asked for it. The router does this.
    Holders,
    /// The row goes to every instance with the next load message.
    Everyone,
    /// No row is sent; peers are asked.
    Nobody,
}

/// Streams in a fleet of which instances are killed.
#[derive(Clone, Copy, Debug)]
pub struct StreamScenario {
    /// Random seed.
    pub seed: u64,
    /// Number of instances.
    pub instances: usize,
    /// Number of failure domains over which they are distributed.
    pub failure_domains: usize,
    /// Streams that begin each second.
    pub streams_per_s: u64,
    /// Time from the first event of a stream to its last, in milliseconds.
    pub stream_ms: u64,
    /// Time from the first event of a stream to its caller's deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Simulated time, in milliseconds.
    pub duration_ms: u64,
    /// Time between two kills, in milliseconds.
    pub kill_interval_ms: u64,
    /// Instances that each kill ends at the same moment.
    pub killed: usize,
    /// Time from a kill until the killed instances start again, in milliseconds.
    pub restart_ms: u64,
    /// How rows spread.
    pub spread: RowSpread,
}

/// What a simulation of streams observed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StreamOutcome {
    /// Streams that were continued after their instance was killed.
    pub returned: usize,
    /// Of those, the ones whose version the new instance learned.
    pub known: usize,
    /// Of those, the ones that it learned by asking.
    pub asked: usize,
    /// Bytes that an instance sends in a second on average, with the headers of its datagrams.
    pub sent_bytes_per_s: f64,
    /// Streams kept by an instance, at most.
    pub kept_max: usize,
}

impl StreamOutcome {
    /// Returns the share of the returned streams whose version was known.
    pub fn known_share(&self) -> f64 {
        self.known as f64 / self.returned.max(1) as f64
    }
}
