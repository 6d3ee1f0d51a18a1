//! Replays recorded traces against a fleet on loopback, checks the outcomes and measures fairness,
//! utilisation and latency.
//!
//! The stand-ins and the instances run in one process. Each instance has its own threads.

mod caller;
mod checker;
mod compare;
mod fairness;
mod faults;
mod fleet;
mod plot;
mod replay;
mod report;
mod sampler;
mod setup;
mod trace;
mod trace_maker;

pub use caller::Caller;
pub use caller::Outcome;
pub use caller::RequestPlan;
pub use checker::CallerRecord;
pub use checker::PromiseCheck;
pub use checker::ReplayRecord;
pub use checker::check_promises;
pub use compare::compare_policies;
pub use fairness::FairnessFigures;
pub use fairness::measure_fairness;
pub use faults::FaultScript;
pub use fleet::Fleet;
pub use plot::service_plot;
pub use replay::replay_trace;
pub use report::LatencyFigures;
pub use report::ReplayReport;
pub use sampler::Sample;
pub use setup::BundleChangePlan;
pub use setup::DaemonSetup;
pub use setup::FleetSetup;
pub use setup::ServiceSetup;
pub use setup::WorkspacePlan;
pub use trace::Expectation;
pub use trace::Trace;
pub use trace::TraceLine;
pub use trace_maker::make_trace;
