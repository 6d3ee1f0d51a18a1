//! When a request is no longer sent because servers end while running it, and when it is sent again.

use reedsail_core::Fingerprint;
use reedsail_core::NameHash;
use reedsail_core::TimeMs;
use reedsail_dispatch::AllowedRegions;
use reedsail_dispatch::AttemptOutcome;
use reedsail_dispatch::Decision;
use reedsail_dispatch::Demand;
use reedsail_dispatch::DispatchSettings;
use reedsail_dispatch::Dispatcher;
use reedsail_dispatch::LoadReport;
use reedsail_dispatch::Priority;
use reedsail_dispatch::QuarantineChange;
use reedsail_dispatch::ServerSetup;
use reedsail_dispatch::SoftwareVersion;
use reedsail_dispatch::SuspectEndRow;
use reedsail_dispatch::SuspectKey;
use reedsail_dispatch::SuspectRow;
use reedsail_dispatch::VersionDemand;

const POISON: Fingerprint = Fingerprint(7);
const START: TimeMs = TimeMs(10_000);
/// How long a suspected request is kept, in milliseconds.
const SUSPECT_KEPT_MS: u64 = 600_000;

fn setup(number: u32) -> ServerSetup {
    ServerSetup {
        name: NameHash(number),
        service: NameHash::of("service"),
        failure_domain: NameHash::of("domain"),
        region: None,
        slots: 64,
        is_draining: false,
        cold_until: None,
        version: SoftwareVersion::of("v1"),
    }
}

fn end_row(server: u32) -> SuspectEndRow {
    SuspectEndRow {
        server: NameHash(server),
        ..SuspectEndRow::default()
    }
}

fn demand(fingerprint: Fingerprint, workspace: &str) -> Demand<'static> {
    Demand {
        service: NameHash::of("service"),
        workspace: NameHash::of(workspace),
        prompt: None,
        latency_target_ms: 1_000,
        gap_target_ms: None,
        priority: Priority::default(),
        waited_ms: 0,
        tried: &[],
        regions: &AllowedRegions::Any,
        fingerprint: Some(fingerprint),
        version: VersionDemand::Any,
    }
}

/// An instance with one server at a time. After each end the next server starts.
struct Instance {
    dispatcher: Dispatcher,
    server: u32,
    now: TimeMs,
}

impl Instance {
    fn new(first_server: u32) -> Self {
        let mut dispatcher = Dispatcher::new(DispatchSettings::default(), NameHash::of("domain"));
        dispatcher.set_servers(&[setup(first_server)]);
        Self {
            dispatcher,
            server: first_server,
            now: START,
        }
    }

    fn sends(&mut self, fingerprint: Fingerprint) -> bool {
        let decision = self.dispatcher.decide(&demand(fingerprint, "own"), self.now);
        match decision {
            Decision::Send(_) => true,
            Decision::Quarantined(_) | Decision::VersionGone => false,
            Decision::Refuse { kind, .. } => panic!("refused as {}", kind.name()),
        }
    }

    fn attempt(&mut self, fingerprint: Fingerprint, workspace: &str, outcome: AttemptOutcome) {
        let demand = demand(fingerprint, workspace);
        let Decision::Send(placement) = self.dispatcher.decide(&demand, self.now) else {
            panic!("the request was not sent");
        };
        let mut attempt = self.dispatcher.begin_attempt(&demand, &placement, self.now);
        attempt.set_written(true);
        if outcome == AttemptOutcome::Answered {
            self.dispatcher.record_first_event(&mut attempt, self.now);
        }
        self.dispatcher.finish_attempt(attempt, outcome, self.now);
    }

    /// Ends the server while it runs a request, and starts the next one.
    fn end_server_under(&mut self, fingerprint: Fingerprint, workspace: &str) {
        self.attempt(fingerprint, workspace, AttemptOutcome::Broken);
        self.server += 1;
        self.dispatcher.set_servers(&[setup(self.server)]);
        self.advance(50);
    }

    fn advance(&mut self, duration_ms: u64) {
        self.now = self.now.plus_ms(duration_ms);
        self.dispatcher.tick(self.now);
    }

    fn rows(&mut self) -> Vec<SuspectRow> {
        self.dispatcher.report(self.now).suspects
    }

    fn receive_rows(&mut self, suspects: Vec<SuspectRow>) {
        let report = LoadReport {
            suspects,
            ..LoadReport::default()
        };
        self.dispatcher
            .receive_report(NameHash::of("peer"), report, self.now);
    }

    fn changes(&mut self) -> Vec<QuarantineChange> {
        let events = self.dispatcher.take_quarantine_events();
        events.iter().map(|event| event.change).collect()
    }
}

fn instance_with_quarantined_request() -> Instance {
    let mut instance = Instance::new(1);
    for _ in 0..3 {
        instance.end_server_under(POISON, "own");
    }
    instance
}

#[test]
fn a_request_is_quarantined_after_three_servers_ended_while_running_it() {
    let mut instance = Instance::new(1);
    for _ in 0..3 {
        assert!(instance.sends(POISON));
        instance.end_server_under(POISON, "own");
    }
    assert!(!instance.sends(POISON));
    assert!(instance.sends(Fingerprint(8)));
    assert_eq!(instance.changes(), [QuarantineChange::Quarantined]);
    assert_eq!(instance.dispatcher.quarantined_requests(), 1);
}

#[test]
fn broken_connections_to_a_running_server_do_not_count() {
    let mut instance = Instance::new(1);
    for _ in 0..10 {
        instance.attempt(POISON, "own", AttemptOutcome::Broken);
        instance.advance(50);
    }
    assert!(instance.sends(POISON));
}

#[test]
fn an_answer_clears_a_request_before_the_third_end() {
    for ends in 1..3 {
        let mut instance = Instance::new(1);
        for _ in 0..ends {
            instance.end_server_under(POISON, "own");
        }
        instance.attempt(POISON, "own", AttemptOutcome::Answered);
        instance.advance(2_000);
        for _ in 0..2 {
            instance.end_server_under(POISON, "own");
        }
        assert!(instance.sends(POISON), "after {ends} ends");
        instance.end_server_under(POISON, "own");
        assert!(!instance.sends(POISON), "after {ends} ends");
    }
}

#[test]
fn ends_observed_by_different_instances_add_up() {
    let mut instances = [Instance::new(1), Instance::new(101), Instance::new(201)];
    for instance in &mut instances {
        instance.end_server_under(POISON, "own");
    }
    let [first, second, third] = &mut instances;
    third.receive_rows(first.rows());
    assert!(third.sends(POISON));
    third.receive_rows(second.rows());
    assert!(!third.sends(POISON));
}

#[test]
fn an_end_that_is_reported_repeatedly_counts_once() {
    let mut sender = Instance::new(1);
    sender.end_server_under(POISON, "own");
    let mut receiver = Instance::new(101);
    for _ in 0..5 {
        receiver.receive_rows(sender.rows());
    }
    assert!(receiver.sends(POISON));
}

#[test]
fn a_new_instance_learns_of_a_quarantine_from_any_peer_within_two_seconds() {
    let mut observer = instance_with_quarantined_request();
    let mut other = Instance::new(101);
    other.receive_rows(observer.rows());
    // The instance that observed the ends is gone. Only the peer that received its report is left.
    let mut newcomer = Instance::new(201);
    other.advance(700);
    for _ in 0..20 {
        other.advance(100);
        newcomer.receive_rows(other.rows());
    }
    assert!(!newcomer.sends(POISON));
}

#[test]
fn a_peer_that_just_joined_learns_of_a_quarantine_at_once() {
    let mut instance = instance_with_quarantined_request();
    // By now the request is announced only at intervals. Advance to a time between two announcements.
    instance.advance(3_000);
    while !instance.rows().is_empty() {
        instance.advance(50);
    }
    instance.dispatcher.announce_suspects(instance.now);
    let mut newcomer = Instance::new(900);
    newcomer.receive_rows(instance.rows());
    assert!(!newcomer.sends(POISON));
}

#[test]
fn an_answer_at_another_instance_clears_a_request() {
    let mut observer = Instance::new(1);
    observer.end_server_under(POISON, "own");
    observer.end_server_under(POISON, "own");
    let mut other = Instance::new(101);
    other.receive_rows(observer.rows());
    other.attempt(POISON, "own", AttemptOutcome::Answered);
    observer.receive_rows(other.rows());
    observer.advance(2_000);
    observer.end_server_under(POISON, "own");
    assert!(observer.sends(POISON));
}

#[test]
fn old_ends_do_not_count_again_after_an_answer() {
    let mut partitioned = instance_with_quarantined_request();
    let mut other = Instance::new(101);
    other.end_server_under(POISON, "own");
    other.attempt(POISON, "own", AttemptOutcome::Answered);
    other.advance(10_000);
    partitioned.advance(10_000);
    let mut announced_rows = 0;
    for _ in 0..20 {
        other.advance(100);
        partitioned.advance(100);
        let rows = partitioned.rows();
        announced_rows += rows.len();
        other.receive_rows(rows);
    }
    assert!(announced_rows > 0);
    assert!(other.sends(POISON));
    partitioned.receive_rows(other.rows());
    assert!(partitioned.sends(POISON));
    assert_eq!(
        partitioned.changes(),
        [QuarantineChange::Quarantined, QuarantineChange::Cleared]
    );
}

#[test]
fn a_request_stays_quarantined_while_it_is_retried_and_is_forgotten_afterwards() {
    let mut instance = instance_with_quarantined_request();
    for _ in 0..3 {
        instance.advance(SUSPECT_KEPT_MS - 1);
        assert!(!instance.sends(POISON));
    }
    instance.advance(SUSPECT_KEPT_MS);
    assert!(instance.sends(POISON));
    assert_eq!(
        instance.changes(),
        [QuarantineChange::Quarantined, QuarantineChange::Forgotten]
    );
}

#[test]
fn expired_rows_are_ignored() {
    let mut instance = Instance::new(1);
    instance.receive_rows(vec![SuspectRow {
        key: SuspectKey::Request(POISON),
        workspace: NameHash::of("own"),
        ends: [1, 2, 3].map(end_row).to_vec(),
        changed_ms_ago: SUSPECT_KEPT_MS as u32,
        seen_ms_ago: SUSPECT_KEPT_MS as u32,
        ..SuspectRow::default()
    }]);
    assert!(instance.sends(POISON));
}

#[test]
fn a_workspace_with_thousands_of_suspects_does_not_evict_those_of_others() {
    let mut instance = instance_with_quarantined_request();
    for number in 0..6_000 {
        let row = SuspectRow {
            key: SuspectKey::Request(Fingerprint(1_000 + number)),
            workspace: NameHash::of("other"),
            ends: [900, 901].map(end_row).to_vec(),
            ..SuspectRow::default()
        };
        instance.receive_rows(vec![row]);
    }
    assert!(!instance.sends(POISON));
}

#[test]
fn suspects_with_fewer_ends_do_not_evict_a_quarantined_request() {
    let mut instance = instance_with_quarantined_request();
    for number in 0..6_000 {
        let row = SuspectRow {
            key: SuspectKey::Request(Fingerprint(1_000 + number)),
            workspace: NameHash(number as u32 % 40),
            ends: vec![end_row(900)],
            ..SuspectRow::default()
        };
        instance.receive_rows(vec![row]);
    }
    assert!(!instance.sends(POISON));
}

#[test]
fn a_report_is_bounded_and_lists_quarantined_requests_first() {
    let mut instance = instance_with_quarantined_request();
    for number in 0..200 {
        instance.attempt(Fingerprint(1_000 + number), "own", AttemptOutcome::Broken);
    }
    instance.server += 1;
    instance.dispatcher.set_servers(&[setup(instance.server)]);
    instance.advance(50);
    let rows = instance.rows();
    assert_eq!(rows.len(), 64);
    assert_eq!(rows[0].key, SuspectKey::Request(POISON));
}
