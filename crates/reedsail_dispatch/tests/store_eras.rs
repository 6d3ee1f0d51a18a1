//! The server list and the evacuations after the store was restored from an older backup of itself. Offsets go back
//! and are assigned again, the backup names servers that have departed and lacks new ones, and evacuations are some
//! seconds old, until everything is written again.

use std::net::SocketAddr;

use reedsail_core::NameHash;
use reedsail_core::StorePosition;
use reedsail_core::TimeMs;
use reedsail_dispatch::EvacuationRow;
use reedsail_dispatch::EvacuationUpdate;
use reedsail_dispatch::Evacuations;
use reedsail_dispatch::ListComparison;
use reedsail_dispatch::PeerListState;
use reedsail_dispatch::ServerChange;
use reedsail_dispatch::ServerList;
use reedsail_dispatch::ServerRecord;
use reedsail_dispatch::ServerUpdate;

const START: TimeMs = TimeMs(10_000);

fn record(id: &str) -> ServerRecord {
    ServerRecord {
        id: id.to_owned(),
        service: "llm".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        failure_domain: "hall-a".to_owned(),
        slots: 64,
        is_draining: false,
        cold_left_ms: 0,
        born_ms: Some(1),
        software_version: Some("v1".to_owned()),
    }
}

fn whole(era: u32, offset: u64, ids: &[&str]) -> ServerUpdate {
    let revision = StorePosition::new(era, offset);
    let announced = ids.iter().map(|id| ServerChange::Announced(record(id)));
    ServerUpdate {
        revision,
        is_whole: true,
        changes: announced.map(|change| change.at(revision)).collect(),
    }
}

fn change(era: u32, offset: u64, change: ServerChange) -> ServerUpdate {
    let revision = StorePosition::new(era, offset);
    ServerUpdate {
        revision,
        is_whole: false,
        changes: vec![change.at(revision)],
    }
}

/// Returns a list that has read three servers in the first era.
fn list() -> ServerList {
    let mut list = ServerList::default();
    list.apply(whole(1, 10, &["one", "two", "three"]), START, START);
    list
}

fn usable(list: &ServerList, now: TimeMs) -> Vec<String> {
    let records = list.records(now).into_iter();
    let mut ids: Vec<String> = records
        .filter(|record| !record.is_draining)
        .map(|record| record.id)
        .collect();
    ids.sort();
    ids
}

fn state<'a>(list: &ServerList, departures: &'a [NameHash], now: TimeMs) -> PeerListState<'a> {
    PeerListState {
        revision: list.revision(),
        digest: list.digest(),
        age_ms: list.age_ms(now),
        departures,
    }
}

#[test]
fn a_newer_era_is_newer_whatever_its_offset() {
    let old = list();
    let mut new = list();
    let now = START.plus_ms(1_000);
    new.apply(whole(2, 4, &["one", "two"]), now, now);
    let mut old_reader = old.clone();
    let compared = old_reader.compare_with_peer(&state(&new, &[], now), now);
    assert_eq!(compared, ListComparison::Newer);
    old_reader.apply_listing(new.listing(now), now);
    assert_eq!(old_reader.revision(), StorePosition::new(2, 4));
    let age_ms = new.age_ms(now.plus_ms(700));
    let compared = new.compare_with_peer(&state(&old, &[], START), now.plus_ms(700));
    assert_eq!(compared, ListComparison::NothingNew);
    assert_eq!(
        new.age_ms(now.plus_ms(700)),
        age_ms,
        "an older era does not make the list fresh"
    );
    let delta = new.apply(whole(1, 99, &["one"]), now, now);
    assert!(
        delta.is_empty(),
        "a late answer from the older era must change nothing"
    );
}

#[test]
fn a_departed_server_gets_nothing_because_a_backup_lists_it() {
    let mut list = list();
    let now = START.plus_ms(500);
    let dropped = ServerChange::Dropped { id: "one".to_owned() };
    list.apply(change(1, 11, dropped), now, now);
    let now = now.plus_ms(1_000);
    list.apply(whole(2, 8, &["one", "two", "three"]), now, now);
    assert_eq!(usable(&list, now), ["three", "two"]);
    assert_eq!(list.kept_departures(), ["one"]);
    // A peer that has started since knows only the backup.
    let mut newcomer = ServerList::default();
    newcomer.apply(whole(2, 8, &["one", "two", "three"]), now, now);
    list.apply_listing(newcomer.listing(now), now);
    // The server is used again once it writes its record.
    let now = now.plus_ms(1_000);
    list.apply(change(2, 9, ServerChange::Announced(record("one"))), now, now);
    assert_eq!(usable(&list, now), ["one", "three", "two"]);
    assert!(list.kept_departures().is_empty());
}

/// Returns a list that keeps the departure of server `one` against the backup of the second era.
fn list_with_kept_departure(now: TimeMs) -> ServerList {
    let mut list = list();
    let dropped = ServerChange::Dropped { id: "one".to_owned() };
    list.apply(change(1, 11, dropped), now, now);
    list.apply(whole(2, 8, &["one", "two", "three"]), now, now);
    assert_eq!(usable(&list, now), ["three", "two"]);
    list
}

/// Guards against a second read of the whole backup that brings back a server whose departure the backup lacks.
#[test]
fn a_backup_that_is_read_again_ends_no_departure() {
    let now = START.plus_ms(500);
    let mut list = list_with_kept_departure(now);
    list.apply(whole(2, 12, &["four", "one", "two", "three"]), now, now);
    assert_eq!(usable(&list, now), ["four", "three", "two"]);
    assert_eq!(list.kept_departures(), ["one"]);
}

/// Guards against a peer that knows only the backup, and whose newer list brings back a server that has left.
#[test]
fn a_list_of_a_peer_that_knows_only_the_backup_ends_no_departure() {
    let now = START.plus_ms(500);
    let mut list = list_with_kept_departure(now);
    let mut newcomer = ServerList::default();
    newcomer.apply(whole(2, 8, &["one", "two", "three"]), now, now);
    newcomer.apply(change(2, 12, ServerChange::Announced(record("four"))), now, now);
    list.apply_listing(newcomer.listing(now), now);
    assert_eq!(usable(&list, now), ["four", "three", "two"]);
    assert_eq!(list.kept_departures(), ["one"]);
}

/// Guards against a peer's list of a new era, equal to this one, that ends a departure which another peer advertised.
#[test]
#[ignore = "KNOWN-RED.txt"]
fn an_equal_list_of_the_backup_ends_no_advertised_departure() {
    let now = START.plus_ms(500);
    let mut list = list();
    let departed = [record("one").name()];
    let mut ahead = list.clone();
    let other = ServerChange::Announced(record("four"));
    ahead.apply(change(1, 12, other), now, now);
    list.compare_with_peer(&state(&ahead, &departed, now), now);
    assert_eq!(usable(&list, now), ["three", "two"]);
    list.apply(whole(2, 8, &["one", "two", "three"]), now, now);
    assert_eq!(usable(&list, now), ["three", "two"]);
    let mut newcomer = ServerList::default();
    newcomer.apply(whole(2, 12, &["one", "two", "three"]), now, now);
    list.compare_with_peer(&state(&newcomer, &[], now), now);
    assert_eq!(usable(&list, now), ["three", "two"]);
}

#[test]
fn a_departure_is_not_kept_for_longer_than_it_is_advertised() {
    let mut list = list();
    let dropped = ServerChange::Dropped { id: "one".to_owned() };
    list.apply(change(1, 11, dropped), START, START);
    list.apply(whole(2, 8, &["one", "two", "three"]), START, START);
    let now = START.plus_ms(15_000);
    let delta = list.tick(now);
    assert_eq!(delta.listed, ["one"]);
    assert_eq!(usable(&list, now), ["one", "three", "two"]);
}

/// Guards against departures that were only inferred from missing records. A backup lacked the records of all
/// servers, and the next backup, of another era, had them again. All servers were healthy, but none was used for
/// fifteen seconds, since the list kept the inferred departures against the backup. Event 405 had
/// `"kept_departures":"5"` on three instances, and 9,934 requests were refused with `"kind":"no_backend"`.
#[test]
fn an_inferred_departure_is_not_kept_against_a_backup() {
    let mut list = list();
    let now = START.plus_ms(1_000);
    list.apply(whole(2, 0, &[]), now, now);
    let now = now.plus_ms(2_000);
    list.tick(now);
    assert!(usable(&list, now).is_empty());
    let now = now.plus_ms(1_000);
    list.apply(whole(3, 3, &["one", "two", "three"]), now, now);
    assert!(list.kept_departures().is_empty());
    assert_eq!(usable(&list, now), ["one", "three", "two"]);
}

#[test]
fn a_server_that_the_backup_lacks_stays_for_the_grace_period() {
    let mut list = list();
    list.apply(whole(2, 4, &["one", "two"]), START, START);
    list.tick(START.plus_ms(1_900));
    assert_eq!(usable(&list, START.plus_ms(1_900)), ["one", "three", "two"]);
    let mut written_again = list.clone();
    let now = START.plus_ms(1_900);
    written_again.apply(change(2, 5, ServerChange::Announced(record("three"))), now, now);
    for list in [&mut list, &mut written_again] {
        list.tick(START.plus_ms(2_000));
    }
    assert_eq!(usable(&list, START.plus_ms(2_000)), ["one", "two"]);
    assert_eq!(
        usable(&written_again, START.plus_ms(2_000)),
        ["one", "three", "two"]
    );
}

fn row(era: u32, offset: u64, is_active: bool) -> EvacuationRow {
    EvacuationRow {
        failure_domain: NameHash::of("hall-a"),
        revision: StorePosition::new(era, offset),
        is_active,
    }
}

fn read(rows: Vec<EvacuationRow>, whole_until: Option<StorePosition>) -> EvacuationUpdate {
    EvacuationUpdate { rows, whole_until }
}

#[test]
fn an_evacuation_that_is_written_again_and_then_ended_has_ended() {
    let mut evacuations = Evacuations::default();
    evacuations.apply(&read(vec![row(1, 8, true)], Some(StorePosition::new(1, 8))));
    evacuations.apply(&read(vec![row(2, 6, true)], Some(StorePosition::new(2, 6))));
    assert!(evacuations.apply(&read(vec![row(2, 7, false)], None)));
    assert!(evacuations.active().is_empty());
    assert!(
        !evacuations.merge(&[row(1, 99, true)]),
        "a peer that does not know the era yet"
    );
}

#[test]
fn a_row_that_the_backup_contradicts_stays_in_force_until_it_is_written_again() {
    for was_active in [true, false] {
        let mut evacuations = Evacuations::default();
        evacuations.merge(&[row(1, 8, was_active)]);
        let rows = if was_active {
            Vec::new()
        } else {
            vec![row(2, 3, true)]
        };
        assert!(!evacuations.apply(&read(rows, Some(StorePosition::new(2, 5)))));
        assert_eq!(
            (evacuations.active().is_empty(), evacuations.withheld()),
            (!was_active, 1)
        );
        let mut written_again = evacuations.clone();
        assert!(!written_again.apply(&read(vec![row(2, 6, was_active)], None)));
        assert_eq!(
            (written_again.active().is_empty(), written_again.withheld()),
            (!was_active, 0)
        );
        // The operators do not write it again, so the store counts.
        evacuations.tick(START);
        assert!(!evacuations.tick(START.plus_ms(3_999)));
        assert!(evacuations.tick(START.plus_ms(4_000)));
        assert_eq!(
            (evacuations.active().is_empty(), evacuations.withheld()),
            (was_active, 0)
        );
    }
}
