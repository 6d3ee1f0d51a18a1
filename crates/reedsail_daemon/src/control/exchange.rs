//! Reports to allocators, grants from them, and when each is due.

use std::collections::HashMap;

use reedsail_core::NameHash;
use reedsail_core::ServiceKey;
use reedsail_core::TimeMs;
use reedsail_events::EventKind;
use reedsail_scheduling::Allocator;
use reedsail_scheduling::Presence;
use reedsail_scheduling::ServiceGrant;
use reedsail_scheduling::ServiceReport;
use reedsail_scheduling::SharePolicy;
use reedsail_scheduling::rank_by_rendezvous;
use reedsail_wire::Grant;
use reedsail_wire::Report;

use super::Control;
use super::PeerAddress;
use super::actor::ExchangeDone;
use super::links::LinkAction;
use super::thread_time::thread_cpu_s;

/// How often this daemon reports to itself where it is allocator; that costs no message.
const OWN_REPORT_EVERY_MS: u64 = 200;
/// The shortest time between two reports to one peer, even urgent ones.
const URGENT_SPACING_MS: u64 = 100;
/// The interval while much less is granted than is due.
const SHORT_INTERVAL_MS: u64 = 250;
/// What part of the due slots counts as much less.
const SHORT_PART: f64 = 0.85;
/// Who is to be told what is worked out anew at least this often.
const ERRANDS_AGE_MAX_MS: u64 = 1_000;
/// A lease lasts for so many report intervals, so that one lost report does no harm.
const LEASE_INTERVALS: u64 = 3;
/// How often the bytes of an exchange are measured.
const PACE_EVERY_MS: u64 = 1_000;

/// Whom a service is reported to, and which start of that daemon knows the counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Seat {
    pub(super) peer: NameHash,
    incarnation: Option<u32>,
}

/// When a peer is to be reported to.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PeerSchedule {
    next_report_at: TimeMs,
    sent_at: TimeMs,
    in_flight: bool,
    /// When the peer last reported here.
    pub(super) reported_at: TimeMs,
}

impl PeerSchedule {
    /// Has the next report sent at once.
    pub(super) fn make_due(&mut self) {
        self.next_report_at = TimeMs(0);
    }
}

/// What is to be told to one peer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Errand {
    services: Vec<ServiceKey>,
    domain_services: Vec<(ServiceKey, NameHash)>,
}

impl<P: SharePolicy> Control<P> {
    /// Returns the allocator of a service in a failure domain, as seen from here.
    pub(super) fn allocator_of(
        &self,
        service: ServiceKey,
        domain: NameHash,
        now: TimeMs,
    ) -> Option<NameHash> {
        let mut candidates = self.membership.alive(Some(domain), now);
        // A stopping daemon hands its duties over, unless there is nobody to take them.
        if domain == self.own_domain && (!self.stopping || candidates.is_empty()) {
            candidates.push(self.own_name);
        }
        let service = self
            .shared
            .with_directory(|directory| directory.services.hash(service));
        let duty = u64::from(service.0) << 32 | u64::from(domain.0);
        rank_by_rendezvous(duty, &candidates).first().copied()
    }

    /// Sends the reports that are due.
    pub(super) fn send_reports(&mut self, now: TimeMs) {
        if !P::LEASED {
            return;
        }
        if self
            .errands_at
            .is_none_or(|at| now.since_ms(at) >= ERRANDS_AGE_MAX_MS)
        {
            self.errands = self.make_errands(now);
            self.errands_at = Some(now);
        }
        let errands = std::mem::take(&mut self.errands);
        for (peer, errand) in &errands {
            if *peer == self.own_name {
                self.report_to_self(&errand.services, now);
            } else if self.is_due(*peer, errand, now) {
                self.send_report(*peer, errand, now);
            }
        }
        self.errands = errands;
    }

    /// Has the errands made anew, after who is alive has changed.
    pub(super) fn forget_errands(&mut self) {
        self.errands_at = None;
    }

    fn make_errands(&self, now: TimeMs) -> HashMap<NameHash, Errand> {
        let mut errands: HashMap<NameHash, Errand> = HashMap::new();
        let other_domains: Vec<NameHash> = self
            .membership
            .domains()
            .into_iter()
            .filter(|domain| *domain != self.own_domain)
            .collect();
        for (service, _) in self.shared.view.load().services() {
            let Some(allocator) = self.allocator_of(service, self.own_domain, now) else {
                continue;
            };
            errands.entry(allocator).or_default().services.push(service);
            if allocator != self.own_name {
                continue;
            }
            for domain in &other_domains {
                if let Some(peer) = self.allocator_of(service, *domain, now) {
                    errands
                        .entry(peer)
                        .or_default()
                        .domain_services
                        .push((service, *domain));
                }
            }
        }
        errands
    }

    fn is_due(&mut self, peer: NameHash, errand: &Errand, now: TimeMs) -> bool {
        let schedule = self.peers.entry(peer).or_default();
        if schedule.in_flight {
            return false;
        }
        if schedule.next_report_at <= now {
            return true;
        }
        if now.since_ms(schedule.sent_at) < URGENT_SPACING_MS {
            return false;
        }
        let view = self.shared.view.load();
        let urgent = errand
            .services
            .iter()
            .filter_map(|service| view.service(*service))
            .any(|service| service.cell.lock().has_urgent_news());
        urgent && self.pacer.may_send_urgent(now)
    }

    fn send_report(&mut self, peer: NameHash, errand: &Errand, now: TimeMs) {
        let Some(address) = self.peer_address(peer) else {
            return;
        };
        let mut services = self.daemon_reports(peer, &errand.services, now);
        for (service, domain) in &errand.domain_services {
            if let Some(report) = self.domain_report(*service, *domain, peer, now) {
                services.push((*service, report));
            }
        }
        let report = self.make_report(services, now);
        let schedule = self.peers.entry(peer).or_default();
        schedule.in_flight = true;
        schedule.sent_at = now;
        self.exchanges += 1;
        let action = LinkAction::Exchange {
            peer: address,
            report: Box::new(report),
            sent_at: now,
        };
        // The task that takes actions lives as long as the actor.
        let _ = self.actions.send(action);
    }

    fn daemon_reports(
        &mut self,
        peer: NameHash,
        services: &[ServiceKey],
        now: TimeMs,
    ) -> Vec<(ServiceKey, ServiceReport)> {
        let view = self.shared.view.load();
        let mut reports = Vec::new();
        for service in services {
            let Some(found) = view.service(*service) else {
                continue;
            };
            let mut scheduler = found.cell.lock();
            if self.seats.get(service).is_none_or(|seat| seat.peer != peer) {
                scheduler.begin_session(rand::random());
                self.seats.insert(
                    *service,
                    Seat {
                        peer,
                        incarnation: None,
                    },
                );
                let peer_name = self.membership.name(peer).unwrap_or("itself");
                self.shared.events.emit(
                    EventKind::AllocatorChanged,
                    &[("service", &found.name), ("allocator", peer_name)],
                );
            }
            if self.stopping && !scheduler.is_active() {
                scheduler.release_leases();
            }
            reports.push((*service, scheduler.report(now)));
        }
        reports
    }

    fn domain_report(
        &mut self,
        service: ServiceKey,
        domain: NameHash,
        peer: NameHash,
        now: TimeMs,
    ) -> Option<ServiceReport> {
        let allocator = self.allocators.get_mut(&service)?;
        let seat = self.domain_seats.get(&(service, domain));
        if seat.is_none_or(|seat| seat.peer != peer) {
            allocator.begin_domain_session(peer, rand::random());
            let seat = Seat {
                peer,
                incarnation: None,
            };
            self.domain_seats.insert((service, domain), seat);
        }
        Some(allocator.domain_report(peer, now))
    }

    fn make_report(&self, services: Vec<(ServiceKey, ServiceReport)>, now: TimeMs) -> Report {
        Report {
            sender: self.own_name,
            incarnation: self.shared.incarnation,
            clock: self.shared.events.clock(),
            bundle_version: self.shared.view.load().version,
            leaving: self.stopping,
            services,
            suspects: self.membership.suspects(now),
            servers_leaving: self.servers_leaving.iter().copied().collect(),
        }
    }

    fn report_to_self(&mut self, services: &[ServiceKey], now: TimeMs) {
        let schedule = self.peers.entry(self.own_name).or_default();
        if schedule.next_report_at > now {
            return;
        }
        schedule.next_report_at = now.plus_ms(OWN_REPORT_EVERY_MS);
        let reports = self.daemon_reports(self.own_name, services, now);
        let lease_deadline = now.plus_ms(self.shared.settings.control.lease_ms);
        for (service, report) in reports {
            let own_name = self.own_name;
            let grant = self.allocator_mut(service, now).on_report(own_name, &report, now);
            let view = self.shared.view.load();
            if let Some(found) = view.service(service) {
                found.cell.lock().apply_grant(&grant, lease_deadline);
                found.cell.dispatch();
            }
        }
    }

    /// Answers a peer's report.
    pub(super) fn answer_report(&mut self, report: &Report) -> Grant {
        let now = self.shared.clock.now();
        self.exchanges += 1;
        self.shared.events.observe(report.clock);
        self.note_peer(report, now);
        let interval_ms = self.pacer.interval_ms(self.exchange_pairs(now));
        let lease_ms = (interval_ms * LEASE_INTERVALS).max(self.shared.settings.control.lease_ms);
        let mut services = Vec::new();
        for (service, row) in &report.services {
            let allocator = self.allocator_mut(*service, now);
            allocator.set_lease_ms(lease_ms);
            // A leaving daemon is served until its last request is finished.
            if report.leaving && row.demands.is_empty() {
                allocator.remove_member(report.sender);
                continue;
            }
            services.push((*service, allocator.on_report(report.sender, row, now)));
        }
        let mut leaving: Vec<NameHash> = self.servers_leaving.iter().copied().collect();
        leaving.sort();
        Grant {
            incarnation: self.shared.incarnation,
            clock: self.shared.events.clock(),
            next_report_ms: interval_ms as u32,
            lease_ms: lease_ms as u32,
            services,
            leaving,
        }
    }

    fn note_peer(&mut self, report: &Report, now: TimeMs) {
        let sender = report.sender;
        if report.leaving {
            if self.membership.presence(sender, now) != Presence::Leaving {
                let name = self.membership.name(sender).unwrap_or("unknown");
                self.shared.events.emit(EventKind::PeerLeaving, &[("peer", name)]);
            }
            self.membership.leave(sender);
            self.forget_errands();
        } else if self.membership.hear(sender, now) {
            self.emit_heard(sender);
        }
        self.peers.entry(sender).or_default().reported_at = now;
        for suspect in &report.suspects {
            if *suspect != self.own_name {
                self.membership.suspect_by_hearsay(*suspect, now);
            }
        }
        self.hear_servers_leaving(&report.servers_leaving, now);
        self.note_peer_version(sender, report.bundle_version, now);
    }

    fn emit_heard(&mut self, peer: NameHash) {
        self.forget_errands();
        let name = self.membership.name(peer).unwrap_or("unknown");
        self.shared.events.emit(EventKind::PeerAlive, &[("peer", name)]);
    }

    /// Returns with how many peers a report is exchanged in each round, in either direction.
    fn exchange_pairs(&self, now: TimeMs) -> usize {
        let window_ms = self.shared.settings.control.lease_ms * 2;
        let recent = |at: TimeMs| at > TimeMs(0) && now.since_ms(at) < window_ms;
        let reporting = self
            .peers
            .values()
            .filter(|peer| recent(peer.reported_at))
            .count();
        let reported = self
            .peers
            .iter()
            .filter(|(name, peer)| **name != self.own_name && recent(peer.sent_at))
            .count();
        reporting + reported
    }

    /// Takes in what came of a report.
    pub(super) fn conclude_exchange(&mut self, done: ExchangeDone) {
        let now = self.shared.clock.now();
        let grant = match done.outcome {
            Ok(grant) => grant,
            Err(error) => {
                self.note_no_answer(done.peer, &error.to_string(), now);
                return;
            }
        };
        if self.membership.hear(done.peer, now) {
            self.emit_heard(done.peer);
        }
        self.shared.events.observe(grant.clock);
        self.hear_servers_leaving(&grant.leaving, now);
        let own_interval_ms = self.pacer.interval_ms(self.exchange_pairs(now));
        let mut interval_ms = own_interval_ms.max(u64::from(grant.next_report_ms));
        let lease_deadline = done.sent_at.plus_ms(u64::from(grant.lease_ms));
        for (service, row) in &grant.services {
            let is_own_seat = self.seats.get(service).is_some_and(|seat| seat.peer == done.peer);
            if is_own_seat {
                self.take_leases(*service, row, grant.incarnation, lease_deadline);
            } else {
                self.borrow_slots(*service, done.peer, row, grant.incarnation, lease_deadline);
            }
        }
        let is_idle = |(service, row): &(ServiceKey, ServiceGrant)| {
            row.virtual_times.is_empty() && self.allocators.get(service).is_none_or(Allocator::is_idle)
        };
        if grant.services.iter().all(is_idle) {
            // Nothing waits, runs or was charged: it is enough that leases do not lapse.
            interval_ms = interval_ms.max(u64::from(grant.lease_ms) * 2 / 5);
        } else if self.is_short_of_slots(&grant) {
            interval_ms = interval_ms.min(SHORT_INTERVAL_MS);
        }
        // Whatever the budget says, a lease is renewed before it lapses.
        interval_ms = interval_ms.min(u64::from(grant.lease_ms) / 2);
        let schedule = self.peers.entry(done.peer).or_default();
        schedule.in_flight = false;
        schedule.next_report_at = done.sent_at.plus_ms(interval_ms);
    }

    /// Tells whether much less was granted than is due here: somebody else is about to give the
    /// slots back, so it pays to ask again soon.
    fn is_short_of_slots(&self, grant: &Grant) -> bool {
        grant.services.iter().any(|(service, row)| {
            let granted: u32 = row.leases.iter().map(|lease| lease.slots).sum();
            let shares: f64 = row.shares().map(|(_, share)| share).sum();
            let lacking = self.allocators.get(service).map_or(0.0, Allocator::lacking_slots);
            let is_member = !row.virtual_times.is_empty();
            let due = if is_member {
                shares
            } else {
                f64::from(granted) + lacking
            };
            f64::from(granted) < due * SHORT_PART - 1.0
        })
    }

    fn take_leases(
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
        if let Some(seat) = self.seats.get_mut(&service) {
            if seat.incarnation.is_some_and(|known| known != incarnation) {
                scheduler.begin_session(rand::random());
            }
            seat.incarnation = Some(incarnation);
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
        let seats = self.domain_seats.iter_mut();
        for (_, seat) in seats.filter(|((of, _), seat)| *of == service && seat.peer == peer) {
            if seat.incarnation.is_some_and(|known| known != incarnation) {
                allocator.begin_domain_session(peer, rand::random());
            }
            seat.incarnation = Some(incarnation);
        }
    }

    fn note_no_answer(&mut self, peer: NameHash, error: &str, now: TimeMs) {
        self.forget_errands();
        if self.membership.suspect(peer, now) {
            let name = self.membership.name(peer).unwrap_or("unknown");
            let fields = [("peer", name), ("error", error)];
            self.shared.events.emit(EventKind::PeerSuspected, &fields);
        }
        if let Some(schedule) = self.peers.get_mut(&peer) {
            schedule.in_flight = false;
            schedule.next_report_at = now;
        }
        for allocator in self.allocators.values_mut() {
            allocator.forget_borrowed(peer);
        }
        self.publish_domain_daemons(now);
    }

    /// Measures what an exchange costs on the wire.
    pub(super) fn pace(&mut self, now: TimeMs) {
        if now.since_ms(self.paced_at) < PACE_EVERY_MS {
            return;
        }
        let bytes = self.shared.bytes.peer_calls.total_bytes() + self.shared.bytes.peer_served.total_bytes();
        let exchanges = self.exchanges - self.paced_exchanges;
        if let Some(exchange_bytes) = (bytes - self.paced_bytes).checked_div(exchanges) {
            self.pacer.record(exchange_bytes);
        }
        if let Some(seconds) = thread_cpu_s() {
            self.shared.metrics.control_cpu.set(seconds);
        }
        self.paced_at = now;
        self.paced_bytes = bytes;
        self.paced_exchanges = self.exchanges;
    }

    pub(super) fn peer_address(&self, peer: NameHash) -> Option<PeerAddress> {
        Some(PeerAddress {
            name: peer,
            instance: self.membership.name(peer)?.to_owned(),
            address: self.membership.address(peer)?.parse().ok()?,
        })
    }
}
