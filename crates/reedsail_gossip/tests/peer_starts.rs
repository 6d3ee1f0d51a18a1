//! Detection of restarted peers.
//!
//! Guards against a restarted peer that is taken for one that was alive all along and is therefore not introduced to
//! the fleet: it restarts before its silence is noticed.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use reedsail_core::NameHash;
use reedsail_core::TimeMs;
use reedsail_dispatch::LoadReport;
use reedsail_gossip::Arrival;
use reedsail_gossip::InstanceIdentity;
use reedsail_gossip::LoadExchange;
use reedsail_gossip::MessageHeader;

const START: TimeMs = TimeMs(10_000);

fn address(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
}

fn exchange(name: &str, incarnation: u32, seeds: Vec<SocketAddrV4>) -> LoadExchange {
    let identity = InstanceIdentity {
        instance: NameHash::of(name),
        incarnation,
        failure_domain: NameHash::of("hall-a"),
        processor_milli: 1_000,
    };
    LoadExchange::new(identity, seeds)
}

/// Sends the sender's next message to the receiver, and returns its arrival.
fn send(sender: &mut LoadExchange, receiver: &mut LoadExchange, now: TimeMs) -> Arrival {
    let outgoing = sender.outgoing(&MessageHeader::default(), Some(LoadReport::default()), now);
    let message = outgoing.into_iter().next().unwrap().message;
    receiver.receive(message, address(2), now).arrival
}

#[test]
fn a_peer_that_restarts_before_its_silence_is_noticed_is_new() {
    let mut receiver = exchange("hall-a-1", 1, Vec::new());
    let mut sender = exchange("hall-a-2", 7, vec![address(1)]);
    assert_eq!(send(&mut sender, &mut receiver, START), Arrival::FromNew);
    let later = START.plus_ms(2_000);
    assert_eq!(
        send(&mut sender, &mut receiver, later),
        Arrival::FromNew,
        "the peer was silent"
    );
    let mut restarted = exchange("hall-a-2", 8, vec![address(1)]);
    let at_once = later.plus_ms(100);
    assert_eq!(send(&mut restarted, &mut receiver, at_once), Arrival::FromNew);
}

/// Guards against a late message of a peer's earlier process that takes the place of what its present process has sent.
#[test]
#[ignore = "KNOWN-RED.txt"]
fn a_late_message_of_an_earlier_process_of_a_peer_is_stale() {
    let mut receiver = exchange("hall-a-1", 1, Vec::new());
    let mut sender = exchange("hall-a-2", 7, vec![address(1)]);
    assert_eq!(send(&mut sender, &mut receiver, START), Arrival::FromNew);
    let mut restarted = exchange("hall-a-2", 8, vec![address(1)]);
    let later = START.plus_ms(500);
    assert_eq!(send(&mut restarted, &mut receiver, later), Arrival::FromNew);
    // Sent before the restart, delivered after it.
    assert_eq!(send(&mut sender, &mut receiver, later), Arrival::Stale);
}
