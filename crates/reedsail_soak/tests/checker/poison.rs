//! Requests with a segment that ends servers, and those beside them.

use reedsail_soak::CallKind;
use reedsail_soak::History;
use reedsail_soak::Outcome;
use reedsail_soak::Target;
use reedsail_soak::check;

use super::attempt;
use super::engine_life;
use super::fault;
use super::history;
use super::run;
use super::violated_promises;

/// Returns a history in which a segment ended five servers, and was sent to `late` more 3 s after the fifth.
fn poison_segment(late: u64) -> History {
    let mut history = history();
    let early = (0..5).map(|number| run(&format!("poison-0-{number}"), "server-0", 4_000 + number));
    let late = (0..late).map(|number| run(&format!("poison-1-9{number}"), "server-0", 7_100 + number));
    history.poison_runs = early.chain(late).collect();
    history.poison_ends_ms = (4_000..4_005).collect();
    history.poison_spans = vec![(4_000, 20_000)];
    history
}

#[test]
fn a_segment_that_still_reaches_servers_is_found() {
    assert_eq!(check(&poison_segment(3)), []);
    let promise = "a segment that ends servers is not sent";
    assert_eq!(violated_promises(&poison_segment(4)), [promise]);
    let mut disturbed = poison_segment(4);
    disturbed.faults.push(fault(Target::Daemon(1), 3_000, 4_500));
    assert_eq!(check(&disturbed), []);
    let mut in_touch_again = poison_segment(4);
    in_touch_again.faults.push(fault(Target::Daemon(1), 3_000, 4_000));
    assert_eq!(violated_promises(&in_touch_again), [promise]);
}

#[test]
fn sound_requests_that_are_refused_beside_a_segment_are_found() {
    let with_sound = |begun: usize| {
        let mut history = poison_segment(0);
        for number in 0..20 {
            let mut before = attempt(&format!("before-{number}"), CallKind::Letter, Outcome::Answered);
            (before.began_ms, before.ended_ms) = (3_000, 3_100);
            let outcome = if number < begun {
                Outcome::Answered
            } else {
                Outcome::NotRun { status: 503 }
            };
            let mut beside = attempt(&format!("beside-{number}"), CallKind::Letter, outcome);
            (beside.began_ms, beside.ended_ms) = (11_000, 11_100);
            history.attempts.extend([before, beside]);
        }
        history
    };
    assert_eq!(check(&with_sound(10)), []);
    let promise = "sound requests beside a segment that ends servers go on";
    assert_eq!(violated_promises(&with_sound(9)), [promise]);
}

/// Requests are refused as nothing takes them where half of the engines say that they drain.
#[test]
fn sound_requests_beside_a_segment_count_while_most_engines_take_work() {
    let with_drains = |draining: usize| {
        let mut history = poison_segment(0);
        history.lives = (0..4).map(engine_life).collect();
        for number in 0..20 {
            let mut before = attempt(&format!("before-{number}"), CallKind::Letter, Outcome::Answered);
            (before.began_ms, before.ended_ms) = (3_000, 3_100);
            let refused = Outcome::NotRun { status: 503 };
            let mut beside = attempt(&format!("beside-{number}"), CallKind::Letter, refused);
            (beside.began_ms, beside.ended_ms) = (11_000, 11_100);
            history.attempts.extend([before, beside]);
        }
        let drains = (0..draining).map(|server| fault(Target::Notices(server), 10_000, 12_000));
        history.faults.extend(drains);
        history
    };
    let promise = "sound requests beside a segment that ends servers go on";
    assert_eq!(violated_promises(&with_drains(1)), [promise]);
    assert_eq!(check(&with_drains(2)), []);
}
