//! A single allocator: the slots it leases, the state it recovers and the slots it lends.

use reedsail_core::NameHash;
use reedsail_core::ServerKey;
use reedsail_core::TimeMs;
use reedsail_core::WorkspaceKey;
use reedsail_scheduling::Allocator;
use reedsail_scheduling::AllocatorConfig;
use reedsail_scheduling::DemandRow;
use reedsail_scheduling::MemberKind;
use reedsail_scheduling::ServerCapacity;
use reedsail_scheduling::ServiceGrant;
use reedsail_scheduling::ServiceReport;
use reedsail_scheduling::SlotRow;

const START: TimeMs = TimeMs(1_000);

fn allocator(instances_expected: usize) -> Allocator {
    let mut allocator = Allocator::new(AllocatorConfig::default(), START);
    let servers = [0, 1].map(|index| ServerCapacity {
        server: ServerKey(index),
        slots: 10,
    });
    allocator.set_servers(servers.to_vec(), instances_expected);
    allocator
}

fn report(held: &[(u16, u32, u32)], demands: &[(u32, u32, u32, u32)]) -> ServiceReport {
    ServiceReport {
        kind: MemberKind::Instance,
        session: 1,
        own_slots: 0,
        base: 0.0,
        slots: held
            .iter()
            .map(|(server, held, in_use)| SlotRow {
                server: ServerKey(*server),
                held: *held,
                in_use: *in_use,
            })
            .collect(),
        resting: Vec::new(),
        demands: demands
            .iter()
            .map(|(workspace, queued, running, cost_total)| DemandRow {
                workspace: WorkspaceKey(*workspace),
                queued: *queued,
                running: *running,
                cost_total: *cost_total,
                lead: 0.0,
            })
            .collect(),
    }
}

fn leased_slots(grant: &ServiceGrant) -> u32 {
    grant.leases.iter().map(|lease| lease.slots).sum()
}

fn held_slots(grant: &ServiceGrant) -> Vec<(u16, u32, u32)> {
    let leases = grant.leases.iter();
    leases
        .map(|lease| (lease.server.0, lease.slots, lease.slots))
        .collect()
}

#[test]
fn idle_slots_are_leased_in_equal_parts() {
    let mut allocator = allocator(2);
    let first = NameHash(1);
    let second = NameHash(2);
    assert_eq!(
        leased_slots(&allocator.on_report(first, &report(&[], &[]), START)),
        0,
        "not settled"
    );
    assert_eq!(
        leased_slots(&allocator.on_report(second, &report(&[], &[]), START)),
        10
    );
    let later = START.plus_ms(200);
    assert_eq!(
        leased_slots(&allocator.on_report(first, &report(&[], &[]), later)),
        10
    );
}

#[test]
fn no_slot_is_leased_while_another_member_may_hold_it() {
    let mut allocator = allocator(2);
    let busy = report(&[(0, 10, 10), (1, 10, 10)], &[(0, 100, 20, 0)]);
    allocator.on_report(NameHash(1), &busy, START);
    let grant = allocator.on_report(NameHash(2), &report(&[], &[(1, 100, 0, 0)]), START);
    assert_eq!(
        leased_slots(&grant),
        0,
        "the first instance still holds all 20 slots"
    );
    let later = START.plus_ms(500);
    let shrunk = allocator.on_report(NameHash(1), &busy, later);
    assert_eq!(leased_slots(&shrunk), 10, "half of the slots must be returned");
    // Five of the first instance's requests have ended since.
    let giving = report(&[(0, 8, 8), (1, 7, 7)], &[(0, 100, 15, 0)]);
    allocator.on_report(NameHash(1), &giving, later.plus_ms(500));
    let grant = allocator.on_report(NameHash(2), &report(&[], &[(1, 100, 0, 0)]), later.plus_ms(500));
    assert_eq!(leased_slots(&grant), 5, "only the returned slots");
}

#[test]
fn slots_of_a_dead_instance_are_reclaimed_when_its_lease_expires() {
    let mut allocator = allocator(2);
    allocator.on_report(NameHash(1), &report(&[(0, 10, 10)], &[(0, 5, 10, 0)]), START);
    let wants = report(&[], &[(1, 100, 0, 0)]);
    let before = allocator.on_report(NameHash(2), &wants, START.plus_ms(2_999));
    assert!(leased_slots(&before) <= 10);
    let after = allocator.on_report(NameHash(2), &wants, START.plus_ms(3_001));
    assert_eq!(leased_slots(&after), 20);
}

#[test]
fn a_new_allocator_renews_held_slots_and_leases_no_others_until_settled() {
    let mut allocator = allocator(3);
    let held = report(&[(0, 6, 6)], &[(0, 50, 6, 4_000)]);
    let grant = allocator.on_report(NameHash(1), &held, START);
    assert_eq!(leased_slots(&grant), 6);
    assert!(
        (allocator.lead_of(WorkspaceKey(0))).abs() < 1e-9,
        "cost from before the start is not charged"
    );
    let settled = allocator.on_report(NameHash(1), &held, START.plus_ms(3_000));
    assert_eq!(
        leased_slots(&settled),
        20,
        "all other instances would have reported by now"
    );
}

#[test]
fn a_new_allocator_learns_virtual_times_from_its_members() {
    let mut allocator = allocator(1);
    let mut known = report(&[(0, 10, 10)], &[(0, 50, 5, 0), (1, 50, 5, 0)]);
    known.base = 1_000_000.0;
    known.demands[1].lead = 500.0;
    allocator.on_report(NameHash(1), &known, START);
    assert!((allocator.floor() - 1_000_000.0).abs() < 1e-6);
    assert!((allocator.lead_of(WorkspaceKey(1)) - 500.0).abs() < 1e-6);
    assert!(
        allocator.lead_of(WorkspaceKey(9)).abs() < 1e-6,
        "a new workspace starts at the floor"
    );
}

#[test]
fn repeated_and_stale_reports_are_not_charged_again() {
    let mut allocator = allocator(1);
    let at = |cost| report(&[], &[(0, 50, 1, cost), (1, 50, 1, 0)]);
    allocator.on_report(NameHash(1), &at(0), START);
    allocator.on_report(NameHash(1), &at(300), START.plus_ms(500));
    allocator.on_report(NameHash(1), &at(300), START.plus_ms(600));
    assert!((allocator.lead_of(WorkspaceKey(0)) - 300.0).abs() < 1e-6);
    // A stale report neither removes nor adds cost.
    allocator.on_report(NameHash(1), &at(200), START.plus_ms(700));
    assert!((allocator.lead_of(WorkspaceKey(0)) - 300.0).abs() < 1e-6);
}

#[test]
fn idle_workspaces_earn_no_credit() {
    let mut allocator = allocator(1);
    allocator.on_report(NameHash(1), &report(&[], &[(0, 5, 1, 0), (1, 5, 1, 0)]), START);
    // Workspace 1 goes idle while workspace 0 receives much service.
    allocator.on_report(NameHash(1), &report(&[], &[(0, 5, 1, 9_000)]), START.plus_ms(500));
    allocator.on_report(
        NameHash(1),
        &report(&[], &[(0, 5, 1, 9_100), (1, 5, 0, 0)]),
        START.plus_ms(1_000),
    );
    assert!(
        allocator.lead_of(WorkspaceKey(0)) <= 100.0 + 1e-6,
        "only cost since workspace 1 became active again"
    );
}

#[test]
fn a_workspace_that_is_behind_gets_more_slots() {
    let mut allocator = allocator(2);
    let ahead = |cost| report(&[], &[(0, 100, 0, cost)]);
    let behind = report(&[], &[(1, 100, 0, 0)]);
    allocator.on_report(NameHash(1), &ahead(0), START);
    allocator.on_report(NameHash(2), &behind, START);
    allocator.on_report(NameHash(1), &ahead(500), START.plus_ms(500));
    let grant = allocator.on_report(NameHash(2), &behind, START.plus_ms(500));
    assert!(
        leased_slots(&grant) > 10,
        "expected more than half of 20 slots, got {}",
        leased_slots(&grant)
    );
}

#[test]
fn spare_slots_are_lent_to_a_domain_that_lacks_slots() {
    let mut lender = allocator(1);
    let mut borrower = allocator(1);
    let (here, there) = (NameHash(100), NameHash(200));
    borrower.begin_domain_session(there, 1);
    lender.begin_domain_session(here, 1);
    lender.on_report(NameHash(1), &report(&[], &[]), START);
    borrower.on_report(
        NameHash(2),
        &report(&[(0, 10, 10), (1, 10, 10)], &[(0, 500, 20, 0)]),
        START,
    );
    // The lender's own instance returns its surplus slots in its next reports.
    let asked = borrower.domain_report(there, START);
    lender.on_report(here, &asked, START);
    let later = START.plus_ms(500);
    lender.on_report(NameHash(1), &report(&[(0, 10, 0), (1, 10, 0)], &[]), later);
    lender.on_report(NameHash(1), &report(&[], &[]), later.plus_ms(100));
    let grant = lender.on_report(here, &borrower.domain_report(there, later), later.plus_ms(100));
    assert_eq!(
        leased_slots(&grant),
        20,
        "no workspace in the lender's domain needs slots"
    );
    borrower.apply_domain_grant(there, &grant, later.plus_ms(3_000));
    let asked = borrower.domain_report(there, later.plus_ms(200));
    assert_eq!(asked.slots.iter().map(|row| row.held).sum::<u32>(), 20);
    // While partitioned, the borrower leases nothing borrowed once the loan has expired.
    borrower.expire(later.plus_ms(3_001));
    assert!(
        borrower
            .domain_report(there, later.plus_ms(3_001))
            .slots
            .is_empty()
    );
}

#[test]
fn leads_are_clamped_when_a_domain_reconnects() {
    let mut allocator = allocator(1);
    let held = [(0, 10, 10), (1, 10, 10)];
    allocator.on_report(
        NameHash(1),
        &report(&held, &[(0, 50, 10, 0), (1, 50, 10, 0)]),
        START,
    );
    // During a partition, workspace 0 receives a hundred seconds' worth of service and workspace 1 nothing.
    for step in 1..=20_u32 {
        let served = report(&held, &[(0, 50, 20, step * 1_000), (1, 50, 0, 0)]);
        allocator.on_report(NameHash(1), &served, START.plus_ms(u64::from(step) * 500));
    }
    let before = allocator.lead_of(WorkspaceKey(0));
    let mut other = report(&[], &[(0, 10, 10, 0), (1, 10, 10, 0)]);
    other.kind = MemberKind::Domain;
    other.own_slots = 20;
    let now = START.plus_ms(10_500);
    allocator.on_report(NameHash(200), &other, now);
    let after = allocator.lead_of(WorkspaceKey(0));
    assert!(after < before / 3.0, "from {before} to {after}");
}

#[test]
fn a_grant_omits_a_leaving_server() {
    let mut allocator = allocator(1);
    let first = allocator.on_report(NameHash(1), &report(&[], &[(0, 50, 0, 0)]), START);
    assert_eq!(leased_slots(&first), 20);
    let left = vec![
        ServerCapacity {
            server: ServerKey(0),
            slots: 0,
        },
        ServerCapacity {
            server: ServerKey(1),
            slots: 10,
        },
    ];
    allocator.set_servers(left, 1);
    let grant = allocator.on_report(
        NameHash(1),
        &report(&held_slots(&first), &[(0, 50, 20, 0)]),
        START.plus_ms(500),
    );
    assert!(grant.leases.iter().all(|lease| lease.server != ServerKey(0)));
    assert_eq!(leased_slots(&grant), 10);
}
