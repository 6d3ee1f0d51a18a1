//! The faults of a soak and their times; stored as JSON so that a soak can be replayed.

use serde::Deserialize;
use serde::Serialize;

/// A connection that passes through a loopback proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Link {
    /// Between callers and an instance.
    Callers(usize),
    /// Between an instance and the store.
    Store(usize),
    /// Between instances and a backend server.
    Server(usize),
}

/// What a proxy does to a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkFault {
    /// Each chunk is delayed by the given milliseconds.
    Delay(u64),
    /// Open and new connections are reset.
    Reset,
    /// What the client sends is lost.
    LoseRequests,
    /// What the server sends is lost.
    LoseAnswers,
    /// What the server sends arrives when the fault ends.
    HoldAnswers,
    /// No data passes until the fault ends.
    Silence,
    /// The next answers are truncated in the middle, and their connections are closed.
    CutTails,
}

/// How a backend server answers while it is faulty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerFault {
    /// Responds with an error after running the request.
    Error,
    /// Delays the answer by the given milliseconds.
    Slow(u64),
    /// Never answers.
    Hang,
    /// Sends fewer bytes than announced.
    Short,
    /// Marks the answer with the id of another request.
    WrongId,
    /// Reports that it did not run the request.
    NotRun,
    /// Reports that it did not run the request and asks for a back-off of the given milliseconds.
    Busy(u64),
    /// Answers correctly and reports that it is draining.
    Draining,
    /// Closes the connection in the middle of the answer.
    Break,
    /// Answers correctly, without a length or chunks.
    Unframed,
    /// Ends an answer without a length or chunks in the middle, in order: a stream between two events.
    UnframedCut,
    /// Ends a stream inside an event, without a length or chunks.
    UnframedCutInsideEvent,
    /// Ends a stream inside an event, with a last chunk as a complete one has it.
    ChunkedCutInsideEvent,
}

impl AnswerFault {
    /// Returns whether the answers have neither a length nor chunks.
    pub(crate) fn is_unframed(self) -> bool {
        match self {
            Self::Unframed | Self::UnframedCut | Self::UnframedCutInsideEvent => true,
            Self::Error
            | Self::Slow(_)
            | Self::Hang
            | Self::Short
            | Self::WrongId
            | Self::NotRun
            | Self::Busy(_)
            | Self::Draining
            | Self::Break
            | Self::ChunkedCutInsideEvent => false,
        }
    }
}

/// When an engine ends that answers a request with the segment that ends engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EngineEnd {
    /// Before it sends the head of the answer.
    BeforeHead,
    /// After a number of events.
    AfterEvents {
        /// The number of events.
        events: u32,
        /// Time between two of them, in milliseconds.
        interval_ms: u64,
    },
}

/// A kind of fault or operator action.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FaultKind {
    /// A proxy injects a fault into a link.
    Link(Link, LinkFault),
    /// An instance is killed, and restarted at the fault's end.
    KillDaemon(usize),
    /// All instances are killed at once, and restarted at the fault's end.
    KillAllDaemons,
    /// An instance is paused until the fault's end.
    FreezeDaemon(usize),
    /// An instance is asked to stop, and restarted at the fault's end.
    StopDaemon(usize),
    /// All instances are asked to stop at once, and restarted at the fault's end.
    StopAllDaemons,
    /// An instance reloads changed settings.
    ReloadDaemon(usize),
    /// A server is killed; its record expires, and a new server starts at the fault's end.
    KillServer(usize),
    /// A server is paused until the fault's end.
    FreezeServer(usize),
    /// A server leaves gracefully, and a new server starts at the fault's end.
    RetireServer(usize),
    /// A server repeats its record, which is deleted without a notice in the middle of the fault. The server serves on for
    /// a while, and a new one starts.
    LeaveUnannounced(usize),
    /// A server drains and reports it only in its answers, until its record is removed at the fault's end.
    DrainByAnswers(usize),
    /// A server's record is missing until the fault's end, although the server serves requests.
    HideServer(usize),
    /// A server leaves gracefully, and a new server of the given software version starts at the fault's end.
    ReleaseServer(usize, u32),
    /// A server is killed and starts again under its id and address, at the given software version; its record follows
    /// later.
    RestartServer(usize, u32),
    /// A server's answers are faulty.
    ServerAnswers(usize, AnswerFault),
    /// All servers of a service, of the one that answers streams or of the other, answer with errors.
    ServiceFails {
        /// Whether the service is the one that answers streams.
        is_engine: bool,
    },
    /// Requests come whose prompts have a segment that ends each engine which begins to answer them, one in the given
    /// milliseconds.
    PoisonSegment(u64),
    /// The same, with engines that end at a given moment of the answer.
    PoisonSegmentAt {
        /// Time between two requests, in milliseconds.
        interval_ms: u64,
        /// When the engines end.
        engine_end: EngineEnd,
    },
    /// The store refuses every call.
    StoreRefuses,
    /// The store delays its answers by the given milliseconds.
    StoreSlow(u64),
    /// Every nth answer of the store is lost.
    StoreLoses(u64),
    /// The store drops all but the newest records.
    StoreForgets,
    /// The store is restored from a copy that lacks the given number of last records of each topic; they are
    /// written again at the fault's end.
    StoreGoesBack(usize),
    /// A new version of the configuration is written.
    Configure,
    /// A key is revoked and replaced by a new one.
    ReplaceKey,
    /// Versions whose table of workspaces is empty are written until the fault's end, so that no key is valid.
    EmptyWorkspaces,
}

impl FaultKind {
    /// Returns the name under which reports count the fault.
    pub fn name(self) -> &'static str {
        match self {
            Self::Link(_, LinkFault::Delay(_)) => "link delayed",
            Self::Link(_, LinkFault::Reset) => "link reset",
            Self::Link(_, LinkFault::LoseRequests) => "link cut towards the server",
            Self::Link(_, LinkFault::LoseAnswers) => "link cut towards the client",
            Self::Link(_, LinkFault::HoldAnswers) => "answers late",
            Self::Link(_, LinkFault::Silence) => "link silent",
            Self::Link(_, LinkFault::CutTails) => "answers cut off",
            Self::KillDaemon(_) => "daemon killed",
            Self::KillAllDaemons => "all daemons killed",
            Self::FreezeDaemon(_) => "daemon paused",
            Self::StopDaemon(_) => "daemon stopped as planned",
            Self::StopAllDaemons => "all daemons stopped as planned",
            Self::ReloadDaemon(_) => "daemon's settings changed",
            Self::KillServer(_) => "server killed",
            Self::FreezeServer(_) => "server paused",
            Self::RetireServer(_) => "server leaving",
            Self::LeaveUnannounced(_) => "server leaving unannounced",
            Self::ReleaseServer(..) => "server released",
            Self::RestartServer(..) => "server started again under its id",
            Self::HideServer(_) => "server's record missing",
            Self::DrainByAnswers(_) => "server draining by its answers",
            Self::ServerAnswers(_, AnswerFault::Busy(_)) => "server asking for time",
            Self::ServerAnswers(_, _) => "server answering wrongly",
            Self::ServiceFails { .. } => "service failing",
            Self::PoisonSegment(_) | Self::PoisonSegmentAt { .. } => "segment that ends servers",
            Self::StoreRefuses => "store down",
            Self::StoreSlow(_) => "store slow",
            Self::StoreLoses(_) => "store losing answers",
            Self::StoreForgets => "store forgetting history",
            Self::StoreGoesBack(_) => "store back from a copy",
            Self::Configure => "configuration changed",
            Self::ReplaceKey => "key taken away",
            Self::EmptyWorkspaces => "all workspaces taken away",
        }
    }
}

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Start time, in milliseconds since the start of the soak.
    pub at_ms: u64,
    /// Duration in milliseconds.
    pub for_ms: u64,
    /// Kind of fault.
    pub kind: FaultKind,
}

/// The schedule of a soak.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Random seed of the schedule.
    pub seed: u64,
    /// How long callers send requests, in milliseconds.
    pub for_ms: u64,
    /// Number of instances.
    pub daemons: usize,
    /// Number of backend servers that answer streams.
    pub engines: usize,
    /// Number of backend servers that answer plain requests.
    pub plain_servers: usize,
    /// The software version of each engine at the start; engines beyond its length run version 1.
    #[serde(default)]
    pub engine_versions: Vec<u32>,
    /// The faults, sorted by start time.
    pub faults: Vec<Fault>,
    /// Why a stored schedule failed; empty for a newly drawn one.
    #[serde(default)]
    pub cause: String,
}

impl Schedule {
    /// Returns the number of backend servers.
    pub fn servers(&self) -> usize {
        self.engines + self.plain_servers
    }
}
