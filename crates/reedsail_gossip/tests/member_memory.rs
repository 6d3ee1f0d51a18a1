//! Which instances count as members of the fleet: silent ones do for minutes, so that the parts of a partitioned fleet
//! choose the same instances for a duty.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use reedsail_core::NameHash;
use reedsail_core::TimeMs;
use reedsail_dispatch::LoadReport;
use reedsail_gossip::InstanceIdentity;
use reedsail_gossip::LoadExchange;
use reedsail_gossip::MessageHeader;

const START: TimeMs = TimeMs(10_000);
const NAMES: [&str; 9] = ["a-1", "b-1", "c-1", "a-2", "b-2", "c-2", "a-3", "b-3", "c-3"];

fn address(port: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, port as u16)
}

fn domain(name: &str) -> NameHash {
    NameHash::of(&name[..1])
}

fn fleet() -> Vec<LoadExchange> {
    let identities = NAMES.map(|name| InstanceIdentity {
        instance: NameHash::of(name),
        incarnation: 1,
        failure_domain: domain(name),
        processor_milli: 1_000,
    });
    // Every instance has a seed, so that it sends messages at once.
    identities
        .map(|identity| LoadExchange::new(identity, vec![address(1)]))
        .into()
}

/// Every instance sends its next message to all instances of its part.
fn exchange(fleet: &mut [LoadExchange], part: impl Fn(usize) -> usize, header: &MessageHeader, now: TimeMs) {
    for sender in 0..fleet.len() {
        let outgoing = fleet[sender].outgoing(header, Some(LoadReport::default()), now);
        let Some(outgoing) = outgoing.into_iter().next() else {
            continue;
        };
        for receiver in (0..fleet.len()).filter(|receiver| part(*receiver) == part(sender)) {
            fleet[receiver].receive(outgoing.message.clone(), address(sender + 2), now);
        }
    }
    for instance in fleet {
        instance.drop_silent(now);
    }
}

#[test]
fn parts_of_a_partitioned_fleet_remember_each_other_for_minutes() {
    let mut fleet = fleet();
    let header = MessageHeader::default();
    exchange(&mut fleet, |_| 0, &header, START);
    for passed_ms in (500..=300_000).step_by(500) {
        exchange(
            &mut fleet,
            |instance| instance / 3,
            &header,
            START.plus_ms(passed_ms),
        );
    }
    let members = fleet[0].members();
    assert_eq!(members.len(), NAMES.len());
    for instance in &fleet {
        assert_eq!(instance.members(), members);
    }
}

#[test]
fn a_silent_instance_is_no_member_after_ten_minutes() {
    let mut fleet = fleet();
    exchange(&mut fleet, |_| 0, &MessageHeader::default(), START);
    fleet[0].drop_silent(START.plus_ms(599_000));
    assert_eq!(fleet[0].members().len(), NAMES.len());
    fleet[0].drop_silent(START.plus_ms(601_000));
    assert_eq!(fleet[0].members().len(), 1);
}

#[test]
fn an_instance_that_stopped_is_no_member_after_its_silence() {
    let mut fleet = fleet();
    let stopping = MessageHeader {
        is_stopping: true,
        ..MessageHeader::default()
    };
    exchange(&mut fleet, |_| 0, &stopping, START);
    fleet[0].drop_silent(START.plus_ms(31_000));
    assert_eq!(fleet[0].members().len(), 1);
}
