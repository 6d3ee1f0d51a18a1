//! A simulated fleet: the router's own decisions on many instances, before simulated engines and callers, in
//! simulated time and without sockets.
//!
//! A [`Scenario`] says what there is and who asks for how much; [`simulate`] plays it and returns what each
//! workspace got. The same scenario gives the same outcome. What is real: decisions, sums of load and their
//! way into the decisions. What is simulated: the network (a delay), engines (a slot, a prefill unit, a
//! cache) and callers. It is for policies that only show under load of many workspaces; whether messages
//! reach everyone is tested in `reedsail_gossip`.
//!
//! A [`CrashScenario`] is about something else: servers that end, with or without a request's doing, and what
//! instances learn of it from each other. [`simulate_crashes`] plays it.

mod callers;
mod crash_fleet;
mod crash_scenario;
mod engine;
mod event_queue;
mod exchange;
mod fleet;
mod outcome;
mod requests;
mod scenario;

pub use crash_fleet::simulate_crashes;
pub use crash_scenario::CONTACT_MS;
pub use crash_scenario::CrashOutcome;
pub use crash_scenario::CrashScenario;
pub use crash_scenario::Cut;
pub use crash_scenario::MassCrash;
pub use crash_scenario::NEWS_MS;
pub use crash_scenario::PoisonOutcome;
pub use crash_scenario::PoisonPlan;
pub use fleet::simulate;
pub use outcome::ArrivalRow;
pub use outcome::DecisionRow;
pub use outcome::NoticeRow;
pub use outcome::Outcome;
pub use outcome::WorkspaceOutcome;
pub use scenario::Draining;
pub use scenario::EngineSpeed;
pub use scenario::Flood;
pub use scenario::PromptKind;
pub use scenario::Scenario;
pub use scenario::Shedding;
pub use scenario::WorkspacePlan;
