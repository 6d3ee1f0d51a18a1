//! What callers, servers and the soak itself saw; the checker knows nothing else.
//!
//! Moments are milliseconds since the start of the soak, by one clock for all processes.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

/// What a caller asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum CallKind {
    /// May run more than once.
    Lookup,
    /// Runs once at most.
    Order,
    /// A stream that is not resumed.
    Letter,
    /// A stream that another server may go on with.
    Chat,
}

impl CallKind {
    /// Every kind.
    pub const ALL: [Self; 4] = [Self::Lookup, Self::Order, Self::Letter, Self::Chat];

    /// Tells whether a request may run once at most.
    pub fn runs_once(self) -> bool {
        matches!(self, Self::Order | Self::Letter)
    }
}

/// How an attempt ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// With the whole answer to this very request.
    Answered,
    /// With an answer of the daemon's own that says when to come back: it has not run.
    NotRun {
        /// The status.
        status: u16,
    },
    /// With any other answer that is no success.
    Failed {
        /// The status.
        status: u16,
        /// A backend server gave it.
        by_server: bool,
    },
    /// With an answer that is not whole, or not this request's, and pretends to be.
    Wrong(String),
    /// The connection broke.
    Cut {
        /// The answer had begun.
        had_begun: bool,
    },
    /// Nothing came within the caller's time.
    Silent,
}

/// One attempt of a caller.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Attempt {
    /// Its id, unique in the soak.
    pub id: String,
    /// What was asked for.
    pub kind: CallKind,
    /// The workspace whose key was sent.
    pub workspace: String,
    /// The number of the key among those of its workspace.
    pub key: u64,
    /// The daemon that the caller was connected to.
    pub daemon: usize,
    /// When it began.
    pub began_ms: u64,
    /// When it ended.
    pub ended_ms: u64,
    /// How it ended.
    pub outcome: Outcome,
}

/// A request that a backend server ran.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Run {
    /// The id of the attempt.
    pub id: String,
    /// The server.
    pub server: String,
    /// The workspace that it was told.
    pub workspace: Option<String>,
    /// It went on with a stream.
    pub is_resumed: bool,
    /// It was shown a key.
    pub saw_key: bool,
    /// When it began.
    pub began_ms: u64,
}

/// What a backend server said of itself in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NoticeKind {
    /// It drains.
    Draining,
    /// It turned the request away, and wants nothing for so many milliseconds.
    Backoff(u64),
}

/// An answer in which a backend server said something of itself.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Notice {
    /// The id of the attempt.
    pub id: String,
    /// The server.
    pub server: String,
    /// When it answered.
    pub at_ms: u64,
    /// What it said.
    pub kind: NoticeKind,
}

/// A line that a backend server prints.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ServerLine {
    /// It runs a request.
    Run(Run),
    /// It says something of itself.
    Notice(Notice),
}

/// What a fault strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Target {
    /// A daemon: killed, paused, or starting again.
    Daemon(usize),
    /// A daemon's planned stop, until it has started again.
    Stop(usize),
    /// The link between callers and a daemon.
    CallersLink(usize),
    /// The link between a daemon and the store.
    StoreLink(usize),
    /// The store.
    Store,
    /// A backend server, or the link to it.
    Server(usize),
    /// What a backend server says of itself; its answers are well.
    Notices(usize),
}

/// A fault from its begin until its traces are gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultSpan {
    /// What it strikes.
    pub target: Target,
    /// When it began.
    pub from_ms: u64,
    /// When it was undone.
    pub until_ms: u64,
}

/// A version of the configuration that was written.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VersionWrite {
    /// The version.
    pub version: u64,
    /// When it had been handed to the store.
    pub at_ms: u64,
    /// The number of the one key that workspace `changing` has in it.
    pub key: u64,
}

/// What a daemon was seen to have in force.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Probe {
    /// The daemon.
    pub daemon: usize,
    /// How often it had been started.
    pub life: u64,
    /// When the probe was sent.
    pub began_ms: u64,
    /// When its answer came.
    pub ended_ms: u64,
    /// The version.
    pub version: u64,
}

/// A server whose leaving was written.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Departure {
    /// The server.
    pub server: String,
    /// When it had been handed to the store.
    pub at_ms: u64,
}

/// The end of a daemon that was asked to stop.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Exit {
    /// The daemon.
    pub daemon: usize,
    /// When it was started.
    pub started_ms: u64,
    /// When it was asked.
    pub asked_ms: u64,
    /// When it had ended; `None` if it had to be killed.
    pub ended_ms: Option<u64>,
    /// Its exit code.
    pub code: Option<i32>,
}

/// Everything that was seen.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct History {
    /// How long callers asked.
    pub for_ms: u64,
    /// How long a request may be held at most.
    pub timeout_ms: u64,
    /// How many daemons there were.
    pub daemons: usize,
    /// The most servers that one attempt may go to.
    pub attempts_max: usize,
    /// What callers saw.
    pub attempts: Vec<Attempt>,
    /// What servers saw.
    pub runs: Vec<Run>,
    /// What servers said of themselves.
    #[serde(default)]
    pub notices: Vec<Notice>,
    /// What was done to the system.
    pub faults: Vec<FaultSpan>,
    /// What operators wrote.
    pub writes: Vec<VersionWrite>,
    /// What probes saw.
    pub probes: Vec<Probe>,
    /// Which servers left.
    pub departures: Vec<Departure>,
    /// How daemons ended that were asked to stop.
    pub exits: Vec<Exit>,
    /// Daemons that ended though nobody ended them.
    pub ended_by_themselves: Vec<usize>,
}

impl History {
    /// Returns the runs of each attempt.
    pub fn runs_by_attempt(&self) -> HashMap<&str, Vec<&Run>> {
        let mut by_attempt: HashMap<&str, Vec<&Run>> = HashMap::new();
        for run in &self.runs {
            by_attempt.entry(run.id.as_str()).or_default().push(run);
        }
        by_attempt
    }

    /// Tells whether a fault on a target that is picked out overlaps a time.
    pub fn is_disturbed(&self, from_ms: u64, until_ms: u64, concerns: impl Fn(Target) -> bool) -> bool {
        self.faults
            .iter()
            .any(|fault| concerns(fault.target) && fault.from_ms <= until_ms && fault.until_ms >= from_ms)
    }
}
