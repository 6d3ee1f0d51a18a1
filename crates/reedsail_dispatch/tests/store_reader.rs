//! Which instance of a failure domain reads the store.

use reedsail_core::NameHash;
use reedsail_dispatch::GossipTiming;
use reedsail_dispatch::ReaderCandidate;
use reedsail_dispatch::StoreTopic;
use reedsail_dispatch::is_reader;
use reedsail_dispatch::is_stale;

const DOMAIN: NameHash = NameHash(7);

fn peer(instance: u32, silent_ms: u64) -> ReaderCandidate {
    ReaderCandidate {
        instance: NameHash(instance),
        failure_domain: DOMAIN,
        silent_ms,
        is_stopping: false,
    }
}

fn reads(own: u32, peers: &[ReaderCandidate]) -> bool {
    is_reader(
        NameHash(own),
        DOMAIN,
        peers.iter().copied(),
        GossipTiming::of(peers.len()),
    )
}

#[test]
fn the_smallest_name_of_a_failure_domain_reads() {
    assert!(reads(5, &[]));
    assert!(reads(5, &[peer(6, 0), peer(9, 0)]));
    assert!(!reads(5, &[peer(6, 0), peer(4, 0)]));
    let elsewhere = ReaderCandidate {
        failure_domain: NameHash(8),
        ..peer(4, 0)
    };
    assert!(reads(5, &[elsewhere]));
}

#[test]
fn a_peer_that_stops_or_is_silent_is_not_counted_on() {
    let stopping = ReaderCandidate {
        is_stopping: true,
        ..peer(4, 0)
    };
    assert!(reads(5, &[stopping]));
    assert!(!reads(5, &[peer(4, 599)]));
    assert!(reads(5, &[peer(4, 600)]));
}

#[test]
fn stale_knowledge_is_read_whoever_the_reader_is() {
    let small = GossipTiming::of(8);
    assert!(!is_stale(StoreTopic::Servers, 1_200, small));
    assert!(is_stale(StoreTopic::Servers, 1_201, small));
    assert!(!is_stale(StoreTopic::Configuration, 1_700, small));
    assert!(is_stale(StoreTopic::Configuration, 1_701, small));
    // With 99 peers an update may arrive 592 ms later.
    let large = GossipTiming::of(99);
    assert!(!is_stale(StoreTopic::Servers, 1_792, large));
    assert!(is_stale(StoreTopic::Servers, 1_793, large));
}
