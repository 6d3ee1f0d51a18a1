//! What callers, servers and the soak itself observed: the only input of the checker.
//!
//! Times are milliseconds since the start of the soak, by one clock for all processes.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

/// The kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum CallKind {
    /// May run more than once.
    Lookup,
    /// May run at most once.
    Order,
    /// A stream that cannot be resumed.
    Letter,
    /// A stream that another server may resume.
    Chat,
}

impl CallKind {
    /// Every kind.
    pub const ALL: [Self; 4] = [Self::Lookup, Self::Order, Self::Letter, Self::Chat];

    /// Returns whether a request may run at most once.
    pub fn runs_once(self) -> bool {
        matches!(self, Self::Order | Self::Letter)
    }
}

/// How an attempt ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The complete answer to this request arrived.
    Answered,
    /// The instance itself answered with a retry time: the request has not run.
    NotRun {
        /// The status.
        status: u16,
    },
    /// Any other unsuccessful answer arrived.
    Failed {
        /// The status.
        status: u16,
        /// Whether a backend server gave the answer.
        by_server: bool,
    },
    /// A successful answer arrived that is incomplete or belongs to another request.
    Wrong(String),
    /// The connection was closed.
    Cut {
        /// Whether the answer had begun.
        had_begun: bool,
    },
    /// No answer arrived within the caller's time limit.
    Silent,
    /// The caller disconnected on purpose, to continue the stream at another instance.
    HungUp,
}

/// The events of one attempt of a stream that another server may continue.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamPart {
    /// The attempt that brought the stream's first event.
    pub first_attempt: String,
    /// The number of the last event before this attempt; zero for a new stream.
    pub after_event: u32,
    /// The software versions of the servers that wrote this attempt's events, in order.
    pub versions: Vec<String>,
}

/// One attempt of a caller.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Attempt {
    /// Its id, unique in the soak.
    pub id: String,
    /// The kind of the request.
    pub kind: CallKind,
    /// The workspace whose key was sent.
    pub workspace: String,
    /// The number of the key among those of its workspace.
    pub key: u64,
    /// The instance that the caller was connected to.
    pub daemon: usize,
    /// When it began.
    pub began_ms: u64,
    /// When it ended.
    pub ended_ms: u64,
    /// How it ended.
    pub outcome: Outcome,
    /// The events that it brought, if it is a stream that may be continued.
    #[serde(default)]
    pub stream: Option<StreamPart>,
}

/// The arrival of a request at a backend server, which may reject it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Arrival {
    /// The id of the attempt.
    pub id: String,
    /// Whether the server answers streams.
    pub is_engine: bool,
    /// When it arrived.
    pub at_ms: u64,
}

/// A request that a backend server ran.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Run {
    /// The id of the attempt.
    pub id: String,
    /// The server.
    pub server: String,
    /// The workspace that the router passed to the server.
    pub workspace: Option<String>,
    /// Whether the run resumed a stream.
    pub is_resumed: bool,
    /// Whether the request to the server contained a key.
    pub saw_key: bool,
    /// When it began.
    pub began_ms: u64,
}

/// The status that a backend server reported in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NoticeKind {
    /// The server is draining.
    Draining,
    /// The server rejected the request and asked for a back-off of the given milliseconds.
    Backoff(u64),
}

/// An answer in which a backend server reported its status.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Notice {
    /// The id of the attempt.
    pub id: String,
    /// The server.
    pub server: String,
    /// When it answered.
    pub at_ms: u64,
    /// The reported status.
    pub kind: NoticeKind,
}

/// A line that a backend server prints.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ServerLine {
    /// A request arrives at the server.
    Arrival(Arrival),
    /// The server runs a request.
    Run(Run),
    /// The server reports its status.
    Notice(Notice),
    /// The server ends because of the segment in a request, at this time.
    PoisonEnd(u64),
}

/// The target of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Target {
    /// An instance: killed, paused, or restarting.
    Daemon(usize),
    /// An instance's planned stop, until it has restarted.
    Stop(usize),
    /// The link between callers and an instance.
    CallersLink(usize),
    /// The link between an instance and the store.
    StoreLink(usize),
    /// The same link, on which the store's answers arrive late and nothing else is wrong.
    LateStoreAnswers(usize),
    /// The store.
    Store,
    /// A backend server, or the link to it.
    Server(usize),
    /// The status that a backend server reports; its answers are correct.
    Notices(usize),
}

/// The time from the start of a fault until it was undone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultSpan {
    /// The target.
    pub target: Target,
    /// When it began.
    pub from_ms: u64,
    /// When it was undone.
    pub until_ms: u64,
}

/// The time during which a server process took requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ServerLife {
    /// Whether the server answers streams.
    #[serde(default)]
    pub is_engine: bool,
    /// The number of the server.
    pub server: usize,
    /// The id of the process.
    pub id: String,
    /// Its software version.
    pub version: String,
    /// When its record was written.
    pub from_ms: u64,
    /// When it left, ended, or its record was removed.
    pub until_ms: u64,
}

/// A version of the configuration that was written.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VersionWrite {
    /// The version.
    pub version: u64,
    /// When its write to the store began.
    pub at_ms: u64,
    /// The number of the only key of workspace `changing` in this version.
    pub key: u64,
    /// Whether the table of workspaces is empty, so that no key is valid.
    #[serde(default)]
    pub without_workspaces: bool,
}

/// The configuration version that a probe found in force on an instance.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Probe {
    /// The instance.
    pub daemon: usize,
    /// How many times the instance had been started.
    pub life: u64,
    /// When the probe was sent.
    pub began_ms: u64,
    /// When its answer arrived.
    pub ended_ms: u64,
    /// The version.
    pub version: u64,
}

/// A server whose departure was written to the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Departure {
    /// The server.
    pub server: String,
    /// When the command had been sent to the store.
    pub at_ms: u64,
    /// From when on it must get no new request.
    pub due_ms: u64,
}

/// The exit of an instance that was asked to stop.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Exit {
    /// The instance.
    pub daemon: usize,
    /// When it was started.
    pub started_ms: u64,
    /// When it was asked to stop.
    pub asked_ms: u64,
    /// When it had ended; `None` if it had to be killed.
    pub ended_ms: Option<u64>,
    /// Its exit code.
    pub code: Option<i32>,
}

/// Everything that was observed during a soak.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct History {
    /// How long callers sent requests, in milliseconds.
    pub for_ms: u64,
    /// Maximum time that the router holds a request.
    pub timeout_ms: u64,
    /// Number of instances.
    pub daemons: usize,
    /// Maximum number of servers that one attempt may be sent to.
    pub attempts_max: usize,
    /// The attempts of callers.
    pub attempts: Vec<Attempt>,
    /// The arrivals of requests at servers.
    #[serde(default)]
    pub arrivals: Vec<Arrival>,
    /// The requests that servers ran.
    pub runs: Vec<Run>,
    /// The requests that ended the servers that ran them.
    #[serde(default)]
    pub poison_runs: Vec<Run>,
    /// When servers ended because of them.
    #[serde(default)]
    pub poison_ends_ms: Vec<u64>,
    /// The times in which such requests came, from the first to the last.
    #[serde(default)]
    pub poison_spans: Vec<(u64, u64)>,
    /// The statuses that servers reported.
    #[serde(default)]
    pub notices: Vec<Notice>,
    /// When servers took requests.
    #[serde(default)]
    pub lives: Vec<ServerLife>,
    /// The faults that were injected.
    pub faults: Vec<FaultSpan>,
    /// The configuration versions that were written.
    pub writes: Vec<VersionWrite>,
    /// The results of probes.
    pub probes: Vec<Probe>,
    /// The servers that left.
    pub departures: Vec<Departure>,
    /// The exits of instances that were asked to stop.
    pub exits: Vec<Exit>,
    /// Instances that exited without being stopped or killed.
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

    /// Returns whether a fault on a target selected by `concerns` overlaps the given time range.
    pub fn is_disturbed(&self, from_ms: u64, until_ms: u64, concerns: impl Fn(Target) -> bool) -> bool {
        self.faults
            .iter()
            .any(|fault| concerns(fault.target) && fault.from_ms <= until_ms && fault.until_ms >= from_ms)
    }
}
