//! What the list of backend servers believes after trouble, and what it takes from peers.

use std::net::SocketAddr;

use reedsail_core::NameHash;
use reedsail_core::StorePosition;
use reedsail_core::TimeMs;
use reedsail_dispatch::ListComparison;
use reedsail_dispatch::PeerListState;
use reedsail_dispatch::ServerChange;
use reedsail_dispatch::ServerList;
use reedsail_dispatch::ServerRecord;
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
    }
}

fn announced(id: &str) -> ServerChange {
    ServerChange::Announced(record(id, false))
}

fn leaving(id: &str) -> ServerChange {
    ServerChange::Announced(record(id, true))
}

fn dropped(id: &str) -> ServerChange {
    ServerChange::Dropped { id: id.to_owned() }
}

fn news(revision: u64, is_whole: bool, changes: Vec<ServerChange>) -> ServerUpdate {
    ServerUpdate {
        revision: StorePosition::new(0, revision),
        is_whole,
        changes,
    }
}

/// The state of a peer's list that differs from any of these tests.
fn word(revision: u64, age_ms: u64, departures: &[NameHash]) -> PeerListState<'_> {
    PeerListState {
        revision: StorePosition::new(0, revision),
        digest: 0,
        age_ms,
        departures,
    }
}

/// A list that knows two servers, read at 1,000 ms.
fn list() -> ServerList {
    let mut list = ServerList::default();
    let changes = vec![announced("one"), announced("two")];
    let delta = list.apply(news(10, true, changes), TimeMs(1_000), TimeMs(1_005));
    assert_eq!(delta.listed.len(), 2);
    list
}

fn ids(list: &ServerList, now: TimeMs) -> Vec<String> {
    let records = list.records(now);
    let usable = records.into_iter().filter(|record| !record.is_draining);
    let mut ids: Vec<String> = usable.map(|record| record.id).collect();
    ids.sort();
    ids
}

#[test]
fn a_dropped_record_ends_a_server_at_once() {
    let mut list = list();
    let now = TimeMs(2_000);
    let delta = list.apply(news(11, false, vec![dropped("one")]), now, now);
    assert_eq!(delta.unlisted, ["one"]);
    assert_eq!(ids(&list, now), ["two"]);
    assert_eq!(list.departures(), [NameHash::of("one")]);
}

#[test]
fn a_record_that_became_unreadable_ends_a_server_until_it_announces_itself_again() {
    for is_whole in [false, true] {
        let mut list = list();
        let now = TimeMs(2_000);
        let unreadable = ServerChange::Unreadable {
            id: "one".to_owned(),
            fault: "missing field `address`".to_owned(),
        };
        let delta = list.apply(news(11, is_whole, vec![unreadable, announced("two")]), now, now);
        assert_eq!(
            (delta.unlisted, delta.unreadable.len()),
            (vec!["one".to_owned()], 1)
        );
        assert_eq!(ids(&list, now), ["two"]);
        list.apply(news(12, false, vec![announced("one")]), now, now);
        assert_eq!(ids(&list, now), ["one", "two"]);
    }
}

#[test]
fn a_record_missing_from_the_whole_list_ends_a_server() {
    let mut list = list();
    let now = TimeMs(2_000);
    let delta = list.apply(news(11, true, vec![announced("two")]), now, now);
    assert_eq!(delta.unlisted, ["one"]);
}

#[test]
fn records_dropped_while_the_store_was_away_are_doubted_not_believed() {
    let mut list = list();
    list.record_store_failure();
    let back = TimeMs(6_000);
    let changes = vec![dropped("one"), dropped("two")];
    let delta = list.apply(news(12, false, changes), back, back);
    assert!(delta.unlisted.is_empty());
    assert_eq!(ids(&list, back), ["one", "two"]);
    // One announces itself again; the other does not, and is given up in time.
    let later = TimeMs(7_000);
    list.apply(news(13, false, vec![announced("one")]), later, later);
    let delta = list.tick(TimeMs(8_100));
    assert_eq!(delta.unlisted, ["two"]);
    assert_eq!(ids(&list, TimeMs(8_100)), ["one"]);
}

#[test]
fn a_record_dropped_well_after_trouble_is_believed() {
    let mut list = list();
    list.record_store_failure();
    let back = TimeMs(6_000);
    list.apply(news(12, false, Vec::new()), back, back);
    let later = TimeMs(8_100);
    let delta = list.apply(news(13, false, vec![dropped("one")]), later, later);
    assert_eq!(delta.unlisted, ["one"]);
}

#[test]
fn trouble_ends_with_a_peers_list_as_with_a_read() {
    let mut list = list();
    let mut peer = list.clone();
    list.record_store_failure();
    let back = TimeMs(6_000);
    peer.apply(news(12, false, vec![announced("three")]), back, back);
    list.apply_listing(peer.listing(back), back);
    // Long after, this daemon reads the store by itself again.
    let later = TimeMs(20_000);
    let delta = list.apply(news(13, false, vec![dropped("one")]), later, later);
    assert_eq!(delta.unlisted, ["one"]);
}

#[test]
fn trouble_ends_with_a_peers_fresh_word_that_nothing_has_changed() {
    let mut list = list();
    list.record_store_failure();
    list.compare_with_peer(&word(10, 50, &[]), TimeMs(6_000));
    let later = TimeMs(20_000);
    let delta = list.apply(news(13, false, vec![dropped("one")]), later, later);
    assert_eq!(delta.unlisted, ["one"]);
}

#[test]
fn a_peer_that_knows_more_is_believed_before_its_list_is_fetched() {
    let mut list = list();
    let now = TimeMs(2_000);
    let leaving_one = [NameHash::of("one")];
    assert_eq!(
        list.compare_with_peer(&word(11, 40, &leaving_one), now),
        ListComparison::NewerWithDepartures
    );
    assert_eq!(ids(&list, now), ["two"]);
    assert_eq!(
        list.compare_with_peer(&word(11, 40, &leaving_one), now),
        ListComparison::Newer
    );
    let mut peer = list.clone();
    peer.apply(news(11, false, vec![leaving("one")]), now, now);
    let delta = list.apply_listing(peer.listing(now), now);
    assert_eq!(delta.draining, ["one"]);
    assert_eq!(list.revision(), StorePosition::new(0, 11));
}

#[test]
fn a_peer_that_knows_less_is_not_believed() {
    let mut list = list();
    let now = TimeMs(2_000);
    assert_eq!(
        list.compare_with_peer(&word(9, 0, &[NameHash::of("one")]), now),
        ListComparison::NothingNew
    );
    assert_eq!(ids(&list, now), ["one", "two"]);
    let old = ServerList::default().listing(now);
    assert!(list.apply_listing(old, now).is_empty());
    assert_eq!(ids(&list, now), ["one", "two"]);
}

#[test]
fn a_list_is_as_fresh_as_that_of_a_peer_with_the_same_revision() {
    let mut list = list();
    let now = TimeMs(9_000);
    assert_eq!(list.age_ms(now), 8_000);
    list.compare_with_peer(&word(10, 300, &[]), now);
    assert_eq!(list.age_ms(now), 300);
    list.compare_with_peer(&word(10, 5_000, &[]), now);
    assert_eq!(list.age_ms(now), 300);
}

#[test]
fn the_same_list_at_a_later_revision_need_not_be_fetched() {
    let mut list = list();
    let now = TimeMs(9_000);
    let mut peer = list.clone();
    // Announcements that change nothing move the revision only.
    peer.apply(
        news(30, false, vec![announced("two"), announced("one")]),
        now,
        now,
    );
    let word = PeerListState {
        revision: peer.revision(),
        digest: peer.digest(),
        age_ms: 100,
        departures: &[],
    };
    assert_eq!(list.compare_with_peer(&word, now), ListComparison::NothingNew);
    assert_eq!(
        (list.revision(), list.age_ms(now)),
        (StorePosition::new(0, 30), 100)
    );
    peer.apply(news(31, false, vec![leaving("one")]), now, now);
    assert_ne!(peer.digest(), list.digest());
    peer.apply(news(32, false, vec![dropped("one")]), now, now);
    peer.apply(news(33, false, vec![announced("one")]), now, now);
    assert_eq!(peer.digest(), list.digest());
}

#[test]
fn departures_are_told_for_a_while_only() {
    let mut list = list();
    let now = TimeMs(2_000);
    list.apply(news(11, false, vec![leaving("one")]), now, now);
    list.tick(TimeMs(10_000));
    assert_eq!(list.departures(), [NameHash::of("one")]);
    list.tick(TimeMs(18_000));
    assert!(list.departures().is_empty());
}

/// Two daemons with the same list lose the store; both doubt what lapsed meanwhile, and one hears
/// the servers announce themselves again.
#[test]
fn a_peer_that_no_longer_doubts_is_asked_for_its_list() {
    let mut doubting = list();
    let mut sure = list();
    let after_trouble = TimeMs(5_000);
    for list in [&mut doubting, &mut sure] {
        list.record_store_failure();
        let lapsed = vec![dropped("one"), dropped("two")];
        list.apply(news(12, false, lapsed), after_trouble, after_trouble);
    }
    assert_eq!(doubting.digest(), sure.digest());
    let back = vec![announced("one"), announced("two")];
    let now = TimeMs(5_500);
    sure.apply(news(14, false, back), now, now);
    let word = PeerListState {
        revision: sure.revision(),
        digest: sure.digest(),
        age_ms: 0,
        departures: &[],
    };
    assert_eq!(doubting.compare_with_peer(&word, now), ListComparison::Newer);
    doubting.apply_listing(sure.listing(now), now);
    assert_eq!(doubting.digest(), sure.digest());
    assert!(doubting.tick(TimeMs(9_000)).is_empty());
    assert_eq!(ids(&doubting, TimeMs(9_000)), ["one", "two"]);
}

/// A list that was cut off from the store while `two` left, and has just read the store again.
fn list_with_suspect(now: TimeMs) -> ServerList {
    let mut cut_off = list();
    cut_off.record_store_failure();
    cut_off.apply(news(20, true, vec![announced("one")]), now, now);
    assert_eq!(ids(&cut_off, now), ["one", "two"]);
    cut_off
}

#[test]
fn a_server_that_left_does_not_come_back_by_a_peer_that_only_suspects_it() {
    let mut list = list();
    list.apply(
        news(15, false, vec![dropped("two")]),
        TimeMs(5_000),
        TimeMs(5_000),
    );
    let now = TimeMs(8_000);
    let delta = list.apply_listing(list_with_suspect(now).listing(now), now);
    assert!(delta.listed.is_empty(), "{delta:?}");
    assert_eq!(ids(&list, now), ["one"]);
    assert!(list.departures().contains(&NameHash::of("two")));
}

#[test]
fn a_suspect_of_a_peer_is_one_here_and_goes_unless_it_announces_itself() {
    let now = TimeMs(8_000);
    for (mut list, listed) in [(list(), 0), (ServerList::default(), 2)] {
        let delta = list.apply_listing(list_with_suspect(now).listing(now), now);
        assert_eq!(delta.listed.len(), listed);
        assert_eq!(ids(&list, now), ["one", "two"]);
        let mut other = list.clone();
        assert_eq!(list.tick(now.plus_ms(1_900)).unlisted.len(), 0);
        assert_eq!(list.tick(now.plus_ms(2_000)).unlisted, ["two"]);
        let later = now.plus_ms(1_000);
        other.apply(news(21, false, vec![announced("two")]), later, later);
        assert!(other.tick(now.plus_ms(2_000)).unlisted.is_empty());
    }
}

fn started(id: &str, born_ms: u64) -> ServerRecord {
    ServerRecord {
        born_ms: Some(born_ms),
        ..record(id, false)
    }
}

#[test]
fn a_server_that_started_again_under_its_id_is_another_one() {
    let mut list = ServerList::default();
    let first = ServerChange::Announced(started("one", 5_000));
    list.apply(news(10, true, vec![first]), TimeMs(1_000), TimeMs(1_000));
    let digest = list.digest();
    let again = ServerChange::Announced(started("one", 9_000));
    let delta = list.apply(news(11, false, vec![again]), TimeMs(2_000), TimeMs(2_000));
    assert_eq!((delta.restarted, delta.listed.len()), (vec!["one".to_owned()], 0));
    assert_ne!(list.digest(), digest, "peers are to fetch the list");
    assert_eq!(list.departures(), [started("one", 5_000).name()]);
    assert_eq!(ids(&list, TimeMs(2_000)), ["one"]);
    // The departure of the earlier start says nothing of the new one.
    let departed = [started("one", 5_000).name()];
    list.compare_with_peer(&word(12, 0, &departed), TimeMs(2_100));
    assert_eq!(ids(&list, TimeMs(2_100)), ["one"]);
}

#[test]
fn older_news_do_not_bring_an_earlier_start_back() {
    let mut list = ServerList::default();
    let newer = ServerChange::Announced(started("one", 9_000));
    list.apply(news(20, true, vec![newer]), TimeMs(2_000), TimeMs(2_000));
    let mut peer = ServerList::default();
    let older = ServerChange::Announced(started("one", 5_000));
    peer.apply(news(19, true, vec![older]), TimeMs(2_000), TimeMs(2_000));
    let delta = list.apply_listing(peer.listing(TimeMs(2_100)), TimeMs(2_100));
    assert!(delta.is_empty());
    assert_eq!(list.listing(TimeMs(2_100)).records[0].born_ms, Some(9_000));
}

#[test]
fn a_cold_servers_time_runs_out_alike_on_all_instances() {
    let cold = |left_ms| ServerRecord {
        cold_left_ms: left_ms,
        ..started("one", 9_000)
    };
    let mut reader = ServerList::default();
    let changes = vec![ServerChange::Announced(cold(3_000))];
    reader.apply(news(10, true, changes), TimeMs(1_000), TimeMs(1_000));
    let mut other = ServerList::default();
    other.apply_listing(reader.listing(TimeMs(2_000)), TimeMs(2_000));
    assert_eq!(other.listing(TimeMs(2_500)).records[0].cold_left_ms, 1_500);
    assert_eq!(reader.digest(), other.digest());
    for list in [&mut reader, &mut other] {
        list.tick(TimeMs(4_000));
        assert_eq!(list.listing(TimeMs(4_000)).records[0].cold_left_ms, 0);
    }
    assert_eq!(reader.digest(), other.digest());
    // Cold again by its own word: that is news.
    let again = vec![ServerChange::Announced(cold(2_000))];
    let delta = reader.apply(news(11, false, again), TimeMs(6_000), TimeMs(6_000));
    assert_eq!(delta.cold, ["one"]);
    assert_ne!(reader.digest(), other.digest());
}

/// An instance heard of a departure, and then took over the newer revision of a list equal to its own, since the server
/// had come back: the departure stayed, and a peer that fetched its list then took the server for draining until its
/// record changed again. A simulated fleet showed it: all servers ready in the store at revision 28, and an instance at
/// revision 28 with `is_draining: true` for each and no departure.
#[test]
fn an_advertised_departure_ends_with_a_newer_list_that_is_the_same() {
    let mut list = list();
    let now = TimeMs(2_000);
    let departures = [record("one", false).name()];
    let compared = list.compare_with_peer(&word(12, 0, &departures), now);
    assert_eq!(compared, ListComparison::NewerWithDepartures);
    assert_eq!(ids(&list, now), ["two"]);
    // Peers that fetch the list are told what the store said.
    assert!(list.listing(now).records.iter().all(|record| !record.is_draining));
    let same = PeerListState {
        digest: list.digest(),
        ..word(14, 0, &[])
    };
    assert_eq!(
        list.compare_with_peer(&same, now),
        ListComparison::DeparturesChanged
    );
    assert_eq!(ids(&list, now), ["one", "two"]);
}

/// What is sent where follows what was published last, and a departure that lapsed was not published: an instance of a
/// soak refused 129 requests as `no_backend` over ten seconds, with both servers listed and well.
#[test]
fn a_departure_that_lapses_or_is_taken_back_is_a_change() {
    let mut lapsing = list();
    let now = TimeMs(2_000);
    let departures = [record("one", false).name()];
    lapsing.compare_with_peer(&word(12, 0, &departures), now);
    let mut taken_back = lapsing.clone();
    let delta = lapsing.tick(now.plus_ms(5_000));
    assert_eq!(delta.listed, ["one"]);
    let delta = taken_back.apply(news(12, false, vec![announced("one")]), now, now);
    assert_eq!(delta.listed, ["one"]);
}
