//! The smallest workspace under a long flood, with daemons that hear each other and without.

mod flood_simulation;

use flood_simulation::measure_shares;

#[test]
fn daemons_that_hear_each_other_keep_the_smallest_workspaces_part() {
    let report = measure_shares(7);
    let [fleet, alone] = &report.policies[..] else {
        panic!("two policies: {report:?}");
    };
    assert_eq!((fleet.policy, alone.policy), ("fleet", "alone"));
    // At least half of what the best served gets is what the platform's rule asks for.
    assert!(
        fleet.smallest_part >= 0.5 * fleet.best_part,
        "the smallest got {:.3}, the best served {:.3}",
        fleet.smallest_part,
        fleet.best_part
    );
    assert!(
        fleet.worst_part > alone.worst_part,
        "fleet {:.3}, alone {:.3}",
        fleet.worst_part,
        alone.worst_part
    );
    assert_eq!(report, measure_shares(7), "the same seed gives the same figures");
}
