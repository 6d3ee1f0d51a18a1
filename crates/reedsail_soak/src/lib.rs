//! The fault soak: runs the real router as processes on loopback, disturbs them from outside, and
//! checks what callers and backend servers see; see docs/SOAK.md.

mod caller;
mod checker;
mod daemon;
mod draw;
mod fleet;
mod history;
mod layout;
mod player;
mod prober;
mod process;
mod proxy;
mod report;
mod schedule;
mod server;
mod server_program;
mod soak;
mod soak_clock;
mod store_program;

pub use checker::Violation;
pub use checker::check;
pub use draw::draw_schedule;
pub use history::Attempt;
pub use history::CallKind;
pub use history::Departure;
pub use history::Exit;
pub use history::FaultSpan;
pub use history::History;
pub use history::Outcome;
pub use history::Probe;
pub use history::Run;
pub use history::Target;
pub use history::VersionWrite;
pub use report::SoakReport;
pub use schedule::AnswerFault;
pub use schedule::Fault;
pub use schedule::FaultKind;
pub use schedule::Link;
pub use schedule::LinkFault;
pub use schedule::Schedule;
pub use server_program::run_server;
pub use soak::Programs;
pub use soak::run_soak;
pub use store_program::run_store;
