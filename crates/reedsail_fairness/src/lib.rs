//! Measures how near each workspace came to getting far less than its share, from what it requested and what servers
//! began for it.
//!
//! Pure: the observer of a fleet (the reader of log lines, a simulation, the soak's servers) fills a [`ShareLedger`]
//! and reads the worst [`ShareWindow`] of each workspace. All observers use the same measure, so that a figure of a
//! simulated fleet compares with one of a real fleet.

mod share_ledger;
mod share_window;

pub use share_ledger::ShareLedger;
pub use share_window::ShareWindow;
pub use share_window::WINDOW_S;
