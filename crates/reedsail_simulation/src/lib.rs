//! A simulated fleet: many instances with the real dispatch code, simulated engines and callers, simulated time, and
//! no sockets.
//!
//! A [`Scenario`] describes the fleet and the load of each workspace. [`simulate`] runs it and returns the cost
//! that engines began for each workspace. The same scenario always gives the same outcome. Decisions, load sums
//! and their effect on decisions are real. The network (a delay), the engines (slots, a prefill unit and a cache)
//! and the callers are simulated. The simulation tests policies whose effect shows only under the load of many
//! workspaces. The tests of `reedsail_gossip` check that messages reach all instances.
//!
//! A [`CrashScenario`] describes servers that end, with or without a request as the cause. [`simulate_crashes`]
//! runs it and returns what instances learned about the ends from each other.
//!
//! A [`StreamScenario`] describes streams and instances that are killed. [`simulate_streams`] runs it and returns which
//! of the streams' software versions were still known, and the bytes that this cost.
//!
//! A [`RetryScenario`] describes servers that fail while instances restart and are partitioned. [`simulate_retries`] runs
//! it and returns which retries were made, and how near they came to the bound of the fleet.

mod callers;
mod crash_event;
mod crash_fleet;
mod crash_requests;
mod crash_run;
mod crash_scenario;
mod engine;
mod event_queue;
mod exchange;
mod fleet;
mod outcome;
mod requests;
mod retry_fleet;
mod retry_limit;
mod retry_scenario;
mod scenario;
mod sliding_window;
mod stream_fleet;
mod stream_scenario;
mod window_before;

pub use crash_fleet::simulate_crashes;
pub use crash_scenario::CrashOutcome;
pub use crash_scenario::CrashScenario;
pub use crash_scenario::EndMoment;
pub use crash_scenario::MassCrash;
pub use crash_scenario::NetworkPartition;
pub use crash_scenario::PROPAGATION_MAX_MS;
pub use crash_scenario::PoisonCause;
pub use crash_scenario::PoisonOutcome;
pub use crash_scenario::PoisonPlan;
pub use crash_scenario::QUARANTINE_DEADLINE_MS;
pub use fleet::simulate;
pub use outcome::ArrivalRow;
pub use outcome::DecisionRow;
pub use outcome::NoticeRow;
pub use outcome::Outcome;
pub use outcome::WorkspaceOutcome;
pub use retry_fleet::simulate_retries;
pub use retry_scenario::Failing;
pub use retry_scenario::FailureMode;
pub use retry_scenario::Partition;
pub use retry_scenario::Restart;
pub use retry_scenario::RetryDesign;
pub use retry_scenario::RetryOutcome;
pub use retry_scenario::RetryScenario;
pub use scenario::Draining;
pub use scenario::EngineSpeed;
pub use scenario::Flood;
pub use scenario::PromptKind;
pub use scenario::Scenario;
pub use scenario::Shedding;
pub use scenario::WorkspacePlan;
pub use stream_fleet::simulate_streams;
pub use stream_scenario::RowSpread;
pub use stream_scenario::StreamOutcome;
pub use stream_scenario::StreamScenario;
