//! The decisions of nine daemons and three allocators, driven without sockets through failures.

mod drive;

use drive::Drive;
use drive::GapWatch;
use drive::uneven_setup;

const ALL: std::ops::Range<usize> = 0..16;
/// What the gap may be in steady backlog: two seconds and the largest request's fair-part time.
const GAP_BOUND_S: f64 = 2.0 + 180.0 / 506.0;

fn settled(seed: u64) -> Drive {
    let mut drive = Drive::new(uneven_setup(seed));
    drive.run(12_000);
    drive.take_utilisation();
    drive
}

/// Runs on and returns the gap over that time.
fn gap_over(drive: &mut Drive, span_ms: u64) -> f64 {
    let mut watch = GapWatch::begin(drive, ALL.collect());
    for _ in 0..span_ms / 100 {
        drive.run(100);
        watch.look(drive);
    }
    watch.gap_s()
}

fn assert_no_overload(drive: &Drive) {
    for (load, slots) in drive.server_loads() {
        assert!(load <= slots, "{load} requests on {slots} slots");
    }
}

#[test]
fn the_gap_stays_small_and_no_slot_idles_in_steady_backlog() {
    for seed in [1, 2, 3] {
        let mut drive = settled(seed);
        let first = gap_over(&mut drive, 20_000);
        let second = gap_over(&mut drive, 20_000);
        assert!(
            first <= GAP_BOUND_S && second <= GAP_BOUND_S,
            "{first:.2} s, then {second:.2} s"
        );
        assert!(drive.take_utilisation() >= 0.97);
        assert_no_overload(&drive);
    }
}

#[test]
fn all_callers_on_one_daemon_use_the_slots_of_all_domains() {
    let mut setup = uneven_setup(1);
    for reach in &mut setup.reach {
        *reach = vec![0];
    }
    let mut drive = Drive::new(setup);
    drive.run(12_000);
    drive.take_utilisation();
    drive.run(20_000);
    let utilisation = drive.take_utilisation();
    assert!(utilisation >= 0.97, "{utilisation:.3}");
}

#[test]
fn an_allocator_that_starts_again_with_nothing_changes_little() {
    let mut drive = settled(4);
    drive.restart_allocator(0);
    let gap_s = gap_over(&mut drive, 10_000);
    assert!(gap_s <= GAP_BOUND_S + 2.0, "{gap_s:.2} s while it learns");
    let after_s = gap_over(&mut drive, 10_000);
    assert!(after_s <= GAP_BOUND_S, "{after_s:.2} s after");
    assert_no_overload(&drive);
}

#[test]
fn a_cut_domain_serves_on_and_nobody_starves_when_it_is_back() {
    let mut drive = settled(5);
    drive.set_cut(0, true);
    drive.run(15_000);
    let before = drive.served().to_vec();
    drive.run(5_000);
    for workspace in ALL {
        assert!(
            drive.served()[workspace] > before[workspace],
            "{workspace} starves during the cut"
        );
    }
    assert_no_overload(&drive);
    drive.set_cut(0, false);
    drive.run(5_000);
    let back = drive.served().to_vec();
    drive.run(5_000);
    for workspace in ALL {
        assert!(
            drive.served()[workspace] > back[workspace],
            "{workspace} starves after the cut"
        );
    }
    let gap_s = gap_over(&mut drive, 15_000);
    assert!(
        gap_s <= GAP_BOUND_S + 2.0,
        "{gap_s:.2} s while leads are worked off"
    );
    let later_s = gap_over(&mut drive, 15_000);
    assert!(later_s <= GAP_BOUND_S, "{later_s:.2} s later");
}

#[test]
fn a_daemon_paused_past_its_lease_starts_nothing_and_its_slots_are_used_by_others() {
    let mut drive = settled(6);
    drive.set_paused(4, true);
    drive.run(10_000);
    drive.take_utilisation();
    drive.run(5_000);
    let utilisation = drive.take_utilisation();
    assert!(utilisation >= 0.97, "{utilisation:.3} while it is paused");
    drive.set_paused(4, false);
    drive.run(5_000);
    let gap_s = gap_over(&mut drive, 10_000);
    assert!(gap_s <= GAP_BOUND_S, "{gap_s:.2} s after");
    assert_no_overload(&drive);
}

#[test]
fn two_failures_at_once_are_survived() {
    let mut drive = settled(7);
    drive.set_cut(1, true);
    drive.restart_allocator(0);
    drive.set_paused(0, true);
    drive.run(8_000);
    drive.set_paused(0, false);
    drive.set_cut(1, false);
    drive.run(10_000);
    let gap_s = gap_over(&mut drive, 15_000);
    assert!(gap_s <= GAP_BOUND_S + 1.0, "{gap_s:.2} s after");
    assert_no_overload(&drive);
}

#[test]
fn a_workspace_that_comes_back_gets_its_part_and_no_more() {
    let mut drive = settled(8);
    drive.set_idle(10, true);
    drive.run(20_000);
    drive.set_idle(10, false);
    drive.run(3_000);
    let before = drive.served().to_vec();
    drive.run(10_000);
    let got = drive.served()[10] - before[10];
    let fair = 162.0 * 50.0 / 16.0 * 10.0;
    assert!(
        (0.6 * fair..1.5 * fair).contains(&got),
        "{got:.0} of a fair {fair:.0}"
    );
}
