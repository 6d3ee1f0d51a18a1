//! Load messages: a decoded message equals the encoded one, and invalid bytes are rejected without a panic.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::proptest;
use reedsail_core::Fingerprint;
use reedsail_core::NameHash;
use reedsail_core::StorePosition;
use reedsail_dispatch::EvacuationRow;
use reedsail_dispatch::LoadReport;
use reedsail_dispatch::PrefixRow;
use reedsail_dispatch::SegmentId;
use reedsail_dispatch::SegmentKey;
use reedsail_dispatch::ServerLoadRow;
use reedsail_dispatch::SpeedSums;
use reedsail_dispatch::SuspectEndRow;
use reedsail_dispatch::SuspectKey;
use reedsail_dispatch::SuspectRow;
use reedsail_dispatch::WorkspaceUseRow;
use reedsail_wire::IncludedRow;
use reedsail_wire::LoadMessage;
use reedsail_wire::LoadScope;
use reedsail_wire::MemberRow;

fn message(rows: u32, cost: f32) -> LoadMessage {
    LoadMessage {
        instance: NameHash(1),
        incarnation: 2,
        sequence: 3,
        failure_domain: NameHash(4),
        configuration_version: 5,
        configuration_age_ms: 6,
        servers_revision: StorePosition::new(2, 7),
        servers_digest: 9,
        servers_age_ms: 8,
        is_stopping: true,
        scope: LoadScope::Fleet,
        protocol: 1,
        processor_milli: 120,
        included: (0..rows)
            .map(|row| IncludedRow {
                instance: NameHash(row),
                sequence: row * 7,
            })
            .collect(),
        instances: rows,
        domain_instances: rows / 2,
        load_age_ms: 60,
        load_interval_ms: 0,
        load: LoadReport {
            servers: (0..rows)
                .map(|row| ServerLoadRow {
                    server: NameHash(row),
                    running: row as u16,
                    failure_rate: row as u8,
                    prefill_tokens: row * 1_000,
                    is_down: row % 3 == 0,
                    is_draining: row % 5 == 0,
                    is_backed_off: row % 7 == 0,
                    speed: SpeedSums {
                        answers: 4.5,
                        log_slowness: -1.25,
                        log_slowness_squares: 2.0,
                    },
                    pause_ms: 250,
                })
                .collect(),
            workspaces: (0..rows)
                .map(|row| WorkspaceUseRow {
                    workspace: NameHash(row),
                    requested_cost: cost,
                    sent_cost: cost / 2.0,
                    recent_prefill_tokens: 3.0,
                    recent_sent_cost: 4.0,
                })
                .collect(),
            prefixes: (0..rows)
                .map(|row| PrefixRow {
                    segment: row,
                    server: NameHash(row),
                })
                .collect(),
            suspects: (0..rows)
                .map(|row| SuspectRow {
                    key: suspect_key(row),
                    workspace: NameHash(row),
                    ends: (0..row % 4).map(|server| end_row(server, row)).collect(),
                    changed_ms_ago: row,
                    seen_ms_ago: row * 2,
                    ..SuspectRow::default()
                })
                .collect(),
        },
        departures: (0..rows).map(NameHash).collect(),
        evacuations: (0..rows)
            .map(|row| EvacuationRow {
                failure_domain: NameHash(row),
                revision: StorePosition::new(row, u64::from(row) << 40),
                is_active: row % 2 == 0,
            })
            .collect(),
        members: (0..rows)
            .map(|row| MemberRow {
                instance: NameHash(row),
                address: SocketAddrV4::new(Ipv4Addr::from(row), row as u16),
                failure_domain: NameHash(row % 3),
                processor_milli: row,
            })
            .collect(),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_decoded_message_equals_the_encoded_one(rows in 0_u32..200, cost in 0.0_f32..1e9) {
        let sent = message(rows, cost);
        let read = LoadMessage::decode(&sent.encode().unwrap()).unwrap();
        assert_eq!(read, sent);
    }

    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        // Both outcomes are fine. The test guards against a panic and an endless read.
        let _ = LoadMessage::decode(&bytes);
    }

    #[test]
    fn a_corrupted_message_is_decoded_or_rejected(at in 0_usize..400, value in any::<u8>()) {
        let mut bytes = message(20, 5.0).encode().unwrap();
        let index = at % bytes.len();
        bytes[index] = value;
        let _ = LoadMessage::decode(&bytes);
    }
}

#[test]
fn an_invalid_cost_counts_as_zero() {
    for cost in [f32::NAN, f32::INFINITY, -5.0] {
        let read = LoadMessage::decode(&message(1, cost).encode().unwrap()).unwrap();
        assert!(read.load.workspaces[0].requested_cost.abs() < f32::EPSILON);
    }
}

#[test]
fn a_message_with_an_unknown_scope_is_rejected() {
    let fleet = message(0, 1.0);
    let aggregate = LoadMessage {
        scope: LoadScope::Aggregate,
        ..fleet.clone()
    };
    let mut bytes = fleet.encode().unwrap();
    let other = aggregate.encode().unwrap();
    let differing: Vec<usize> = (0..bytes.len()).filter(|at| bytes[*at] != other[*at]).collect();
    assert_eq!(
        differing.len(),
        1,
        "the two messages differ only in the byte of the scope"
    );
    bytes[differing[0]] = 9;
    assert!(LoadMessage::decode(&bytes).is_err());
}

#[test]
fn a_list_over_the_row_limit_is_rejected() {
    let bytes = message(5_000, 1.0).encode().unwrap();
    assert!(LoadMessage::decode(&bytes).is_err());
}

/// Returns the key of a request or, for every other row, of a segment.
fn suspect_key(row: u32) -> SuspectKey {
    if row.is_multiple_of(2) {
        return SuspectKey::Request(Fingerprint(u128::from(row) << 63));
    }
    let segment = SegmentId {
        service: NameHash(row + 1),
        id: u64::from(row) << 40,
    };
    let workspace = NameHash(row);
    SuspectKey::Segment(SegmentKey { segment, workspace })
}

fn end_row(server: u32, ended_ms_ago: u32) -> SuspectEndRow {
    SuspectEndRow {
        server: NameHash(server),
        sent_ms_ago: ended_ms_ago,
        ended_ms_ago,
        ..SuspectEndRow::default()
    }
}
