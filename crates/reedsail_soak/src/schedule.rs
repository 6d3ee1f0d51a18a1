//! What a soak does, moment by moment; kept as JSON so that it can be played again.

use serde::Deserialize;
use serde::Serialize;

/// A connection on which a loopback proxy sits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Link {
    /// Between callers and a daemon.
    Callers(usize),
    /// Between a daemon and the store.
    Store(usize),
    /// Between daemons and a backend server.
    Server(usize),
}

/// What a proxy does to a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkFault {
    /// Every piece comes later, by so many milliseconds.
    Delay(u64),
    /// Open connections are reset, and so are new ones.
    Reset,
    /// What the client sends is lost.
    LoseRequests,
    /// What the server sends is lost.
    LoseAnswers,
    /// Nothing comes through until the fault ends.
    Silence,
    /// The next answers are cut off in the middle.
    CutTails,
}

/// How a backend server answers while it is faulty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerFault {
    /// With an error, after it ran the request.
    Error,
    /// Late, by so many milliseconds.
    Slow(u64),
    /// Never.
    Hang,
    /// With less than it announced.
    Short,
    /// With the answer to another request.
    WrongId,
    /// That it did not run the request.
    NotRun,
    /// That it did not run the request, and wants nothing for so many milliseconds.
    Busy(u64),
    /// As it should, and that it drains.
    Draining,
    /// By breaking the connection in the middle.
    Break,
}

/// Something that is done to the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FaultKind {
    /// A proxy disturbs a link.
    Link(Link, LinkFault),
    /// A daemon is killed, and started again at the fault's end.
    KillDaemon(usize),
    /// A daemon is paused until the fault's end.
    FreezeDaemon(usize),
    /// A daemon is asked to stop, and started again at the fault's end.
    StopDaemon(usize),
    /// A daemon reads changed settings.
    ReloadDaemon(usize),
    /// A server is killed; its record lapses, and another one comes at the fault's end.
    KillServer(usize),
    /// A server is paused until the fault's end.
    FreezeServer(usize),
    /// A server leaves in an orderly way, and another one comes at the fault's end.
    RetireServer(usize),
    /// A server drains and says so in its answers alone, until its record goes with it at the fault's end.
    DrainByAnswers(usize),
    /// A server's record is gone until the fault's end, though it serves.
    HideServer(usize),
    /// A server answers wrongly.
    ServerAnswers(usize, AnswerFault),
    /// The store refuses every call.
    StoreRefuses,
    /// The store answers late, by so many milliseconds.
    StoreSlow(u64),
    /// Every so manyth answer of the store is lost.
    StoreLoses(u64),
    /// The store forgets all but the newest records.
    StoreForgets,
    /// The store comes back from a copy that lacks so many of the last records of each topic, which are written again
    /// at the fault's end.
    StoreGoesBack(usize),
    /// The operators write a new version of the configuration.
    Configure,
    /// The operators take a key away and give another one.
    ReplaceKey,
}

impl FaultKind {
    /// Returns the name under which reports count it.
    pub fn name(self) -> &'static str {
        match self {
            Self::Link(_, LinkFault::Delay(_)) => "link delayed",
            Self::Link(_, LinkFault::Reset) => "link reset",
            Self::Link(_, LinkFault::LoseRequests) => "link cut towards the server",
            Self::Link(_, LinkFault::LoseAnswers) => "link cut towards the client",
            Self::Link(_, LinkFault::Silence) => "link silent",
            Self::Link(_, LinkFault::CutTails) => "answers cut off",
            Self::KillDaemon(_) => "daemon killed",
            Self::FreezeDaemon(_) => "daemon paused",
            Self::StopDaemon(_) => "daemon stopped as planned",
            Self::ReloadDaemon(_) => "daemon's settings changed",
            Self::KillServer(_) => "server killed",
            Self::FreezeServer(_) => "server paused",
            Self::RetireServer(_) => "server leaving",
            Self::HideServer(_) => "server's record missing",
            Self::DrainByAnswers(_) => "server draining by its answers",
            Self::ServerAnswers(_, AnswerFault::Busy(_)) => "server asking for time",
            Self::ServerAnswers(_, _) => "server answering wrongly",
            Self::StoreRefuses => "store down",
            Self::StoreSlow(_) => "store slow",
            Self::StoreLoses(_) => "store losing answers",
            Self::StoreForgets => "store forgetting history",
            Self::StoreGoesBack(_) => "store back from a copy",
            Self::Configure => "configuration changed",
            Self::ReplaceKey => "key taken away",
        }
    }
}

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// When it begins, in milliseconds from the start.
    pub at_ms: u64,
    /// How long it lasts.
    pub for_ms: u64,
    /// What is done.
    pub kind: FaultKind,
}

/// A whole soak.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// What it was drawn from.
    pub seed: u64,
    /// How long callers ask, in milliseconds.
    pub for_ms: u64,
    /// How many daemons run.
    pub daemons: usize,
    /// How many backend servers answer streams.
    pub engines: usize,
    /// How many backend servers answer plain requests.
    pub plain_servers: usize,
    /// The faults, by their begin.
    pub faults: Vec<Fault>,
    /// Why a kept schedule once failed; empty for a fresh one.
    #[serde(default)]
    pub cause: String,
}

impl Schedule {
    /// Returns how many backend servers run.
    pub fn servers(&self) -> usize {
        self.engines + self.plain_servers
    }
}
