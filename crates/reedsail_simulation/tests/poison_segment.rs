//! Guards against a segment of prompts that ends many servers: each request with it is another one, so that no request
//! is ever sent three times. Requests that share the caller, the first segment or the neighbours must go on.

mod common;

use reedsail_simulation::CrashScenario;
use reedsail_simulation::simulate_crashes;

use common::simulate_seeds;

const SEEDS: std::ops::Range<u64> = 1..25;

#[test]
fn a_segment_that_ends_servers_is_not_sent_once_the_fleet_can_know() {
    let mut late = Vec::new();
    let mut ends = Vec::new();
    for (seed, outcome) in simulate_seeds(SEEDS, CrashScenario::with_poison_segments) {
        println!("seed {seed}: {outcome:?}");
        for poison in outcome.poisons {
            ends.push(poison.servers_ended);
            if poison.late_sends > 0 {
                late.push((seed, poison));
            }
        }
    }
    ends.sort_unstable();
    println!("servers ended under each: {ends:?}");
    assert!(late.is_empty(), "{} segments: {late:#?}", late.len());
}

#[test]
fn sound_requests_beside_a_segment_that_ends_servers_go_on() {
    for (seed, outcome) in simulate_seeds(SEEDS, CrashScenario::with_poison_segments) {
        let begun = outcome.begun_at_first as f64 / outcome.arrived as f64;
        println!(
            "seed {seed}: {begun:.3} begun, {} quarantined",
            outcome.wrongly_quarantined
        );
        assert_eq!(outcome.wrongly_quarantined, 0, "seed {seed}");
    }
}

#[test]
fn servers_that_crash_together_put_no_segment_in_quarantine() {
    for (seed, outcome) in simulate_seeds(SEEDS, CrashScenario::with_mass_crashes) {
        assert!(outcome.broken > 0, "seed {seed}: nothing broke");
        assert_eq!(outcome.wrongly_quarantined, 0, "seed {seed}");
    }
}

/// A server whose end was seen by a partitioned instance alone can't be attributed by the others.
#[test]
#[ignore = "KNOWN-RED.txt"]
fn a_sound_segment_is_sent_while_a_partitioned_instance_knows_the_cause_of_an_end() {
    let outcome = simulate_crashes(&CrashScenario::with_poison_segments(133));
    assert_eq!(outcome.wrongly_quarantined, 0);
}
