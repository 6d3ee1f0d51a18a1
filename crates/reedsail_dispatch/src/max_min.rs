//! Max-min fair division: no claimant gets more while another one that requested it gets less.
//!
//! Used by `fair_share` and `pacing`; tested by `tests/shares.rs`.

/// Ratio of the total requested to the capacity above which the capacity counts as scarce.
const SCARCITY_MARGIN: f64 = 1.03;

/// Divides `capacity` max-min among claimants by the amounts that they `requested`, in the same unit. Returns
/// the most that a claimant gets, or infinity if there is enough for all. Sorts `requested`.
pub fn max_min_level(requested: &mut [f64], capacity: f64) -> f64 {
    let total: f64 = requested.iter().sum();
    if total <= capacity * SCARCITY_MARGIN {
        return f64::INFINITY;
    }
    requested.sort_by(f64::total_cmp);
    level_of_sorted(requested, capacity)
}

/// Returns the max-min level of amounts in ascending order, without a scarcity margin.
pub(crate) fn level_of_sorted(requested: &[f64], capacity: f64) -> f64 {
    let mut remaining = capacity;
    let mut claimants = requested.len() as f64;
    for requested in requested {
        let level = remaining / claimants;
        if *requested > level {
            return level;
        }
        remaining -= requested;
        claimants -= 1.0;
    }
    f64::INFINITY
}
