//! Grants: answers peers' reports, and applies the grants that peers answer to this daemon's reports.

use reedsail_core::NameHash;
use reedsail_core::ServiceKey;
use reedsail_core::TimeMs;
use reedsail_events::EventKind;
use reedsail_scheduling::Allocator;
use reedsail_scheduling::Presence;
use reedsail_scheduling::ServiceGrant;
use reedsail_scheduling::SharePolicy;
use reedsail_wire::Grant;
use reedsail_wire::Report;

use super::Control;
use super::messages::ExchangeDone;

/// The interval between reports while far fewer slots are granted than are due, in milliseconds.
const SLOT_SHORTAGE_INTERVAL_MS: u64 = 250;
/// The fraction of the due slots below which a grant counts as short.
const SLOT_SHORTAGE_FRACTION: f64 = 0.85;
/// The duration of a lease in report intervals. A lease outlives one lost report.
const LEASE_INTERVALS: u64 = 3;

impl<P: SharePolicy> Control<P> {
    pub(super) fn answer_report(&mut self, report: &Report) -> Grant {
        let now = self.shared.clock.now();
        self.note_pause(now);
        self.exchanges += 1;
        self.shared.events.observe(report.clock);
        self.record_peer_report(report, now);
        let interval_ms = self.pacer.interval_ms(self.exchange_pairs(now));
        let lease_ms = self.lease_ms_at(interval_ms);
        let mut services = Vec::new();
        for (service, row) in &report.services {
            let allocator = self.allocator_mut(*service, now);
            allocator.set_lease_ms(lease_ms);
            // A leaving daemon keeps its leases until its last request has finished.
            if report.is_leaving && row.demands.is_empty() {
                allocator.remove_member(report.sender);
                continue;
            }
            services.push((*service, allocator.on_report(report.sender, row, now)));
        }
        let mut servers_leaving: Vec<NameHash> = self.servers_leaving.iter().copied().collect();
        servers_leaving.sort();
        Grant {
            incarnation: self.shared.incarnation,
            clock: self.shared.events.clock(),
            next_report_ms: interval_ms as u32,
            lease_ms: lease_ms as u32,
            services,
            servers_leaving,
        }
    }

    /// Returns the duration of leases in milliseconds, which exceeds the setting when reports are spaced
    /// further apart. A new allocator settles for the same time, since the leases of its predecessor lasted
    /// as long.
    pub(super) fn lease_ms(&self, now: TimeMs) -> u64 {
        self.lease_ms_at(self.pacer.interval_ms(self.exchange_pairs(now)))
    }

    fn lease_ms_at(&self, interval_ms: u64) -> u64 {
        (interval_ms * LEASE_INTERVALS).max(self.shared.settings.control.lease_ms)
    }

    fn record_peer_report(&mut self, report: &Report, now: TimeMs) {
        let sender = report.sender;
        if report.is_leaving {
            if self.membership.presence(sender, now) != Presence::Leaving {
                let name = self.membership.name(sender).unwrap_or("unknown");
                self.shared.events.emit(EventKind::PeerLeaving, &[("peer", name)]);
            }
            self.membership.record_leaving(sender);
            self.replan();
        } else if self.membership.record_alive(sender, now) {
            self.emit_alive(sender);
        }
        self.peers.entry(sender).or_default().reported_at = now;
        for suspect in &report.suspects {
            if *suspect != self.own_name {
                self.membership.suspect_by_report(*suspect, now);
            }
        }
        self.receive_departures(&report.servers_leaving, now);
        self.note_peer_version(sender, report.bundle_version, now);
    }

    fn emit_alive(&mut self, peer: NameHash) {
        self.replan();
        let name = self.membership.name(peer).unwrap_or("unknown");
        self.shared.events.emit(EventKind::PeerAlive, &[("peer", name)]);
    }

    pub(super) fn finish_exchange(&mut self, done: ExchangeDone) {
        let now = self.shared.clock.now();
        let grant = match done.outcome {
            Ok(grant) => grant,
            Err(error) => {
                self.record_unanswered(done.peer, &error.to_string(), now);
                return;
            }
        };
        let was_suspect = self.membership.record_alive(done.peer, now);
        if was_suspect {
            self.emit_alive(done.peer);
        }
        self.shared.events.observe(grant.clock);
        self.receive_departures(&grant.servers_leaving, now);
        let own_interval_ms = self.pacer.interval_ms(self.exchange_pairs(now));
        let mut interval_ms = own_interval_ms.max(u64::from(grant.next_report_ms));
        let lease_deadline = done.sent_at.plus_ms(u64::from(grant.lease_ms));
        for (service, row) in &grant.services {
            let is_own_assignment = self
                .assignments
                .get(service)
                .is_some_and(|assignment| assignment.peer == done.peer);
            if is_own_assignment {
                self.apply_leases(*service, row, grant.incarnation, lease_deadline);
            } else {
                self.borrow_slots(*service, done.peer, row, grant.incarnation, lease_deadline);
            }
        }
        let is_idle = |(service, row): &(ServiceKey, ServiceGrant)| {
            row.virtual_times.is_empty() && self.allocators.get(service).is_none_or(Allocator::is_idle)
        };
        if grant.services.iter().all(is_idle) {
            // Nothing is queued, runs or was charged, so reports only need to keep the leases from expiring.
            interval_ms = interval_ms.max(u64::from(grant.lease_ms) * 2 / 5);
        } else if self.is_short_of_slots(&grant) {
            interval_ms = interval_ms.min(SLOT_SHORTAGE_INTERVAL_MS);
        }
        // Leases are renewed before they expire, even if that exceeds the byte budget.
        interval_ms = interval_ms.min(u64::from(grant.lease_ms) / 2);
        let schedule = self.peers.entry(done.peer).or_default();
        schedule.is_in_flight = false;
        schedule.next_report_at = done.sent_at.plus_ms(interval_ms);
        if was_suspect {
            // The peer may become the allocator again. It must know which slots are held before it leases
            // any.
            schedule.make_due();
        }
    }

    fn is_short_of_slots(&self, grant: &Grant) -> bool {
        grant.services.iter().any(|(service, row)| {
            let granted: u32 = row.leases.iter().map(|lease| lease.slots).sum();
            let shares: f64 = row.shares().map(|(_, share)| share).sum();
            let lacking = self.allocators.get(service).map_or(0.0, Allocator::missing_slots);
            let is_member = !row.virtual_times.is_empty();
            let due = if is_member {
                shares
            } else {
                f64::from(granted) + lacking
            };
            f64::from(granted) < due * SLOT_SHORTAGE_FRACTION - 1.0
        })
    }

    fn apply_leases(
        &mut self,
        service: ServiceKey,
        grant: &ServiceGrant,
        incarnation: u32,
        lease_deadline: TimeMs,
    ) {
        let view = self.shared.view.load();
        let Some(found) = view.service(service) else {
            return;
        };
        let mut scheduler = found.cell.lock();
        if let Some(assignment) = self.assignments.get_mut(&service) {
            if assignment.incarnation.is_some_and(|known| known != incarnation) {
                scheduler.begin_session(rand::random());
            }
            assignment.incarnation = Some(incarnation);
        }
        scheduler.apply_grant(grant, lease_deadline);
        drop(scheduler);
        found.cell.dispatch();
    }

    fn borrow_slots(
        &mut self,
        service: ServiceKey,
        peer: NameHash,
        grant: &ServiceGrant,
        incarnation: u32,
        lease_deadline: TimeMs,
    ) {
        let Some(allocator) = self.allocators.get_mut(&service) else {
            return;
        };
        allocator.apply_domain_grant(peer, grant, lease_deadline);
        let assignments = self.domain_assignments.iter_mut();
        for (_, assignment) in
            assignments.filter(|((of, _), assignment)| *of == service && assignment.peer == peer)
        {
            if assignment.incarnation.is_some_and(|known| known != incarnation) {
                allocator.begin_domain_session(peer, rand::random());
            }
            assignment.incarnation = Some(incarnation);
        }
    }

    fn record_unanswered(&mut self, peer: NameHash, error: &str, now: TimeMs) {
        self.replan();
        if self.membership.suspect(peer, now) {
            let name = self.membership.name(peer).unwrap_or("unknown");
            let fields = [("peer", name), ("error", error)];
            self.shared.events.emit(EventKind::PeerSuspected, &fields);
        }
        if let Some(schedule) = self.peers.get_mut(&peer) {
            schedule.is_in_flight = false;
            schedule.next_report_at = now;
        }
        for allocator in self.allocators.values_mut() {
            allocator.forget_borrowed(peer);
        }
        self.publish_domain_daemons(now);
    }
}
