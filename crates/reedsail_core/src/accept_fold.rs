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
    Repeated,
    /// Without a starting point nothing can be said; a checkpoint will come.
    NoStart,
}

/// Folds the records of the bundle stream in log order.
///
/// A fold may start only at offset zero or from a version learned elsewhere (a checkpoint, a
/// peer): the first proposal seen after records were dropped may well be a rival that lost.
#[derive(Clone, Debug, Default)]
pub struct AcceptFold {
    in_force: Option<AcceptedVersion>,
    from_start: bool,
    next_offset: u64,
}

impl AcceptFold {
    /// Returns the version in force, if any is known.
    pub fn in_force(&self) -> Option<AcceptedVersion> {
        self.in_force
    }

    /// Returns the offset from which to read on.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Learns a version from a peer; an older one than is known changes nothing.
    pub fn learn(&mut self, accepted: AcceptedVersion) -> bool {
        if self
            .in_force
            .is_some_and(|known| known.version >= accepted.version)
        {
            return false;
        }
        self.in_force = Some(accepted);
        true
    }

    /// Notes a read that found records from `first_offset` on: what lies between is lost.
    pub fn note_truncation(&mut self, first_offset: u64) {
        if first_offset > self.next_offset {
            self.next_offset = first_offset;
            self.from_start = false;
        }
    }

    /// Folds one record.
    pub fn fold(&mut self, offset: u64, record: RolloutRecord) -> FoldVerdict {
        if offset < self.next_offset {
            return FoldVerdict::Repeated;
        }
        self.from_start = offset == 0 || (self.from_start && offset == self.next_offset);
        self.next_offset = offset + 1;
        match record {
            RolloutRecord::Checkpoint { version, digest } => {
                self.fold_checkpoint(AcceptedVersion { version, digest })
            }
            RolloutRecord::Proposal {
                base_version,
                base_digest,
                digest,
            } => self.fold_proposal(base_version, base_digest, digest),
        }
    }

    /// Skips a record that cannot be read or whose signatures fail; every reader skips it alike.
    pub fn skip(&mut self, offset: u64) {
        if offset >= self.next_offset {
            self.from_start = offset == 0 || (self.from_start && offset == self.next_offset);
            self.next_offset = offset + 1;
        }
    }

    fn fold_checkpoint(&mut self, accepted: AcceptedVersion) -> FoldVerdict {
        if self.learn(accepted) {
            FoldVerdict::CaughtUp(accepted)
        } else {
            FoldVerdict::Repeated
        }
    }

    fn fold_proposal(&mut self, base_version: u32, base_digest: Digest, digest: Digest) -> FoldVerdict {
        let version = base_version + 1;
        match self.in_force {
            Some(known) if known.version == version && known.digest == digest => FoldVerdict::Repeated,
            Some(known) if known.version != base_version || known.digest != base_digest => FoldVerdict::Stale,
            None if !self.from_start => FoldVerdict::NoStart,
            None if base_version != 0 => FoldVerdict::Stale,
            _ => {
                let accepted = AcceptedVersion { version, digest };
                self.in_force = Some(accepted);
                FoldVerdict::Accepted(accepted)
            }
        }
    }
}
