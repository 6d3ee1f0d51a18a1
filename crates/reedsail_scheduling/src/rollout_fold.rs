//! Which bundle is in force: a fold over the log that every reader carries out alike.

/// A SHA-256 digest.
pub type Digest = [u8; 32];

/// What of a bundle record matters to the fold; signatures were checked before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutRecord {
    /// Somebody proposes a successor.
    Proposal {
        /// The version that it replaces; zero for the first.
        base_version: u32,
        /// The digest of the base's content.
        base_digest: Digest,
        /// The digest of the proposed content.
        digest: Digest,
    },
    /// A daemon repeats what was accepted, before the acceptance ages out of the log.
    Checkpoint {
        /// The accepted version.
        version: u32,
        /// The digest of its content.
        digest: Digest,
        /// Every record before this offset is taken into account.
        as_of: u64,
    },
}

/// An accepted version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AcceptedVersion {
    /// Counts up from one.
    pub version: u32,
    /// The digest of the content.
    pub digest: Digest,
}

/// What became of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FoldVerdict {
    /// The proposal is the new version in force.
    Accepted(AcceptedVersion),
    /// The checkpoint told a reader, that knew less, what is in force.
    CaughtUp(AcceptedVersion),
    /// A rival came first, or the base is not the one in force.
    Stale,
    /// The record says what is known already.
    AlreadyKnown,
    /// Records are missing, so nothing can be said yet; a checkpoint or a peer will help.
    MissingRecords,
}

/// Folds the records of the bundle stream in log order.
///
/// A reader judges proposals only while it has seen every record since a sure start: offset zero,
/// or a checkpoint or peer's word whose `as_of` leaves no proposal out. The first proposal seen
/// after a gap may well be a rival that lost, and a checkpoint written by a daemon that lagged may
/// be older than a proposal before it.
#[derive(Clone, Debug)]
pub struct RolloutFold {
    in_force: Option<AcceptedVersion>,
    /// Whether every record since a sure start was seen.
    has_complete_history: bool,
    next_offset: u64,
    /// From here on every record was seen.
    seen_from: u64,
    last_proposal: Option<u64>,
}

impl Default for RolloutFold {
    fn default() -> Self {
        Self {
            in_force: None,
            has_complete_history: true,
            next_offset: 0,
            seen_from: 0,
            last_proposal: None,
        }
    }
}

impl RolloutFold {
    /// Returns the version in force, if any is known.
    pub fn in_force(&self) -> Option<AcceptedVersion> {
        self.in_force
    }

    /// Returns the offset from which to read on; every record before it is taken into account.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Tells whether every record since a sure start was seen.
    pub fn has_complete_history(&self) -> bool {
        self.has_complete_history
    }

    /// Takes over a version that somebody sure knows as of an offset; an older one changes nothing.
    ///
    /// Returns `true` if the version is news.
    pub fn adopt_version(&mut self, accepted: AcceptedVersion, as_of: u64) -> bool {
        if !self.covers(as_of) {
            return false;
        }
        if as_of > self.next_offset {
            self.next_offset = as_of;
            self.seen_from = as_of;
            self.last_proposal = None;
        }
        let is_new = self.in_force.is_none_or(|known| known.version < accepted.version);
        if is_new {
            self.in_force = Some(accepted);
        }
        // Whoever speaks is sure, so the higher of both versions is the one in force.
        self.has_complete_history = true;
        is_new
    }

    /// Tells whether knowledge as of an offset leaves out no proposal that was read here.
    fn covers(&self, as_of: u64) -> bool {
        as_of >= self.seen_from && self.last_proposal.is_none_or(|offset| offset < as_of)
    }

    /// Notes a read that found records from `first_offset` on: what lies between is lost.
    pub fn note_truncation(&mut self, first_offset: u64) {
        if first_offset > self.next_offset {
            self.next_offset = first_offset;
            self.seen_from = first_offset;
            self.last_proposal = None;
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
                self.last_proposal = Some(offset);
                self.fold_proposal(base_version, base_digest, digest)
            }
        }
    }

    /// Skips a record that cannot be read or whose signatures fail; every reader skips it alike.
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
        // The checkpoint itself lies before `next_offset` already and is no proposal.
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
