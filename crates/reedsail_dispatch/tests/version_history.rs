//! Which software versions the streams of a service may have begun at, and which servers may continue them.

use std::net::SocketAddr;

use reedsail_core::NameHash;
use reedsail_core::StorePosition;
use reedsail_core::TimeMs;
use reedsail_dispatch::AllowedRegions;
use reedsail_dispatch::Decision;
use reedsail_dispatch::Demand;
use reedsail_dispatch::DispatchSettings;
use reedsail_dispatch::Dispatcher;
use reedsail_dispatch::Placement;
use reedsail_dispatch::Priority;
use reedsail_dispatch::Prompt;
use reedsail_dispatch::PromptSegment;
use reedsail_dispatch::STREAM_LIFE_MAX_MS;
use reedsail_dispatch::ServerChange;
use reedsail_dispatch::ServerList;
use reedsail_dispatch::ServerRecord;
use reedsail_dispatch::ServerSetup;
use reedsail_dispatch::ServerUpdate;
use reedsail_dispatch::SoftwareVersion;
use reedsail_dispatch::VersionDemand;

/// When the tests begin.
const START: TimeMs = TimeMs(1_000);

fn service() -> NameHash {
    NameHash::of("engines")
}

fn version(name: &str) -> SoftwareVersion {
    SoftwareVersion::of(name).unwrap()
}

fn engine(id: &str, version: &str) -> ServerSetup {
    ServerSetup {
        name: NameHash::of(id),
        service: service(),
        failure_domain: NameHash::of("hall-a"),
        region: None,
        version: SoftwareVersion::of(version),
        slots: 8,
        is_draining: false,
        cold_until: None,
    }
}

/// A dispatcher, and the time up to which it was kept informed.
struct Instance {
    dispatcher: Dispatcher,
    now: TimeMs,
}

impl Instance {
    fn start(engines: &[ServerSetup]) -> Self {
        let mut dispatcher = Dispatcher::new(DispatchSettings::default(), NameHash::of("hall-a"));
        dispatcher.set_servers(engines);
        let mut instance = Self {
            dispatcher,
            now: START,
        };
        instance.pass_ms(0);
        instance
    }

    /// Lets time pass with a list that is always current.
    fn pass_ms(&mut self, span_ms: u64) {
        self.now = self.now.plus_ms(span_ms);
        self.dispatcher.set_list_current_at(self.now);
        self.dispatcher.tick(self.now);
    }

    /// Lets time pass without contact to the store and to peers.
    fn pass_cut_off_ms(&mut self, span_ms: u64) {
        self.now = self.now.plus_ms(span_ms);
        self.dispatcher.tick(self.now);
    }

    fn only_version(&self) -> Option<SoftwareVersion> {
        self.dispatcher.only_version(service(), self.now)
    }

    fn decide(&mut self, prompt: &Prompt, version: VersionDemand) -> Decision {
        self.dispatcher.decide(&demand(prompt, version), self.now)
    }

    /// Returns whether a stream may continue within the time left to its caller.
    fn continues_within_ms(&mut self, prompt: &Prompt, version: VersionDemand, left_ms: u64) -> bool {
        let demand = demand(prompt, version).resumed(left_ms);
        matches!(self.dispatcher.decide(&demand, self.now), Decision::Send(_))
    }

    /// Begins requests on a server that are not answered.
    fn load(&mut self, id: &str, requests: u64) {
        let server = self.dispatcher.server_key(NameHash::of(id)).unwrap();
        for number in 0..requests {
            let prompt = prompt(5_000 + number);
            let demand = demand(&prompt, VersionDemand::Any).resumed(1_000_000);
            let Decision::Send(placement) = self.dispatcher.decide(&demand, self.now) else {
                panic!("a request with much time is refused");
            };
            let placement = Placement { server, ..placement };
            let _running = self.dispatcher.begin_attempt(&demand, &placement, self.now);
        }
    }

    /// Returns the version of the server that is chosen for a request; `None` if it is refused.
    fn chosen_version(&mut self, prompt: &Prompt, demand: VersionDemand) -> Option<SoftwareVersion> {
        match self.decide(prompt, demand) {
            Decision::Send(placement) => self.dispatcher.software_version(placement.server),
            Decision::Quarantined(_) | Decision::VersionGone | Decision::Refuse { .. } => None,
        }
    }

    /// Finds that nothing listens at a server's address.
    fn find_down(&mut self, id: &str) {
        let key = self.dispatcher.server_key(NameHash::of(id)).unwrap();
        self.dispatcher.record_check(key, false, self.now, self.now);
    }
}

fn demand(prompt: &Prompt, version: VersionDemand) -> Demand<'_> {
    Demand {
        service: service(),
        workspace: NameHash::of("labska"),
        prompt: Some(prompt),
        latency_target_ms: 1_000,
        gap_target_ms: None,
        priority: Priority::default(),
        waited_ms: 0,
        tried: &[],
        regions: &AllowedRegions::Any,
        version,
        fingerprint: None,
    }
}

fn prompt(number: u64) -> Prompt {
    Prompt {
        segments: vec![
            PromptSegment {
                id: number,
                tokens: 400,
            },
            PromptSegment {
                id: number + 1_000,
                tokens: 50,
            },
        ],
        output_tokens: 20,
    }
}

#[test]
fn one_version_is_known_to_be_the_only_one_after_the_life_of_a_stream() {
    let mut instance = Instance::start(&[engine("a", "v1"), engine("b", "v1")]);
    instance.pass_ms(STREAM_LIFE_MAX_MS - 1);
    assert_eq!(instance.only_version(), None);
    instance.pass_ms(1);
    assert_eq!(instance.only_version(), Some(version("v1")));
}

#[test]
fn a_version_that_has_ended_counts_until_its_streams_have() {
    let mut instance = Instance::start(&[engine("a", "v1"), engine("b", "v2")]);
    instance.pass_ms(STREAM_LIFE_MAX_MS);
    assert_eq!(instance.only_version(), None);
    instance.dispatcher.set_servers(&[engine("b", "v2")]);
    instance.pass_ms(STREAM_LIFE_MAX_MS - 1);
    assert_eq!(instance.only_version(), None);
    instance.pass_ms(1);
    assert_eq!(instance.only_version(), Some(version("v2")));
}

#[test]
fn a_version_that_was_listed_between_two_ticks_counts() {
    let mut instance = Instance::start(&[engine("a", "v1")]);
    instance.pass_ms(STREAM_LIFE_MAX_MS);
    instance
        .dispatcher
        .set_servers(&[engine("a", "v1"), engine("b", "v2")]);
    instance.dispatcher.set_servers(&[engine("a", "v1")]);
    instance.pass_ms(0);
    assert_eq!(instance.only_version(), None);
}

#[test]
fn an_unknown_version_counts_as_another_one() {
    let mut instance = Instance::start(&[engine("a", "v1"), engine("b", "")]);
    instance.pass_ms(STREAM_LIFE_MAX_MS);
    assert_eq!(instance.only_version(), None);
    instance.dispatcher.set_servers(&[engine("b", "")]);
    instance.pass_ms(2 * STREAM_LIFE_MAX_MS);
    instance.pass_ms(STREAM_LIFE_MAX_MS);
    assert_eq!(instance.only_version(), None);
}

#[test]
fn an_instance_that_is_cut_off_does_not_rule_out_another_version() {
    let mut instance = Instance::start(&[engine("a", "v1")]);
    instance.pass_ms(STREAM_LIFE_MAX_MS);
    instance.pass_cut_off_ms(3_000);
    assert_eq!(instance.only_version(), Some(version("v1")));
    instance.pass_cut_off_ms(1);
    assert_eq!(instance.only_version(), None);
}

#[test]
fn a_peer_vouches_for_the_past_but_not_against_what_is_listed() {
    let mut instance = Instance::start(&[engine("a", "v1")]);
    let now = instance.now;
    instance
        .dispatcher
        .accept_only_version(service(), version("v2"), now);
    assert_eq!(instance.only_version(), None);
    instance
        .dispatcher
        .accept_only_version(service(), version("v1"), now);
    assert_eq!(instance.only_version(), Some(version("v1")));
    instance
        .dispatcher
        .set_servers(&[engine("a", "v1"), engine("b", "v2")]);
    assert_eq!(instance.only_version(), None);
}

#[test]
fn resumable_streams_begin_at_a_new_version_only_when_every_current_list_has_it() {
    let mut instance = Instance::start(&[engine("a", "v1")]);
    instance.pass_ms(10_000);
    instance
        .dispatcher
        .set_servers(&[engine("a", "v1"), engine("b", "v2")]);
    instance.pass_ms(0);
    let versions = |instance: &mut Instance, demand: VersionDemand| {
        let chosen = (0..40).map(|number| instance.chosen_version(&prompt(number), demand).unwrap());
        chosen.filter(|chosen| *chosen == version("v2")).count()
    };
    instance.pass_ms(2_999);
    assert_eq!(versions(&mut instance, VersionDemand::Resumable), 0);
    assert!(versions(&mut instance, VersionDemand::Any) > 0);
    instance.pass_ms(1);
    assert!(versions(&mut instance, VersionDemand::Resumable) > 0);
}

#[test]
fn a_new_version_serves_at_once_if_no_current_list_has_another_server() {
    let mut instance = Instance::start(&[engine("a", "v1")]);
    instance.pass_ms(10_000);
    instance.dispatcher.set_servers(&[]);
    instance.pass_ms(0);
    instance.pass_ms(2_500);
    instance.dispatcher.set_servers(&[engine("b", "v2")]);
    instance.pass_ms(499);
    let chosen = instance.chosen_version(&prompt(1), VersionDemand::Resumable);
    assert_eq!(chosen, None);
    instance.pass_ms(1);
    let chosen = instance.chosen_version(&prompt(1), VersionDemand::Resumable);
    assert_eq!(chosen, Some(version("v2")));
}

#[test]
fn versions_that_are_all_new_serve_at_once() {
    let mut instance = Instance::start(&[engine("a", "v1"), engine("b", "v2")]);
    let chosen = instance.chosen_version(&prompt(1), VersionDemand::Resumable);
    assert!(chosen.is_some());
}

/// Guards against a stream that begins at a new version, since no other server may be tried, and is continued at the older
/// one by an instance whose list is up to three seconds old.
#[test]
fn a_stream_that_began_at_a_new_version_at_once_is_not_continued_at_another() {
    let mut behind = Instance::start(&[engine("a", "v1")]);
    behind.pass_ms(STREAM_LIFE_MAX_MS);
    let mut ahead = Instance::start(&[engine("a", "v1")]);
    ahead.pass_ms(STREAM_LIFE_MAX_MS);
    let draining = ServerSetup {
        is_draining: true,
        ..engine("a", "v1")
    };
    ahead.dispatcher.set_servers(&[draining, engine("b", "v2")]);
    ahead.pass_ms(1_000);
    behind.pass_cut_off_ms(1_000);
    let began = ahead.chosen_version(&prompt(1), VersionDemand::Resumable);
    let only = behind.only_version();
    let continued =
        only.and_then(|only| behind.chosen_version(&prompt(1), VersionDemand::OnlyUnverified(only)));
    assert!(
        began.is_none() || continued.is_none() || began == continued,
        "{began:?}, {continued:?}"
    );
}

#[test]
fn a_stream_continues_only_at_its_version() {
    let mut instance = Instance::start(&[engine("a", "v1"), engine("b", "v2"), engine("c", "v2")]);
    instance.pass_ms(10_000);
    for number in 0..20 {
        for name in ["v1", "v2"] {
            let chosen = instance.chosen_version(&prompt(number), VersionDemand::Only(version(name)));
            assert_eq!(chosen, Some(version(name)));
        }
        let unknown = instance.decide(&prompt(number), VersionDemand::Unknown);
        assert_eq!(unknown, Decision::VersionGone);
    }
}

#[test]
fn a_stream_is_gone_once_the_last_server_of_its_version_drains() {
    let draining = ServerSetup {
        is_draining: true,
        ..engine("a", "v1")
    };
    let mut instance = Instance::start(&[draining, engine("b", "v2")]);
    let decision = instance.decide(&prompt(1), VersionDemand::Only(version("v1")));
    assert_eq!(decision, Decision::VersionGone);
    // An evacuated domain may return.
    instance
        .dispatcher
        .set_servers(&[engine("a", "v1"), engine("b", "v2")]);
    instance
        .dispatcher
        .set_evacuated(&[NameHash::of("hall-a")], instance.now);
    let decision = instance.decide(&prompt(1), VersionDemand::Only(version("v1")));
    assert!(matches!(decision, Decision::Refuse { .. }), "{decision:?}");
}

#[test]
fn streams_that_continue_go_before_new_ones_at_the_servers_left() {
    let mut engines: Vec<ServerSetup> = (0..10)
        .map(|number| engine(&format!("new-{number}"), "v2"))
        .collect();
    engines.extend([
        engine("old-1", "v1"),
        engine("old-2", "v1"),
        engine("old-3", "v1"),
    ]);
    let mut instance = Instance::start(&engines);
    instance.pass_ms(10_000);
    let at_old = |instance: &mut Instance| {
        let chosen =
            (0..200).map(|number| instance.chosen_version(&prompt(number), VersionDemand::Resumable));
        chosen.filter(|chosen| *chosen == Some(version("v1"))).count()
    };
    let before = at_old(&mut instance);
    instance.find_down("old-3");
    engines.pop();
    instance.dispatcher.set_servers(&engines);
    instance.pass_ms(0);
    let after = at_old(&mut instance);
    assert!(after * 4 < before, "{before} before, {after} after");
    // Streams of the old version queue there beyond what a new stream may wait.
    instance.load("old-1", 200);
    instance.load("old-2", 200);
    let old = VersionDemand::Only(version("v1"));
    let new = instance.chosen_version(&prompt(1), VersionDemand::Resumable);
    assert_eq!(new, Some(version("v2")));
    assert!(instance.continues_within_ms(&prompt(1), old, 60_000));
    // A stream that nobody knows waits like a new one.
    let unverified = VersionDemand::OnlyUnverified(version("v1"));
    assert_eq!(instance.chosen_version(&prompt(1), unverified), None);
    // One that would continue after its caller's deadline is refused.
    assert!(!instance.continues_within_ms(&prompt(1), old, 10));
}

#[test]
fn cached_segments_are_copied_only_between_servers_of_one_version() {
    let engines = [
        engine("a", "v1"),
        engine("b", "v1"),
        engine("c", "v2"),
        engine("d", "v2"),
        engine("e", ""),
        engine("f", ""),
    ];
    let mut instance = Instance::start(&engines);
    let (mut copies, mut without_copy) = (0, 0);
    for number in 0..60 {
        let prompt = prompt(number);
        let first = demand(&prompt, VersionDemand::Any);
        let Decision::Send(placement) = instance.dispatcher.decide(&first, instance.now) else {
            panic!("an idle server takes a request");
        };
        let _running = instance
            .dispatcher
            .begin_attempt(&first, &placement, instance.now);
        let tried = [placement.server];
        let retry = Demand {
            tried: &tried,
            ..demand(&prompt, VersionDemand::Any).resumed(1_000_000)
        };
        let Decision::Send(second) = instance.dispatcher.decide(&retry, instance.now) else {
            panic!("a retry with much time is sent");
        };
        let version = instance.dispatcher.software_version(second.server);
        match second.cache_source {
            Some(source) => {
                assert_eq!(instance.dispatcher.software_version(source), version);
                assert!(version.is_some());
                copies += 1;
            }
            None => without_copy += 1,
        }
    }
    assert!(
        copies > 0 && without_copy > 0,
        "{copies} copies, {without_copy} without"
    );
}

fn record(id: &str, software_version: Option<&str>) -> ServerRecord {
    ServerRecord {
        id: id.to_owned(),
        service: "engines".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        failure_domain: "hall-a".to_owned(),
        slots: 8,
        is_draining: false,
        cold_left_ms: 0,
        born_ms: Some(5),
        software_version: software_version.map(str::to_owned),
    }
}

fn announce(list: &mut ServerList, revision: u64, record: ServerRecord) {
    let revision = StorePosition::new(0, revision);
    let update = ServerUpdate {
        revision,
        is_whole: false,
        changes: vec![ServerChange::Announced(record).at(revision)],
    };
    list.apply(update, START, START);
}

fn version_in(list: &ServerList) -> Option<String> {
    list.listing(START).records[0].software_version.clone()
}

#[test]
fn an_incarnation_keeps_its_version() {
    let mut list = ServerList::default();
    announce(&mut list, 1, record("a", None));
    assert!(list.lacks_versions());
    announce(&mut list, 2, record("a", Some("v1")));
    assert!(!list.lacks_versions());
    // A peer of a release without versions sends none.
    announce(&mut list, 3, record("a", None));
    assert_eq!(version_in(&list).as_deref(), Some("v1"));
    // A record that contradicts it makes the version unknown.
    announce(&mut list, 4, record("a", Some("v2")));
    assert_eq!(version_in(&list).as_deref(), Some(""));
    // The next incarnation has its own.
    let restarted = ServerRecord {
        born_ms: Some(6),
        ..record("a", Some("v2"))
    };
    announce(&mut list, 5, restarted);
    assert_eq!(version_in(&list).as_deref(), Some("v2"));
}
