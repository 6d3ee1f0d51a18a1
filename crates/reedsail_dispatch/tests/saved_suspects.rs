//! Which instance writes the records of quarantined requests to the platform's store, and when.

use reedsail_core::Fingerprint;
use reedsail_core::NameHash;
use reedsail_core::TimeMs;
use reedsail_dispatch::DispatchSettings;
use reedsail_dispatch::Dispatcher;
use reedsail_dispatch::LoadReport;
use reedsail_dispatch::SuspectEndRow;
use reedsail_dispatch::SuspectKey;
use reedsail_dispatch::SuspectRecord;
use reedsail_dispatch::SuspectRow;
use reedsail_dispatch::WriterPosition;

const START: TimeMs = TimeMs(1_000_000);
const KEY: SuspectKey = SuspectKey::Request(Fingerprint(42));
const INSTANCES: usize = 3;
/// Time between the turns of two instances, in milliseconds.
const TURN_MS: u64 = 500;
/// How long a suspect that does not come is kept, in milliseconds.
const KEPT_MS: u64 = 600_000;

struct Instance {
    dispatcher: Dispatcher,
    position: usize,
    now: TimeMs,
}

impl Instance {
    fn new(position: usize) -> Self {
        Self {
            dispatcher: Dispatcher::new(DispatchSettings::default(), NameHash::of("domain")),
            position,
            now: START,
        }
    }

    /// Returns the first instance of a fleet, which knows a quarantined request.
    fn with_quarantine(position: usize) -> Self {
        let mut instance = Self::new(position);
        instance.receive(vec![quarantined_row()]);
        instance
    }

    fn receive(&mut self, suspects: Vec<SuspectRow>) {
        let report = LoadReport {
            suspects,
            ..LoadReport::default()
        };
        self.dispatcher
            .receive_report(NameHash::of("peer"), report, self.now);
    }

    fn advance(&mut self, duration_ms: u64) {
        self.now = self.now.plus_ms(duration_ms);
        self.dispatcher.tick(self.now);
    }

    fn due(&mut self) -> Vec<SuspectRecord> {
        let writer = WriterPosition {
            position: self.position,
            instances: INSTANCES,
        };
        self.dispatcher.due_suspect_records(writer, self.now)
    }

    /// Returns whether each due record is withdrawn.
    fn withdrawals(&mut self) -> Vec<bool> {
        self.due().iter().map(|record| record.row.is_none()).collect()
    }

    fn write_due(&mut self, era: u32) -> Vec<SuspectRecord> {
        let records = self.due();
        self.dispatcher.record_suspects_written(&records, era, self.now);
        records
    }

    fn rows(&mut self) -> Vec<SuspectRow> {
        self.dispatcher.report(self.now).suspects
    }
}

fn quarantined_row() -> SuspectRow {
    let end = |server| SuspectEndRow {
        server: NameHash(server),
        sent_ms_ago: 100,
        ended_ms_ago: 50,
        ..SuspectEndRow::default()
    };
    SuspectRow {
        key: KEY,
        workspace: NameHash::of("own"),
        ends: [1, 2, 3].map(end).to_vec(),
        changed_ms_ago: 50,
        ..SuspectRow::default()
    }
}

fn answered_row() -> SuspectRow {
    SuspectRow {
        ends: Vec::new(),
        changed_ms_ago: 0,
        ..quarantined_row()
    }
}

#[test]
fn the_first_instance_writes_and_the_others_learn_that_it_did() {
    let mut first = Instance::with_quarantine(0);
    let mut second = Instance::with_quarantine(1);
    assert!(second.due().is_empty(), "it leaves its turn to the first one");
    assert_eq!(first.write_due(0).len(), 1);
    assert!(first.due().is_empty());
    second.receive(first.rows());
    second.advance(10 * TURN_MS);
    assert!(second.due().is_empty());
}

/// Guards against rows that two instances announce to each other for ever.
#[test]
fn a_row_that_says_nothing_new_is_not_announced_again() {
    let mut instance = Instance::with_quarantine(1);
    let mut announced = 0;
    for _ in 0..40 {
        instance.advance(100);
        instance.receive(vec![quarantined_row()]);
        announced += instance.rows().len();
    }
    // Twice at intervals of 2 s, and when it was new.
    assert!(announced <= 18, "{announced} of 40 reports");
}

#[test]
fn the_next_instance_writes_if_the_first_one_does_not() {
    let mut second = Instance::with_quarantine(1);
    assert!(second.due().is_empty());
    second.advance(TURN_MS - 1);
    assert!(second.due().is_empty());
    second.advance(1);
    assert_eq!(second.due().len(), 1);
    // The write was not confirmed, and the others have their turn first.
    second.advance(TURN_MS);
    assert!(second.due().is_empty());
    second.advance(INSTANCES as u64 * TURN_MS + 2_000);
    assert_eq!(second.due().len(), 1);
}

/// Asserts that the record is due to be withdrawn, and is not any more once that was written.
fn assert_withdrawn_once(instance: &mut Instance) {
    assert_eq!(instance.withdrawals(), [true]);
    instance.advance(5_000);
    assert_eq!(instance.write_due(0).len(), 1);
    instance.advance(5_000);
    assert!(instance.due().is_empty());
}

#[test]
fn a_record_is_withdrawn_when_its_quarantine_ends() {
    let mut first = Instance::with_quarantine(0);
    first.write_due(0);
    first.advance(2_000);
    first.receive(vec![answered_row()]);
    assert_withdrawn_once(&mut first);
}

#[test]
fn a_record_of_a_request_that_no_longer_comes_is_withdrawn() {
    let mut first = Instance::with_quarantine(0);
    first.write_due(0);
    first.advance(KEPT_MS);
    assert_withdrawn_once(&mut first);
}

#[test]
fn one_instance_withdraws_the_record_of_a_request_that_no_longer_comes() {
    let mut first = Instance::with_quarantine(0);
    let mut second = Instance::with_quarantine(1);
    first.write_due(0);
    second.receive(first.rows());
    for instance in [&mut first, &mut second] {
        instance.advance(KEPT_MS);
    }
    assert_eq!(first.write_due(0).len(), 1);
    assert!(second.due().is_empty());
    second.receive(first.rows());
    second.advance(10 * TURN_MS);
    assert!(second.due().is_empty());
    assert_eq!(second.dispatcher.quarantined_requests(), 0);
}

#[test]
fn a_write_has_a_bounded_number_of_records() {
    let mut first = Instance::new(0);
    let row = |number: u128| SuspectRow {
        key: SuspectKey::Request(Fingerprint(number)),
        ..quarantined_row()
    };
    first.receive((0..100).map(row).collect());
    let written: Vec<usize> = (0..5).map(|_| first.write_due(0).len()).collect();
    assert_eq!(written, [32, 32, 32, 4, 0]);
}

/// Its observer may have ended since, and an older record of the store restores the ends.
#[test]
fn an_answer_is_told_again_to_a_peer_that_lacks_it() {
    let mut knowing = Instance::with_quarantine(1);
    knowing.advance(2_000);
    knowing.receive(vec![answered_row()]);
    knowing.advance(10_000);
    let mut restored = Instance::new(0);
    restored.now = knowing.now;
    let mut stale = quarantined_row();
    stale.add_age(12_000);
    restored.dispatcher.restore_suspects(&[stale], 0, restored.now);
    assert_eq!(restored.dispatcher.quarantined_requests(), 1);
    knowing.receive(restored.rows());
    restored.receive(knowing.rows());
    assert_eq!(restored.dispatcher.quarantined_requests(), 0);
}

#[test]
fn a_new_era_of_the_store_has_everything_written_again() {
    let mut first = Instance::with_quarantine(0);
    first.write_due(0);
    first.dispatcher.observe_store_era(1);
    assert_eq!(first.withdrawals(), [false]);
    // A peer that does not know the new era yet does not stop the next write.
    first.advance(5_000);
    let mut peer_row = quarantined_row();
    peer_row.stored = reedsail_dispatch::StoredState::Stored(0);
    first.receive(vec![peer_row]);
    assert_eq!(first.write_due(1).len(), 1);
    first.advance(5_000);
    assert!(first.due().is_empty());
}

#[test]
fn a_restored_copy_brings_no_withdrawn_record_back_for_good() {
    let mut first = Instance::with_quarantine(0);
    first.write_due(0);
    first.advance(2_000);
    first.receive(vec![answered_row()]);
    first.write_due(0);
    first.dispatcher.observe_store_era(1);
    first.advance(5_000);
    assert_eq!(first.withdrawals(), [true]);
}

#[test]
fn a_restored_quarantine_is_in_force_and_not_written_again() {
    let mut first = Instance::with_quarantine(0);
    let records = first.write_due(4);
    let rows: Vec<SuspectRow> = records.into_iter().filter_map(|record| record.row).collect();
    let mut restarted = Instance::new(0);
    restarted.dispatcher.restore_suspects(&rows, 4, restarted.now);
    assert_eq!(restarted.dispatcher.quarantined_requests(), 1);
    assert!(restarted.due().is_empty());
    assert!(!restarted.rows().is_empty(), "peers learn of it");
}

#[test]
fn an_expired_record_is_withdrawn_and_not_restored() {
    let mut row = quarantined_row();
    row.add_age(KEPT_MS as u32);
    let mut first = Instance::new(0);
    first.dispatcher.restore_suspects(&[row], 0, first.now);
    assert_eq!(first.dispatcher.quarantined_requests(), 0);
    assert!(first.due().is_empty(), "a peer may know of it");
    first.advance(10_000);
    assert_eq!(first.withdrawals(), [true]);
}

#[test]
fn an_answer_that_a_peer_knows_of_ends_a_restored_quarantine() {
    let mut first = Instance::new(0);
    first.receive(vec![answered_row()]);
    let mut saved = quarantined_row();
    saved.add_age(2_000);
    first.dispatcher.restore_suspects(&[saved], 0, first.now);
    assert_eq!(first.dispatcher.quarantined_requests(), 0);
    first.advance(5_000);
    assert_eq!(first.withdrawals(), [true]);
}
