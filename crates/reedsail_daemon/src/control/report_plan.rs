//! The state of reports: the allocator of each service, the schedule of each peer and the services
//! reported to it.

use reedsail_core::NameHash;
use reedsail_core::ServiceKey;
use reedsail_core::TimeMs;

/// The allocator that a service is reported to, and the incarnation of it that last answered a report.
/// A restarted allocator has a new incarnation and knows none of the reported counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Assignment {
    pub(super) peer: NameHash,
    pub(super) incarnation: Option<u32>,
}

/// When reports are exchanged with a peer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PeerSchedule {
    pub(super) next_report_at: TimeMs,
    pub(super) sent_at: TimeMs,
    pub(super) is_in_flight: bool,
    /// When the peer last reported here.
    pub(super) reported_at: TimeMs,
}

impl PeerSchedule {
    /// Makes the next report due immediately.
    pub(super) fn make_due(&mut self) {
        self.next_report_at = TimeMs(0);
    }
}

/// The services that are reported to one peer.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReportPlan {
    pub(super) services: Vec<ServiceKey>,
    /// The services that this daemon allocates in its own failure domain and for which the peer is the
    /// allocator in another domain, with that domain.
    pub(super) domain_services: Vec<(ServiceKey, NameHash)>,
}
