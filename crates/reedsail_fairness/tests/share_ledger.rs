//! Windows in which a workspace gets far less than its share.

use reedsail_fairness::ShareLedger;

/// Lets a workspace ask for requests of a cost of 10 every 100 ms, of which one in `begun_in` begins and the
/// others are refused, but for the seconds in which nobody is.
fn ask(
    ledger: &mut ShareLedger,
    workspace: &str,
    begun_in: u64,
    seconds: u64,
    is_calm: impl Fn(u64) -> bool,
) {
    for number in 0..seconds * 10 {
        let at_ms = number * 100;
        ledger.record_request(workspace, 10.0, at_ms);
        if number.is_multiple_of(begun_in) {
            ledger.record_begun(workspace, 10.0, at_ms);
        } else if !is_calm(at_ms / 1_000) {
            ledger.record_refused_or_late(workspace, at_ms);
        }
    }
}

#[test]
fn a_workspace_that_gets_a_tenth_is_found() {
    let mut ledger = ShareLedger::default();
    ask(&mut ledger, "best", 1, 10, |_| false);
    ask(&mut ledger, "starved", 10, 10, |_| false);
    let worst = ledger.worst_windows();
    assert_eq!(worst.len(), 1, "the best served one was never disappointed");
    let window = &worst[0];
    assert_eq!(
        (window.workspace.as_str(), window.best_workspace.as_str()),
        ("starved", "best")
    );
    assert!((window.requested_cost, window.begun_cost, window.entitled_cost) == (600.0, 60.0, 600.0));
    assert!(
        (window.ratio() - 150.0 / 600.0).abs() < 1e-9,
        "{}",
        window.ratio()
    );
}

#[test]
fn a_window_with_a_content_second_is_none() {
    let mut ledger = ShareLedger::default();
    ask(&mut ledger, "best", 1, 10, |_| false);
    ask(&mut ledger, "starved", 10, 10, |second| second % 6 >= 4);
    assert_eq!(ledger.worst_windows(), []);
}

#[test]
fn nothing_is_owed_beyond_what_the_best_served_one_got() {
    let mut ledger = ShareLedger::default();
    ask(&mut ledger, "best", 5, 10, |_| false);
    ask(&mut ledger, "starved", 10, 10, |_| false);
    let starved = ledger
        .worst_windows()
        .into_iter()
        .find(|window| window.workspace == "starved");
    let window = starved.unwrap();
    assert!((window.entitled_cost - 120.0).abs() < 1e-9);
    assert!(window.ratio() > 1.0, "{}", window.ratio());
}

#[test]
fn windows_begin_within_seconds_as_well() {
    let mut ledger = ShareLedger::default();
    // Content up to 1.5 s and from 7.75 s on: only windows from 1.5 or 1.75 s on lie between.
    for number in 0..100 {
        let at_ms = number * 100;
        ledger.record_request("best", 10.0, at_ms);
        ledger.record_begun("best", 10.0, at_ms);
        ledger.record_request("starved", 10.0, at_ms);
        if (1_500..7_750).contains(&at_ms) {
            ledger.record_refused_or_late("starved", at_ms);
        }
    }
    let mut begins: Vec<u64> = ledger.windows().map(|window| window.from_ms).collect();
    begins.sort_unstable();
    // A second counts as disappointed by any request within it.
    assert_eq!((begins.first(), begins.last()), (Some(&750), Some(&2_500)));
}
