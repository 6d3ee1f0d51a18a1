//! Numbered log events with a logical clock. The clock orders the events of all processes such that a cause
//! precedes its effects.
//!
//! Owns the fixed list of event kinds, the budget of lines per second, and the thread that writes lines.

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
pub use line_sink::LineSinkCloser;
pub use merge::merge_events;
