//! Max-min shares: nobody gets more while somebody who asked for it gets less.

/// Asking for so much more than there is counts as more than there is.
const SCARCITY_MARGIN: f64 = 1.03;

/// Returns the most that anybody gets when `capacity` is shared out max-min among those who asked
/// for `asked`, or infinity if there is enough for all.
pub fn max_min_level(asked: &mut [f64], capacity: f64) -> f64 {
    let total: f64 = asked.iter().sum();
    if total <= capacity * SCARCITY_MARGIN {
        return f64::INFINITY;
    }
    asked.sort_by(f64::total_cmp);
    let mut left = capacity;
    let mut sharers = asked.len() as f64;
    for asked in asked.iter() {
        let level = left / sharers;
        if *asked > level {
            return level;
        }
        left -= asked;
        sharers -= 1.0;
    }
    f64::INFINITY
}
