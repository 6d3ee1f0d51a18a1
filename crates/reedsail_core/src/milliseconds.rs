//! The form that durations have in external records.

use serde::Deserialize;

/// A duration in milliseconds. In a record, it is a non-negative number; a fraction is rounded up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(try_from = "f64")]
pub struct Milliseconds(pub u64);

impl TryFrom<f64> for Milliseconds {
    type Error = String;

    fn try_from(ms: f64) -> Result<Self, Self::Error> {
        if ms.is_finite() && ms >= 0.0 {
            Ok(Self(ms.ceil() as u64))
        } else {
            Err(format!(
                "invalid duration {ms}; write a non-negative number of milliseconds"
            ))
        }
    }
}
