//! What the server list contains after an outage of the store, and what it accepts from peers.

use std::net::SocketAddr;

use reedsail_core::NameHash;
use reedsail_core::StorePosition;
use reedsail_core::TimeMs;
use reedsail_dispatch::ListComparison;
use reedsail_dispatch::ListDelta;
use reedsail_dispatch::PeerListState;
use reedsail_dispatch::ServerChange;
use reedsail_dispatch::ServerList;
use reedsail_dispatch::ServerRecord;
use reedsail_dispatch::ServerReturn;
use reedsail_dispatch::ServerUpdate;

fn record(id: &str, is_draining: bool) -> ServerRecord {
    ServerRecord {
        id: id.to_owned(),
        service: "llm".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        failure_domain: "hall-a".to_owned(),
        slots: 64,
        is_draining,
        cold_left_ms: 0,
        born_ms: None,
        software_version: Some("v1".to_owned()),
    }
}

fn announced(id: &str) -> ServerChange {
    ServerChange::Announced(record(id, false))
}

fn announced_draining(id: &str) -> ServerChange {
    ServerChange::Announced(record(id, true))
}

fn dropped(id: &str) -> ServerChange {
    ServerChange::Dropped { id: id.to_owned() }
}

fn update(revision: u64, is_whole: bool, changes: Vec<ServerChange>) -> ServerUpdate {
    let revision = StorePosition::new(0, revision);
    ServerUpdate {
        revision,
        is_whole,
        changes: changes.into_iter().map(|change| change.at(revision)).collect(),
    }
}

/// Returns the state of a peer's list that differs from every list in these tests.
fn peer_state(revision: u64, age_ms: u64, departures: &[NameHash]) -> PeerListState<'_> {
    PeerListState {
        revision: StorePosition::new(0, revision),
        digest: 0,
        age_ms,
        departures,
    }
}

fn draining(ids: &[&str]) -> ListDelta {
    ListDelta {
        draining: ids.iter().map(ToString::to_string).collect(),
        ..ListDelta::default()
    }
}

/// Returns a list of two servers, read at 1,000 ms.
fn list() -> ServerList {
    let mut list = ServerList::default();
    let changes = vec![announced("one"), announced("two")];
    let delta = list.apply(update(10, true, changes), TimeMs(1_000), TimeMs(1_005));
    assert_eq!(delta.listed.len(), 2);
    list
}

fn usable_ids(list: &ServerList, now: TimeMs) -> Vec<String> {
    let records = list.records(now);
    let usable = records.into_iter().filter(|record| !record.is_draining);
    let mut ids: Vec<String> = usable.map(|record| record.id).collect();
    ids.sort();
    ids
}

#[test]
fn a_dropped_record_removes_a_server_at_once() {
    let mut list = list();
    let now = TimeMs(2_000);
    let delta = list.apply(update(11, false, vec![dropped("one")]), now, now);
    assert_eq!(delta.unlisted, ["one"]);
    assert_eq!(usable_ids(&list, now), ["two"]);
    assert_eq!(list.departures(), [NameHash::of("one")]);
}

#[test]
fn an_unreadable_record_removes_a_server_until_it_announces_itself_again() {
    for is_whole in [false, true] {
        let mut list = list();
        let now = TimeMs(2_000);
        let unreadable = ServerChange::Unreadable {
            id: "one".to_owned(),
            fault: "missing field `address`".to_owned(),
        };
        let delta = list.apply(update(11, is_whole, vec![unreadable, announced("two")]), now, now);
        assert_eq!(
            (delta.unlisted, delta.unreadable.len()),
            (vec!["one".to_owned()], 1)
        );
        assert_eq!(usable_ids(&list, now), ["two"]);
        list.apply(update(12, false, vec![announced("one")]), now, now);
        assert_eq!(usable_ids(&list, now), ["one", "two"]);
    }
}

#[test]
fn a_record_missing_from_the_whole_list_removes_a_server() {
    let mut list = list();
    let now = TimeMs(2_000);
    let delta = list.apply(update(11, true, vec![announced("two")]), now, now);
    assert_eq!(delta.unlisted, ["one"]);
}

#[test]
fn servers_whose_records_were_dropped_during_an_outage_become_suspects() {
    let mut list = list();
    list.record_store_failure();
    let store_back_at = TimeMs(6_000);
    let changes = vec![dropped("one"), dropped("two")];
    let delta = list.apply(update(12, false, changes), store_back_at, store_back_at);
    assert!(delta.unlisted.is_empty());
    assert_eq!(usable_ids(&list, store_back_at), ["one", "two"]);
    // One server announces itself again; the other does not and is removed after the grace period.
    let later = TimeMs(7_000);
    list.apply(update(13, false, vec![announced("one")]), later, later);
    let delta = list.tick(TimeMs(8_100));
    assert_eq!(delta.unlisted, ["two"]);
    assert_eq!(usable_ids(&list, TimeMs(8_100)), ["one"]);
}

#[test]
fn a_record_dropped_long_after_an_outage_removes_a_server_at_once() {
    let mut list = list();
    list.record_store_failure();
    let store_back_at = TimeMs(6_000);
    list.apply(update(12, false, Vec::new()), store_back_at, store_back_at);
    let later = TimeMs(8_100);
    let delta = list.apply(update(13, false, vec![dropped("one")]), later, later);
    assert_eq!(delta.unlisted, ["one"]);
}

#[test]
fn a_peers_list_ends_an_outage_like_a_read() {
    let mut list = list();
    let mut peer = list.clone();
    list.record_store_failure();
    let store_back_at = TimeMs(6_000);
    peer.apply(
        update(12, false, vec![announced("three")]),
        store_back_at,
        store_back_at,
    );
    list.apply_listing(peer.listing(store_back_at), store_back_at);
    // Much later, this instance reads the store itself again.
    let later = TimeMs(20_000);
    let delta = list.apply(update(13, false, vec![dropped("one")]), later, later);
    assert_eq!(delta.unlisted, ["one"]);
}

#[test]
fn a_peers_fresh_and_unchanged_state_ends_an_outage() {
    let mut list = list();
    list.record_store_failure();
    list.compare_with_peer(&peer_state(10, 50, &[]), TimeMs(6_000));
    let later = TimeMs(20_000);
    let delta = list.apply(update(13, false, vec![dropped("one")]), later, later);
    assert_eq!(delta.unlisted, ["one"]);
}

#[test]
fn departures_of_a_newer_peer_apply_before_its_list_is_fetched() {
    let mut list = list();
    let now = TimeMs(2_000);
    let departed_names = [NameHash::of("one")];
    assert_eq!(
        list.compare_with_peer(&peer_state(11, 40, &departed_names), now),
        ListComparison::NewerWithDepartures(draining(&["one"]))
    );
    assert_eq!(usable_ids(&list, now), ["two"]);
    assert_eq!(
        list.compare_with_peer(&peer_state(11, 40, &departed_names), now),
        ListComparison::Newer
    );
    let mut peer = list.clone();
    peer.apply(update(11, false, vec![announced_draining("one")]), now, now);
    let delta = list.apply_listing(peer.listing(now), now);
    assert_eq!(delta.draining, ["one"]);
    assert_eq!(list.revision(), StorePosition::new(0, 11));
}

#[test]
fn departures_and_list_of_an_older_peer_are_ignored() {
    let mut list = list();
    let now = TimeMs(2_000);
    assert_eq!(
        list.compare_with_peer(&peer_state(9, 0, &[NameHash::of("one")]), now),
        ListComparison::NothingNew
    );
    assert_eq!(usable_ids(&list, now), ["one", "two"]);
    let old = ServerList::default().listing(now);
    assert!(list.apply_listing(old, now).is_empty());
    assert_eq!(usable_ids(&list, now), ["one", "two"]);
}

#[test]
fn a_list_is_as_fresh_as_that_of_a_peer_with_the_same_revision() {
    let mut list = list();
    let now = TimeMs(9_000);
    assert_eq!(list.age_ms(now), 8_000);
    list.compare_with_peer(&peer_state(10, 300, &[]), now);
    assert_eq!(list.age_ms(now), 300);
    list.compare_with_peer(&peer_state(10, 5_000, &[]), now);
    assert_eq!(list.age_ms(now), 300);
}

#[test]
fn an_age_from_before_the_start_of_the_process_is_not_cut_off() {
    let start = TimeMs::PROCESS_START;
    let mut list = ServerList::default();
    let mut listing = self::list().listing(start);
    listing.age_ms = 90_000;
    list.apply_listing(listing, start);
    assert_eq!(list.age_ms(start), 90_000);
}

#[test]
fn the_same_list_at_a_later_revision_need_not_be_fetched() {
    let mut list = list();
    let now = TimeMs(9_000);
    let mut peer = list.clone();
    // Announcements without a change only advance the revision.
    peer.apply(
        update(30, false, vec![announced("two"), announced("one")]),
        now,
        now,
    );
    let peer_state = PeerListState {
        revision: peer.revision(),
        digest: peer.digest(),
        age_ms: 100,
        departures: &[],
    };
    assert_eq!(
        list.compare_with_peer(&peer_state, now),
        ListComparison::NothingNew
    );
    assert_eq!(
        (list.revision(), list.age_ms(now)),
        (StorePosition::new(0, 30), 100)
    );
    peer.apply(update(31, false, vec![announced_draining("one")]), now, now);
    assert_ne!(peer.digest(), list.digest());
    peer.apply(update(32, false, vec![dropped("one")]), now, now);
    peer.apply(update(33, false, vec![announced("one")]), now, now);
    assert_eq!(peer.digest(), list.digest());
}

#[test]
fn departures_are_advertised_for_a_limited_time() {
    let mut list = list();
    let now = TimeMs(2_000);
    list.apply(update(11, false, vec![announced_draining("one")]), now, now);
    list.tick(TimeMs(10_000));
    assert_eq!(list.departures(), [NameHash::of("one")]);
    list.tick(TimeMs(18_000));
    assert!(list.departures().is_empty());
}

/// Two instances with the same list lose the store. In both, expired records become suspects, and one instance sees
/// the servers announce themselves again.
#[test]
fn the_list_of_a_peer_that_no_longer_has_suspects_is_fetched() {
    let mut with_suspects = list();
    let mut without_suspects = list();
    let after_outage = TimeMs(5_000);
    for list in [&mut with_suspects, &mut without_suspects] {
        list.record_store_failure();
        let dropped_records = vec![dropped("one"), dropped("two")];
        list.apply(update(12, false, dropped_records), after_outage, after_outage);
    }
    assert_eq!(with_suspects.digest(), without_suspects.digest());
    let announcements = vec![announced("one"), announced("two")];
    let now = TimeMs(5_500);
    without_suspects.apply(update(14, false, announcements), now, now);
    let peer_state = PeerListState {
        revision: without_suspects.revision(),
        digest: without_suspects.digest(),
        age_ms: 0,
        departures: &[],
    };
    assert_eq!(
        with_suspects.compare_with_peer(&peer_state, now),
        ListComparison::Newer
    );
    with_suspects.apply_listing(without_suspects.listing(now), now);
    assert_eq!(with_suspects.digest(), without_suspects.digest());
    assert!(with_suspects.tick(TimeMs(9_000)).is_empty());
    assert_eq!(usable_ids(&with_suspects, TimeMs(9_000)), ["one", "two"]);
}

/// Returns a list that was partitioned from the store while `two` departed, and has just read the store again.
fn list_with_suspect(now: TimeMs) -> ServerList {
    let mut partitioned = list();
    partitioned.record_store_failure();
    partitioned.apply(update(20, true, vec![announced("one")]), now, now);
    assert_eq!(usable_ids(&partitioned, now), ["one", "two"]);
    partitioned
}

#[test]
fn a_departed_server_does_not_come_back_as_a_peers_suspect() {
    let mut list = list();
    list.apply(
        update(15, false, vec![dropped("two")]),
        TimeMs(5_000),
        TimeMs(5_000),
    );
    let now = TimeMs(8_000);
    let delta = list.apply_listing(list_with_suspect(now).listing(now), now);
    assert!(delta.listed.is_empty(), "{delta:?}");
    assert_eq!(usable_ids(&list, now), ["one"]);
    assert!(list.departures().contains(&NameHash::of("two")));
}

#[test]
fn a_peers_suspect_becomes_a_suspect_and_is_removed_unless_it_announces_itself() {
    let now = TimeMs(8_000);
    for (mut list, listed) in [(list(), 0), (ServerList::default(), 2)] {
        let delta = list.apply_listing(list_with_suspect(now).listing(now), now);
        assert_eq!(delta.listed.len(), listed);
        assert_eq!(usable_ids(&list, now), ["one", "two"]);
        let mut other = list.clone();
        assert_eq!(list.tick(now.plus_ms(1_900)).unlisted.len(), 0);
        assert_eq!(list.tick(now.plus_ms(2_000)).unlisted, ["two"]);
        let later = now.plus_ms(1_000);
        other.apply(update(21, false, vec![announced("two")]), later, later);
        assert!(other.tick(now.plus_ms(2_000)).unlisted.is_empty());
    }
}

fn record_started_at(id: &str, born_ms: u64) -> ServerRecord {
    ServerRecord {
        born_ms: Some(born_ms),
        ..record(id, false)
    }
}

#[test]
fn a_server_that_restarts_under_its_id_is_a_new_incarnation() {
    let mut list = ServerList::default();
    let first = ServerChange::Announced(record_started_at("one", 5_000));
    list.apply(update(10, true, vec![first]), TimeMs(1_000), TimeMs(1_000));
    let digest = list.digest();
    let again = ServerChange::Announced(record_started_at("one", 9_000));
    let delta = list.apply(update(11, false, vec![again]), TimeMs(2_000), TimeMs(2_000));
    assert_eq!((delta.restarted, delta.listed.len()), (vec!["one".to_owned()], 0));
    assert_ne!(list.digest(), digest, "peers must fetch the list");
    assert_eq!(list.departures(), [record_started_at("one", 5_000).name()]);
    assert_eq!(usable_ids(&list, TimeMs(2_000)), ["one"]);
    // The departure of the earlier incarnation does not affect the new one.
    let departed = [record_started_at("one", 5_000).name()];
    list.compare_with_peer(&peer_state(12, 0, &departed), TimeMs(2_100));
    assert_eq!(usable_ids(&list, TimeMs(2_100)), ["one"]);
}

#[test]
fn an_older_list_does_not_bring_back_an_earlier_incarnation() {
    let mut list = ServerList::default();
    let newer = ServerChange::Announced(record_started_at("one", 9_000));
    list.apply(update(20, true, vec![newer]), TimeMs(2_000), TimeMs(2_000));
    let mut peer = ServerList::default();
    let older = ServerChange::Announced(record_started_at("one", 5_000));
    peer.apply(update(19, true, vec![older]), TimeMs(2_000), TimeMs(2_000));
    let delta = list.apply_listing(peer.listing(TimeMs(2_100)), TimeMs(2_100));
    assert!(delta.is_empty());
    assert_eq!(list.listing(TimeMs(2_100)).records[0].born_ms, Some(9_000));
}

#[test]
fn a_cold_server_becomes_warm_at_the_same_time_on_all_instances() {
    let cold = |left_ms| ServerRecord {
        cold_left_ms: left_ms,
        ..record_started_at("one", 9_000)
    };
    let mut reader = ServerList::default();
    let changes = vec![ServerChange::Announced(cold(3_000))];
    reader.apply(update(10, true, changes), TimeMs(1_000), TimeMs(1_000));
    let mut other = ServerList::default();
    other.apply_listing(reader.listing(TimeMs(2_000)), TimeMs(2_000));
    assert_eq!(other.listing(TimeMs(2_500)).records[0].cold_left_ms, 1_500);
    assert_eq!(reader.digest(), other.digest());
    for list in [&mut reader, &mut other] {
        list.tick(TimeMs(4_000));
        assert_eq!(list.listing(TimeMs(4_000)).records[0].cold_left_ms, 0);
    }
    assert_eq!(reader.digest(), other.digest());
    // The record says that the server is cold again: that is a change.
    let again = vec![ServerChange::Announced(cold(2_000))];
    let delta = reader.apply(update(11, false, again), TimeMs(6_000), TimeMs(6_000));
    assert_eq!(delta.cold, ["one"]);
    assert_ne!(reader.digest(), other.digest());
}

/// Guards against an advertised departure that outlives the server's return. An instance received a departure, and
/// then adopted the newer revision of a list equal to its own, since the server had come back. The departure stayed,
/// and a peer that fetched the list treated the server as draining until its record changed again. A simulated fleet
/// then had all servers ready in the store at revision 28, and an instance at revision 28 with `is_draining: true`
/// for each and no departure.
#[test]
fn an_advertised_departure_ends_with_a_newer_equal_list() {
    let mut list = list();
    let now = TimeMs(2_000);
    let departures = [record("one", false).name()];
    let compared = list.compare_with_peer(&peer_state(12, 0, &departures), now);
    assert_eq!(compared, ListComparison::NewerWithDepartures(draining(&["one"])));
    assert_eq!(usable_ids(&list, now), ["two"]);
    // Peers that fetch the list get the state from the store.
    assert!(list.listing(now).records.iter().all(|record| !record.is_draining));
    let same = PeerListState {
        digest: list.digest(),
        ..peer_state(14, 0, &[])
    };
    let returned = ServerReturn {
        id: "one".to_owned(),
        departed_at: StorePosition::new(0, 12),
        announced_at: StorePosition::new(0, 14),
    };
    let ended = ListDelta {
        listed: vec!["one".to_owned()],
        returned: vec![returned],
        ..ListDelta::default()
    };
    assert_eq!(
        list.compare_with_peer(&same, now),
        ListComparison::DeparturesChanged(ended)
    );
    assert_eq!(usable_ids(&list, now), ["one", "two"]);
}

/// Guards against an expired departure that is not published. Requests are placed on the published servers: an
/// instance refused 129 requests as `no_backend` over ten seconds although both servers were listed and healthy.
#[test]
fn an_expired_or_revoked_departure_is_a_change() {
    let mut expiring = list();
    let now = TimeMs(2_000);
    let departures = [record("one", false).name()];
    expiring.compare_with_peer(&peer_state(12, 0, &departures), now);
    let mut revoked = expiring.clone();
    let delta = expiring.tick(now.plus_ms(5_000));
    assert_eq!(delta.listed, ["one"]);
    let delta = revoked.apply(update(12, false, vec![announced("one")]), now, now);
    assert!(delta.listed.is_empty(), "the departure is as new as the record");
    let delta = revoked.apply(update(13, false, vec![announced("one")]), now, now);
    assert_eq!(delta.listed, ["one"]);
}
