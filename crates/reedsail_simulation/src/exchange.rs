//! The load exchange between simulated instances: the reports are summed, and each instance receives the sum after a
//! delay, without its own part.

use std::collections::VecDeque;

use reedsail_core::NameHash;
use reedsail_core::TimeMs;
use reedsail_dispatch::Dispatcher;
use reedsail_dispatch::LoadReport;
use reedsail_dispatch::PrefixRow;
use reedsail_gossip::LoadSum;
use reedsail_gossip::SentReports;

/// The sum of the reports that were sent at one time.
#[derive(Debug)]
struct Round {
    arrives_at: TimeMs,
    sequence: u32,
    sum: LoadReport,
    prefixes: Vec<PrefixRow>,
}

/// The sums in flight, and the reports that each instance sent.
#[derive(Debug)]
pub(crate) struct Exchange {
    delay_ms: u64,
    sequence: u32,
    sent: Vec<SentReports>,
    in_flight: VecDeque<Round>,
}

impl Exchange {
    pub(crate) fn new(instances: usize, delay_ms: u64) -> Self {
        Self {
            delay_ms,
            sequence: 0,
            sent: vec![SentReports::default(); instances],
            in_flight: VecDeque::new(),
        }
    }

    /// Collects the reports of all instances, and delivers the sums that are due to all instances.
    pub(crate) fn tick(&mut self, instances: &mut [Dispatcher], now: TimeMs) {
        self.collect(instances, now);
        while self
            .in_flight
            .front()
            .is_some_and(|round| round.arrives_at <= now)
        {
            if let Some(round) = self.in_flight.pop_front() {
                self.deliver(&round, instances, now);
            }
        }
    }

    fn collect(&mut self, instances: &mut [Dispatcher], now: TimeMs) {
        self.sequence += 1;
        let mut sum = LoadSum::default();
        let mut prefixes = Vec::new();
        for (instance, sent) in instances.iter_mut().zip(&mut self.sent) {
            let report = instance.report(now);
            sum.add(&report);
            prefixes.extend_from_slice(&report.prefixes);
            sent.record(self.sequence, &report);
        }
        self.in_flight.push_back(Round {
            arrives_at: now.plus_ms(self.delay_ms),
            sequence: self.sequence,
            sum: sum.report(usize::MAX),
            prefixes,
        });
    }

    fn deliver(&self, round: &Round, instances: &mut [Dispatcher], now: TimeMs) {
        let aggregator = NameHash::of("aggregator");
        for (instance, sent) in instances.iter_mut().zip(&self.sent) {
            let mut sum = round.sum.clone();
            sent.subtract_from(&mut sum, round.sequence);
            sum.prefixes.clone_from(&round.prefixes);
            instance.receive_report(aggregator, sum, now);
        }
    }
}
