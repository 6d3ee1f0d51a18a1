//! One daemon's queues and slots: order, limits, leases, health, affinity.

use std::sync::Arc;

use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::proptest;
use reedsail_core::ErrorKind;
use reedsail_core::ServerKey;
use reedsail_core::TimeMs;
use reedsail_core::WorkspaceKey;
use reedsail_scheduling::Class;
use reedsail_scheduling::FleetPolicy;
use reedsail_scheduling::LeaseRow;
use reedsail_scheduling::QueueLimits;
use reedsail_scheduling::Running;
use reedsail_scheduling::Scheduler;
use reedsail_scheduling::ServerSetup;
use reedsail_scheduling::ServiceGrant;
use reedsail_scheduling::VirtualTimeRow;
use reedsail_scheduling::Waiting;
use reedsail_scheduling::WorkspaceSetup;
use reedsail_scheduling::WorkspaceTable;

const NOW: TimeMs = TimeMs(1_000);
const FAR: TimeMs = TimeMs(1_000_000);

type TestScheduler = Scheduler<FleetPolicy, u32>;

fn scheduler(workspaces: u32, limits: QueueLimits) -> TestScheduler {
    let mut scheduler = Scheduler::new(FleetPolicy, 1);
    let servers = [0, 1].map(|index| ServerSetup {
        server: ServerKey(index),
        capacity: 8,
    });
    let setups = (0..workspaces).map(|index| WorkspaceSetup {
        workspace: WorkspaceKey(index),
        weight: 1.0,
        limits,
    });
    scheduler.configure(&servers, Arc::new(WorkspaceTable::new(setups)));
    scheduler
}

fn grant(slots: &[(u16, u32)], shares: &[(u32, f64)]) -> ServiceGrant {
    ServiceGrant {
        base: 0.0,
        leases: slots
            .iter()
            .map(|(server, slots)| LeaseRow {
                server: ServerKey(*server),
                slots: *slots,
            })
            .collect(),
        virtual_times: shares
            .iter()
            .map(|(workspace, share)| VirtualTimeRow {
                workspace: WorkspaceKey(*workspace),
                lead: 0.0,
                share: *share,
            })
            .collect(),
    }
}

fn request(workspace: u32, number: u32) -> Waiting<u32> {
    Waiting {
        workspace: WorkspaceKey(workspace),
        class: Class::Interactive,
        deadline: FAR,
        body_bytes: 10,
        prefix: None,
        preemptible: false,
        waker: number,
    }
}

#[test]
fn a_free_slot_is_used_without_asking_anybody() {
    let mut scheduler = scheduler(1, QueueLimits::default());
    scheduler.apply_grant(&grant(&[(0, 1)], &[]), FAR);
    scheduler.submit(request(0, 1), NOW).unwrap();
    // One call, no report in between: the first token waits for no other daemon.
    assert_eq!(scheduler.dispatch(NOW).len(), 1);
    assert!(!scheduler.needs_urgent_report());
}

#[test]
fn shares_decide_who_is_served() {
    let mut scheduler = scheduler(2, QueueLimits::default());
    scheduler.apply_grant(&grant(&[(0, 4)], &[(0, 3.0), (1, 1.0)]), FAR);
    for number in 0..200 {
        scheduler.submit(request(0, number), NOW).unwrap();
        scheduler.submit(request(1, number), NOW).unwrap();
    }
    let mut served = [0_u32; 2];
    let mut running: Vec<Running> = Vec::new();
    for _ in 0..40 {
        running.extend(
            scheduler
                .dispatch(NOW)
                .into_iter()
                .map(|dispatch| dispatch.running),
        );
        let ended = running.remove(0);
        served[ended.workspace.0 as usize] += 1;
        scheduler.finish(ended, 50.0, true);
    }
    assert!(
        (28..=32).contains(&served[0]),
        "three quarters of 40, but {served:?}"
    );
}

#[test]
fn interactive_goes_before_batch_and_the_earlier_deadline_first() {
    let mut scheduler = scheduler(1, QueueLimits::default());
    let mut batch = request(0, 1);
    batch.class = Class::Batch;
    let later = request(0, 2);
    let mut earlier = request(0, 3);
    earlier.deadline = TimeMs(500_000);
    for waiting in [batch, later, earlier] {
        scheduler.submit(waiting, NOW).unwrap();
    }
    scheduler.apply_grant(&grant(&[(0, 3)], &[]), FAR);
    let order: Vec<u32> = scheduler
        .dispatch(NOW)
        .iter()
        .map(|dispatch| dispatch.waker)
        .collect();
    assert_eq!(order, [3, 2, 1]);
}

#[test]
fn queues_are_bounded_by_count_and_bytes() {
    let limits = QueueLimits {
        queued_max: 2,
        queued_bytes_max: 25,
        running_max: 1,
    };
    let mut scheduler = scheduler(1, limits);
    scheduler.submit(request(0, 1), NOW).unwrap();
    let mut large = request(0, 2);
    large.body_bytes = 20;
    assert_eq!(
        scheduler.submit(large, NOW).unwrap_err().0,
        ErrorKind::QueueBytesFull
    );
    scheduler.submit(request(0, 3), NOW).unwrap();
    assert_eq!(
        scheduler.submit(request(0, 4), NOW).unwrap_err().0,
        ErrorKind::QueueFull
    );
    scheduler.apply_grant(&grant(&[(0, 8)], &[]), FAR);
    assert_eq!(
        scheduler.dispatch(NOW).len(),
        1,
        "one runs at once, as the limit says"
    );
}

#[test]
fn a_lapsed_lease_gives_no_slot_even_before_a_tick_notices() {
    let mut scheduler = scheduler(1, QueueLimits::default());
    scheduler.apply_grant(&grant(&[(0, 4)], &[]), TimeMs(2_000));
    scheduler.submit(request(0, 1), NOW).unwrap();
    scheduler.submit(request(0, 2), NOW).unwrap();
    assert!(scheduler.dispatch(TimeMs(2_000)).is_empty());
    assert_eq!(scheduler.dispatch(TimeMs(1_999)).len(), 2);
}

#[test]
fn a_leaving_server_gets_nothing_new() {
    let mut scheduler = scheduler(1, QueueLimits::default());
    scheduler.apply_grant(&grant(&[(0, 4)], &[]), FAR);
    scheduler.set_leaving(|server| server == ServerKey(0));
    scheduler.submit(request(0, 1), NOW).unwrap();
    assert!(scheduler.dispatch(NOW).is_empty());
}

#[test]
fn a_failing_server_rests_and_returns_slowly() {
    let mut scheduler = scheduler(1, QueueLimits::default());
    scheduler.apply_grant(&grant(&[(0, 4)], &[]), FAR);
    for _ in 0..2 {
        assert!(!scheduler.record_failure(ServerKey(0), NOW));
    }
    assert!(
        scheduler.record_failure(ServerKey(0), NOW),
        "the third failure in a row"
    );
    for number in 0..6 {
        scheduler.submit(request(0, number), NOW).unwrap();
    }
    assert!(scheduler.dispatch(NOW).is_empty(), "it rests");
    let back = TimeMs(NOW.0 + 600);
    let mut first = scheduler.dispatch(back);
    assert_eq!(first.len(), 1, "one at first");
    scheduler.finish(first.remove(0).running, 1.0, true);
    assert_eq!(scheduler.dispatch(back).len(), 2, "two after the first answer");
}

#[test]
fn a_cached_prefix_draws_requests_unless_its_server_is_much_fuller() {
    let mut scheduler = scheduler(1, QueueLimits::default());
    scheduler.apply_grant(&grant(&[(0, 8), (1, 8)], &[]), FAR);
    let mut servers = Vec::new();
    for number in 0..12 {
        let mut waiting = request(0, number);
        waiting.prefix = Some(42);
        scheduler.submit(waiting, NOW).unwrap();
        servers.extend(
            scheduler
                .dispatch(NOW)
                .iter()
                .map(|dispatch| dispatch.running.server),
        );
    }
    let first = servers[0];
    let early = servers.iter().take(4).filter(|server| **server == first).count();
    assert_eq!(early, 4, "affinity holds while the loads are near");
    assert!(
        servers.iter().any(|server| *server != first),
        "and yields to load"
    );
}

#[test]
fn a_wait_that_passes_the_deadline_is_refused_early() {
    let mut scheduler = scheduler(1, QueueLimits::default());
    scheduler.apply_grant(&grant(&[(0, 1)], &[]), FAR);
    for number in 0..100 {
        scheduler.submit(request(0, number), NOW).unwrap();
    }
    // One request of 50 units a second for five seconds.
    for second in 1..=5 {
        let at = TimeMs(NOW.0 + second * 1_000);
        let running = scheduler.dispatch(at).remove(0).running;
        scheduler.finish(running, 50.0, true);
        scheduler.tick(at);
    }
    let mut hasty = request(0, 101);
    hasty.deadline = TimeMs(NOW.0 + 10_000);
    assert_eq!(
        scheduler.submit(hasty, TimeMs(6_000)).unwrap_err().0,
        ErrorKind::WouldMissDeadline
    );
    let mut patient = request(0, 102);
    patient.deadline = TimeMs(NOW.0 + 200_000);
    assert!(scheduler.submit(patient, TimeMs(6_000)).is_ok());
}

#[test]
fn a_retry_takes_a_slot_on_another_server() {
    let mut scheduler = scheduler(1, QueueLimits::default());
    scheduler.apply_grant(&grant(&[(0, 1), (1, 1)], &[]), FAR);
    scheduler.submit(request(0, 1), NOW).unwrap();
    let running = scheduler.dispatch(NOW).remove(0).running;
    let first = running.server;
    let moved = scheduler
        .move_to_untried_server(running, &[first], NOW)
        .expect("the other server is free");
    assert_ne!(moved.server, first);
    let both = [first, moved.server];
    let stuck = scheduler
        .move_to_untried_server(moved, &both, NOW)
        .expect_err("every server was tried");
    scheduler.finish(stuck, 1.0, true);
    assert_eq!(scheduler.slot_counts().1, 0, "no slot is left in use");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    /// Whatever happens, slots in use match what runs, and every request ends up somewhere.
    #[test]
    fn no_slot_leaks(steps in proptest::collection::vec((0_u8..6, any::<u8>()), 1..200)) {
        let mut scheduler = scheduler(3, QueueLimits { queued_max: 50, ..QueueLimits::default() });
        let mut now = NOW;
        let mut tickets = Vec::new();
        let mut running = Vec::new();
        for (step, seed) in steps {
            now = now.plus_ms(u64::from(seed));
            match step {
                0 | 1 => {
                    let workspace = u32::from(seed % 3);
                    tickets.extend(scheduler.submit(request(workspace, 0), now));
                }
                2 => {
                    let lease = grant(&[(0, u32::from(seed % 9)), (1, u32::from(seed / 32))], &[(0, 1.5)]);
                    scheduler.apply_grant(&lease, now.plus_ms(500));
                }
                3 if !running.is_empty() => {
                    let index = usize::from(seed) % running.len();
                    scheduler.finish(running.swap_remove(index), f64::from(seed), seed % 2 == 0);
                }
                4 if !tickets.is_empty() => {
                    let index = usize::from(seed) % tickets.len();
                    scheduler.withdraw(tickets.swap_remove(index));
                }
                _ => {
                    scheduler.tick(now);
                }
            }
            running.extend(scheduler.dispatch(now).into_iter().map(|dispatch| dispatch.running));
            let (_, in_use) = scheduler.slot_counts();
            assert_eq!(in_use as usize, running.len());
            let report = scheduler.report(now);
            let reported: u32 = report.demands.iter().map(|demand| demand.running).sum();
            assert_eq!(reported as usize, running.len());
        }
        for ended in running {
            scheduler.finish(ended, 1.0, true);
        }
        assert_eq!(scheduler.slot_counts().1, 0);
    }
}

/// Fills all eight slots with streams of workspace 0.
fn flooded() -> (TestScheduler, Vec<Running>) {
    let mut scheduler = scheduler(2, QueueLimits::default());
    scheduler.apply_grant(&grant(&[(0, 8)], &[(0, 4.0), (1, 4.0)]), FAR);
    for number in 0..20 {
        let mut waiting = request(0, number);
        waiting.preemptible = true;
        scheduler.submit(waiting, NOW).unwrap();
    }
    let running: Vec<Running> = scheduler
        .dispatch(NOW)
        .into_iter()
        .map(|dispatch| dispatch.running)
        .collect();
    assert_eq!(running.len(), 8);
    (scheduler, running)
}

fn raised(running: &[Running]) -> usize {
    running
        .iter()
        .filter(|running| running.preempt.is_raised())
        .count()
}

#[test]
fn a_workspace_short_of_its_share_takes_slots_back() {
    let (mut scheduler, mut running) = flooded();
    let later = NOW.plus_ms(200);
    for number in 0..4 {
        scheduler.submit(request(1, number), later).unwrap();
    }
    assert_eq!(scheduler.preempt_excess(later), 4);
    assert_eq!(raised(&running), 4);
    assert_eq!(scheduler.preempt_excess(later), 0, "no more than are needed");
    running.sort_by_key(|running| running.preempt.is_raised());
    for ended in running.drain(4..) {
        scheduler.finish(ended, 10.0, false);
    }
    let next = scheduler.dispatch(later);
    assert!(
        next.iter()
            .all(|dispatch| dispatch.running.workspace == WorkspaceKey(1))
    );
    assert_eq!(next.len(), 4);
}

#[test]
fn a_lease_that_shrinks_calls_streams_back_but_for_what_wanders() {
    let (mut scheduler, running) = flooded();
    scheduler.apply_grant(&grant(&[(0, 2)], &[(0, 2.0)]), FAR);
    assert_eq!(
        scheduler.preempt_excess(NOW.plus_ms(200)),
        5,
        "eight less two less one"
    );
    assert_eq!(raised(&running), 5);
}

#[test]
fn nothing_is_called_back_without_a_grant_in_force_or_right_after_the_start() {
    let (mut scheduler, running) = flooded();
    scheduler.submit(request(1, 1), NOW).unwrap();
    assert_eq!(
        scheduler.preempt_excess(NOW.plus_ms(50)),
        0,
        "they have just begun"
    );
    assert_eq!(scheduler.preempt_excess(FAR), 0, "the grant has lapsed");
    assert_eq!(raised(&running), 0);
}
