//! Tries every short history of the two folds: rivals, second copies, truncation, restarts, late
//! checkpoints. The reader that misses nothing is the measure for all others.

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

/// The length of the bundle histories; every shorter one is a beginning of these.
const BUNDLE_STEPS: usize = 7;
/// The length of the claim histories.
const CLAIM_STEPS: usize = 7;

/// What can happen to the bundle stream.
#[derive(Clone, Copy, Debug, PartialEq)]
enum BundleStep {
    /// An operator who knows the version in force proposes a successor.
    Propose,
    /// An operator who knows the version before it proposes a rival.
    ProposeOnOldBase,
    /// The last proposal is appended again, its answer having been lost.
    SecondCopy,
    /// A daemon that is up to date appends a checkpoint.
    Checkpoint,
    /// A checkpoint arrives that was written before the last record.
    LateCheckpoint,
    /// The oldest record ages out.
    AgeOut,
    /// The second reader starts again with nothing.
    Restart,
    /// The second reader catches up with the log.
    Read,
    /// The second reader asks the first.
    AskPeer,
}

const BUNDLE_ALPHABET: [BundleStep; 9] = [
    BundleStep::Propose,
    BundleStep::ProposeOnOldBase,
    BundleStep::SecondCopy,
    BundleStep::Checkpoint,
    BundleStep::LateCheckpoint,
    BundleStep::AgeOut,
    BundleStep::Restart,
    BundleStep::Read,
    BundleStep::AskPeer,
];

#[derive(Clone, Default)]
struct BundleWorld {
    log: VecDeque<RolloutRecord>,
    first_offset: u64,
    /// Reads every record at once.
    sure: RolloutFold,
    /// Reads when it is told to, and may start again.
    other: RolloutFold,
    history: Vec<AcceptedVersion>,
    last_proposal: Option<RolloutRecord>,
    /// What an up-to-date daemon would have written before the last record.
    late: Option<RolloutRecord>,
    digests: u8,
}

impl BundleWorld {
    fn append(&mut self, record: RolloutRecord) {
        self.late = self.checkpoint();
        let offset = self.first_offset + self.log.len() as u64;
        self.log.push_back(record);
        self.sure.fold(offset, record);
        if let Some(known) = self.sure.in_force()
            && self.history.last() != Some(&known)
        {
            self.history.push(known);
        }
    }

    fn checkpoint(&self) -> Option<RolloutRecord> {
        let known = self.sure.in_force()?;
        Some(RolloutRecord::Checkpoint {
            version: known.version,
            digest: known.digest,
            as_of: self.sure.next_offset(),
        })
    }

    fn propose_on(&mut self, base: Option<AcceptedVersion>) {
        self.digests += 1;
        let digest: Digest = [self.digests; 32];
        let record = RolloutRecord::Proposal {
            base_version: base.map_or(0, |base| base.version),
            base_digest: base.map_or([0; 32], |base| base.digest),
            digest,
        };
        self.last_proposal = Some(record);
        self.append(record);
    }

    /// Carries a step out; `false` if it means nothing here.
    fn step(&mut self, step: BundleStep) -> bool {
        match step {
            BundleStep::Propose => self.propose_on(self.sure.in_force()),
            BundleStep::ProposeOnOldBase => {
                let Some(before) = self.history.len().checked_sub(1) else {
                    return false;
                };
                let base = before.checked_sub(1).map(|index| self.history[index]);
                self.propose_on(base);
            }
            BundleStep::SecondCopy => match self.last_proposal {
                Some(record) => self.append(record),
                None => return false,
            },
            BundleStep::Checkpoint => match self.checkpoint() {
                Some(record) => self.append(record),
                None => return false,
            },
            BundleStep::LateCheckpoint => match self.late {
                Some(record) => self.append(record),
                None => return false,
            },
            BundleStep::AgeOut => {
                if self.log.pop_front().is_none() {
                    return false;
                }
                self.first_offset += 1;
            }
            BundleStep::Restart => self.other = RolloutFold::default(),
            BundleStep::Read => self.read(),
            BundleStep::AskPeer => match self.sure.in_force() {
                Some(known) => {
                    self.other.adopt_version(known, self.sure.next_offset());
                }
                None => return false,
            },
        }
        true
    }

    fn read(&mut self) {
        self.other.note_truncation(self.first_offset);
        for (index, record) in self.log.iter().enumerate() {
            let offset = self.first_offset + index as u64;
            if offset >= self.other.next_offset() {
                self.other.fold(offset, *record);
            }
        }
    }

    /// The second reader may know less than the first, but never anything else.
    fn check(&self, steps: &[BundleStep]) {
        let Some(known) = self.other.in_force() else {
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
    explore_bundles(&BundleWorld::default(), &mut steps, &mut states);
    println!("bundle fold: {states} states in histories of up to {BUNDLE_STEPS} steps");
    assert!(states > 500_000, "the search was cut short at {states} states");
}

fn explore_bundles(world: &BundleWorld, steps: &mut Vec<BundleStep>, states: &mut u64) {
    *states += 1;
    world.check(steps);
    if steps.len() == BUNDLE_STEPS {
        return;
    }
    for step in BUNDLE_ALPHABET {
        let mut next = world.clone();
        steps.push(step);
        let version_before = next.other.in_force().map_or(0, |known| known.version);
        if next.step(step) {
            let version = next.other.in_force().map_or(0, |known| known.version);
            assert!(
                step == BundleStep::Restart || version >= version_before,
                "a version was reverted after {steps:?}"
            );
            explore_bundles(&next, steps, states);
        }
        steps.pop();
    }
}

/// What can happen to one key's claims. Two daemons write, each with a reader of its own.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ClaimStep {
    /// A daemon claims the key for a new try, and reads up to its record.
    Claim(usize),
    /// A daemon that holds the key sends the call.
    Send(usize),
    /// A daemon that sent the call records its end.
    End(usize),
    /// A daemon that holds the key gives it up unsent, and says so.
    GiveUp(usize),
    /// A daemon's last claim is appended again, its answer having been lost.
    SecondCopy(usize),
    /// A daemon starts again with nothing.
    Restart(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Default)]
enum TryState {
    #[default]
    Idle,
    Holds(Nonce),
    Sent(Nonce),
}

#[derive(Clone, Default)]
struct ClaimWorld {
    log: Vec<ClaimRecord>,
    folds: [ClaimFold; 2],
    tries: [TryState; 2],
    last_claims: [Option<ClaimRecord>; 2],
    nonces: u64,
    runs: u32,
}

const KEY: ClaimKey = ClaimKey(7);

impl ClaimWorld {
    fn read(&mut self, daemon: usize) {
        let fold = &mut self.folds[daemon];
        for (offset, record) in self.log.iter().enumerate() {
            fold.fold(offset as u64, &[*record]);
        }
    }

    fn step(&mut self, step: ClaimStep) -> bool {
        match step {
            ClaimStep::Claim(daemon) => {
                if self.tries[daemon] != TryState::Idle {
                    return false;
                }
                self.nonces += 1;
                let nonce = Nonce(self.nonces);
                let record = ClaimRecord::Claim { key: KEY, nonce };
                self.log.push(record);
                self.last_claims[daemon] = Some(record);
                self.read(daemon);
                if self.folds[daemon].state(KEY) == Some(ClaimState::Held(nonce)) {
                    self.tries[daemon] = TryState::Holds(nonce);
                }
            }
            ClaimStep::Send(daemon) => {
                let TryState::Holds(nonce) = self.tries[daemon] else {
                    return false;
                };
                self.runs += 1;
                self.tries[daemon] = TryState::Sent(nonce);
            }
            ClaimStep::End(daemon) => {
                let TryState::Sent(nonce) = self.tries[daemon] else {
                    return false;
                };
                self.log.push(end(nonce, 200));
                self.tries[daemon] = TryState::Idle;
            }
            ClaimStep::GiveUp(daemon) => {
                let TryState::Holds(nonce) = self.tries[daemon] else {
                    return false;
                };
                self.log.push(end(nonce, 0));
                self.tries[daemon] = TryState::Idle;
            }
            ClaimStep::SecondCopy(daemon) => match self.last_claims[daemon] {
                Some(record) => self.log.push(record),
                None => return false,
            },
            ClaimStep::Restart(daemon) => {
                self.folds[daemon] = ClaimFold::default();
                self.tries[daemon] = TryState::Idle;
                self.last_claims[daemon] = None;
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
    explore_claims(&ClaimWorld::default(), &mut steps, &mut states);
    println!("claim fold: {states} states in histories of up to {CLAIM_STEPS} steps");
    assert!(states > 50_000, "the search was cut short at {states} states");
}

fn explore_claims(world: &ClaimWorld, steps: &mut Vec<ClaimStep>, states: &mut u64) {
    *states += 1;
    assert!(
        world.runs <= 1,
        "the call ran {} times after {steps:?}",
        world.runs
    );
    if steps.len() == CLAIM_STEPS {
        return;
    }
    for daemon in 0..2 {
        for step in [
            ClaimStep::Claim(daemon),
            ClaimStep::Send(daemon),
            ClaimStep::End(daemon),
            ClaimStep::GiveUp(daemon),
            ClaimStep::SecondCopy(daemon),
            ClaimStep::Restart(daemon),
        ] {
            let mut next = world.clone();
            steps.push(step);
            if next.step(step) {
                explore_claims(&next, steps, states);
            }
            steps.pop();
        }
    }
}
