//! How near each workspace came to getting far less than its share, from what it requested and what was begun
//! for it.
//!
//! Pure: whoever watches a fleet (its log lines, a simulation, the soak's servers) fills a [`ShareLedger`] and
//! reads the worst [`ShareWindow`] of each workspace. One measure for all of them, so that a figure of a
//! simulated fleet compares with one of a real one.

mod share_ledger;
mod share_window;

pub use share_ledger::ShareLedger;
pub use share_window::ShareWindow;
pub use share_window::WINDOW_S;
