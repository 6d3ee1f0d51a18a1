//! Gossip intervals and limits on silence, for fleets from three instances to more than the 320 that the design
//! supports.

use reedsail_dispatch::GossipTiming;

#[test]
fn instances_of_a_small_fleet_send_ten_messages_a_second() {
    for peers in [0, 2, 8, 25] {
        let times = GossipTiming::of(peers);
        assert_eq!((times.interval_ms, times.peer_silent_ms), (100, 1_500));
        assert_eq!((times.reader_silent_ms, times.update_delay_ms), (600, 0));
    }
}

#[test]
fn one_lost_message_never_makes_a_peer_silent() {
    for peers in [58, 99, 150, 299, 320, 400] {
        let times = GossipTiming::of(peers);
        assert!(times.peer_silent_ms > 2 * times.interval_ms, "{peers}: {times:?}");
        assert!(
            times.reader_silent_ms > 2 * times.interval_ms,
            "{peers}: {times:?}"
        );
    }
}

#[test]
fn messages_sent_in_a_second_do_not_grow_with_the_fleet() {
    for peers in [58, 320, 400] {
        let messages_per_s = peers as u64 * 1_000 / GossipTiming::of(peers).interval_ms;
        assert!(messages_per_s <= 250, "{peers}: {messages_per_s}");
    }
}
