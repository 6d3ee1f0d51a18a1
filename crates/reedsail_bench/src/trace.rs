//! Recorded traces: the setup of a fleet, then the actions of callers and operators. Each request
//! has its expected outcome.

use anyhow::Context as _;
use serde::Deserialize;
use serde::Serialize;

use crate::FleetSetup;
use crate::setup::BundleChangePlan;

/// The expected outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expectation {
    /// A complete answer to this request.
    Answered,
    /// A rejection with this error kind; the request did not run.
    NotRun(String),
    /// An answer with this error kind, because an earlier call used the same idempotency key.
    Earlier(String),
    /// A complete answer, or a failure with one of these error kinds. For requests during a fault.
    AnsweredOr(Vec<String>),
}

/// One line of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum TraceLine {
    /// The setup of the fleet; the first line of a trace.
    Setup {
        /// The seed of the random generator.
        seed: u64,
        /// The fleet.
        fleet: FleetSetup,
    },
    /// A chat request.
    Chat {
        /// The time at which it is sent.
        at_ms: u64,
        /// The instance to which the load balancer sends it.
        daemon: String,
        /// The workspace whose key it has. An unknown workspace yields an unknown key.
        workspace: String,
        /// The model.
        model: String,
        /// `interactive` or `batch`.
        class: String,
        /// Tokens to generate.
        tokens: u64,
        /// Whether it requests a streamed answer.
        stream: bool,
        /// The prompt group; prompts of one group share a prefix.
        group: String,
        /// Its expected outcome.
        expect: Expectation,
    },
    /// A request to a plain service.
    Plain {
        /// The time at which it is sent.
        at_ms: u64,
        /// The instance to which the load balancer sends it.
        daemon: String,
        /// The workspace whose key it has.
        workspace: String,
        /// The method.
        method: String,
        /// The path.
        path: String,
        /// A label for the idempotency key; lines with the same label share a key.
        key: Option<String>,
        /// Its expected outcome.
        expect: Expectation,
    },
    /// An operator publishes the successor of the bundle in force.
    Publish {
        /// The time at which it is published.
        at_ms: u64,
        /// The change.
        change: BundleChangePlan,
    },
    /// A backend server is marked as leaving in the platform's list.
    Leave {
        /// The time at which the list changes. Readers see the change after the list's lag.
        at_ms: u64,
        /// The backend server.
        server: String,
    },
}

impl TraceLine {
    /// Returns the time at which the line is due; 0 for the setup.
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
    /// The seed of the random generator.
    pub seed: u64,
    /// The fleet.
    pub fleet: FleetSetup,
    /// The lines after the setup, sorted by time.
    pub lines: Vec<TraceLine>,
}

impl Trace {
    /// Parses a trace with one JSON object per line.
    ///
    /// # Errors
    /// A line is invalid, the trace is empty, or the setup is missing.
    pub fn parse(text: &str) -> anyhow::Result<Self> {
        let mut lines = Vec::new();
        for (index, line) in text.lines().enumerate() {
            let parsed = serde_json::from_str(line)
                .with_context(|| format!("invalid line {} of the trace", index + 1))?;
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

    /// Formats the trace with one JSON object per line.
    pub fn to_text(&self) -> String {
        let setup = TraceLine::Setup {
            seed: self.seed,
            fleet: self.fleet.clone(),
        };
        let mut text = String::new();
        for line in std::iter::once(&setup).chain(&self.lines) {
            text.push_str(&serde_json::to_string(line).expect("a trace line always serialises to JSON"));
            text.push('\n');
        }
        text
    }
}
