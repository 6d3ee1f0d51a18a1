//! Scheduling decisions of nine instances and three allocators in a simulated fleet without sockets, with and
//! without failures.

mod fleet_simulation;

use fleet_simulation::FairnessGapTracker;
use fleet_simulation::FleetSimulation;
use fleet_simulation::uneven_setup;

const WORKSPACES: std::ops::Range<usize> = 0..16;
/// The largest allowed gap under steady backlog: two seconds plus the time of the largest request at a fair
/// share.
const GAP_BOUND_S: f64 = 2.0 + 180.0 / 506.0;

fn settled_fleet(seed: u64) -> FleetSimulation {
    let mut simulation = FleetSimulation::new(uneven_setup(seed));
    simulation.advance(12_000);
    simulation.take_utilisation();
    simulation
}

/// Advances the simulation and returns the largest gap during that time.
fn measure_gap_s(simulation: &mut FleetSimulation, span_ms: u64) -> f64 {
    let mut tracker = FairnessGapTracker::start(simulation, WORKSPACES.collect());
    for _ in 0..span_ms / 100 {
        simulation.advance(100);
        tracker.record(simulation);
    }
    tracker.gap_s()
}

fn assert_no_overload(simulation: &FleetSimulation) {
    for (load, slots) in simulation.server_loads() {
        assert!(load <= slots, "{load} requests on {slots} slots");
    }
}

#[test]
fn fairness_gap_stays_small_and_slots_stay_busy_under_steady_backlog() {
    for seed in [1, 2, 3] {
        let mut simulation = settled_fleet(seed);
        let first_s = measure_gap_s(&mut simulation, 20_000);
        let second_s = measure_gap_s(&mut simulation, 20_000);
        assert!(
            first_s <= GAP_BOUND_S && second_s <= GAP_BOUND_S,
            "{first_s:.2} s, then {second_s:.2} s"
        );
        assert!(simulation.take_utilisation() >= 0.97);
        assert_no_overload(&simulation);
    }
}

#[test]
fn callers_on_one_instance_use_the_slots_of_all_domains() {
    let mut setup = uneven_setup(1);
    for reachable in &mut setup.reachable {
        *reachable = vec![0];
    }
    let mut simulation = FleetSimulation::new(setup);
    simulation.advance(12_000);
    simulation.take_utilisation();
    simulation.advance(20_000);
    let utilisation = simulation.take_utilisation();
    assert!(utilisation >= 0.97, "{utilisation:.3}");
}

#[test]
fn an_allocator_restart_without_state_barely_affects_fairness() {
    let mut simulation = settled_fleet(4);
    simulation.restart_allocator(0);
    let gap_s = measure_gap_s(&mut simulation, 10_000);
    assert!(
        gap_s <= GAP_BOUND_S + 2.0,
        "{gap_s:.2} s while the new allocator settles"
    );
    let after_s = measure_gap_s(&mut simulation, 10_000);
    assert!(after_s <= GAP_BOUND_S, "{after_s:.2} s after");
    assert_no_overload(&simulation);
}

#[test]
fn no_workspace_starves_during_or_after_a_partition() {
    let mut simulation = settled_fleet(5);
    simulation.set_partitioned(0, true);
    simulation.advance(15_000);
    let served_before = simulation.served().to_vec();
    simulation.advance(5_000);
    for workspace in WORKSPACES {
        assert!(
            simulation.served()[workspace] > served_before[workspace],
            "{workspace} starves during the partition"
        );
    }
    assert_no_overload(&simulation);
    simulation.set_partitioned(0, false);
    simulation.advance(5_000);
    let served_after_heal = simulation.served().to_vec();
    simulation.advance(5_000);
    for workspace in WORKSPACES {
        assert!(
            simulation.served()[workspace] > served_after_heal[workspace],
            "{workspace} starves after the partition"
        );
    }
    let gap_s = measure_gap_s(&mut simulation, 15_000);
    assert!(gap_s <= GAP_BOUND_S + 2.0, "{gap_s:.2} s while leads shrink");
    let later_s = measure_gap_s(&mut simulation, 15_000);
    assert!(later_s <= GAP_BOUND_S, "{later_s:.2} s later");
}

#[test]
fn a_paused_instance_starts_nothing_after_its_lease_and_others_use_its_slots() {
    let mut simulation = settled_fleet(6);
    simulation.set_paused(4, true);
    simulation.advance(10_000);
    simulation.take_utilisation();
    simulation.advance(5_000);
    let utilisation = simulation.take_utilisation();
    assert!(
        utilisation >= 0.97,
        "{utilisation:.3} while the instance is paused"
    );
    simulation.set_paused(4, false);
    simulation.advance(5_000);
    let gap_s = measure_gap_s(&mut simulation, 10_000);
    assert!(gap_s <= GAP_BOUND_S, "{gap_s:.2} s after");
    assert_no_overload(&simulation);
}

#[test]
fn simultaneous_failures_do_not_leave_a_fairness_gap() {
    let mut simulation = settled_fleet(7);
    simulation.set_partitioned(1, true);
    simulation.restart_allocator(0);
    simulation.set_paused(0, true);
    simulation.advance(8_000);
    simulation.set_paused(0, false);
    simulation.set_partitioned(1, false);
    simulation.advance(10_000);
    let gap_s = measure_gap_s(&mut simulation, 15_000);
    assert!(gap_s <= GAP_BOUND_S + 1.0, "{gap_s:.2} s after");
    assert_no_overload(&simulation);
}

#[test]
fn a_returning_workspace_gets_its_fair_share_and_no_more() {
    let mut simulation = settled_fleet(8);
    simulation.set_idle(10, true);
    simulation.advance(20_000);
    simulation.set_idle(10, false);
    simulation.advance(3_000);
    let served_before = simulation.served().to_vec();
    simulation.advance(10_000);
    let received = simulation.served()[10] - served_before[10];
    let fair = 162.0 * 50.0 / 16.0 * 10.0;
    assert!(
        (0.6 * fair..1.5 * fair).contains(&received),
        "received {received:.0}, fair share is {fair:.0}"
    );
}
