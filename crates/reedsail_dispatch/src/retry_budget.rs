//! Retry budget: whether one more retry of a service is within the bound of the whole fleet, and worth it.
//!
//! **Rule.** A retry is paid from the ledger of its service on this instance (`retry_ledger`), or by loans of peers
//! (`retry_loans`). The ledger holds what the service's requests earn, and a share of the fleet's slack: one retry for
//! each instance, less if the fleet has more instances than the slack has retries. A process uses its share only once
//! everything that an earlier process of this instance may have spent has left the window. A retry that is not for a
//! broken stream leaves a part of the budget, which grows as retries of its kind fail (`retry_benefit`).
//!
//! **Inputs.** Requests and retries of the service here; the largest number of instances that was known; loans; the
//! outcomes of retries; settings `dispatch.repeat_*`.
//!
//! **Why.** Nobody knows how many instances there are: a partition hides some, and a new process knows none. The slack
//! is therefore not divided by that number but handed out one by one, and a fleet without contact cannot exceed it.
//!
//! **Tested by** `tests/retry_budget.rs`, and `retry_budget.rs` of `reedsail_simulation`.

use std::collections::HashMap;

use reedsail_core::NameHash;
use reedsail_core::TimeMs;

use crate::DispatchSettings;
use crate::LoanRequest;
use crate::RetryDecision;
use crate::RetryLoan;
use crate::RetryPermit;
use crate::RetryPurpose;
use crate::RetryReason;
use crate::retry_benefit::RetryBenefit;
use crate::retry_ledger::ARRIVAL_DELAY_MAX_MS;
use crate::retry_ledger::RetryLedger;
use crate::retry_loans::LOAN_MS;
use crate::retry_loans::RetryLoans;

/// Maximum share of the slack for one instance, in retries.
const SLACK_PER_INSTANCE_MAX: f64 = 1.0;
/// Share of its room that an instance lends at most at a time.
const LENT_SHARE: f64 = 0.5;
/// Share of its budget that an instance does not lend, beside what it is likely to need itself.
const KEPT_SHARE: f64 = 0.2;
/// Smallest loan, in retries.
const LOAN_RETRIES_MIN: f64 = 0.05;
/// Longest interval between two ticks of a process that was not suspended, in milliseconds.
const TICK_INTERVAL_MAX_MS: u64 = 1_000;
/// Time after a suspension in which requests may arrive that were sent during it, in milliseconds.
const BACKLOG_MS: u64 = 500;

/// The retry budgets of all services on one instance.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetryBudgets {
    services: HashMap<NameHash, ServiceBudget>,
    /// When this process ticked first.
    started_at: Option<TimeMs>,
    ticked_at: Option<TimeMs>,
    /// Requests that arrive before this time may have waited since a suspension began, and earn nothing.
    backlog_until: TimeMs,
    /// The largest number of instances that was known.
    instances_max: usize,
    last_loan_number: u32,
}

/// The budget of one service.
#[derive(Clone, Debug)]
struct ServiceBudget {
    ledger: RetryLedger,
    loans: RetryLoans,
    benefit: RetryBenefit,
}

impl ServiceBudget {
    fn new(settings: &DispatchSettings) -> Self {
        Self {
            ledger: RetryLedger::new(settings.retry_ratio, settings.retry_window_ms, LOAN_MS),
            loans: RetryLoans::default(),
            benefit: RetryBenefit::default(),
        }
    }

    /// Returns the retries that may be made now, borrowed ones included.
    fn room(&self, slack: f64, now: TimeMs) -> f64 {
        self.ledger.room(slack, 0, now).max(0.0) + self.loans.available(now)
    }

    /// Pays for one retry, with borrowed retries first because they end soon.
    fn pay(&mut self, service: NameHash, now: TimeMs) -> RetryPermit {
        let borrowed = self.loans.take(1.0, now);
        let own_retries = 1.0 - borrowed;
        self.ledger.spend(own_retries, 0, now);
        RetryPermit {
            service,
            own_retries,
            taken_at: now,
            valid_until: now.plus_ms(ARRIVAL_DELAY_MAX_MS),
        }
    }
}

impl RetryBudgets {
    /// Records the time, and with it a suspension of the process.
    pub(crate) fn tick(&mut self, now: TimeMs) {
        if self.was_suspended(now) {
            self.backlog_until = now.plus_ms(BACKLOG_MS);
        }
        self.ticked_at = Some(now);
        self.started_at.get_or_insert(now);
    }

    fn was_suspended(&self, now: TimeMs) -> bool {
        let ticked_at = self.ticked_at.unwrap_or(now);
        now.since_ms(ticked_at) > TICK_INTERVAL_MAX_MS
    }

    /// Sets the number from which this process numbers its requests for loans.
    pub(crate) fn set_incarnation(&mut self, incarnation: u32) {
        self.last_loan_number = incarnation;
    }

    /// Records how many instances are known, this one included.
    pub(crate) fn set_instances(&mut self, instances: usize) {
        self.instances_max = self.instances_max.max(instances);
    }

    /// Counts an arriving request.
    pub(crate) fn count_request(&mut self, service: NameHash, settings: &DispatchSettings, now: TimeMs) {
        if now < self.backlog_until || self.was_suspended(now) {
            return;
        }
        self.service(service, settings).ledger.count_request(now);
    }

    /// Decides on one retry of a service.
    pub(crate) fn take(
        &mut self,
        service: NameHash,
        purpose: RetryPurpose,
        settings: &DispatchSettings,
        now: TimeMs,
    ) -> RetryDecision {
        let slack = self.slack(settings, now);
        let budget = self.service(service, settings);
        let room = budget.room(slack, now);
        let reserved =
            (budget.benefit.reserved_share(purpose, now) * budget.ledger.capacity(slack, now)).floor();
        let reason = if room < 1.0 {
            RetryReason::Exhausted
        } else if room - 1.0 < reserved {
            RetryReason::Reserved
        } else if budget.loans.available(now) > 0.0 {
            RetryReason::Borrowed
        } else {
            RetryReason::Room
        };
        let is_granted = matches!(reason, RetryReason::Room | RetryReason::Borrowed);
        let permit = is_granted.then(|| budget.pay(service, now));
        budget.loans.record_use(now);
        let room = budget.room(slack, now);
        if !is_granted {
            // Peers are asked only for what is likely to help.
            let worth = budget.benefit.success_rate(purpose, now);
            budget.loans.record_refusal(worth);
        }
        RetryDecision {
            reason,
            permit,
            room,
            slack,
        }
    }

    /// Takes back a permit that was not used.
    pub(crate) fn refund(&mut self, permit: &RetryPermit) {
        if let Some(budget) = self.services.get_mut(&permit.service) {
            budget.ledger.refund(permit.own_retries, permit.taken_at);
        }
    }

    /// Records whether a retry was answered.
    pub(crate) fn record_outcome(
        &mut self,
        service: NameHash,
        purpose: RetryPurpose,
        is_success: bool,
        now: TimeMs,
    ) {
        if let Some(budget) = self.services.get_mut(&service) {
            budget.benefit.record(purpose, is_success, now);
        }
    }

    /// Returns the requests for loans that are due.
    pub(crate) fn loan_requests(&mut self, now: TimeMs) -> Vec<LoanRequest> {
        let mut requests = Vec::new();
        for (service, budget) in &mut self.services {
            let number = self.last_loan_number.wrapping_add(1);
            if let Some(retries) = budget.loans.ask(number, now) {
                self.last_loan_number = number;
                requests.push(LoanRequest {
                    number,
                    service: *service,
                    retries,
                });
            }
        }
        requests
    }

    /// Lends retries to a peer that this instance is not likely to need itself.
    pub(crate) fn lend(
        &mut self,
        request: &LoanRequest,
        settings: &DispatchSettings,
        now: TimeMs,
    ) -> Option<RetryLoan> {
        let slack = self.slack(settings, now);
        // A peer's message adds no service to the table.
        let budget = self.services.get_mut(&request.service)?;
        let kept = KEPT_SHARE * budget.ledger.capacity(slack, now)
            + budget.loans.expected_demand(settings.retry_window_ms, now);
        let room = budget.ledger.room(slack, LOAN_MS, now) - kept;
        let retries = f64::from(request.retries).min(room * LENT_SHARE);
        if retries.is_nan() || retries < LOAN_RETRIES_MIN {
            return None;
        }
        budget.ledger.spend(retries, LOAN_MS, now);
        Some(RetryLoan {
            number: request.number,
            service: request.service,
            // Rounding up would lend more than was spent.
            retries: (retries as f32).next_down(),
        })
    }

    /// Receives a loan of a peer.
    pub(crate) fn receive_loan(&mut self, lender: NameHash, loan: &RetryLoan, now: TimeMs) {
        if let Some(budget) = self.services.get_mut(&loan.service) {
            budget.loans.receive(lender, loan, now);
        }
    }

    /// Returns the retries that each service may still make on this instance.
    pub(crate) fn rooms(&self, settings: &DispatchSettings, now: TimeMs) -> Vec<(NameHash, f64)> {
        let slack = self.slack(settings, now);
        let services = self.services.iter();
        services
            .map(|(service, budget)| (*service, budget.room(slack, now)))
            .collect()
    }

    /// Returns this instance's share of the slack.
    fn slack(&self, settings: &DispatchSettings, now: TimeMs) -> f64 {
        let settled_after_ms = settings.retry_window_ms + LOAN_MS + 2 * ARRIVAL_DELAY_MAX_MS;
        let started_at = self.started_at.unwrap_or(now);
        if now.since_ms(started_at) < settled_after_ms {
            return 0.0;
        }
        let equal_share = settings.retry_slack / self.instances_max.max(1) as f64;
        equal_share.min(SLACK_PER_INSTANCE_MAX)
    }

    fn service(&mut self, service: NameHash, settings: &DispatchSettings) -> &mut ServiceBudget {
        self.services
            .entry(service)
            .or_insert_with(|| ServiceBudget::new(settings))
    }
}
