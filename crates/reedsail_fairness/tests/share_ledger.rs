//! Detection of windows in which a workspace gets far less than its share.

use reedsail_fairness::ShareLedger;

/// Records a request of a cost of 10 every 100 ms. A server begins one in `begun_every` of them. The others are
/// refused, except in calm seconds.
fn record_requests(
    ledger: &mut ShareLedger,
    workspace: &str,
    begun_every: u64,
    seconds: u64,
    is_calm: impl Fn(u64) -> bool,
) {
    for number in 0..seconds * 10 {
        let at_ms = number * 100;
        ledger.record_request(workspace, 10.0, at_ms);
        if number.is_multiple_of(begun_every) {
            ledger.record_begun(workspace, 10.0, at_ms);
        } else if !is_calm(at_ms / 1_000) {
            ledger.record_refused_or_late(workspace, at_ms);
        }
    }
}

#[test]
fn a_workspace_that_gets_a_tenth_of_its_share_is_found() {
    let mut ledger = ShareLedger::default();
    record_requests(&mut ledger, "best", 1, 10, |_| false);
    record_requests(&mut ledger, "starved", 10, 10, |_| false);
    let worst = ledger.worst_windows();
    assert_eq!(worst.len(), 1, "the best served workspace had no refused request");
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
fn a_window_that_has_a_calm_second_does_not_count() {
    let mut ledger = ShareLedger::default();
    record_requests(&mut ledger, "best", 1, 10, |_| false);
    record_requests(&mut ledger, "starved", 10, 10, |second| second % 6 >= 4);
    assert_eq!(ledger.worst_windows(), []);
}

#[test]
fn a_workspace_is_entitled_to_no_more_than_the_best_served_one_got() {
    let mut ledger = ShareLedger::default();
    record_requests(&mut ledger, "best", 5, 10, |_| false);
    record_requests(&mut ledger, "starved", 10, 10, |_| false);
    let starved = ledger
        .worst_windows()
        .into_iter()
        .find(|window| window.workspace == "starved");
    let window = starved.unwrap();
    assert!((window.entitled_cost - 120.0).abs() < 1e-9);
    assert!(window.ratio() > 1.0, "{}", window.ratio());
}

#[test]
fn windows_begin_at_each_quarter_of_a_second() {
    let mut ledger = ShareLedger::default();
    // Requests are refused from 1.5 s until 7.75 s: only windows that begin at 1.5 s or 1.75 s lie whole within.
    for number in 0..100 {
        let at_ms = number * 100;
        ledger.record_request("best", 10.0, at_ms);
        ledger.record_begun("best", 10.0, at_ms);
        ledger.record_request("starved", 10.0, at_ms);
        if (1_500..7_750).contains(&at_ms) {
            ledger.record_refused_or_late("starved", at_ms);
        }
    }
    let mut starts_ms: Vec<u64> = ledger.windows().map(|window| window.from_ms).collect();
    starts_ms.sort_unstable();
    // One refused request within a second is enough, so a window may begin up to 0.75 s before the first refusal
    // and end up to 0.75 s after the last.
    assert_eq!((starts_ms.first(), starts_ms.last()), (Some(&750), Some(&2_500)));
}
