//! Explores every short history of the two folds: competing records, duplicate appends, truncation, restarts
//! and late checkpoints. A reader without gaps is the reference for all other readers.

use std::collections::VecDeque;

use reedsail_scheduling::AcceptedVersion;
use reedsail_scheduling::ClaimFold;
use reedsail_scheduling::ClaimKey;
use reedsail_scheduling::ClaimRecord;
use reedsail_scheduling::ClaimState;
use reedsail_scheduling::Digest;
use reedsail_scheduling::Nonce;
use reedsail_scheduling::RolloutFold;
use reedsail_scheduling::RolloutRecord;

/// The length of the bundle histories; every shorter history is a prefix of one of these.
const BUNDLE_HISTORY_LEN: usize = 7;
/// The length of the claim histories.
const CLAIM_HISTORY_LEN: usize = 7;

/// An event in the bundle stream.
#[derive(Clone, Copy, Debug, PartialEq)]
enum BundleStep {
    /// An operator who knows the version in force proposes a successor.
    Propose,
    /// An operator who knows only the previous version proposes a competing successor.
    ProposeOnStaleBase,
    /// The last proposal is appended again because the response was lost.
    DuplicateAppend,
    /// An up-to-date instance appends a checkpoint.
    Checkpoint,
    /// A checkpoint is appended that was created before the last record.
    LateCheckpoint,
    /// The oldest record is dropped by retention.
    DropOldest,
    /// The second reader restarts without state.
    Restart,
    /// The second reader reads up to the end of the log.
    Read,
    /// The second reader asks the first.
    AskPeer,
}

const ALL_BUNDLE_STEPS: [BundleStep; 9] = [
    BundleStep::Propose,
    BundleStep::ProposeOnStaleBase,
    BundleStep::DuplicateAppend,
    BundleStep::Checkpoint,
    BundleStep::LateCheckpoint,
    BundleStep::DropOldest,
    BundleStep::Restart,
    BundleStep::Read,
    BundleStep::AskPeer,
];

#[derive(Clone, Default)]
struct BundleModel {
    log: VecDeque<RolloutRecord>,
    first_offset: u64,
    /// Reads every record immediately.
    current_reader: RolloutFold,
    /// Reads only on request and may restart.
    second_reader: RolloutFold,
    history: Vec<AcceptedVersion>,
    last_proposal: Option<RolloutRecord>,
    /// The checkpoint that an up-to-date instance would have created before the last record.
    late_checkpoint: Option<RolloutRecord>,
    digest_count: u8,
}

impl BundleModel {
    fn append(&mut self, record: RolloutRecord) {
        self.late_checkpoint = self.checkpoint();
        let offset = self.first_offset + self.log.len() as u64;
        self.log.push_back(record);
        self.current_reader.fold(offset, record);
        if let Some(known) = self.current_reader.in_force()
            && self.history.last() != Some(&known)
        {
            self.history.push(known);
        }
    }

    fn checkpoint(&self) -> Option<RolloutRecord> {
        let known = self.current_reader.in_force()?;
        Some(RolloutRecord::Checkpoint {
            version: known.version,
            digest: known.digest,
            as_of: self.current_reader.next_offset(),
        })
    }

    fn propose_on(&mut self, base: Option<AcceptedVersion>) {
        self.digest_count += 1;
        let digest: Digest = [self.digest_count; 32];
        let record = RolloutRecord::Proposal {
            base_version: base.map_or(0, |base| base.version),
            base_digest: base.map_or([0; 32], |base| base.digest),
            digest,
        };
        self.last_proposal = Some(record);
        self.append(record);
    }

    /// Performs a step; returns `false` if it does not apply in this state.
    fn step(&mut self, step: BundleStep) -> bool {
        match step {
            BundleStep::Propose => self.propose_on(self.current_reader.in_force()),
            BundleStep::ProposeOnStaleBase => {
                let Some(before) = self.history.len().checked_sub(1) else {
                    return false;
                };
                let base = before.checked_sub(1).map(|index| self.history[index]);
                self.propose_on(base);
            }
            BundleStep::DuplicateAppend => match self.last_proposal {
                Some(record) => self.append(record),
                None => return false,
            },
            BundleStep::Checkpoint => match self.checkpoint() {
                Some(record) => self.append(record),
                None => return false,
            },
            BundleStep::LateCheckpoint => match self.late_checkpoint {
                Some(record) => self.append(record),
                None => return false,
            },
            BundleStep::DropOldest => {
                if self.log.pop_front().is_none() {
                    return false;
                }
                self.first_offset += 1;
            }
            BundleStep::Restart => self.second_reader = RolloutFold::default(),
            BundleStep::Read => self.read(),
            BundleStep::AskPeer => match self.current_reader.in_force() {
                Some(known) => {
                    self.second_reader
                        .adopt_version(known, self.current_reader.next_offset());
                }
                None => return false,
            },
        }
        true
    }

    fn read(&mut self) {
        self.second_reader.note_truncation(self.first_offset);
        for (index, record) in self.log.iter().enumerate() {
            let offset = self.first_offset + index as u64;
            if offset >= self.second_reader.next_offset() {
                self.second_reader.fold(offset, *record);
            }
        }
    }

    /// The second reader may know less than the first, but must never accept a version that was not in force.
    fn check(&self, steps: &[BundleStep]) {
        let Some(known) = self.second_reader.in_force() else {
            return;
        };
        assert!(
            self.history.contains(&known),
            "a reader accepted {known:?}, which was never in force, after {steps:?}"
        );
    }
}

#[test]
fn every_reader_of_the_bundle_stream_agrees() {
    let mut states = 0_u64;
    let mut steps = Vec::new();
    explore_bundles(&BundleModel::default(), &mut steps, &mut states);
    println!("bundle fold: {states} states in histories of up to {BUNDLE_HISTORY_LEN} steps");
    assert!(states > 500_000, "the search was cut short at {states} states");
}

fn explore_bundles(model: &BundleModel, steps: &mut Vec<BundleStep>, states: &mut u64) {
    *states += 1;
    model.check(steps);
    if steps.len() == BUNDLE_HISTORY_LEN {
        return;
    }
    for step in ALL_BUNDLE_STEPS {
        let mut next = model.clone();
        steps.push(step);
        let version_before = next.second_reader.in_force().map_or(0, |known| known.version);
        if next.step(step) {
            let version = next.second_reader.in_force().map_or(0, |known| known.version);
            assert!(
                step == BundleStep::Restart || version >= version_before,
                "a version was reverted after {steps:?}"
            );
            explore_bundles(&next, steps, states);
        }
        steps.pop();
    }
}

/// An event in the claims of one key. Two instances write, each with its own reader.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ClaimStep {
    /// An instance claims the key for a new attempt and reads up to its record.
    Claim(usize),
    /// An instance that holds the key sends the call.
    Send(usize),
    /// An instance that sent the call records its end.
    End(usize),
    /// An instance that holds the key releases it without sending the call, and records that.
    ReleaseUnsent(usize),
    /// An instance's last claim is appended again because the response was lost.
    DuplicateAppend(usize),
    /// An instance restarts without state.
    Restart(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Default)]
enum AttemptState {
    #[default]
    Idle,
    Holding(Nonce),
    Sent(Nonce),
}

#[derive(Clone, Default)]
struct ClaimModel {
    log: Vec<ClaimRecord>,
    folds: [ClaimFold; 2],
    attempts: [AttemptState; 2],
    last_claims: [Option<ClaimRecord>; 2],
    nonce_count: u64,
    runs: u32,
}

const KEY: ClaimKey = ClaimKey(7);

impl ClaimModel {
    fn read(&mut self, instance: usize) {
        let fold = &mut self.folds[instance];
        for (offset, record) in self.log.iter().enumerate() {
            fold.fold(offset as u64, &[*record]);
        }
    }

    fn step(&mut self, step: ClaimStep) -> bool {
        match step {
            ClaimStep::Claim(instance) => {
                if self.attempts[instance] != AttemptState::Idle {
                    return false;
                }
                self.nonce_count += 1;
                let nonce = Nonce(self.nonce_count);
                let record = ClaimRecord::Claim { key: KEY, nonce };
                self.log.push(record);
                self.last_claims[instance] = Some(record);
                self.read(instance);
                if self.folds[instance].state(KEY) == Some(ClaimState::Held(nonce)) {
                    self.attempts[instance] = AttemptState::Holding(nonce);
                }
            }
            ClaimStep::Send(instance) => {
                let AttemptState::Holding(nonce) = self.attempts[instance] else {
                    return false;
                };
                self.runs += 1;
                self.attempts[instance] = AttemptState::Sent(nonce);
            }
            ClaimStep::End(instance) => {
                let AttemptState::Sent(nonce) = self.attempts[instance] else {
                    return false;
                };
                self.log.push(end(nonce, 200));
                self.attempts[instance] = AttemptState::Idle;
            }
            ClaimStep::ReleaseUnsent(instance) => {
                let AttemptState::Holding(nonce) = self.attempts[instance] else {
                    return false;
                };
                self.log.push(end(nonce, 0));
                self.attempts[instance] = AttemptState::Idle;
            }
            ClaimStep::DuplicateAppend(instance) => match self.last_claims[instance] {
                Some(record) => self.log.push(record),
                None => return false,
            },
            ClaimStep::Restart(instance) => {
                self.folds[instance] = ClaimFold::default();
                self.attempts[instance] = AttemptState::Idle;
                self.last_claims[instance] = None;
            }
        }
        true
    }
}

fn end(nonce: Nonce, status: u16) -> ClaimRecord {
    ClaimRecord::End {
        key: KEY,
        nonce,
        status,
    }
}

#[test]
fn no_call_runs_twice_under_one_key() {
    let mut states = 0_u64;
    let mut steps = Vec::new();
    explore_claims(&ClaimModel::default(), &mut steps, &mut states);
    println!("claim fold: {states} states in histories of up to {CLAIM_HISTORY_LEN} steps");
    assert!(states > 50_000, "the search was cut short at {states} states");
}

fn explore_claims(model: &ClaimModel, steps: &mut Vec<ClaimStep>, states: &mut u64) {
    *states += 1;
    assert!(
        model.runs <= 1,
        "the call ran {} times after {steps:?}",
        model.runs
    );
    if steps.len() == CLAIM_HISTORY_LEN {
        return;
    }
    for instance in 0..2 {
        for step in [
            ClaimStep::Claim(instance),
            ClaimStep::Send(instance),
            ClaimStep::End(instance),
            ClaimStep::ReleaseUnsent(instance),
            ClaimStep::DuplicateAppend(instance),
            ClaimStep::Restart(instance),
        ] {
            let mut next = model.clone();
            steps.push(step);
            if next.step(step) {
                explore_claims(&next, steps, states);
            }
            steps.pop();
        }
    }
}
