//! The smallest workspace during a long flood, with instances that exchange load reports and instances that
//! don't.

mod flood_simulation;

use flood_simulation::measure_shares;

#[test]
fn load_reports_preserve_the_served_ratio_of_the_smallest_workspace() {
    let report = measure_shares(7);
    let [fleet, alone] = &report.policies[..] else {
        panic!("two policies: {report:?}");
    };
    assert_eq!((fleet.policy, alone.policy), ("fleet", "alone"));
    // The platform requires at least half of the best served workspace's ratio.
    assert!(
        fleet.smallest_served_ratio >= 0.5 * fleet.best_served_ratio,
        "served ratio: smallest workspace {:.3}, best served workspace {:.3}",
        fleet.smallest_served_ratio,
        fleet.best_served_ratio
    );
    assert!(
        fleet.worst_served_ratio > alone.worst_served_ratio,
        "worst served ratio: fleet {:.3}, alone {:.3}",
        fleet.worst_served_ratio,
        alone.worst_served_ratio
    );
    assert_eq!(
        report,
        measure_shares(7),
        "the same seed must give the same report"
    );
}
