//! Aggregator choice: the instance of its own failure domain that an instance reports to.
//!
//! **Rule.** The instances of a failure domain are ranked by their share of a processor, then by name hash. The best
//! ranked are its aggregators; their number depends on their share of a processor ([`aggregator_count`]). Rendezvous
//! hashing distributes the other instances among the aggregators. An aggregator that is sent reports and stays silent
//! is skipped for [`SKIP_AGGREGATOR_MS`]; a stopping instance is skipped as well.
//!
//! **Why.** All instances make the same choice from their local state, without a message. A wrong choice is harmless,
//! since any instance that receives a report aggregates it.
//!
//! **Tested by** `tests/load_exchange.rs`.

use std::collections::HashMap;

use reedsail_core::NameHash;
use reedsail_core::TimeMs;
use reedsail_dispatch::DutyRank;

use crate::ExchangePace;
use crate::exchange_timing::SKIP_AGGREGATOR_MS;

/// Processor time that a member costs its aggregator, in microseconds per second.
const MEMBER_US_PER_S: u32 = 600;
/// Maximum part of its share of a processor that an aggregator spends on its members, as a divisor.
const AGGREGATION_SHARE_DIVISOR: u32 = 10;
/// Minimum and maximum number of members of one aggregator. The minimum limits the number of aggregators that exchange
/// sums; the maximum prevents the loss of one large instance from affecting a whole failure domain.
const MEMBERS_RANGE: (u32, u32) = (16, 80);

/// Returns the number of aggregators of a failure domain, from its number of instances and the share of a core that the
/// best ranked instance may use, in thousandths.
pub(crate) fn aggregator_count(domain_instances: usize, processor_milli: u32) -> usize {
    let members = processor_milli * 1_000 / AGGREGATION_SHARE_DIVISOR / MEMBER_US_PER_S;
    let members = members.clamp(MEMBERS_RANGE.0, MEMBERS_RANGE.1) as usize;
    domain_instances.div_ceil(members).max(1)
}

/// The aggregator that this instance reports to, and the aggregators that it skips.
#[derive(Clone, Debug, Default)]
pub(crate) struct AggregatorChoice {
    chosen: Option<NameHash>,
    /// When the chosen aggregator counts as silent.
    timeout_at: TimeMs,
    /// Until when each skipped aggregator is skipped.
    skipped_until: HashMap<NameHash, TimeMs>,
}

impl AggregatorChoice {
    /// Records a message from an aggregator, and the aggregator's pace.
    pub(crate) fn record_message(&mut self, aggregator: NameHash, pace: ExchangePace, now: TimeMs) {
        self.skipped_until.remove(&aggregator);
        if self.chosen == Some(aggregator) {
            self.timeout_at = now.plus_ms(pace.aggregator_timeout_ms());
        }
    }

    /// Returns the last chosen aggregator; `None` if this instance aggregates.
    pub(crate) fn chosen(&self) -> Option<NameHash> {
        self.chosen
    }

    /// Chooses an aggregator among the instances of the failure domain, including this one; `None` if this instance
    /// aggregates. The fleet's pace determines how long a newly chosen aggregator may take to answer.
    pub(crate) fn choose(
        &mut self,
        own: DutyRank,
        candidates: impl Iterator<Item = DutyRank>,
        domain_instances: usize,
        pace: ExchangePace,
        now: TimeMs,
    ) -> Option<NameHash> {
        self.skip_silent(now);
        let mut ranked: Vec<DutyRank> = candidates
            .filter(|rank| !self.skipped_until.contains_key(&rank.instance()))
            .collect();
        ranked.push(own);
        ranked.sort_unstable();
        let best_milli = ranked[0].processor_milli();
        ranked.truncate(aggregator_count(domain_instances, best_milli));
        let key = u64::from(own.instance().0);
        let chosen = if ranked.contains(&own) {
            None
        } else {
            let best = ranked
                .iter()
                .max_by_key(|rank| rank.instance().rendezvous_weight(key));
            best.map(|rank| rank.instance())
        };
        if chosen != self.chosen {
            self.chosen = chosen;
            self.timeout_at = now.plus_ms(pace.aggregator_timeout_ms());
        }
        chosen
    }

    fn skip_silent(&mut self, now: TimeMs) {
        self.skipped_until.retain(|_, until| *until > now);
        if now < self.timeout_at {
            return;
        }
        if let Some(silent) = self.chosen.take() {
            self.skipped_until.insert(silent, now.plus_ms(SKIP_AGGREGATOR_MS));
        }
    }
}
