//! Reports to allocators: determines the allocator of each service and when it gets which report.

use std::collections::HashMap;

use reedsail_core::NameHash;
use reedsail_core::ServiceKey;
use reedsail_core::TimeMs;
use reedsail_events::EventKind;
use reedsail_scheduling::ServiceReport;
use reedsail_scheduling::SharePolicy;
use reedsail_scheduling::rank_by_rendezvous;
use reedsail_wire::Report;

use super::Control;
use super::messages::LinkAction;
use super::messages::PeerAddress;
use super::report_plan::Assignment;
use super::report_plan::ReportPlan;

/// The interval at which this daemon reports to itself where it is the allocator, in milliseconds. These
/// reports need no messages.
const OWN_REPORT_EVERY_MS: u64 = 200;
/// The minimum time between two reports to one peer, even urgent ones, in milliseconds.
const URGENT_SPACING_MS: u64 = 100;
/// The interval at which a suspected daemon of the own failure domain is probed, in milliseconds. It is less
/// than half of the shortest lease (1,000 ms in tests, 3,000 ms by default), so that two allocators that
/// suspect each other agree within one lease.
const PROBE_EVERY_MS: u64 = 400;
/// The age from which the report plans are computed again, in milliseconds.
const PLAN_AGE_MAX_MS: u64 = 1_000;

impl<P: SharePolicy> Control<P> {
    pub(super) fn allocator_of(
        &self,
        service: ServiceKey,
        domain: NameHash,
        now: TimeMs,
    ) -> Option<NameHash> {
        let mut candidates = self.membership.alive(Some(domain), now);
        // A stopping daemon hands over its duties unless no other daemon of the domain is alive.
        if domain == self.own_domain && (!self.is_stopping || candidates.is_empty()) {
            candidates.push(self.own_name);
        }
        let service = self
            .shared
            .with_directory(|directory| directory.services.hash(service));
        let role = u64::from(service.0) << 32 | u64::from(domain.0);
        rank_by_rendezvous(role, &candidates).first().copied()
    }

    pub(super) fn send_reports(&mut self, now: TimeMs) {
        if !P::LEASED {
            return;
        }
        if self
            .planned_at
            .is_none_or(|at| now.since_ms(at) >= PLAN_AGE_MAX_MS)
        {
            self.plans = self.make_plans(now);
            self.planned_at = Some(now);
        }
        let plans = std::mem::take(&mut self.plans);
        for (peer, plan) in &plans {
            if *peer == self.own_name {
                self.report_to_self(&plan.services, now);
            } else if self.is_due(*peer, plan, now) {
                self.send_report(*peer, plan, now);
            }
        }
        self.plans = plans;
        self.probe_suspects(now);
    }

    /// Probes suspected daemons of the own failure domain with an empty report. Without a probe, a suspicion
    /// expires after 3 to 48 s, and until then two daemons may both lease the same slots although the fault
    /// between them has ended.
    fn probe_suspects(&mut self, now: TimeMs) {
        for suspect in self.membership.suspects_to_probe(self.own_domain, now) {
            let schedule = self.peers.entry(suspect).or_default();
            if !schedule.is_in_flight && now.since_ms(schedule.sent_at) >= PROBE_EVERY_MS {
                self.send_report(suspect, &ReportPlan::default(), now);
            }
        }
    }

    pub(super) fn replan(&mut self) {
        self.planned_at = None;
    }

    fn make_plans(&self, now: TimeMs) -> HashMap<NameHash, ReportPlan> {
        let mut plans: HashMap<NameHash, ReportPlan> = HashMap::new();
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
            plans.entry(allocator).or_default().services.push(service);
            if allocator != self.own_name {
                continue;
            }
            for domain in &other_domains {
                if let Some(peer) = self.allocator_of(service, *domain, now) {
                    plans
                        .entry(peer)
                        .or_default()
                        .domain_services
                        .push((service, *domain));
                }
            }
        }
        plans
    }

    fn is_due(&mut self, peer: NameHash, plan: &ReportPlan, now: TimeMs) -> bool {
        let schedule = self.peers.entry(peer).or_default();
        if schedule.is_in_flight {
            return false;
        }
        if schedule.next_report_at <= now {
            return true;
        }
        if now.since_ms(schedule.sent_at) < URGENT_SPACING_MS {
            return false;
        }
        let view = self.shared.view.load();
        let urgent = plan
            .services
            .iter()
            .filter_map(|service| view.service(*service))
            .any(|service| service.cell.lock().needs_urgent_report());
        urgent && self.pacer.may_send_urgent(now)
    }

    fn send_report(&mut self, peer: NameHash, plan: &ReportPlan, now: TimeMs) {
        let Some(address) = self.peer_address(peer) else {
            return;
        };
        let mut services = self.daemon_reports(peer, &plan.services, now);
        for (service, domain) in &plan.domain_services {
            if let Some(report) = self.domain_report(*service, *domain, peer, now) {
                services.push((*service, report));
            }
        }
        let report = self.make_report(services, now);
        let schedule = self.peers.entry(peer).or_default();
        schedule.is_in_flight = true;
        schedule.sent_at = now;
        self.exchanges += 1;
        let action = LinkAction::Exchange {
            peer: address,
            report: Box::new(report),
            sent_at: now,
        };
        // The task that receives actions lives as long as the actor.
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
            if self
                .assignments
                .get(service)
                .is_none_or(|assignment| assignment.peer != peer)
            {
                scheduler.begin_session(rand::random());
                self.assignments.insert(
                    *service,
                    Assignment {
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
            if self.is_stopping && !scheduler.is_active() {
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
        let assignment = self.domain_assignments.get(&(service, domain));
        if assignment.is_none_or(|assignment| assignment.peer != peer) {
            allocator.begin_domain_session(peer, rand::random());
            let assignment = Assignment {
                peer,
                incarnation: None,
            };
            self.domain_assignments.insert((service, domain), assignment);
        }
        Some(allocator.domain_report(peer, now))
    }

    fn make_report(&self, services: Vec<(ServiceKey, ServiceReport)>, now: TimeMs) -> Report {
        Report {
            sender: self.own_name,
            incarnation: self.shared.incarnation,
            clock: self.shared.events.clock(),
            bundle_version: self.shared.view.load().version,
            is_leaving: self.is_stopping,
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

    pub(super) fn peer_address(&self, peer: NameHash) -> Option<PeerAddress> {
        Some(PeerAddress {
            name: peer,
            instance: self.membership.name(peer)?.to_owned(),
            address: self.membership.address(peer)?.parse().ok()?,
        })
    }
}
