//! Computes the fairness gap and the utilisation from the samples of a replay.

use serde::Deserialize;
use serde::Serialize;

use crate::FleetSetup;
use crate::Sample;

/// A joint backlog shorter than this is too short to measure fairness.
const JOINT_BACKLOG_MIN_MS: f64 = 1_000.0;

/// Fairness and utilisation, computed from samples.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FairnessFigures {
    /// The largest difference in weighted service between two workspaces, over all pairs and all
    /// intervals in which both are backlogged throughout. In seconds of service at the fair rate.
    pub gap_s: f64,
    /// The same gap, over the first half of the time in which at least two workspaces were backlogged.
    pub gap_first_half_s: f64,
    /// The same gap, over the second half.
    pub gap_second_half_s: f64,
    /// Busy slot time divided by available slot time, while any request was queued.
    pub utilisation_ratio: f64,
    /// The time from the first to the last sample with at least two backlogged workspaces, in seconds.
    pub backlog_s: f64,
    /// The time that the largest request takes at the fair rate: its tokens divided by the fair rate of
    /// weight one.
    pub largest_request_s: f64,
}

/// Measures one model service. `capacity_per_s` is the maximum token rate of its engines.
pub fn measure_fairness(
    setup: &FleetSetup,
    samples: &[Sample],
    capacity_per_s: f64,
    largest_request_tokens: u64,
) -> FairnessFigures {
    let joint = samples.iter().filter(|sample| backlogged(sample).count() >= 2);
    let times: Vec<f64> = joint.map(|sample| sample.at_ms).collect();
    let (Some(first), Some(last)) = (times.first().copied(), times.last().copied()) else {
        return FairnessFigures {
            utilisation_ratio: utilisation(samples),
            ..FairnessFigures::default()
        };
    };
    let middle = f64::midpoint(first, last);
    let weights = mean_backlogged_weight(setup, samples);
    let fair_per_s = capacity_per_s / weights.max(1e-9);
    let samples_between = |from: f64, to: f64| -> Vec<&Sample> {
        samples
            .iter()
            .filter(|sample| sample.at_ms >= from && sample.at_ms <= to)
            .collect()
    };
    FairnessFigures {
        gap_s: largest_gap(setup, &samples_between(first, last)) / fair_per_s,
        gap_first_half_s: largest_gap(setup, &samples_between(first, middle)) / fair_per_s,
        gap_second_half_s: largest_gap(setup, &samples_between(middle, last)) / fair_per_s,
        utilisation_ratio: utilisation(samples),
        backlog_s: (last - first) / 1_000.0,
        largest_request_s: largest_request_tokens as f64 / fair_per_s,
    }
}

fn backlogged(sample: &Sample) -> impl Iterator<Item = &String> {
    sample
        .queued
        .iter()
        .filter(|(_, count)| **count > 0)
        .map(|(name, _)| name)
}

fn mean_backlogged_weight(setup: &FleetSetup, samples: &[Sample]) -> f64 {
    let mut total = 0.0;
    let mut counted = 0.0;
    for sample in samples.iter().filter(|sample| backlogged(sample).count() >= 2) {
        total += backlogged(sample).map(|name| setup.weight_of(name)).sum::<f64>();
        counted += 1.0;
    }
    total / f64::max(counted, 1.0)
}

/// Returns the largest difference over all pairs, in tokens by weight.
fn largest_gap(setup: &FleetSetup, samples: &[&Sample]) -> f64 {
    let names: Vec<&str> = setup.workspaces.iter().map(|plan| plan.name.as_str()).collect();
    let mut largest: f64 = 0.0;
    for (index, one) in names.iter().enumerate() {
        for other in &names[index + 1..] {
            largest = largest.max(pair_gap(setup, samples, one, other));
        }
    }
    largest
}

/// Returns the largest gap between two workspaces over all intervals in which both are backlogged.
/// The gap within an interval is the range of the difference in weighted service.
fn pair_gap(setup: &FleetSetup, samples: &[&Sample], one: &str, other: &str) -> f64 {
    let (weight_one, weight_other) = (setup.weight_of(one), setup.weight_of(other));
    let mut largest: f64 = 0.0;
    let mut range: Option<(f64, f64, f64)> = None;
    for sample in samples {
        let both = sample.queued.get(one).is_some_and(|count| *count > 0)
            && sample.queued.get(other).is_some_and(|count| *count > 0);
        if !both {
            range = None;
            continue;
        }
        let difference = sample.tokens_of(one) / weight_one - sample.tokens_of(other) / weight_other;
        let (since, low, high) = range.unwrap_or((sample.at_ms, difference, difference));
        let (low, high) = (low.min(difference), high.max(difference));
        range = Some((since, low, high));
        if sample.at_ms - since >= JOINT_BACKLOG_MIN_MS {
            largest = largest.max(high - low);
        }
    }
    largest
}

/// Returns busy slot time divided by available slot time. Counts only the steps between two samples
/// that both have queued requests.
fn utilisation(samples: &[Sample]) -> f64 {
    let mut busy = 0.0;
    let mut available = 0.0;
    for pair in samples.windows(2) {
        if pair[0].has_queued_requests() && pair[1].has_queued_requests() {
            busy += pair[1].busy_slot_ms - pair[0].busy_slot_ms;
            available += (pair[1].at_ms - pair[0].at_ms) * f64::from(pair[1].slots);
        }
    }
    if available > 0.0 { busy / available } else { 1.0 }
}
