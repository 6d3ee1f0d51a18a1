//! The table of streams that may be continued, and its bounds.

use std::collections::BTreeSet;

use reedsail_core::NameHash;
use reedsail_core::TimeMs;
use reedsail_dispatch::STREAM_HOLDERS;
use reedsail_dispatch::STREAM_LIFE_MAX_MS;
use reedsail_dispatch::SoftwareVersion;
use reedsail_dispatch::StreamHolder;
use reedsail_dispatch::StreamId;
use reedsail_dispatch::StreamRow;
use reedsail_dispatch::StreamVersionTable;
use reedsail_dispatch::UnsentRow;

const START: TimeMs = TimeMs(1_000);
/// Streams that are kept for one workspace.
const WORKSPACE_STREAMS_MAX: usize = 8_192;
/// Streams that are kept for all workspaces.
const STREAMS_MAX: usize = 32_768;

fn row(workspace: &str, attempt: &str, version: &str, left_ms: u32) -> StreamRow {
    let workspace = NameHash::of(workspace);
    StreamRow {
        stream: StreamId::of(workspace, attempt.as_bytes()),
        service: NameHash::of("engines"),
        workspace,
        version: SoftwareVersion::of(version),
        left_ms,
    }
}

#[test]
fn a_stream_is_kept_until_its_callers_deadline() {
    let mut table = StreamVersionTable::default();
    let first = row("labska", "a", "v1", 5_000);
    table.bind(&first, START);
    assert_eq!(table.get(first.stream, START), Some(first));
    assert!(table.get(first.stream, START.plus_ms(4_999)).is_some());
    assert_eq!(table.get(first.stream, START.plus_ms(5_000)), None);
    table.tick(START.plus_ms(5_000));
    assert!(table.is_empty());
    // A peer can't make an instance keep a stream for longer than streams live.
    table.receive(&row("labska", "long", "v1", u32::MAX), START);
    table.tick(START.plus_ms(STREAM_LIFE_MAX_MS));
    assert!(table.is_empty());
    // A later attempt binds it again under the id of the first one.
    table.bind(&first, START.plus_ms(6_000));
    assert!(table.get(first.stream, START.plus_ms(10_999)).is_some());
}

#[test]
fn an_id_that_is_bound_to_two_versions_has_none() {
    let mut table = StreamVersionTable::default();
    let first = row("labska", "a", "v1", 5_000);
    table.bind(&first, START);
    table.receive(&row("labska", "a", "v2", 5_000), START);
    assert_eq!(table.get(first.stream, START).unwrap().version, None);
    table.bind(&first, START);
    assert_eq!(table.get(first.stream, START).unwrap().version, None);
    // Another workspace's attempt with the same id is another stream.
    let other = row("harrachov", "a", "v2", 5_000);
    table.bind(&other, START);
    assert_eq!(
        table.get(other.stream, START).unwrap().version,
        SoftwareVersion::of("v2")
    );
}

#[test]
fn rows_are_sent_once_to_each_generation_of_peers() {
    let mut table = StreamVersionTable::default();
    let (own, told) = (row("labska", "a", "v1", 5_000), row("labska", "b", "v1", 5_000));
    table.bind(&own, START);
    table.receive(&told, START);
    assert!(table.is_own(own.stream) && !table.is_own(told.stream));
    let services: BTreeSet<NameHash> = table.own_services();
    let holder = StreamHolder {
        instance: NameHash::of("hall-b-1"),
        incarnation: 1,
    };
    let holders = [Some(holder), None, None];
    let unsent = |table: &StreamVersionTable, generation, now| table.unsent(&services, generation, now);
    let first = UnsentRow {
        row: own,
        holders: [None; STREAM_HOLDERS],
    };
    assert_eq!(unsent(&table, 1, START), [first]);
    table.record_sent(own.stream, 1, holders);
    assert_eq!(unsent(&table, 1, START), []);
    assert_eq!(unsent(&table, 2, START), [UnsentRow { row: own, holders }]);
    assert_eq!(table.unsent(&BTreeSet::new(), 2, START), []);
    assert_eq!(unsent(&table, 2, START.plus_ms(5_000)), []);
    // A changed row has to be sent to all holders again.
    table.receive(&row("labska", "a", "v2", 5_000), START);
    assert_eq!(unsent(&table, 1, START)[0].holders, [None; STREAM_HOLDERS]);
}

#[test]
fn a_workspace_with_many_streams_displaces_only_its_own() {
    let mut table = StreamVersionTable::default();
    let kept = row("labska", "a", "v1", 1_000);
    table.bind(&kept, START);
    for number in 0..2 * WORKSPACE_STREAMS_MAX {
        table.receive(
            &row("flood", &number.to_string(), "v1", 5_000 + number as u32),
            START,
        );
    }
    assert_eq!(table.len(), WORKSPACE_STREAMS_MAX + 1);
    assert!(table.get(kept.stream, START).is_some());
    // Of the flood, the streams that end first were dropped.
    let last = (2 * WORKSPACE_STREAMS_MAX - 1).to_string();
    assert!(table.get(row("flood", &last, "v1", 0).stream, START).is_some());
    assert!(table.get(row("flood", "0", "v1", 0).stream, START).is_none());
}

#[test]
fn the_table_is_bounded_over_all_workspaces() {
    let mut table = StreamVersionTable::default();
    for number in 0..STREAMS_MAX + 5_000 {
        let workspace = format!("workspace-{}", number % 7);
        table.receive(&row(&workspace, &number.to_string(), "v1", 5_000), START);
    }
    assert_eq!(table.len(), STREAMS_MAX);
}
