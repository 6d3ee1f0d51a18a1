//! Divides slots among workspaces so that those behind in service catch up.

/// Halvings of the interval in which the common level is sought.
const LEVEL_STEPS: usize = 48;

/// One workspace's claim on the slots of a service.
#[derive(Clone, Copy, Debug)]
pub struct ShareDemand {
    /// The workspace's weight.
    pub weight: f64,
    /// Its fleet-wide virtual time, in cost units per weight.
    pub virtual_time: f64,
    /// The most slots that it can use: requests waiting or running.
    pub slots_wanted: f64,
}

/// Returns each workspace's part of `slots`, in the order of `demands`.
///
/// Virtual times are levelled as if by filling vessels: for the highest common level that the
/// slots can pay for over the horizon, each workspace gets `weight × (level − virtual time)`,
/// at most what it wants. Slots stay over only when every want is met.
/// `horizon_cost` is the cost in cost units that one slot yields over the horizon.
pub fn share_slots(demands: &[ShareDemand], slots: f64, horizon_cost: f64) -> Vec<f64> {
    let wanted: f64 = demands.iter().map(|demand| demand.slots_wanted).sum();
    if wanted <= slots {
        return demands.iter().map(|demand| demand.slots_wanted).collect();
    }
    let level = find_level(demands, slots, horizon_cost);
    let parts: Vec<f64> = demands
        .iter()
        .map(|demand| part_at_level(demand, level, horizon_cost))
        .collect();
    scale_to(parts, slots)
}

fn part_at_level(demand: &ShareDemand, level: f64, horizon_cost: f64) -> f64 {
    let behind = (level - demand.virtual_time).max(0.0);
    (demand.weight * behind / horizon_cost).min(demand.slots_wanted)
}

fn find_level(demands: &[ShareDemand], slots: f64, horizon_cost: f64) -> f64 {
    let mut low = f64::INFINITY;
    let mut high = f64::NEG_INFINITY;
    for demand in demands {
        low = low.min(demand.virtual_time);
        let met_at = demand.virtual_time + demand.slots_wanted * horizon_cost / demand.weight;
        high = high.max(met_at);
    }
    for _ in 0..LEVEL_STEPS {
        let middle = f64::midpoint(low, high);
        let used: f64 = demands
            .iter()
            .map(|demand| part_at_level(demand, middle, horizon_cost))
            .sum();
        if used < slots {
            low = middle;
        } else {
            high = middle;
        }
    }
    high
}

fn scale_to(mut parts: Vec<f64>, slots: f64) -> Vec<f64> {
    let total: f64 = parts.iter().sum();
    if total > slots && total > 0.0 {
        for part in &mut parts {
            *part *= slots / total;
        }
    }
    parts
}
