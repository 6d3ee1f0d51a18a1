//! A seed always draws the same schedule, its faults stay within its time, and storing does not change it.

use proptest::prelude::ProptestConfig;
use proptest::proptest;
use reedsail_soak::FaultKind;
use reedsail_soak::Link;
use reedsail_soak::Schedule;
use reedsail_soak::draw_schedule;

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_seed_draws_the_same_schedule_within_its_time(seed in 0_u64..1_000_000, for_s in 12_u64..120) {
        let schedule = draw_schedule(seed, for_s * 1_000, None);
        assert_eq!(schedule, draw_schedule(seed, for_s * 1_000, None));
        assert!(!schedule.faults.is_empty());
        for fault in &schedule.faults {
            assert!(fault.at_ms + fault.for_ms <= schedule.for_ms - 8_000, "{fault:?}");
            let (instance, server) = target_numbers(fault.kind);
            assert!(instance < schedule.daemons && server < schedule.servers(), "{fault:?}");
        }
    }
}

/// Returns the instance and the server that a fault targets.
fn target_numbers(kind: FaultKind) -> (usize, usize) {
    match kind {
        FaultKind::Link(Link::Callers(instance) | Link::Store(instance), _)
        | FaultKind::KillDaemon(instance)
        | FaultKind::FreezeDaemon(instance)
        | FaultKind::StopDaemon(instance)
        | FaultKind::ReloadDaemon(instance) => (instance, 0),
        FaultKind::Link(Link::Server(server), _)
        | FaultKind::KillServer(server)
        | FaultKind::FreezeServer(server)
        | FaultKind::RetireServer(server)
        | FaultKind::LeaveUnannounced(server)
        | FaultKind::ReleaseServer(server, _)
        | FaultKind::RestartServer(server, _)
        | FaultKind::DrainByAnswers(server)
        | FaultKind::HideServer(server)
        | FaultKind::ServerAnswers(server, _) => (0, server),
        FaultKind::StoreRefuses
        | FaultKind::StoreSlow(_)
        | FaultKind::StoreLoses(_)
        | FaultKind::StoreForgets
        | FaultKind::StoreGoesBack(_)
        | FaultKind::Configure
        | FaultKind::PoisonSegment(_)
        | FaultKind::PoisonSegmentAt { .. }
        | FaultKind::KillAllDaemons
        | FaultKind::StopAllDaemons
        | FaultKind::ServiceFails { .. }
        | FaultKind::ReplaceKey
        | FaultKind::EmptyWorkspaces => (0, 0),
    }
}

#[test]
fn seeds_draw_every_kind_of_fault() {
    let mut names: Vec<&str> = (0..200)
        .flat_map(|seed| draw_schedule(seed, 60_000, None).faults)
        .map(|fault| fault.kind.name())
        .collect();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), 33, "{names:?}");
}

#[test]
fn a_stored_schedule_reads_back_unchanged() {
    let schedule = draw_schedule(7, 30_000, Some(4));
    let text = serde_json::to_string_pretty(&schedule).unwrap();
    let read: Schedule = serde_json::from_str(&text).unwrap();
    assert_eq!(read, schedule);
}
