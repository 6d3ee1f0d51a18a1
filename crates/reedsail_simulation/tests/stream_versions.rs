//! What fleets of 9, 60 and 985 instances know of the software versions of streams, and what it costs.
//!
//! `cargo test --release -p reedsail_simulation --test stream_versions -- --nocapture` prints the figures.

use reedsail_simulation::RowSpread;
use reedsail_simulation::StreamOutcome;
use reedsail_simulation::StreamScenario;
use reedsail_simulation::simulate_streams;

/// Bytes that an instance may send for control in a second.
const CONTROL_BYTES_PER_S: f64 = 2_048.0;

/// Returns the scenario of a fleet in which one instance in a hundred, and at least one, is killed every five seconds.
fn scenario(instances: usize, streams_per_s: u64, spread: RowSpread) -> StreamScenario {
    StreamScenario {
        seed: 7,
        instances,
        failure_domains: if instances > 100 { 5 } else { 3 },
        streams_per_s,
        stream_ms: 3_000,
        deadline_ms: 12_000,
        duration_ms: 20_000,
        kill_interval_ms: 5_000,
        killed: instances.div_ceil(100),
        restart_ms: 2_000,
        spread,
    }
}

fn run(scenario: &StreamScenario) -> StreamOutcome {
    let outcome = simulate_streams(scenario);
    println!(
        "{} instances, {} streams/s, {} killed every {} ms, {:?}: {} returned, {:.4} known ({} asked), {:.0} B/s each, {} kept at most",
        scenario.instances,
        scenario.streams_per_s,
        scenario.killed,
        scenario.kill_interval_ms,
        scenario.spread,
        outcome.returned,
        outcome.known_share(),
        outcome.asked,
        outcome.sent_bytes_per_s,
        outcome.kept_max
    );
    assert!(outcome.returned > 0);
    outcome
}

#[test]
fn the_streams_of_a_killed_instance_are_known_at_every_size() {
    for (instances, streams_per_s) in [(9, 83), (60, 400)] {
        let outcome = run(&scenario(instances, streams_per_s, RowSpread::Holders));
        assert_eq!(outcome.known, outcome.returned);
    }
    // Several of 985 are killed at the same moment, which may be all that know a stream.
    let outcome = run(&scenario(985, 1_351, RowSpread::Holders));
    assert!(outcome.known_share() > 0.999, "{outcome:?}");
    assert!(outcome.sent_bytes_per_s <= CONTROL_BYTES_PER_S, "{outcome:?}");
}

#[test]
fn instances_killed_in_series_or_together_leave_most_streams_known() {
    for (killed, kill_interval_ms) in [(1, 500), (2, 2_000), (4, 5_000)] {
        let series = StreamScenario {
            killed,
            kill_interval_ms,
            ..scenario(9, 83, RowSpread::Holders)
        };
        let outcome = run(&series);
        // Users require that half of the streams go on.
        assert!(outcome.known_share() > 0.5, "{outcome:?}");
    }
}

#[test]
fn rows_to_everyone_cost_more_and_rows_to_nobody_lose_the_streams() {
    for (instances, streams_per_s) in [(9, 83), (60, 400), (985, 1_351)] {
        let duration_ms = if instances > 100 { 6_000 } else { 20_000 };
        let with = |spread| {
            run(&StreamScenario {
                duration_ms,
                ..scenario(instances, streams_per_s, spread)
            })
        };
        let holders = with(RowSpread::Holders);
        let everyone = with(RowSpread::Everyone);
        let nobody = with(RowSpread::Nobody);
        assert_eq!(nobody.known, 0);
        if instances > 9 {
            assert!(everyone.sent_bytes_per_s > 2.0 * holders.sent_bytes_per_s);
        }
    }
}
