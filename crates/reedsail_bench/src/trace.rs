//! Recorded traces: a fleet, then what callers and operators did, each line with its outcome.

use anyhow::Context as _;
use serde::Deserialize;
use serde::Serialize;

use crate::FleetSetup;
use crate::setup::BundleChangePlan;

/// What is to come of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expectation {
    /// It is answered, whole and with its own answer.
    Answered,
    /// It is refused with this error kind, and did not run.
    NotRun(String),
    /// It is answered with this error kind, which says that an earlier call had its key.
    Earlier(String),
    /// It is answered, or ends with one of these error kinds; for lines that meet faults.
    AnsweredOr(Vec<String>),
}

/// One line of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum TraceLine {
    /// The fleet; the first line.
    Setup {
        /// The seed of whatever is drawn at random.
        seed: u64,
        /// The fleet.
        fleet: FleetSetup,
    },
    /// A chat request.
    Chat {
        /// When it is sent.
        at_ms: u64,
        /// The daemon that the balancer gives it to.
        daemon: String,
        /// The workspace whose key it carries; an unknown one has an unknown key.
        workspace: String,
        /// The model.
        model: String,
        /// `interactive` or `batch`.
        class: String,
        /// Tokens to generate.
        tokens: u64,
        /// Whether the answer is wanted as a stream.
        stream: bool,
        /// Prompts of one group share their beginning.
        group: String,
        /// What is to come of it.
        expect: Expectation,
    },
    /// A request to a plain service.
    Plain {
        /// When it is sent.
        at_ms: u64,
        /// The daemon that the balancer gives it to.
        daemon: String,
        /// The workspace whose key it carries.
        workspace: String,
        /// The method.
        method: String,
        /// The path.
        path: String,
        /// A label from which the idempotency key is made; lines with one label share the key.
        key: Option<String>,
        /// What is to come of it.
        expect: Expectation,
    },
    /// An operator publishes the successor of the bundle in force.
    Publish {
        /// When it is published.
        at_ms: u64,
        /// What changes.
        change: BundleChangePlan,
    },
    /// A backend server is marked as leaving in the platform's list.
    Leave {
        /// When the list is changed; it shows after its lag.
        at_ms: u64,
        /// The backend server.
        server: String,
    },
}

impl TraceLine {
    /// Returns when the line is due; the setup comes before everything.
    pub fn at_ms(&self) -> u64 {
        match self {
            Self::Setup { .. } => 0,
            Self::Chat { at_ms, .. }
            | Self::Plain { at_ms, .. }
            | Self::Publish { at_ms, .. }
            | Self::Leave { at_ms, .. } => *at_ms,
        }
    }
}

/// A whole trace.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// The seed of whatever is drawn at random.
    pub seed: u64,
    /// The fleet.
    pub fleet: FleetSetup,
    /// What happens, in the order of time.
    pub lines: Vec<TraceLine>,
}

impl Trace {
    /// Reads a trace, one JSON object a line.
    ///
    /// # Errors
    /// Names the line that cannot be read, or says that the setup is missing.
    pub fn parse(text: &str) -> anyhow::Result<Self> {
        let mut lines = Vec::new();
        for (index, line) in text.lines().enumerate() {
            let parsed =
                serde_json::from_str(line).with_context(|| format!("line {} of the trace", index + 1))?;
            lines.push(parsed);
        }
        if lines.is_empty() {
            anyhow::bail!("the trace is empty");
        }
        let TraceLine::Setup { seed, fleet } = lines.remove(0) else {
            anyhow::bail!("line 1 of the trace must have kind `setup`");
        };
        lines.sort_by_key(TraceLine::at_ms);
        Ok(Self { seed, fleet, lines })
    }

    /// Writes the trace, one JSON object a line.
    pub fn to_text(&self) -> String {
        let setup = TraceLine::Setup {
            seed: self.seed,
            fleet: self.fleet.clone(),
        };
        let mut text = String::new();
        for line in std::iter::once(&setup).chain(&self.lines) {
            text.push_str(&serde_json::to_string(line).expect("a line is always JSON"));
            text.push('\n');
        }
        text
    }
}
