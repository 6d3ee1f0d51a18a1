//! Loans of retries between instances: what a service of one instance borrows from its peers.
//!
//! **Rule.** An instance whose budget runs short asks a few peers. A peer lends only what it is not likely to need
//! itself, and spends what it lends from its own ledger, as if it made the retries itself at any time until the loan
//! ends. The loan ends [`LOAN_MS`] after it was asked for, by the clock of the instance that asked, so a message that
//! was delayed or repeated adds nothing to what the fleet may spend, and a lost one only wastes the loan.

use reedsail_core::NameHash;
use reedsail_core::TimeMs;

use crate::decaying_sum::DecayingSum;

/// How long a loan may be used after it was asked for, in milliseconds.
pub(crate) const LOAN_MS: u64 = 1_000;
/// Shortest interval between two requests for a loan of one service, in milliseconds.
const ASK_INTERVAL_MS: u64 = 200;
/// How long after its last use of the budget an instance asks for loans, in milliseconds.
const USE_MS: u64 = 500;
/// Time constant with which the demand for the budget is forgotten, in milliseconds.
const DEMAND_DECAY_MS: u64 = 5_000;
/// Number of peers that are asked at a time.
pub const LENDERS_ASKED: usize = 4;
/// Retries that are asked for each refused one. A loan pays for the retries to come in all intervals until it ends.
const ASKED_PER_REFUSAL: f64 = (LOAN_MS / ASK_INTERVAL_MS) as f64;
/// Minimum number of retries that one peer is asked for.
const ASKED_RETRIES_MIN: f64 = 0.05;
/// Maximum number of retries that one peer is asked for.
const ASKED_RETRIES_MAX: f64 = 16.0;
/// Number of requests for loans whose answers are still accepted.
const ASKS_MAX: usize = 8;

/// A request for a loan to each of a few peers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoanRequest {
    /// A number that the answer repeats. It is not used again in the life of the process.
    pub number: u32,
    /// The service.
    pub service: NameHash,
    /// Retries that one peer is asked for.
    pub retries: f32,
}

/// A loan, in answer to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLoan {
    /// The number of the request.
    pub number: u32,
    /// The service.
    pub service: NameHash,
    /// Retries that the lender will not make itself.
    pub retries: f32,
}

/// A request for a loan that may still be answered.
#[derive(Clone, Debug)]
struct Ask {
    number: u32,
    asked_at: TimeMs,
    /// The peers whose loans have arrived. Each peer's loan counts once, however often it arrives.
    lenders: Vec<NameHash>,
}

/// Borrowed retries.
#[derive(Clone, Copy, Debug)]
struct Borrowed {
    retries: f64,
    until: TimeMs,
}

/// The loans of one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetryLoans {
    asks: Vec<Ask>,
    borrowed: Vec<Borrowed>,
    /// Answers that were lost by refusals since the last request for a loan.
    refused: f64,
    used_until: TimeMs,
    /// Retries that the budget was asked for.
    demand: DecayingSum<DEMAND_DECAY_MS>,
    next_ask_at: TimeMs,
}

impl RetryLoans {
    /// Records that the budget was asked for a retry.
    pub(crate) fn record_use(&mut self, now: TimeMs) {
        self.used_until = now.plus_ms(USE_MS);
        self.demand.add(1.0, now);
    }

    /// Returns how many retries the budget is likely to be asked for within a window.
    pub(crate) fn expected_demand(&self, window_ms: u64, now: TimeMs) -> f64 {
        self.demand.value_at(now) * window_ms as f64 / DEMAND_DECAY_MS as f64
    }

    /// Records that the budget has refused a retry, and how likely that retry would have been answered.
    pub(crate) fn record_refusal(&mut self, success_rate: f64) {
        self.refused += success_rate;
    }

    /// Returns whether the budget was used lately.
    fn is_used(&self, now: TimeMs) -> bool {
        now < self.used_until
    }

    /// Returns the retries to ask each peer for, if a request for a loan is due.
    pub(crate) fn ask(&mut self, number: u32, now: TimeMs) -> Option<f32> {
        if !self.is_used(now) || now < self.next_ask_at {
            return None;
        }
        let wanted = std::mem::take(&mut self.refused) * ASKED_PER_REFUSAL / LENDERS_ASKED as f64;
        if wanted < ASKED_RETRIES_MIN {
            return None;
        }
        self.next_ask_at = now.plus_ms(ASK_INTERVAL_MS);
        self.drop_expired(now);
        if self.asks.len() == ASKS_MAX {
            self.asks.remove(0);
        }
        self.asks.push(Ask {
            number,
            asked_at: now,
            lenders: Vec::new(),
        });
        Some(wanted.min(ASKED_RETRIES_MAX) as f32)
    }

    /// Adds a loan that a peer has given. A loan that was not asked for, or that is too late, is worth nothing.
    pub(crate) fn receive(&mut self, lender: NameHash, loan: &RetryLoan, now: TimeMs) {
        self.drop_expired(now);
        let Some(ask) = self.asks.iter_mut().find(|ask| ask.number == loan.number) else {
            return;
        };
        let retries = f64::from(loan.retries);
        let is_known = ask.lenders.contains(&lender) || ask.lenders.len() == LENDERS_ASKED;
        if is_known || !retries.is_finite() || retries <= 0.0 {
            return;
        }
        ask.lenders.push(lender);
        self.borrowed.push(Borrowed {
            retries: retries.min(ASKED_RETRIES_MAX),
            until: ask.asked_at.plus_ms(LOAN_MS),
        });
    }

    /// Returns the borrowed retries that may still be made.
    pub(crate) fn available(&self, now: TimeMs) -> f64 {
        let valid = self.borrowed.iter().filter(|loan| now < loan.until);
        valid.map(|loan| loan.retries).sum()
    }

    /// Uses up to `retries` borrowed ones, those that end first, and returns how many there were.
    pub(crate) fn take(&mut self, retries: f64, now: TimeMs) -> f64 {
        self.drop_expired(now);
        let mut taken = 0.0;
        for loan in &mut self.borrowed {
            let part = loan.retries.min(retries - taken);
            loan.retries -= part;
            taken += part;
        }
        taken
    }

    fn drop_expired(&mut self, now: TimeMs) {
        self.asks.retain(|ask| now < ask.asked_at.plus_ms(LOAN_MS));
        self.borrowed
            .retain(|loan| now < loan.until && loan.retries > 0.0);
    }
}
