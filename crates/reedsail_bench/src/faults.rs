//! Fault scripts: the faults injected during a replay, their times, and the outcomes that they excuse.

use std::sync::atomic::Ordering;

use anyhow::Context as _;
use reedsail_document::Fault;
use reedsail_document::Mapping;
use reedsail_document::Value;
use reedsail_document::read_document;

use crate::Fleet;
use crate::Outcome;

/// The start or the end of a fault.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultAction {
    /// Cuts the network between two parties or failure domains.
    Cut(String, String),
    /// Restores the network between them.
    Mend(String, String),
    /// Kills an instance without warning.
    KillDaemon(String),
    /// Starts an instance without state.
    StartDaemon(String),
    /// Freezes the control thread of an instance (`true`), or resumes it.
    FreezeDaemon(String, bool),
    /// Makes the platform reject every call (`true`), or none.
    PlatformOutage(bool),
    /// Delays each call to the platform by this many milliseconds.
    PlatformDelay(u64),
    /// Drops the answers of this ratio of appends; the appends take effect.
    LoseAppendAnswers(f64),
    /// Freezes the instance list (`true`), or resumes its updates.
    FreezeList(bool),
    /// Expires every record of the log.
    AgeOutLog,
    /// Breaks all connections of a backend server.
    CrashServer(String),
    /// Makes an engine cut streams after this many tokens; zero disables it.
    CutStreams(String, u64),
    /// Makes a plain backend server run this many calls without an answer.
    LoseAnswers(String, u64),
    /// Makes a plain backend server answer this many calls with the id of another call.
    CrossAnswers(String, u64),
    /// Makes a plain backend server truncate this many bodies.
    ShortAnswers(String, u64),
    /// Makes two operators publish conflicting successors of the version in force.
    PublishRivals,
}

/// An outcome that the faults excuse, for requests sent within a time span.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Excuse {
    /// An error kind, or `lost` for a broken connection.
    pub outcome: String,
    /// The instance whose callers are excused; `None` for all instances.
    pub daemon: Option<String>,
    /// Start of the time span.
    pub from_ms: u64,
    /// End of the time span, inclusive.
    pub to_ms: u64,
}

/// A fault script.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FaultScript {
    /// The actions with their times in milliseconds, sorted by time.
    pub actions: Vec<(u64, FaultAction)>,
    /// The excused outcomes.
    pub excuses: Vec<Excuse>,
}

impl FaultScript {
    /// Parses a fault script.
    ///
    /// # Errors
    /// Returns every fault of the document.
    pub fn read(text: &str) -> Result<Self, Vec<Fault>> {
        read_document(text, |top| {
            let mut actions = Vec::new();
            for value in top.required("faults")?.list() {
                let Some(mut mapping) = value.mapping() else {
                    continue;
                };
                let at_ms = mapping.required("at_ms").and_then(|at| at.number(0..=600_000));
                let action = read_action(&mut mapping);
                mapping.close();
                if let (Some(at_ms), Some(action)) = (at_ms, action) {
                    actions.push((at_ms, action));
                }
            }
            let mut excuses = Vec::new();
            for value in top
                .optional("excused")
                .map(|value| value.list())
                .unwrap_or_default()
            {
                let Some(mut mapping) = value.mapping() else {
                    continue;
                };
                let excuse = read_excuse(&mut mapping);
                mapping.close();
                excuses.extend(excuse);
            }
            actions.sort_by_key(|(at_ms, _)| *at_ms);
            Some(Self { actions, excuses })
        })
    }

    /// Merges two scripts that run at the same time.
    #[must_use]
    pub fn join(mut self, other: Self) -> Self {
        self.actions.extend(other.actions);
        self.excuses.extend(other.excuses);
        self.actions.sort_by_key(|(at_ms, _)| *at_ms);
        self
    }

    /// Returns whether the faults excuse an outcome.
    pub fn excuses(&self, outcome: &Outcome, daemon: &str, sent_ms: u64) -> bool {
        let name = match outcome {
            Outcome::Failed { kind, .. } => kind.as_str(),
            Outcome::Lost(_) => "lost",
            Outcome::Answered | Outcome::Crossed => return false,
        };
        self.excuses.iter().any(|excuse| {
            excuse.outcome == name
                && excuse.daemon.as_deref().is_none_or(|excused| excused == daemon)
                && (excuse.from_ms..=excuse.to_ms).contains(&sent_ms)
        })
    }
}

fn read_excuse(mapping: &mut Mapping<'_>) -> Option<Excuse> {
    let outcome = mapping.required("outcome").and_then(|value| value.name());
    let daemon = mapping.optional("daemon").and_then(|value| value.name());
    let from_ms = mapping
        .required("from_ms")
        .and_then(|value| value.number(0..=600_000));
    let to_ms = mapping
        .required("to_ms")
        .and_then(|value| value.number(0..=600_000));
    Some(Excuse {
        outcome: outcome?,
        daemon,
        from_ms: from_ms?,
        to_ms: to_ms?,
    })
}

fn read_action(mapping: &mut Mapping<'_>) -> Option<FaultAction> {
    let kind = mapping.required("fault")?;
    let name =
        |mapping: &mut Mapping<'_>, key: &'static str| mapping.required(key).and_then(|value| value.name());
    let count = |mapping: &mut Mapping<'_>, key: &'static str| {
        mapping
            .required(key)
            .and_then(|value| value.number(0..=1_000_000u64))
    };
    let on = |mapping: &mut Mapping<'_>| mapping.required("on").and_then(|value| value.flag());
    let text = kind.text()?;
    Some(match text.as_str() {
        "cut" => {
            let (one, other) = read_pair(mapping)?;
            FaultAction::Cut(one, other)
        }
        "mend" => {
            let (one, other) = read_pair(mapping)?;
            FaultAction::Mend(one, other)
        }
        "kill_daemon" => FaultAction::KillDaemon(name(mapping, "daemon")?),
        "start_daemon" => FaultAction::StartDaemon(name(mapping, "daemon")?),
        "freeze_daemon" => FaultAction::FreezeDaemon(name(mapping, "daemon")?, on(mapping)?),
        "platform_outage" => FaultAction::PlatformOutage(on(mapping)?),
        "platform_delay" => FaultAction::PlatformDelay(count(mapping, "delay_ms")?),
        "lose_append_answers" => {
            let ratio = mapping
                .required("ratio")
                .and_then(|value| value.number(0.0..=1.0));
            FaultAction::LoseAppendAnswers(ratio?)
        }
        "freeze_list" => FaultAction::FreezeList(on(mapping)?),
        "age_out_log" => FaultAction::AgeOutLog,
        "crash_server" => FaultAction::CrashServer(name(mapping, "server")?),
        "cut_streams" => FaultAction::CutStreams(name(mapping, "server")?, count(mapping, "after_tokens")?),
        "lose_answers" => FaultAction::LoseAnswers(name(mapping, "server")?, count(mapping, "times")?),
        "cross_answers" => FaultAction::CrossAnswers(name(mapping, "server")?, count(mapping, "times")?),
        "short_answers" => FaultAction::ShortAnswers(name(mapping, "server")?, count(mapping, "times")?),
        "publish_rivals" => FaultAction::PublishRivals,
        other => {
            kind.fault(format!(
                "unknown fault `{other}`; see docs/FAULTS.md for the known ones"
            ));
            return None;
        }
    })
}

fn read_pair(mapping: &mut Mapping<'_>) -> Option<(String, String)> {
    let between: Value<'_> = mapping.required("between")?;
    let names: Vec<Option<String>> = between.list().iter().map(Value::name).collect();
    if let [Some(one), Some(other)] = names.as_slice() {
        return Some((one.clone(), other.clone()));
    }
    between.fault("must be a list of two names");
    None
}

impl FaultAction {
    /// Applies the action to the fleet.
    ///
    /// # Errors
    /// The instance or backend server is unknown, or the action fails.
    pub async fn apply(&self, fleet: &mut Fleet) -> anyhow::Result<()> {
        match self {
            Self::Cut(one, other) => fleet.gate.cut(one, other),
            Self::Mend(one, other) => fleet.gate.heal(one, other),
            Self::KillDaemon(daemon) => fleet.kill_daemon(daemon),
            Self::StartDaemon(daemon) => fleet.start_daemon(daemon).await?,
            Self::FreezeDaemon(daemon, on) => fleet.gate.freeze(daemon, *on),
            Self::PlatformOutage(on) => fleet.platform.set_faults(|faults| faults.outage = *on),
            Self::PlatformDelay(delay_ms) => fleet.platform.set_faults(|faults| faults.delay_ms = *delay_ms),
            Self::LoseAppendAnswers(ratio) => {
                fleet
                    .platform
                    .set_faults(|faults| faults.lost_answer_ratio = *ratio);
            }
            Self::FreezeList(on) => fleet.platform.set_faults(|faults| faults.list_frozen = *on),
            Self::AgeOutLog => fleet.platform.age_out(),
            Self::CrashServer(server) => match fleet.engines.get(server) {
                Some(engine) => engine.crash(),
                None => find_plain_server(fleet, server)?.crash(),
            },
            Self::CutStreams(server, tokens) => {
                let engine = fleet
                    .engines
                    .get(server)
                    .with_context(|| format!("unknown engine `{server}`; check the fault script"))?;
                engine.faults().cut_after_tokens.store(*tokens, Ordering::Relaxed);
            }
            Self::LoseAnswers(server, times) => {
                find_plain_server(fleet, server)?.set_faults(|faults| faults.answers_lost = *times as u32);
            }
            Self::CrossAnswers(server, times) => {
                find_plain_server(fleet, server)?.set_faults(|faults| faults.answers_crossed = *times as u32);
            }
            Self::ShortAnswers(server, times) => {
                find_plain_server(fleet, server)?.set_faults(|faults| faults.answers_short = *times as u32);
            }
            Self::PublishRivals => fleet.publish_rivals().await?,
        }
        Ok(())
    }
}

fn find_plain_server<'a>(
    fleet: &'a Fleet,
    server: &str,
) -> anyhow::Result<&'a reedsail_standin::PlainStandin> {
    fleet
        .plains
        .get(server)
        .with_context(|| format!("unknown plain backend server `{server}`; check the fault script"))
}
