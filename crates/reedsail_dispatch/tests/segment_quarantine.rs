//! When requests with a segment are no longer sent because servers end under it, and when they are sent again.

use reedsail_core::Fingerprint;
use reedsail_core::NameHash;
use reedsail_core::TimeMs;
use reedsail_dispatch::AllowedRegions;
use reedsail_dispatch::Attempt;
use reedsail_dispatch::AttemptOutcome;
use reedsail_dispatch::Decision;
use reedsail_dispatch::Demand;
use reedsail_dispatch::DispatchSettings;
use reedsail_dispatch::Dispatcher;
use reedsail_dispatch::LoadReport;
use reedsail_dispatch::Priority;
use reedsail_dispatch::Prompt;
use reedsail_dispatch::PromptSegment;
use reedsail_dispatch::QuarantineChange;
use reedsail_dispatch::ServerSetup;
use reedsail_dispatch::SoftwareVersion;
use reedsail_dispatch::SuspectKey;
use reedsail_dispatch::SuspectRow;
use reedsail_dispatch::VersionDemand;

/// A minute after the start of the process.
const START: TimeMs = TimeMs(TimeMs::PROCESS_START.0 + 60_000);
const ROOT: u64 = 1;
const POISON: u64 = 2;
const NEIGHBOUR: u64 = 3;
/// Time from sending a request to the beginning of its answer, in milliseconds.
const BEGIN_MS: u64 = 50;
/// Time from an end to the next request, in milliseconds.
const PAUSE_MS: u64 = 300;
/// Number of events that an answer has when it goes on.
const EVENTS: usize = 20;
/// Time between two of them, in milliseconds.
const EVENT_INTERVAL_MS: u64 = 20;

fn setup(number: u32, is_draining: bool) -> ServerSetup {
    ServerSetup {
        name: NameHash(number),
        service: NameHash::of("service"),
        failure_domain: NameHash::of("domain"),
        region: None,
        slots: 64,
        is_draining,
        cold_until: None,
        version: SoftwareVersion::of("v1"),
    }
}

fn prompt(ids: &[u64]) -> Prompt {
    let segment = |id: &u64| PromptSegment { id: *id, tokens: 40 };
    Prompt {
        segments: ids.iter().map(segment).collect(),
        output_tokens: 20,
    }
}

/// An instance with one server at a time. After each end the next server starts.
struct Instance {
    dispatcher: Dispatcher,
    server: u32,
    now: TimeMs,
    requests: u64,
}

impl Instance {
    fn new(first_server: u32) -> Self {
        let mut dispatcher = Dispatcher::new(DispatchSettings::default(), NameHash::of("domain"));
        dispatcher.set_servers(&[setup(first_server, false)]);
        Self {
            dispatcher,
            server: first_server,
            now: START,
            requests: 0,
        }
    }

    /// Sends a request, no two of which are alike. Returns `None` if it is quarantined.
    fn send(&mut self, workspace: &str, segments: &[u64]) -> Option<Attempt> {
        self.requests += 1;
        let own = 1_000 * u64::from(self.server) + self.requests;
        let prompt = prompt(&[segments, &[own]].concat());
        let demand = Demand {
            service: NameHash::of("service"),
            workspace: NameHash::of(workspace),
            prompt: Some(&prompt),
            latency_target_ms: 5_000,
            gap_target_ms: None,
            priority: Priority::default(),
            waited_ms: 0,
            tried: &[],
            regions: &AllowedRegions::Any,
            fingerprint: Some(Fingerprint(u128::from(own))),
            version: VersionDemand::Any,
        };
        match self.dispatcher.decide(&demand, self.now) {
            Decision::Send(placement) => {
                let mut attempt = self.dispatcher.begin_attempt(&demand, &placement, self.now);
                attempt.set_written(true);
                Some(attempt)
            }
            Decision::Quarantined(SuspectKey::Segment(_)) => None,
            other => panic!("{other:?}"),
        }
    }

    fn sends(&mut self, workspace: &str, segments: &[u64]) -> bool {
        let attempt = self.send(workspace, segments);
        attempt
            .map(|attempt| self.finish(attempt, AttemptOutcome::Abandoned))
            .is_some()
    }

    fn finish(&mut self, attempt: Attempt, outcome: AttemptOutcome) {
        self.dispatcher.finish_attempt(attempt, outcome, self.now);
    }

    /// Sends requests whose answers begin, and ends the server.
    fn end_server_under(&mut self, requests: &[(&str, &[u64])]) {
        let attempts: Vec<Attempt> = requests
            .iter()
            .map(|(workspace, segments)| self.send(workspace, segments).unwrap())
            .collect();
        self.advance(BEGIN_MS);
        for mut attempt in attempts {
            attempt.record_started(self.now);
            self.finish(attempt, AttemptOutcome::Broken);
        }
        self.replace_server(false);
    }

    fn replace_server(&mut self, is_draining: bool) {
        if is_draining {
            self.dispatcher.set_servers(&[setup(self.server, true)]);
        }
        self.server += 1;
        self.dispatcher.set_servers(&[setup(self.server, false)]);
        self.advance(PAUSE_MS);
    }

    /// Sends a request whose answer goes on, and is still going on.
    fn answer_partly(&mut self, workspace: &str, segments: &[u64]) -> Attempt {
        let mut attempt = self.send(workspace, segments).unwrap();
        attempt.record_started(self.now);
        for _ in 0..EVENTS {
            self.advance(EVENT_INTERVAL_MS);
            self.dispatcher.record_event(&mut attempt, self.now);
        }
        attempt
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
}

/// Returns an instance under which three servers ended with the segment.
fn instance_with_quarantined_segment() -> Instance {
    let mut instance = Instance::new(1);
    for _ in 0..3 {
        instance.end_server_under(&[("own", &[ROOT, POISON])]);
    }
    instance
}

#[test]
fn requests_with_a_segment_are_refused_after_three_servers_ended_under_it() {
    let mut instance = Instance::new(1);
    for _ in 0..3 {
        instance.end_server_under(&[("own", &[ROOT, POISON])]);
    }
    assert!(!instance.sends("own", &[ROOT, POISON]));
    // Without the other segment of all three, the next request tells which of them it is.
    instance.end_server_under(&[("own", &[POISON])]);
    assert!(!instance.sends("own", &[POISON]));
    assert_eq!(instance.dispatcher.quarantined_requests(), 0);
}

#[test]
fn sound_requests_that_share_a_segment_with_the_quarantined_one_are_sent() {
    let mut instance = instance_with_quarantined_segment();
    let attempt = instance.answer_partly("own", &[ROOT, NEIGHBOUR]);
    instance.finish(attempt, AttemptOutcome::Answered);
    assert!(instance.sends("own", &[ROOT, NEIGHBOUR]));
    assert!(!instance.sends("own", &[ROOT, POISON]));
}

#[test]
fn a_segment_that_was_present_beside_the_cause_is_sent_without_it() {
    let mut instance = Instance::new(1);
    for _ in 0..3 {
        instance.end_server_under(&[("own", &[ROOT, POISON]), ("own", &[ROOT, NEIGHBOUR])]);
    }
    assert!(instance.sends("own", &[ROOT, NEIGHBOUR]));
    instance.end_server_under(&[("own", &[ROOT, POISON])]);
    assert!(!instance.sends("own", &[ROOT, POISON]));
    assert!(instance.sends("own", &[ROOT, NEIGHBOUR]));
}

#[test]
fn the_first_segment_is_quarantined_once_servers_end_under_different_ones_below_it() {
    let mut instance = Instance::new(1);
    for below in [10, 11, 12] {
        instance.end_server_under(&[("own", &[POISON, below])]);
    }
    assert!(!instance.sends("own", &[POISON, 13]));
    assert!(instance.sends("own", &[ROOT, 10]));
}

#[test]
fn an_answer_that_goes_on_clears_its_segments() {
    let mut instance = Instance::new(1);
    for _ in 0..2 {
        instance.end_server_under(&[("own", &[ROOT, POISON])]);
    }
    let attempt = instance.answer_partly("own", &[ROOT, POISON]);
    instance.end_server_under(&[("own", &[ROOT, POISON])]);
    assert!(instance.sends("own", &[ROOT, POISON]));
    instance.finish(attempt, AttemptOutcome::Answered);
}

#[test]
fn servers_that_end_together_count_once() {
    let mut instance = Instance::new(1);
    let servers = [1, 2, 3, 4].map(|number| setup(number, false));
    instance.dispatcher.set_servers(&servers);
    let mut attempts: Vec<Attempt> = (0..12)
        .filter_map(|_| instance.send("own", &[ROOT, NEIGHBOUR]))
        .collect();
    instance.advance(BEGIN_MS);
    for attempt in &mut attempts {
        attempt.record_started(instance.now);
    }
    for attempt in attempts {
        instance.finish(attempt, AttemptOutcome::Broken);
    }
    instance.server = 5;
    instance.replace_server(false);
    assert!(instance.sends("own", &[ROOT, NEIGHBOUR]));
}

#[test]
fn servers_that_end_before_the_head_of_the_answer_count() {
    let mut instance = Instance::new(1);
    for _ in 0..3 {
        let attempt = instance.send("own", &[ROOT, POISON]).unwrap();
        instance.advance(BEGIN_MS);
        instance.finish(attempt, AttemptOutcome::Broken);
        instance.replace_server(false);
    }
    assert!(!instance.sends("own", &[ROOT, POISON]));
}

#[test]
fn an_answer_whose_head_came_clears_ends_before_the_head() {
    let mut instance = Instance::new(1);
    for _ in 0..2 {
        let attempt = instance.send("own", &[ROOT, NEIGHBOUR]).unwrap();
        instance.finish(attempt, AttemptOutcome::Broken);
        instance.replace_server(false);
        let attempt = instance.answer_partly("own", &[ROOT, NEIGHBOUR]);
        instance.finish(attempt, AttemptOutcome::Abandoned);
    }
    instance.end_server_under(&[("own", &[ROOT, NEIGHBOUR])]);
    assert!(instance.sends("own", &[ROOT, NEIGHBOUR]));
}

#[test]
fn the_number_of_events_that_one_read_holds_does_not_matter() {
    for events in [0, 1, 8, 9, 12, 200] {
        let mut instance = Instance::new(1);
        for _ in 0..3 {
            let mut attempt = instance.send("own", &[ROOT, POISON]).unwrap();
            instance.advance(BEGIN_MS);
            attempt.record_started(instance.now);
            for _ in 0..events {
                instance.dispatcher.record_event(&mut attempt, instance.now);
            }
            instance.finish(attempt, AttemptOutcome::Broken);
            instance.replace_server(false);
        }
        assert!(!instance.sends("own", &[ROOT, POISON]), "{events} events");
    }
}

#[test]
fn servers_that_end_seconds_into_their_answers_count() {
    let mut instance = Instance::new(1);
    for _ in 0..3 {
        let mut attempt = instance.send("own", &[ROOT, POISON]).unwrap();
        attempt.record_started(instance.now);
        for _ in 0..100 {
            instance.advance(50);
            instance.dispatcher.record_event(&mut attempt, instance.now);
        }
        instance.finish(attempt, AttemptOutcome::Broken);
        instance.replace_server(false);
    }
    assert!(!instance.sends("own", &[ROOT, POISON]));
}

#[test]
fn ends_at_very_different_times_of_the_answers_do_not_add_up() {
    let mut instance = Instance::new(1);
    for answered_ms in [0, 1_500, 8_000] {
        let mut attempt = instance.send("own", &[ROOT, NEIGHBOUR]).unwrap();
        attempt.record_started(instance.now);
        instance.advance(answered_ms);
        instance.finish(attempt, AttemptOutcome::Broken);
        instance.replace_server(false);
    }
    assert!(instance.sends("own", &[ROOT, NEIGHBOUR]));
}

#[test]
fn a_segment_that_was_answered_before_is_quarantined_one_end_later() {
    let mut instance = Instance::new(1);
    let attempt = instance.answer_partly("own", &[ROOT, POISON]);
    instance.finish(attempt, AttemptOutcome::Answered);
    for _ in 0..3 {
        assert!(instance.sends("own", &[ROOT, POISON]));
        instance.end_server_under(&[("own", &[ROOT, POISON])]);
    }
    assert!(instance.sends("own", &[ROOT, POISON]));
    instance.end_server_under(&[("own", &[ROOT, POISON])]);
    assert!(!instance.sends("own", &[ROOT, POISON]));
}

/// Sends a request to each of several servers, which end one after the other, `gap_ms` apart. Then no request can be sent
/// after an end.
fn end_servers_that_run_together(instance: &mut Instance, count: u32, gap_ms: u64) {
    let first = instance.server;
    let mut attempts = Vec::new();
    for number in first..first + count {
        instance.dispatcher.set_servers(&[setup(number, false)]);
        let mut attempt = instance.send("own", &[ROOT, POISON]).unwrap();
        attempt.record_started(instance.now);
        attempts.push(attempt);
        instance.advance(gap_ms);
    }
    instance.advance(5_000);
    for attempt in attempts {
        instance.finish(attempt, AttemptOutcome::Broken);
        instance.advance(gap_ms);
    }
    instance.server = first + count;
    instance.replace_server(false);
}

#[test]
fn a_segment_that_was_never_answered_is_quarantined_when_five_servers_end_that_ran_it_together() {
    let mut instance = Instance::new(1);
    end_servers_that_run_together(&mut instance, 5, 200);
    assert!(
        instance.sends("own", &[ROOT, POISON]),
        "answers may still clear it"
    );
    instance.advance(1_500);
    assert!(!instance.sends("own", &[ROOT, POISON]));
}

/// After a restart of all instances no segment is known to have been answered, also not those that all requests share.
#[test]
fn five_servers_that_end_soon_after_the_start_put_no_segment_in_quarantine() {
    let mut instance = Instance::new(1);
    instance.now = TimeMs::PROCESS_START;
    end_servers_that_run_together(&mut instance, 5, 200);
    instance.advance(1_500);
    assert!(instance.sends("own", &[ROOT, POISON]));
}

#[test]
fn a_workspace_with_many_segments_leaves_room_for_the_answered_ones_of_others() {
    let mut instance = Instance::new(1);
    let attempt = instance.answer_partly("own", &[ROOT, POISON]);
    instance.finish(attempt, AttemptOutcome::Answered);
    for number in 0..300 {
        let many: Vec<u64> = (0..60).map(|segment| 10_000 + 60 * number + segment).collect();
        let attempt = instance.send("other", &many).unwrap();
        instance.finish(attempt, AttemptOutcome::Answered);
    }
    end_servers_that_run_together(&mut instance, 5, 200);
    instance.advance(1_500);
    assert!(instance.sends("own", &[ROOT, POISON]));
}

#[test]
fn five_servers_that_end_at_one_moment_put_no_segment_in_quarantine() {
    let mut instance = Instance::new(1);
    end_servers_that_run_together(&mut instance, 5, 0);
    instance.advance(1_500);
    assert!(instance.sends("own", &[ROOT, POISON]));
}

#[test]
fn a_server_that_ends_together_with_one_without_the_segment_is_no_evidence() {
    let mut instance = Instance::new(1);
    for round in 0..4 {
        let names = [2 * round + 1, 2 * round + 2];
        instance.dispatcher.set_servers(&[setup(names[0], false)]);
        let suspected = instance.send("own", &[NEIGHBOUR]).unwrap();
        instance.dispatcher.set_servers(&[setup(names[1], false)]);
        let other = instance.send("own", &[ROOT]).unwrap();
        instance.advance(BEGIN_MS);
        instance.finish(suspected, AttemptOutcome::Broken);
        instance.finish(other, AttemptOutcome::Broken);
        instance.server = names[1];
        instance.replace_server(false);
        let answered = instance.answer_partly("own", &[ROOT]);
        instance.finish(answered, AttemptOutcome::Answered);
    }
    assert!(instance.sends("own", &[NEIGHBOUR]));
}

#[test]
fn the_end_of_a_draining_server_is_no_evidence() {
    let mut instance = Instance::new(1);
    for _ in 0..5 {
        let mut attempt = instance.send("own", &[ROOT, NEIGHBOUR]).unwrap();
        attempt.record_started(instance.now);
        instance.finish(attempt, AttemptOutcome::Broken);
        instance.replace_server(true);
    }
    assert!(instance.sends("own", &[ROOT, NEIGHBOUR]));
}

#[test]
fn one_workspace_can_not_have_the_prompts_of_another_refused() {
    let mut instance = instance_with_quarantined_segment();
    assert!(instance.sends("other", &[ROOT, POISON]));
    instance.end_server_under(&[("other", &[ROOT, POISON])]);
    assert!(!instance.sends("other", &[ROOT, POISON]));
    assert!(!instance.sends("third", &[ROOT, POISON]));
}

#[test]
fn a_workspace_that_was_present_at_each_end_counts_alone() {
    let mut instance = Instance::new(1);
    instance.end_server_under(&[("own", &[ROOT, POISON]), ("other", &[ROOT, POISON])]);
    for _ in 0..2 {
        instance.end_server_under(&[("own", &[ROOT, POISON])]);
    }
    assert!(!instance.sends("own", &[ROOT, POISON]));
    assert!(instance.sends("other", &[ROOT, POISON]));
    assert!(instance.sends("third", &[ROOT, POISON]));
}

#[test]
fn ends_under_several_workspaces_add_up() {
    let mut instance = Instance::new(1);
    for workspace in ["one", "two", "three"] {
        instance.end_server_under(&[(workspace, &[ROOT, POISON])]);
    }
    assert!(!instance.sends("fourth", &[ROOT, POISON]));
}

#[test]
fn ends_observed_by_different_instances_add_up() {
    let mut instances = [Instance::new(1), Instance::new(101), Instance::new(201)];
    for (index, instance) in instances.iter_mut().enumerate() {
        instance.advance(1_000 * index as u64);
        instance.end_server_under(&[("own", &[ROOT, POISON])]);
        instance.advance(2_000 - 1_000 * index as u64);
    }
    let [first, second, third] = &mut instances;
    for peer in [first, second] {
        peer.dispatcher.announce_suspects(peer.now);
        third.receive_rows(peer.rows());
    }
    assert!(!third.sends("own", &[ROOT, POISON]));
}

/// Guards against times of answers that grow by each transmission until they clear later ends.
#[test]
fn the_time_of_an_answer_is_told_by_its_observer_only() {
    let mut observer = Instance::new(1);
    observer.end_server_under(&[("own", &[ROOT, NEIGHBOUR])]);
    let attempt = observer.answer_partly("own", &[ROOT, NEIGHBOUR]);
    observer.finish(attempt, AttemptOutcome::Answered);
    observer.end_server_under(&[("own", &[ROOT, NEIGHBOUR])]);
    let is_segment = |row: &SuspectRow| matches!(row.key, SuspectKey::Segment(_));
    let rows = observer.rows();
    let told = |row: &&SuspectRow| is_segment(row) && row.answered_ms_ago.is_some();
    assert_eq!(rows.iter().filter(told).count(), 2);
    let mut peer = Instance::new(101);
    peer.now = observer.now;
    peer.receive_rows(rows);
    peer.end_server_under(&[("own", &[ROOT, NEIGHBOUR])]);
    let rows = peer.rows();
    assert_eq!(rows.iter().filter(|row| is_segment(row)).count(), 2);
    assert_eq!(rows.iter().filter(told).count(), 0);
}

#[test]
fn an_instance_that_joins_learns_of_a_quarantined_segment_from_any_peer() {
    let mut observer = Instance::new(1);
    for workspace in ["one", "two", "three"] {
        observer.end_server_under(&[(workspace, &[ROOT, POISON])]);
    }
    observer.dispatcher.announce_suspects(observer.now);
    let mut other = Instance::new(101);
    other.now = observer.now;
    other.receive_rows(observer.rows());
    other.advance(3_000);
    other.dispatcher.announce_suspects(other.now);
    let mut newcomer = Instance::new(201);
    newcomer.now = other.now;
    newcomer.receive_rows(other.rows());
    assert!(!newcomer.sends("own", &[ROOT, POISON]));
}

/// Ages of ends that are cut off at the start of the process fall together, so that the ends count as one.
#[test]
fn an_instance_that_has_just_started_learns_of_ends_before_its_start() {
    let mut observer = instance_with_quarantined_segment();
    observer.advance(60_000);
    observer.dispatcher.announce_suspects(observer.now);
    let mut newcomer = Instance::new(201);
    newcomer.now = TimeMs::PROCESS_START;
    newcomer.receive_rows(observer.rows());
    assert!(!newcomer.sends("own", &[ROOT, POISON]));
}

#[test]
fn one_request_in_ten_minutes_probes_a_quarantined_segment() {
    let mut instance = instance_with_quarantined_segment();
    let mut sent = 0;
    for _ in 0..60 {
        instance.advance(10_000);
        sent += u32::from(instance.sends("own", &[ROOT, POISON]));
    }
    assert_eq!(sent, 0);
    // The probes of the instances are spread over ten more minutes.
    let attempt = (0..60).find_map(|_| {
        instance.advance(10_000);
        instance.send("own", &[ROOT, POISON])
    });
    assert!(!instance.sends("own", &[ROOT, POISON]));
    let mut attempt = attempt.unwrap();
    attempt.record_started(instance.now);
    instance.advance(1_000);
    instance.finish(attempt, AttemptOutcome::Answered);
    assert!(instance.sends("own", &[ROOT, POISON]));
    let changes = instance.dispatcher.take_quarantine_events();
    let last = changes
        .iter()
        .rfind(|event| event.change != QuarantineChange::EndsCleared);
    assert_eq!(last.unwrap().change, QuarantineChange::Cleared);
}

#[test]
fn a_request_probes_no_segment_while_another_of_its_own_may_not_be_probed() {
    let mut instance = instance_with_quarantined_segment();
    let has_probed = (0..200).any(|_| {
        instance.advance(10_000);
        instance.sends("own", &[ROOT, POISON])
    });
    assert!(has_probed);
    for _ in 0..3 {
        instance.end_server_under(&[("own", &[NEIGHBOUR])]);
    }
    instance.advance(60_000);
    assert!(!instance.sends("own", &[ROOT, POISON, NEIGHBOUR]));
    assert!(instance.sends("own", &[ROOT, POISON]));
}

#[test]
fn a_request_with_a_thousand_segments_leaves_room_for_other_suspects() {
    let mut instance = instance_with_quarantined_segment();
    let many: Vec<u64> = (1_000..2_000).collect();
    for _ in 0..2 {
        instance.end_server_under(&[("own", &many)]);
    }
    assert!(!instance.sends("own", &[ROOT, POISON]));
    assert!(instance.rows().len() <= 64);
}

#[test]
fn an_answer_is_reported_before_suspects_with_one_end() {
    let mut instance = Instance::new(1);
    instance.end_server_under(&[("own", &[ROOT, NEIGHBOUR])]);
    let many: Vec<Vec<u64>> = (0..10)
        .map(|number| (100 * number + 1_000..100 * number + 1_050).collect())
        .collect();
    let requests: Vec<(&str, &[u64])> = many.iter().map(|ids| ("other", ids.as_slice())).collect();
    instance.end_server_under(&requests);
    let attempt = instance.answer_partly("own", &[ROOT, NEIGHBOUR]);
    instance.finish(attempt, AttemptOutcome::Answered);
    let rows = instance.rows();
    assert_eq!(rows.len(), 64);
    let answered = rows.iter().filter(|row| row.ends.is_empty()).count();
    assert_eq!(answered, 2);
}
