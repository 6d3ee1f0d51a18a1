//! Sums of load reports.

use reedsail_core::NameHash;
use reedsail_dispatch::LoadReport;
use reedsail_dispatch::SegmentId;
use reedsail_dispatch::SegmentKey;
use reedsail_dispatch::ServerLoadRow;
use reedsail_dispatch::SpeedSums;
use reedsail_dispatch::SuspectEndRow;
use reedsail_dispatch::SuspectKey;
use reedsail_dispatch::SuspectRow;
use reedsail_gossip::LoadSum;
use reedsail_wire::LoadMessage;

/// Maximum size of the rows of suspects, in bytes: a fourth of a datagram, beside those of servers and workspaces.
const SUSPECTS_BYTES_MAX: usize = 16 << 10;

fn report(answers: f64, pause_ms: u16) -> LoadReport {
    let row = ServerLoadRow {
        server: NameHash(7),
        speed: SpeedSums {
            answers,
            log_slowness: answers / 2.0,
            log_slowness_squares: answers / 4.0,
        },
        pause_ms,
        ..ServerLoadRow::default()
    };
    LoadReport {
        servers: vec![row],
        ..LoadReport::default()
    }
}

#[test]
fn a_sum_has_all_answers_and_the_longest_pause() {
    let mut sum = LoadSum::default();
    for (answers, pause_ms) in [(4.0, 40), (6.0, 300), (2.0, 0)] {
        sum.add(&report(answers, pause_ms));
    }
    assert_eq!(sum.report(10).servers, report(12.0, 300).servers);
}

fn suspect(number: u64) -> SuspectRow {
    let workspace = NameHash::of("own");
    let segment = SegmentId {
        service: NameHash::of("llm"),
        id: number.wrapping_mul(0x9e37_79b9_7f4a_7c15),
    };
    let end = |end: u32| SuspectEndRow {
        server: NameHash::of(&format!("server-{number}-{end}")),
        sent_ms_ago: 123_456 + end,
        ended_ms_ago: 113_456 + end,
        answered_ms: 9_876,
        beside: Some(NameHash::of("another")),
        is_outlived: true,
        is_early: false,
    };
    SuspectRow {
        key: SuspectKey::Segment(SegmentKey { segment, workspace }),
        workspace,
        ends: (0..8).map(end).collect(),
        changed_ms_ago: 113_456,
        seen_ms_ago: 1_234,
        answered_ms_ago: Some(223_456),
        ..SuspectRow::default()
    }
}

#[test]
fn the_suspects_of_a_sum_leave_room_for_its_other_rows() {
    let mut sum = LoadSum::default();
    sum.add(&LoadReport {
        suspects: (0..1_000).map(suspect).collect(),
        ..LoadReport::default()
    });
    let message = LoadMessage {
        load: sum.report(1_024),
        ..LoadMessage::default()
    };
    let bytes = message.encode().unwrap().len();
    assert!(bytes < SUSPECTS_BYTES_MAX, "{bytes} bytes");
    assert!(!message.load.suspects.is_empty());
}
