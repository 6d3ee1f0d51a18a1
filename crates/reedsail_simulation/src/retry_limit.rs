//! The limit of retries of one simulated process, by the designs that are compared.

use reedsail_core::NameHash;
use reedsail_core::TimeMs;
use reedsail_dispatch::AllowedRegions;
use reedsail_dispatch::Demand;
use reedsail_dispatch::DispatchSettings;
use reedsail_dispatch::Dispatcher;
use reedsail_dispatch::Priority;
use reedsail_dispatch::RetryPermit;
use reedsail_dispatch::RetryPurpose;
use reedsail_dispatch::VersionDemand;

use crate::RetryDesign;
use crate::RetryScenario;
use crate::sliding_window::SlidingWindow;
use crate::window_before::WindowBefore;

/// Window of the bound, in milliseconds.
pub(crate) const WINDOW_MS: u64 = 10_000;
/// The fewest instances among which a sliding window divides the slack.
const SLACK_INSTANCES_MIN: usize = 8;

/// How one process limits its retries of the service.
#[derive(Debug)]
pub(crate) enum RetryLimit {
    /// The router's ledgers; with `lends`, it borrows from peers and lends to them.
    Ledgers {
        dispatcher: Box<Dispatcher>,
        lends: bool,
    },
    WindowBefore {
        window: WindowBefore,
        ratio: f64,
    },
    SlidingWindow {
        window: SlidingWindow,
        ratio: f64,
        slack: f64,
    },
}

/// The permission to retry. The ledgers take it back if it is not used.
#[derive(Debug)]
pub(crate) struct Granted {
    permit: Option<RetryPermit>,
}

/// The service that all requests are for.
fn service() -> NameHash {
    NameHash::of("engines")
}

fn demand() -> Demand<'static> {
    Demand {
        service: service(),
        workspace: NameHash::of("workspace"),
        prompt: None,
        latency_target_ms: 800,
        gap_target_ms: None,
        priority: Priority::default(),
        waited_ms: 0,
        tried: &[],
        regions: &AllowedRegions::Any,
        fingerprint: None,
        version: VersionDemand::Any,
    }
}

impl RetryLimit {
    /// Makes the limit of a new process. `start` is different for each process.
    pub(crate) fn new(design: RetryDesign, scenario: &RetryScenario, start: u32) -> Self {
        let ratio = scenario.ratio;
        match design {
            RetryDesign::Ledgers | RetryDesign::LedgersAlone => Self::Ledgers {
                dispatcher: Box::new(new_dispatcher(scenario, start)),
                lends: design == RetryDesign::Ledgers,
            },
            RetryDesign::WindowBefore => Self::WindowBefore {
                window: WindowBefore::default(),
                ratio,
            },
            RetryDesign::SlidingWindow => Self::SlidingWindow {
                window: SlidingWindow::default(),
                ratio,
                slack: scenario.slack / scenario.instances.max(SLACK_INSTANCES_MIN) as f64,
            },
        }
    }

    pub(crate) fn count_request(&mut self, now: TimeMs) {
        match self {
            Self::Ledgers { dispatcher, .. } => dispatcher.record_arrival(&demand(), now),
            Self::WindowBefore { window, .. } => window.count_request(now),
            Self::SlidingWindow { window, .. } => window.count_request(now),
        }
    }

    /// Takes a retry, if there is room for it.
    pub(crate) fn take(&mut self, purpose: RetryPurpose, now: TimeMs) -> Option<Granted> {
        match self {
            Self::Ledgers { dispatcher, .. } => {
                let decision = dispatcher.take_retry(service(), purpose, now);
                decision.is_granted().then_some(Granted {
                    permit: decision.permit,
                })
            }
            Self::WindowBefore { window, ratio } => window
                .take(*ratio, WINDOW_MS, now)
                .then_some(Granted { permit: None }),
            Self::SlidingWindow { window, ratio, slack } => window
                .take(*ratio, *slack, WINDOW_MS, now)
                .then_some(Granted { permit: None }),
        }
    }

    /// Takes back a retry that reached no server, as far as the design can.
    pub(crate) fn refund(&mut self, granted: Granted) {
        if let (Self::Ledgers { dispatcher, .. }, Some(permit)) = (self, granted.permit) {
            dispatcher.refund_retry(&permit);
        }
    }

    pub(crate) fn record_outcome(&mut self, purpose: RetryPurpose, is_success: bool, now: TimeMs) {
        if let Self::Ledgers { dispatcher, .. } = self {
            dispatcher.record_retry_outcome(service(), purpose, is_success, now);
        }
    }

    /// Returns the dispatcher of a process that borrows and lends.
    pub(crate) fn lending(&mut self) -> Option<&mut Dispatcher> {
        match self {
            Self::Ledgers {
                dispatcher,
                lends: true,
            } => Some(dispatcher),
            Self::Ledgers { .. } | Self::WindowBefore { .. } | Self::SlidingWindow { .. } => None,
        }
    }

    pub(crate) fn tick(&mut self, now: TimeMs) {
        if let Self::Ledgers { dispatcher, .. } = self {
            dispatcher.tick(now);
        }
    }
}

fn new_dispatcher(scenario: &RetryScenario, start: u32) -> Dispatcher {
    let settings = DispatchSettings {
        retry_ratio: scenario.ratio,
        retry_slack: scenario.slack,
        retry_window_ms: WINDOW_MS,
        ..DispatchSettings::default()
    };
    let mut dispatcher = Dispatcher::new(settings, NameHash::of("domain"));
    dispatcher.set_incarnation(start << 12);
    dispatcher
}
