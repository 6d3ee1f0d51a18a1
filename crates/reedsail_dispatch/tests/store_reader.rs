//! Which instance of a failure domain reads the store.

use reedsail_core::NameHash;
use reedsail_dispatch::DutyRank;
use reedsail_dispatch::GossipTiming;
use reedsail_dispatch::ReaderCandidate;
use reedsail_dispatch::Staleness;
use reedsail_dispatch::StoreTopic;
use reedsail_dispatch::is_reader;
use reedsail_dispatch::is_turn;
use reedsail_dispatch::staleness;

const DOMAIN: NameHash = NameHash(7);

fn peer(instance: u32, silent_ms: u64) -> ReaderCandidate {
    ReaderCandidate {
        instance: NameHash(instance),
        failure_domain: DOMAIN,
        processor_milli: 120,
        silent_ms,
        is_stopping: false,
    }
}

fn reads(own: u32, peers: &[ReaderCandidate]) -> bool {
    is_reader(
        DutyRank::of(NameHash(own), 120),
        Some(DOMAIN),
        peers.iter().copied(),
        GossipTiming::of(peers.len()),
    )
}

#[test]
fn the_smallest_name_hash_of_a_failure_domain_reads() {
    assert!(reads(5, &[]));
    assert!(reads(5, &[peer(6, 0), peer(9, 0)]));
    assert!(!reads(5, &[peer(6, 0), peer(4, 0)]));
    let in_other_domain = ReaderCandidate {
        failure_domain: NameHash(8),
        ..peer(4, 0)
    };
    assert!(reads(5, &[in_other_domain]));
    // If one instance reads for the whole fleet, its failure domain does not matter.
    let own = DutyRank::of(NameHash(5), 120);
    assert!(!is_reader(own, None, [in_other_domain], GossipTiming::of(1)));
}

#[test]
fn the_instance_with_the_largest_processor_share_reads() {
    let large = ReaderCandidate {
        processor_milli: 500,
        ..peer(9, 0)
    };
    assert!(!reads(5, &[large]));
    let small = ReaderCandidate {
        processor_milli: 100,
        ..peer(4, 0)
    };
    assert!(reads(5, &[small]));
}

#[test]
fn a_stopping_or_silent_peer_is_not_the_reader() {
    let stopping = ReaderCandidate {
        is_stopping: true,
        ..peer(4, 0)
    };
    assert!(reads(5, &[stopping]));
    assert!(!reads(5, &[peer(4, 599)]));
    assert!(reads(5, &[peer(4, 600)]));
}

#[test]
fn stale_data_is_read_by_any_instance() {
    let small = GossipTiming::of(8);
    assert!(staleness(StoreTopic::Servers, 1_200, small) == Staleness::After(0));
    assert!(staleness(StoreTopic::Servers, 1_201, small) == Staleness::For(1));
    assert!(staleness(StoreTopic::Configuration, 1_700, small) == Staleness::After(0));
    assert!(staleness(StoreTopic::Configuration, 1_701, small) == Staleness::For(1));
    // With 99 peers an update may arrive 592 ms later.
    let large = GossipTiming::of(99);
    assert!(staleness(StoreTopic::Servers, 1_792, large) == Staleness::After(0));
    assert!(staleness(StoreTopic::Servers, 1_793, large) == Staleness::For(1));
}

/// Returns the number of calls that a failure domain makes during an outage of the store, if each instance checks ten
/// times a second whether it may read and reads at most once in 200 ms.
fn calls_during_outage(instances: usize, outage_ms: u64) -> usize {
    let mut next_at = vec![0; instances];
    let mut calls = 0;
    for now in (0..outage_ms).step_by(100) {
        for (position, next_at) in next_at.iter_mut().enumerate() {
            if now >= *next_at && is_turn(position, instances, now) {
                calls += 1;
                *next_at = now + 200;
            }
        }
    }
    calls
}

#[test]
fn calls_during_an_outage_do_not_grow_with_the_failure_domain() {
    for instances in [2, 3, 20, 59, 200] {
        let calls = calls_during_outage(instances, 9_000);
        assert!(calls <= 60, "{instances} instances made {calls} calls");
    }
    // An instance without peers reads as often as it may.
    assert_eq!(calls_during_outage(1, 9_000), 45);
}

#[test]
fn every_instance_has_a_turn_and_the_reader_is_not_first() {
    assert!(!is_turn(0, 59, 0));
    assert!(is_turn(1, 59, 0));
    for position in 0..59 {
        let has_turn = (0..40_000).step_by(100).any(|ms| is_turn(position, 59, ms));
        assert!(has_turn, "{position} never had a turn");
    }
}
