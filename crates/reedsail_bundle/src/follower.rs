//! Follows the bundle stream: verifies each record, applies it, and keeps the content in force.

use reedsail_scheduling::AcceptedVersion;
use reedsail_scheduling::FoldVerdict;
use reedsail_scheduling::RolloutFold;
use reedsail_scheduling::RolloutRecord;

use crate::BundleRecord;
use crate::RecordError;
use crate::SignedHead;
use crate::TrustedKeys;

/// The effect of a record.
#[derive(Debug, PartialEq, Eq)]
pub enum Followed {
    /// A new version is in force.
    InForce(AcceptedVersion),
    /// The record changes nothing; the verdict is the reason.
    Unchanged(FoldVerdict),
    /// The record is invalid. Every reader skips it.
    Invalid(RecordError),
}

/// The state of a reader of the bundle stream: the accepted version and its content.
#[derive(Clone, Debug, Default)]
pub struct BundleFollower {
    trusted: TrustedKeys,
    fold: RolloutFold,
    accepted: Option<(SignedHead, String)>,
}

impl BundleFollower {
    /// Creates a follower without an accepted version.
    pub fn new(trusted: TrustedKeys) -> Self {
        Self {
            trusted,
            fold: RolloutFold::default(),
            accepted: None,
        }
    }

    /// Returns the offset of the next record to read.
    pub fn next_offset(&self) -> u64 {
        self.fold.next_offset()
    }

    /// Returns the version in force.
    pub fn in_force(&self) -> Option<AcceptedVersion> {
        self.fold.in_force()
    }

    /// Returns the content in force.
    pub fn content(&self) -> Option<&str> {
        self.accepted.as_ref().map(|(_, text)| text.as_str())
    }

    /// Returns whether every record since a known start was read. Proposals can be judged only in this case.
    pub fn is_sure(&self) -> bool {
        self.fold.has_complete_history()
    }

    /// Returns a checkpoint record of the version in force, for the log or for a peer.
    pub fn checkpoint(&self) -> Option<BundleRecord> {
        let (head, text) = self.accepted.as_ref()?;
        Some(BundleRecord::checkpoint(
            head.clone(),
            text,
            self.fold.next_offset(),
        ))
    }

    /// Records that the oldest retained record of the log is at `first_offset`.
    pub fn note_truncation(&mut self, first_offset: u64) {
        self.fold.note_truncation(first_offset);
    }

    /// Applies the record at an offset of the log.
    pub fn follow(&mut self, offset: u64, bytes: &[u8]) -> Followed {
        let checked = BundleRecord::parse(bytes).and_then(|record| self.check(record));
        match checked {
            Ok((record, rollout, text)) => {
                let verdict = self.fold.fold(offset, rollout);
                self.conclude(verdict, record, text)
            }
            Err(error) => {
                self.fold.skip(offset);
                Followed::Invalid(error)
            }
        }
    }

    /// Adopts the version in force from a peer's checkpoint record, if it is newer.
    ///
    /// # Errors
    /// The record is unreadable, not a checkpoint, or not properly signed.
    pub fn learn(&mut self, bytes: &[u8]) -> Result<bool, RecordError> {
        let (record, rollout, text) = self.check(BundleRecord::parse(bytes)?)?;
        let RolloutRecord::Checkpoint {
            version,
            digest,
            as_of,
        } = rollout
        else {
            return Err(RecordError::Unreadable(
                "the peer's record is not a checkpoint".to_owned(),
            ));
        };
        if !self
            .fold
            .adopt_version(AcceptedVersion { version, digest }, as_of)
        {
            return Ok(false);
        }
        self.accepted = text.map(|text| (record.head, text));
        Ok(true)
    }

    /// Verifies a record's signatures and content. The content is `None` for a checkpoint of a version that is already
    /// known, and for a patch whose base is not in force; the fold then reports the patch as stale.
    fn check(
        &self,
        record: BundleRecord,
    ) -> Result<(BundleRecord, RolloutRecord, Option<String>), RecordError> {
        record.head.verify(&self.trusted)?;
        let rollout = record.rollout()?;
        let text = match rollout {
            RolloutRecord::Checkpoint { version, .. } if self.is_known(version) => None,
            RolloutRecord::Checkpoint { .. } => Some(record.content(None)?),
            RolloutRecord::Proposal {
                base_version,
                base_digest,
                ..
            } => {
                let base = AcceptedVersion {
                    version: base_version,
                    digest: base_digest,
                };
                if base_version == 0 || self.fold.in_force() == Some(base) {
                    Some(record.content(self.content())?)
                } else {
                    None
                }
            }
        };
        Ok((record, rollout, text))
    }

    fn is_known(&self, version: u32) -> bool {
        self.fold.in_force().is_some_and(|known| known.version >= version)
    }

    fn conclude(&mut self, verdict: FoldVerdict, record: BundleRecord, text: Option<String>) -> Followed {
        match verdict {
            FoldVerdict::Accepted(accepted) | FoldVerdict::CaughtUp(accepted) => {
                self.accepted = text.map(|text| (record.head, text));
                Followed::InForce(accepted)
            }
            FoldVerdict::Stale | FoldVerdict::AlreadyKnown | FoldVerdict::MissingRecords => {
                Followed::Unchanged(verdict)
            }
        }
    }
}
