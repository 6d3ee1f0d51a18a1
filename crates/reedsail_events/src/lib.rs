//! Numbered log events with a logical clock, so that those of all processes can be put into one order in
//! which a cause comes before its effect.
//!
//! Owns the closed list of events, the budget of lines a second, and the thread that writes lines.

mod chrome_trace;
mod event;
mod event_kind;
mod event_log;
mod line_budget;
mod line_sink;
mod merge;

pub use chrome_trace::chrome_trace;
pub use event::Event;
pub use event_kind::EventKind;
pub use event_log::EventLog;
pub use line_sink::LineSink;
pub use line_sink::LineSinkEnd;
pub use merge::merge_events;
