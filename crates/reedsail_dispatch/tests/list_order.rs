//! What the server list makes of updates that arrive late, repeatedly, in another order, or not at all.

use std::net::SocketAddr;

use reedsail_core::StorePosition;
use reedsail_core::TimeMs;
use reedsail_dispatch::ListComparison;
use reedsail_dispatch::PeerListState;
use reedsail_dispatch::ServerChange;
use reedsail_dispatch::ServerList;
use reedsail_dispatch::ServerRecord;
use reedsail_dispatch::ServerUpdate;

const NOW: TimeMs = TimeMs(5_000);

fn record(id: &str, is_draining: bool) -> ServerRecord {
    ServerRecord {
        id: id.to_owned(),
        service: "llm".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        failure_domain: "hall-a".to_owned(),
        slots: 64,
        is_draining,
        cold_left_ms: 0,
        born_ms: Some(1),
        software_version: Some("v1".to_owned()),
    }
}

fn at(offset: u64) -> StorePosition {
    StorePosition::new(0, offset)
}

fn ready(id: &str) -> ServerChange {
    ServerChange::Announced(record(id, false))
}

fn draining(id: &str) -> ServerChange {
    ServerChange::Announced(record(id, true))
}

fn dropped(id: &str) -> ServerChange {
    ServerChange::Dropped { id: id.to_owned() }
}

/// Returns the records of the log after `from`.
fn since(from: u64, changes: Vec<ServerChange>) -> ServerUpdate {
    ServerUpdate {
        revision: at(from + changes.len() as u64),
        is_whole: false,
        changes: (from + 1..)
            .zip(changes)
            .map(|(after, change)| change.at(at(after)))
            .collect(),
    }
}

/// Returns the whole list, read in one page.
fn whole(revision: u64, changes: Vec<ServerChange>) -> ServerUpdate {
    ServerUpdate {
        revision: at(revision),
        is_whole: true,
        changes: changes
            .into_iter()
            .map(|change| change.at(at(revision)))
            .collect(),
    }
}

/// Returns a list of the servers `one` and `two` at position 10.
fn list() -> ServerList {
    let mut list = ServerList::default();
    list.apply(whole(10, vec![ready("one"), ready("two")]), NOW, NOW);
    list
}

fn apply(list: &mut ServerList, update: ServerUpdate) {
    list.apply(update, NOW, NOW);
}

fn usable(list: &ServerList) -> Vec<String> {
    let records = list.records(NOW).into_iter();
    let mut ids: Vec<String> = records
        .filter(|record| !record.is_draining)
        .map(|record| record.id)
        .collect();
    ids.sort();
    ids
}

/// Guards against an answer of the store that was held up while the list moved on by a peer's list: it brought back a
/// server that had left, first here and then, by this list, on every instance.
#[test]
fn a_late_answer_of_the_store_does_not_bring_back_a_server_that_has_left() {
    let mut late_reader = list();
    let mut reader = list();
    let held_up = since(10, vec![ready("one"), ready("two")]);
    apply(
        &mut reader,
        since(10, vec![ready("one"), ready("two"), dropped("one")]),
    );
    late_reader.apply_listing(reader.listing(NOW), NOW);
    assert_eq!(usable(&late_reader), ["two"]);
    apply(&mut late_reader, held_up);
    assert_eq!(usable(&late_reader), ["two"]);
    apply(&mut late_reader, since(13, vec![ready("two")]));
    reader.apply_listing(late_reader.listing(NOW), NOW);
    assert_eq!(usable(&reader), ["two"]);
    assert_eq!(late_reader.departures(), [record("one", false).name()]);
}

/// Guards against the same by an answer that arrives twice, and that ends beyond the list.
#[test]
fn records_of_an_answer_that_the_list_has_already_apply_once() {
    let mut list = list();
    let answer = since(10, vec![ready("one"), dropped("one"), ready("three")]);
    apply(&mut list, answer.clone());
    apply(&mut list, answer);
    assert_eq!(usable(&list), ["three", "two"]);
    let overlapping = since(
        10,
        vec![ready("one"), dropped("one"), ready("three"), dropped("three")],
    );
    let delta = list.apply(overlapping, NOW, NOW);
    assert_eq!(delta.unlisted, ["three"]);
    assert!(delta.listed.is_empty(), "{delta:?}");
}

/// Guards against a late deletion of a record that was written again.
#[test]
fn a_late_answer_does_not_remove_a_server_that_has_come_back() {
    let mut late_reader = list();
    let mut reader = list();
    let held_up = since(10, vec![dropped("one")]);
    apply(&mut reader, since(10, vec![dropped("one"), ready("one")]));
    late_reader.apply_listing(reader.listing(NOW), NOW);
    apply(&mut late_reader, held_up);
    assert_eq!(usable(&late_reader), ["one", "two"]);
}

/// Guards against a whole list that was read before the list moved on: it brings back servers that have left, and
/// removes servers that were listed since.
#[test]
fn a_late_whole_list_changes_nothing_that_is_newer() {
    let mut late_reader = list();
    let mut reader = list();
    let held_up = whole(10, vec![ready("one"), ready("two")]);
    apply(&mut reader, since(10, vec![dropped("one"), ready("three")]));
    late_reader.apply_listing(reader.listing(NOW), NOW);
    apply(&mut late_reader, held_up);
    assert_eq!(usable(&late_reader), ["three", "two"]);
    assert_eq!(late_reader.digest(), reader.digest());
}

/// Guards against a departure that a peer reports and that an older list, or an older answer of the store, ends.
#[test]
fn an_older_list_does_not_end_a_departure_that_a_newer_peer_reports() {
    let mut reader = list();
    apply(&mut reader, since(10, vec![ready("one"), dropped("one")]));
    let state = PeerListState {
        revision: reader.revision(),
        digest: reader.digest(),
        age_ms: 0,
        departures: &reader.departures(),
    };
    let mut behind = list();
    apply(&mut behind, since(10, vec![ready("three")]));
    let mut told = list();
    assert!(matches!(
        told.compare_with_peer(&state, NOW),
        ListComparison::NewerWithDepartures(_)
    ));
    assert_eq!(usable(&told), ["two"]);
    told.apply_listing(behind.listing(NOW), NOW);
    assert_eq!(usable(&told), ["three", "two"]);
    apply(&mut told, since(10, vec![ready("one")]));
    assert!(!usable(&told).contains(&"one".to_owned()));
}

/// Guards against a departure that ends because an equal list is newer than this one, although it is older than the
/// departure.
#[test]
fn an_equal_list_that_is_older_than_a_departure_does_not_end_it() {
    let mut told = list();
    let departed = [record("one", false).name()];
    let newest = PeerListState {
        revision: at(20),
        digest: 0,
        age_ms: 0,
        departures: &departed,
    };
    told.compare_with_peer(&newest, NOW);
    assert_eq!(usable(&told), ["two"]);
    let equal = PeerListState {
        revision: at(15),
        digest: told.digest(),
        age_ms: 0,
        departures: &[],
    };
    assert_eq!(told.compare_with_peer(&equal, NOW), ListComparison::NothingNew);
    assert_eq!(usable(&told), ["two"]);
}

/// Guards against a draining server that takes new work again by a page of a whole list: pages are read one after the
/// other, so a record of a later page is newer than the position from which the log is read next.
#[test]
fn records_before_a_later_page_of_a_whole_list_do_not_apply() {
    let mut list = ServerList::default();
    let pages = ServerUpdate {
        revision: at(10),
        is_whole: true,
        changes: vec![
            ready("one").at(at(10)),
            ready("three").at(at(14)),
            draining("two").at(at(14)),
        ],
    };
    apply(&mut list, pages);
    assert_eq!(usable(&list), ["one", "three"]);
    // The store appends these before the second page: a late answer ends before `two` drains.
    apply(&mut list, since(10, vec![ready("two")]));
    assert_eq!(usable(&list), ["one", "three"]);
    let mut peer = ServerList::default();
    peer.apply_listing(list.listing(NOW), NOW);
    apply(&mut peer, since(11, vec![ready("two")]));
    assert_eq!(usable(&peer), ["one", "three"]);
}

/// Guards against a server that was missing in a later page of a whole list and that older records bring back.
#[test]
fn a_server_that_is_missing_in_a_later_page_stays_away() {
    let mut list = list();
    let pages = ServerUpdate {
        revision: at(12),
        is_whole: true,
        changes: vec![ready("one").at(at(12)), ready("zoe").at(at(16))],
    };
    apply(&mut list, pages);
    assert_eq!(usable(&list), ["one", "zoe"]);
    apply(&mut list, since(12, vec![ready("two")]));
    assert_eq!(usable(&list), ["one", "zoe"]);
    // Peers that are told of it learn the same.
    let mut peer = ServerList::default();
    apply(&mut peer, whole(11, vec![ready("one"), ready("two")]));
    peer.apply_listing(list.listing(NOW), NOW);
    apply(&mut peer, since(12, vec![ready("two")]));
    assert_eq!(usable(&peer), ["one", "zoe"]);
}

/// Guards against a server that stays unused although it has come back: the difference between two lists that both have it
/// does not name it.
#[test]
fn a_difference_ends_the_departure_of_a_server_that_has_come_back() {
    let mut told = list();
    let mut reader = list();
    apply(&mut reader, since(10, vec![dropped("one")]));
    let state = PeerListState {
        revision: reader.revision(),
        digest: reader.digest(),
        age_ms: 0,
        departures: &reader.departures(),
    };
    told.compare_with_peer(&state, NOW);
    assert_eq!(usable(&told), ["two"]);
    apply(&mut reader, since(11, vec![ready("one"), ready("three")]));
    let difference = reader.difference(told.digest(), NOW).unwrap();
    let delta = told.apply_listing(difference, NOW);
    assert_eq!(delta.listed, ["three", "one"]);
    assert_eq!(usable(&told), ["one", "three", "two"]);
}
