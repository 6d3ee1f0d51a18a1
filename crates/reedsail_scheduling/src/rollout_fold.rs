//! Determines the bundle in force: a fold over the log that yields the same result for every reader.

/// A SHA-256 digest.
pub type Digest = [u8; 32];

/// The part of a bundle record that matters to the fold; its signatures are already verified.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutRecord {
    /// An operator proposes a successor.
    Proposal {
        /// The version that it replaces; zero for the first version.
        base_version: u32,
        /// The digest of the base's content.
        base_digest: Digest,
        /// The digest of the proposed content.
        digest: Digest,
    },
    /// An instance repeats the accepted version before its record ages out of the log.
    Checkpoint {
        /// The accepted version.
        version: u32,
        /// The digest of its content.
        digest: Digest,
        /// The checkpoint accounts for every record before this offset.
        as_of: u64,
    },
}

/// An accepted version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AcceptedVersion {
    /// The version number, counted from one.
    pub version: u32,
    /// The digest of the content.
    pub digest: Digest,
}

/// The effect of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FoldVerdict {
    /// The proposal is the new version in force.
    Accepted(AcceptedVersion),
    /// The checkpoint gave the reader a newer version in force.
    CaughtUp(AcceptedVersion),
    /// A competing proposal came first, or the base is not the version in force.
    Stale,
    /// The record repeats what the reader already knows.
    AlreadyKnown,
    /// Records are missing, so the reader cannot judge the record. A checkpoint or a peer can supply the
    /// version in force.
    MissingRecords,
}

/// Folds the records of the bundle stream in log order.
///
/// A reader judges proposals only while its history is complete: it has seen every record since a trusted
/// start. A trusted start is offset zero, or a checkpoint or peer's answer whose `as_of` covers every
/// proposal read. The first proposal after a gap may be a competing one that was rejected. A checkpoint from
/// an instance that lagged behind may be older than a proposal that precedes the checkpoint in the log.
#[derive(Clone, Debug)]
pub struct RolloutFold {
    in_force: Option<AcceptedVersion>,
    /// Whether every record since a trusted start was seen.
    has_complete_history: bool,
    next_offset: u64,
    /// Every record from this offset on was seen.
    contiguous_from: u64,
    last_proposal_offset: Option<u64>,
}

impl Default for RolloutFold {
    fn default() -> Self {
        Self {
            in_force: None,
            has_complete_history: true,
            next_offset: 0,
            contiguous_from: 0,
            last_proposal_offset: None,
        }
    }
}

impl RolloutFold {
    /// Returns the version in force, if it is known.
    pub fn in_force(&self) -> Option<AcceptedVersion> {
        self.in_force
    }

    /// Returns the offset of the next record to read; every earlier record is accounted for.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Returns whether every record since a trusted start was seen.
    pub fn has_complete_history(&self) -> bool {
        self.has_complete_history
    }

    /// Adopts a version from a source with a complete history as of an offset; an older version changes
    /// nothing.
    ///
    /// Returns `true` if the version is new to this reader.
    pub fn adopt_version(&mut self, accepted: AcceptedVersion, as_of: u64) -> bool {
        if !self.covers(as_of) {
            return false;
        }
        if as_of > self.next_offset {
            self.next_offset = as_of;
            self.contiguous_from = as_of;
            self.last_proposal_offset = None;
        }
        let is_new = self.in_force.is_none_or(|known| known.version < accepted.version);
        if is_new {
            self.in_force = Some(accepted);
        }
        // The source has a complete history, so the higher of both versions is the one in force.
        self.has_complete_history = true;
        is_new
    }

    /// Returns whether a state as of an offset accounts for every proposal read here.
    fn covers(&self, as_of: u64) -> bool {
        as_of >= self.contiguous_from && self.last_proposal_offset.is_none_or(|offset| offset < as_of)
    }

    /// Records that a read found records only from `first_offset` on: the records in between are lost.
    pub fn note_truncation(&mut self, first_offset: u64) {
        if first_offset > self.next_offset {
            self.next_offset = first_offset;
            self.contiguous_from = first_offset;
            self.last_proposal_offset = None;
            self.has_complete_history = false;
        }
    }

    /// Folds one record.
    pub fn fold(&mut self, offset: u64, record: RolloutRecord) -> FoldVerdict {
        if offset < self.next_offset {
            return FoldVerdict::AlreadyKnown;
        }
        self.note_truncation(offset);
        self.next_offset = offset + 1;
        match record {
            RolloutRecord::Checkpoint {
                version,
                digest,
                as_of,
            } => self.fold_checkpoint(AcceptedVersion { version, digest }, as_of),
            RolloutRecord::Proposal {
                base_version,
                base_digest,
                digest,
            } => {
                self.last_proposal_offset = Some(offset);
                self.fold_proposal(base_version, base_digest, digest)
            }
        }
    }

    /// Skips a record that cannot be parsed or verified; every reader skips the same records.
    pub fn skip(&mut self, offset: u64) {
        if offset >= self.next_offset {
            self.note_truncation(offset);
            self.next_offset = offset + 1;
        }
    }

    fn fold_checkpoint(&mut self, accepted: AcceptedVersion, as_of: u64) -> FoldVerdict {
        if self.has_complete_history {
            return FoldVerdict::AlreadyKnown;
        }
        // The checkpoint's own offset is already below `next_offset`, and a checkpoint is not a proposal.
        if as_of >= self.next_offset || !self.covers(as_of) {
            return FoldVerdict::MissingRecords;
        }
        if self.adopt_version(accepted, as_of) {
            FoldVerdict::CaughtUp(accepted)
        } else {
            FoldVerdict::AlreadyKnown
        }
    }

    fn fold_proposal(&mut self, base_version: u32, base_digest: Digest, digest: Digest) -> FoldVerdict {
        if !self.has_complete_history {
            return FoldVerdict::MissingRecords;
        }
        let version = base_version + 1;
        match self.in_force {
            Some(known) if known.version == version && known.digest == digest => FoldVerdict::AlreadyKnown,
            Some(known) if known.version != base_version || known.digest != base_digest => FoldVerdict::Stale,
            None if base_version != 0 => FoldVerdict::Stale,
            _ => {
                let accepted = AcceptedVersion { version, digest };
                self.in_force = Some(accepted);
                FoldVerdict::Accepted(accepted)
            }
        }
    }
}
