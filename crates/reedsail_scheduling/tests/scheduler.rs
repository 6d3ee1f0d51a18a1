//! The queues and slots of a single instance: order, limits, leases, health and affinity.

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
const FAR_FUTURE: TimeMs = TimeMs(1_000_000);

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
        deadline: FAR_FUTURE,
        body_bytes: 10,
        prefix: None,
        preemptible: false,
        waker: number,
    }
}

#[test]
fn a_free_slot_is_used_without_a_report() {
    let mut scheduler = scheduler(1, QueueLimits::default());
    scheduler.apply_grant(&grant(&[(0, 1)], &[]), FAR_FUTURE);
    scheduler.submit(request(0, 1), NOW).unwrap();
    // There is no report before the dispatch: the first token does not depend on another instance.
    assert_eq!(scheduler.dispatch(NOW).len(), 1);
    assert!(!scheduler.needs_urgent_report());
}

#[test]
fn workspaces_are_served_in_proportion_to_their_shares() {
    let mut scheduler = scheduler(2, QueueLimits::default());
    scheduler.apply_grant(&grant(&[(0, 4)], &[(0, 3.0), (1, 1.0)]), FAR_FUTURE);
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
        "expected three quarters of 40, got {served:?}"
    );
}

#[test]
fn interactive_runs_before_batch_and_earlier_deadlines_run_first() {
    let mut scheduler = scheduler(1, QueueLimits::default());
    let mut batch = request(0, 1);
    batch.class = Class::Batch;
    let later = request(0, 2);
    let mut earlier = request(0, 3);
    earlier.deadline = TimeMs(500_000);
    for waiting in [batch, later, earlier] {
        scheduler.submit(waiting, NOW).unwrap();
    }
    scheduler.apply_grant(&grant(&[(0, 3)], &[]), FAR_FUTURE);
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
    scheduler.apply_grant(&grant(&[(0, 8)], &[]), FAR_FUTURE);
    assert_eq!(
        scheduler.dispatch(NOW).len(),
        1,
        "the limit allows one running request"
    );
}

#[test]
fn an_expired_lease_yields_no_slot_even_before_a_tick() {
    let mut scheduler = scheduler(1, QueueLimits::default());
    scheduler.apply_grant(&grant(&[(0, 4)], &[]), TimeMs(2_000));
    scheduler.submit(request(0, 1), NOW).unwrap();
    scheduler.submit(request(0, 2), NOW).unwrap();
    assert!(scheduler.dispatch(TimeMs(2_000)).is_empty());
    assert_eq!(scheduler.dispatch(TimeMs(1_999)).len(), 2);
}

#[test]
fn a_leaving_server_gets_no_new_requests() {
    let mut scheduler = scheduler(1, QueueLimits::default());
    scheduler.apply_grant(&grant(&[(0, 4)], &[]), FAR_FUTURE);
    scheduler.set_leaving(|server| server == ServerKey(0));
    scheduler.submit(request(0, 1), NOW).unwrap();
    assert!(scheduler.dispatch(NOW).is_empty());
}

#[test]
fn a_failing_server_rests_and_returns_in_a_slow_start() {
    let mut scheduler = scheduler(1, QueueLimits::default());
    scheduler.apply_grant(&grant(&[(0, 4)], &[]), FAR_FUTURE);
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
    assert!(scheduler.dispatch(NOW).is_empty(), "the server rests");
    let after_rest = TimeMs(NOW.0 + 600);
    let mut first = scheduler.dispatch(after_rest);
    assert_eq!(first.len(), 1, "one request at first");
    scheduler.finish(first.remove(0).running, 1.0, true);
    assert_eq!(
        scheduler.dispatch(after_rest).len(),
        2,
        "two after the first answer"
    );
}

#[test]
fn a_cached_prefix_attracts_requests_unless_its_server_is_much_more_loaded() {
    let mut scheduler = scheduler(1, QueueLimits::default());
    scheduler.apply_grant(&grant(&[(0, 8), (1, 8)], &[]), FAR_FUTURE);
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
    assert_eq!(early, 4, "affinity holds while loads are similar");
    assert!(
        servers.iter().any(|server| *server != first),
        "affinity yields to load"
    );
}

#[test]
fn a_request_that_would_miss_its_deadline_is_refused_early() {
    let mut scheduler = scheduler(1, QueueLimits::default());
    scheduler.apply_grant(&grant(&[(0, 1)], &[]), FAR_FUTURE);
    for number in 0..100 {
        scheduler.submit(request(0, number), NOW).unwrap();
    }
    // One request of 50 units per second, for five seconds.
    for second in 1..=5 {
        let at = TimeMs(NOW.0 + second * 1_000);
        let running = scheduler.dispatch(at).remove(0).running;
        scheduler.finish(running, 50.0, true);
        scheduler.tick(at);
    }
    let mut urgent = request(0, 101);
    urgent.deadline = TimeMs(NOW.0 + 10_000);
    assert_eq!(
        scheduler.submit(urgent, TimeMs(6_000)).unwrap_err().0,
        ErrorKind::WouldMissDeadline
    );
    let mut patient = request(0, 102);
    patient.deadline = TimeMs(NOW.0 + 200_000);
    assert!(scheduler.submit(patient, TimeMs(6_000)).is_ok());
}

#[test]
fn a_retry_takes_a_slot_on_another_server() {
    let mut scheduler = scheduler(1, QueueLimits::default());
    scheduler.apply_grant(&grant(&[(0, 1), (1, 1)], &[]), FAR_FUTURE);
    scheduler.submit(request(0, 1), NOW).unwrap();
    let running = scheduler.dispatch(NOW).remove(0).running;
    let first = running.server;
    let moved = scheduler
        .move_to_untried_server(running, &[first], NOW)
        .expect("the other server is free");
    assert_ne!(moved.server, first);
    let both = [first, moved.server];
    let unmoved = scheduler
        .move_to_untried_server(moved, &both, NOW)
        .expect_err("every server was tried");
    scheduler.finish(unmoved, 1.0, true);
    assert_eq!(scheduler.slot_counts().1, 0, "no slot is left in use");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    /// After any sequence of steps, the slots in use match the running requests, and every finished request
    /// releases its slot.
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

/// Returns a scheduler whose eight slots all run streams of workspace 0.
fn scheduler_full_of_streams() -> (TestScheduler, Vec<Running>) {
    let mut scheduler = scheduler(2, QueueLimits::default());
    scheduler.apply_grant(&grant(&[(0, 8)], &[(0, 4.0), (1, 4.0)]), FAR_FUTURE);
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

fn preempted_count(running: &[Running]) -> usize {
    running
        .iter()
        .filter(|running| running.preempt.is_raised())
        .count()
}

#[test]
fn a_workspace_below_its_share_preempts_another() {
    let (mut scheduler, mut running) = scheduler_full_of_streams();
    let later = NOW.plus_ms(200);
    for number in 0..4 {
        scheduler.submit(request(1, number), later).unwrap();
    }
    assert_eq!(scheduler.preempt_excess(later), 4);
    assert_eq!(preempted_count(&running), 4);
    assert_eq!(
        scheduler.preempt_excess(later),
        0,
        "no more preemptions than needed"
    );
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
fn a_shrunk_lease_preempts_streams_beyond_the_tolerance() {
    let (mut scheduler, running) = scheduler_full_of_streams();
    scheduler.apply_grant(&grant(&[(0, 2)], &[(0, 2.0)]), FAR_FUTURE);
    assert_eq!(
        scheduler.preempt_excess(NOW.plus_ms(200)),
        5,
        "eight in use, two leased, one tolerated"
    );
    assert_eq!(preempted_count(&running), 5);
}

#[test]
fn nothing_is_preempted_without_a_valid_grant_or_right_after_dispatch() {
    let (mut scheduler, running) = scheduler_full_of_streams();
    scheduler.submit(request(1, 1), NOW).unwrap();
    assert_eq!(
        scheduler.preempt_excess(NOW.plus_ms(50)),
        0,
        "the requests were just dispatched"
    );
    assert_eq!(scheduler.preempt_excess(FAR_FUTURE), 0, "the grant has expired");
    assert_eq!(preempted_count(&running), 0);
}
