//! Decides who may run a call that is not idempotent: the first claim of its key in log order.

use std::collections::HashMap;

/// An idempotency key: a `UUIDv7`, whose first 48 bits are its time (RFC 9562).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimKey(pub u128);

impl ClaimKey {
    /// Returns the timestamp in the key, in milliseconds since the Unix epoch.
    pub fn created_at_unix_ms(self) -> u64 {
        (self.0 >> 80) as u64
    }
}

/// A new random value for each attempt; distinguishes a claimant's own record from a competitor's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Nonce(pub u64);

/// A record of the claim stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimRecord {
    /// A claimant asks to run the call.
    Claim {
        /// The call's key.
        key: ClaimKey,
        /// The attempt.
        nonce: Nonce,
    },
    /// The call of the key's holder ended.
    End {
        /// The call's key.
        key: ClaimKey,
        /// The attempt that held the key.
        nonce: Nonce,
        /// The backend server's status, or zero if the request was never sent.
        status: u16,
    },
}

/// The state of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimState {
    /// This attempt holds the key and may run the call once.
    Held(Nonce),
    /// The holder's call ended with this status.
    Ended(Nonce, u16),
}

/// Folds claims in log order. A later claim never changes the state set by the first record of a key, except
/// after an end with status zero. Otherwise only the end from the key's holder changes it.
#[derive(Clone, Debug, Default)]
pub struct ClaimFold {
    states: HashMap<ClaimKey, ClaimState>,
    next_offset: u64,
    /// Log retention dropped the records before this offset before they were read.
    truncated_before: u64,
}

impl ClaimFold {
    /// Returns the offset of the next record to read.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Returns the state of a key.
    pub fn state(&self, key: ClaimKey) -> Option<ClaimState> {
        self.states.get(&key).copied()
    }

    /// Returns the number of keys with a state.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Returns whether no key has a state.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Records that a read found records only from `first_offset` on.
    pub fn note_truncation(&mut self, first_offset: u64) {
        if first_offset > self.next_offset {
            self.truncated_before = first_offset;
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
                // Status zero in an end means that nothing was sent, so the next claim may run.
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
