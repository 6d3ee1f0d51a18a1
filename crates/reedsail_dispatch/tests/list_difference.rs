//! Server lists that are kept up to date by differences only.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use reedsail_core::StorePosition;
use reedsail_core::TimeMs;
use reedsail_dispatch::ServerChange;
use reedsail_dispatch::ServerList;
use reedsail_dispatch::ServerRecord;
use reedsail_dispatch::ServerUpdate;

const START: TimeMs = TimeMs(10_000);
const SERVERS: u32 = 10_000;

fn record(number: u32, is_draining: bool) -> ServerRecord {
    ServerRecord {
        id: format!("i-{number:08x}"),
        service: "llm".to_owned(),
        address: "10.128.0.9:8080".parse().unwrap(),
        failure_domain: format!("hall-{}", number % 5),
        slots: 16,
        is_draining,
        cold_left_ms: 0,
        born_ms: Some(1_700_000_000_000),
        software_version: Some("v1".to_owned()),
    }
}

fn update(offset: u64, is_whole: bool, changes: Vec<ServerChange>) -> ServerUpdate {
    let revision = StorePosition::new(0, offset);
    ServerUpdate {
        revision,
        is_whole,
        changes: changes.into_iter().map(|change| change.at(revision)).collect(),
    }
}

fn whole_list(servers: u32) -> ServerList {
    let records = (0..servers).map(|number| ServerChange::Announced(record(number, false)));
    let mut list = ServerList::default();
    list.apply(update(1, true, records.collect()), START, START);
    list
}

fn copy_of(list: &ServerList) -> ServerList {
    let mut copy = ServerList::default();
    copy.apply_listing(list.listing(START), START);
    assert_eq!(copy.digest(), list.digest());
    copy
}

fn random_change(random: &mut StdRng) -> ServerChange {
    let number = random.random_range(0..200);
    match random.random_range(0..3) {
        0 => ServerChange::Announced(record(number, false)),
        1 => ServerChange::Announced(record(number, true)),
        _ => ServerChange::Dropped {
            id: record(number, false).id,
        },
    }
}

#[test]
fn one_change_is_sent_as_one_record() {
    let mut list = whole_list(SERVERS);
    let mut peer = copy_of(&list);
    let change = ServerChange::Announced(record(77, true));
    list.apply(update(2, false, vec![change]), START, START);
    let difference = list.difference(peer.digest(), START).unwrap();
    assert_eq!((difference.records.len(), difference.removed.len()), (1, 0));
    // A thousand peers fetch the difference.
    let bytes = serde_json::to_vec(&difference).unwrap().len();
    assert!(bytes <= 300, "{bytes}");
    let delta = peer.apply_listing(difference, START);
    assert_eq!(delta.draining, [record(77, true).id]);
    assert_eq!((peer.digest(), peer.revision()), (list.digest(), list.revision()));
}

#[test]
fn a_peer_that_is_behind_reaches_the_same_list_by_differences() {
    for seed in 0..200 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut list = whole_list(200);
        let mut peer = copy_of(&list);
        for offset in 2..60 {
            let changes = (0..random.random_range(0..4)).map(|_| random_change(&mut random));
            list.apply(update(offset, false, changes.collect()), START, START);
            if random.random_bool(0.3) {
                let difference = list.difference(peer.digest(), START).unwrap();
                peer.apply_listing(difference, START);
                assert_eq!(peer.digest(), list.digest(), "seed {seed}");
            }
        }
    }
}

#[test]
fn a_difference_to_another_list_changes_nothing() {
    let mut list = whole_list(10);
    let mut peer = copy_of(&list);
    list.apply(
        update(2, false, vec![ServerChange::Announced(record(3, true))]),
        START,
        START,
    );
    let difference = list.difference(peer.digest(), START).unwrap();
    peer.apply(
        update(3, false, vec![ServerChange::Announced(record(4, true))]),
        START,
        START,
    );
    let before = peer.digest();
    assert!(peer.apply_listing(difference, START).is_empty());
    assert_eq!(peer.digest(), before);
}

#[test]
fn a_peer_that_is_too_far_behind_is_sent_the_whole_list() {
    let mut list = whole_list(10);
    let far_behind = list.digest();
    for offset in 2..1_500 {
        let change = ServerChange::Announced(ServerRecord {
            slots: offset as u32,
            ..record(3, false)
        });
        list.apply(update(offset, false, vec![change]), START, START);
    }
    list.apply(
        update(1_500, false, vec![ServerChange::Announced(record(4, true))]),
        START,
        START,
    );
    assert!(list.difference(far_behind, START).is_none());
    assert!(list.difference(list.digest(), START).unwrap().records.is_empty());
}

#[test]
fn a_change_in_use_is_reported_once() {
    let mut list = whole_list(100);
    assert_eq!(list.take_use_changes(START).used.len(), 100);
    assert!(list.take_use_changes(START).is_empty());
    let changes = vec![
        ServerChange::Announced(record(3, true)),
        ServerChange::Announced(record(4, false)),
        ServerChange::Dropped {
            id: record(5, false).id,
        },
    ];
    list.apply(update(2, false, changes), START, START);
    let changes = list.take_use_changes(START);
    assert_eq!(changes.used, [record(3, true)]);
    assert_eq!(changes.gone, [record(5, false).name()]);
    let moved = ServerRecord {
        address: "10.128.0.10:8080".parse().unwrap(),
        ..record(4, false)
    };
    list.apply(
        update(3, false, vec![ServerChange::Announced(moved.clone())]),
        START,
        START,
    );
    assert_eq!(list.take_use_changes(START).used, [moved]);
}

#[test]
fn a_failure_domain_that_departs_fits_a_message_and_a_difference() {
    let mut list = whole_list(SERVERS);
    let mut peer = copy_of(&list);
    let gone: Vec<ServerChange> = (0..SERVERS)
        .filter(|number| number % 5 == 0)
        .map(|number| ServerChange::Dropped {
            id: record(number, false).id,
        })
        .collect();
    let departed = gone.len();
    list.apply(update(2, false, gone), START, START);
    assert_eq!(list.departures().len(), 1_024);
    let difference = list.difference(peer.digest(), START).unwrap();
    assert_eq!(difference.removed.len(), departed);
    peer.apply_listing(difference, START);
    assert_eq!(peer.digest(), list.digest());
}
