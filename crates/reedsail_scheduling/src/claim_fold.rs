//! Who may run a call that may not be repeated: the first claim of its key in log order.

use std::collections::HashMap;

/// An idempotency key: a `UUIDv7`, whose first 48 bits are its time (RFC 9562).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimKey(pub u128);

impl ClaimKey {
    /// Returns the time in the key, in milliseconds since the Unix epoch.
    pub fn created_at_unix_ms(self) -> u64 {
        (self.0 >> 80) as u64
    }
}

/// Made anew for each try; tells a claimant its own record from a rival's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Nonce(pub u64);

/// A record of the claim stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimRecord {
    /// Somebody wants to run the call.
    Claim {
        /// The call's key.
        key: ClaimKey,
        /// The try.
        nonce: Nonce,
    },
    /// The holder's call has ended.
    End {
        /// The call's key.
        key: ClaimKey,
        /// The try that held it.
        nonce: Nonce,
        /// The backend server's status, or zero if the request was never sent.
        status: u16,
    },
}

/// How a key stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimState {
    /// This try holds the key and may run, once.
    Held(Nonce),
    /// The holder's call ended with this status.
    Ended(Nonce, u16),
}

/// Folds claims in log order. What the first record of a key says is never changed by a later
/// claim; only its own holder's end is added.
#[derive(Clone, Debug, Default)]
pub struct ClaimFold {
    states: HashMap<ClaimKey, ClaimState>,
    next_offset: u64,
    /// Records before this offset were lost to retention before they were read.
    blind_before: u64,
}

impl ClaimFold {
    /// Returns the offset from which to read on.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Returns how a key stands.
    pub fn state(&self, key: ClaimKey) -> Option<ClaimState> {
        self.states.get(&key).copied()
    }

    /// Returns how many keys are remembered.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Tells whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Notes a read that found records from `first_offset` on.
    pub fn note_truncation(&mut self, first_offset: u64) {
        if first_offset > self.next_offset {
            self.blind_before = first_offset;
            self.next_offset = first_offset;
        }
    }

    /// Folds the records of one append.
    pub fn fold(&mut self, offset: u64, records: &[ClaimRecord]) {
        if offset < self.next_offset {
            return;
        }
        self.next_offset = offset + 1;
        for record in records {
            self.fold_record(*record);
        }
    }

    fn fold_record(&mut self, record: ClaimRecord) {
        match record {
            ClaimRecord::Claim { key, nonce } => {
                let state = self.states.entry(key).or_insert(ClaimState::Held(nonce));
                // An end with status zero says that nothing was sent: the next claim may run.
                if matches!(state, ClaimState::Ended(_, 0)) {
                    *state = ClaimState::Held(nonce);
                }
            }
            ClaimRecord::End { key, nonce, status } => {
                if let Some(state) = self.states.get_mut(&key)
                    && *state == ClaimState::Held(nonce)
                {
                    *state = ClaimState::Ended(nonce, status);
                }
            }
        }
    }
}
