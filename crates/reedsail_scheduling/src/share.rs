//! Divides slots among workspaces so that workspaces with less service catch up.

/// Bisection steps in the search for the common level.
const LEVEL_BISECTION_STEPS: usize = 48;

/// One workspace's demand for the slots of a service.
#[derive(Clone, Copy, Debug)]
pub struct ShareDemand {
    /// The workspace's weight.
    pub weight: f64,
    /// Its fleet-wide virtual time, in cost units per weight.
    pub virtual_time: f64,
    /// The maximum number of slots that it can use: its waiting and running requests.
    pub slots_wanted: f64,
}

/// Returns each workspace's share of `slots`, in the order of `demands`.
///
/// The division is water-filling over virtual time: it finds the highest common level that the slots can
/// reach within the horizon. Each workspace gets `weight × (level − virtual time)`, at most its demand. Slots
/// remain only when every demand is met. `horizon_cost` is the cost in cost units that one slot yields over
/// the horizon.
pub fn share_slots(demands: &[ShareDemand], slots: f64, horizon_cost: f64) -> Vec<f64> {
    let wanted: f64 = demands.iter().map(|demand| demand.slots_wanted).sum();
    if wanted <= slots {
        return demands.iter().map(|demand| demand.slots_wanted).collect();
    }
    let level = find_common_level(demands, slots, horizon_cost);
    let shares: Vec<f64> = demands
        .iter()
        .map(|demand| slots_at_level(demand, level, horizon_cost))
        .collect();
    scale_down_to(shares, slots)
}

fn slots_at_level(demand: &ShareDemand, level: f64, horizon_cost: f64) -> f64 {
    let lag = (level - demand.virtual_time).max(0.0);
    (demand.weight * lag / horizon_cost).min(demand.slots_wanted)
}

fn find_common_level(demands: &[ShareDemand], slots: f64, horizon_cost: f64) -> f64 {
    let mut low = f64::INFINITY;
    let mut high = f64::NEG_INFINITY;
    for demand in demands {
        low = low.min(demand.virtual_time);
        let satisfied_level = demand.virtual_time + demand.slots_wanted * horizon_cost / demand.weight;
        high = high.max(satisfied_level);
    }
    for _ in 0..LEVEL_BISECTION_STEPS {
        let midpoint = f64::midpoint(low, high);
        let used: f64 = demands
            .iter()
            .map(|demand| slots_at_level(demand, midpoint, horizon_cost))
            .sum();
        if used < slots {
            low = midpoint;
        } else {
            high = midpoint;
        }
    }
    high
}

fn scale_down_to(mut shares: Vec<f64>, slots: f64) -> Vec<f64> {
    let total: f64 = shares.iter().sum();
    if total > slots && total > 0.0 {
        for share in &mut shares {
            *share *= slots / total;
        }
    }
    shares
}
