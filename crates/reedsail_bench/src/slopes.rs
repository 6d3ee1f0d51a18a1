//! Drives the decision crate at growing sizes and reports what each costs, as slopes.

use serde::Deserialize;
use serde::Serialize;

/// What was measured.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SlopesReport {
    /// The points.
    pub points: Vec<String>,
}

/// Measures.
pub fn measure_slopes(progress: impl Fn(&str)) -> SlopesReport {
    progress("to come");
    SlopesReport::default()
}
