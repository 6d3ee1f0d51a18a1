//! A request ended each server that ran it, and came back at other instances as a new request until twelve servers
//! had ended, with everything that ran on them. Each instance forgot an attempt when it ended, so the fourth return
//! was sent as the first one was; nothing that one instance had seen of the request was known to another, or to
//! itself a moment later.
//!
//! What settled it: lines 511 of four ends, each at another instance and within 3.4 s, all with
//! `"outcome":"backend_broke_off","tokens":"4255","workspace":"ziye200"`, the only request that was among the broken
//! ones of all four servers, and the platform's record "sent to servers 7 times more; 12 ended in all".

use reedsail_simulation::CrashOutcome;
use reedsail_simulation::CrashScenario;
use reedsail_simulation::simulate_crashes;

const SEEDS: std::ops::Range<u64> = 1..25;

/// Times that such a request may be sent later than the bound after the third end, as the users judge.
const LATE_SENDS_MAX: u64 = 3;

/// Plays the scenarios of all seeds side by side.
fn play(scenario: fn(u64) -> CrashScenario) -> Vec<(u64, CrashOutcome)> {
    play_seeds(SEEDS, scenario)
}

fn play_seeds(
    seeds: impl IntoIterator<Item = u64>,
    scenario: fn(u64) -> CrashScenario,
) -> Vec<(u64, CrashOutcome)> {
    std::thread::scope(|scope| {
        let played: Vec<_> = seeds
            .into_iter()
            .map(|seed| (seed, scope.spawn(move || simulate_crashes(&scenario(seed)))))
            .collect();
        played
            .into_iter()
            .map(|(seed, played)| (seed, played.join().unwrap()))
            .collect()
    })
}

#[test]
fn a_request_that_ends_servers_is_not_sent_once_the_fleet_can_know() {
    let mut late = Vec::new();
    for (seed, outcome) in play(CrashScenario::with_poisons) {
        println!("seed {seed}: {outcome:?}");
        for poison in outcome.poisons {
            if poison.late_sends > 0 {
                late.push((seed, poison));
            }
        }
    }
    assert!(late.is_empty(), "{} requests: {late:#?}", late.len());
}

#[test]
fn servers_that_crash_together_put_no_request_in_quarantine() {
    for (seed, outcome) in play(CrashScenario::with_mass_crashes) {
        assert!(outcome.broken > 0, "seed {seed}: nothing broke");
        assert_eq!(outcome.wrongly_quarantined, 0, "seed {seed}");
    }
}

#[test]
fn requests_that_ran_beside_one_that_ends_servers_are_not_taken_for_it() {
    for (seed, outcome) in play(CrashScenario::with_poisons) {
        assert_eq!(outcome.wrongly_quarantined, 0, "seed {seed}");
    }
}

/// Seeds in which up to twelve servers ended, and three in which an end was seen by an instance that was cut off.
const WIDER_SEEDS: [u64; 9] = [122, 124, 143, 194, 209, 244, 287, 290, 314];

/// A request was quarantined by the whole fleet, and yet nine to twelve servers ended under it: instances were
/// restarted one after the other, and each that came back knew nothing and sent it once or twice more. What is
/// known of a request was told again only every two seconds; nobody told a peer that had just come.
///
/// What settled it was the order of one seed: quarantined at all nine instances at 8,050 ms, restarts 2,500 ms
/// apart from 8,606 ms on, then sends from instance 2 at 14,322 and 14,663 ms (started at 13,606), from 3 at 16,744
/// and 16,946 (16,106), from 4 at 18,800 (18,606), and `Quarantined` there at 15,050, 17,050 and 19,050 ms.
#[test]
fn an_instance_that_starts_sends_no_request_that_the_fleet_has_quarantined() {
    let mut known = Vec::new();
    for (seed, outcome) in play_seeds(WIDER_SEEDS, CrashScenario::with_poisons) {
        for poison in outcome.poisons {
            println!("seed {seed}: {poison:?}");
            if poison.sends_after_news > 0 || poison.late_sends > LATE_SENDS_MAX {
                known.push((seed, poison));
            }
        }
    }
    assert!(known.is_empty(), "{} requests: {known:#?}", known.len());
}
