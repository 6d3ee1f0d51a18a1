//! Encodes and decodes reports.

use capnp::Error;
use reedsail_core::Directory;
use reedsail_core::NameHash;
use reedsail_scheduling::DemandRow;
use reedsail_scheduling::MemberKind;
use reedsail_scheduling::ServiceReport;
use reedsail_scheduling::SlotRow;

use crate::Report;
use crate::message::ROWS_MAX;
use crate::message::SERVICES_MAX;
use crate::message::check_finite;
use crate::message::check_rows;
use crate::message::truncate_precision;
use crate::peer_capnp::report;
use crate::peer_capnp::service_report;

pub(crate) fn write_report(report: &Report, directory: &Directory, mut builder: report::Builder<'_>) {
    builder.set_sender(report.sender.0);
    builder.set_incarnation(report.incarnation);
    builder.set_clock(report.clock);
    builder.set_bundle_version(report.bundle_version);
    builder.set_leaving(report.is_leaving);
    let mut services = builder.reborrow().init_services(report.services.len() as u32);
    for (index, (service, row)) in report.services.iter().enumerate() {
        let mut service_builder = services.reborrow().get(index as u32);
        service_builder.set_service(directory.services.hash(*service).0);
        write_service(row, directory, service_builder);
    }
    if !report.suspects.is_empty() {
        let mut suspects = builder.reborrow().init_suspects(report.suspects.len() as u32);
        for (index, suspect) in report.suspects.iter().enumerate() {
            suspects.set(index as u32, suspect.0);
        }
    }
    if !report.servers_leaving.is_empty() {
        let mut servers = builder.init_servers_leaving(report.servers_leaving.len() as u32);
        for (index, server) in report.servers_leaving.iter().enumerate() {
            servers.set(index as u32, server.0);
        }
    }
}

fn write_service(report: &ServiceReport, directory: &Directory, mut builder: service_report::Builder<'_>) {
    builder.set_kind(match report.kind {
        MemberKind::Instance => 0,
        MemberKind::Domain => 1,
    });
    builder.set_session(report.session);
    builder.set_own_slots(report.own_slots);
    builder.set_base(report.base);
    let mut slots = builder.reborrow().init_slots(report.slots.len() as u32);
    for (index, row) in report.slots.iter().enumerate() {
        let mut slot = slots.reborrow().get(index as u32);
        slot.set_server(directory.servers.hash(row.server).0);
        slot.set_held(saturate(row.held));
        slot.set_in_use(saturate(row.in_use));
    }
    if !report.resting.is_empty() {
        let mut resting = builder.reborrow().init_resting(report.resting.len() as u32);
        for (index, server) in report.resting.iter().enumerate() {
            resting.set(index as u32, directory.servers.hash(*server).0);
        }
    }
    let mut demands = builder.init_demands(report.demands.len() as u32);
    for (index, row) in report.demands.iter().enumerate() {
        let mut demand = demands.reborrow().get(index as u32);
        demand.set_workspace(directory.workspaces.hash(row.workspace).0);
        demand.set_queued(saturate(row.queued));
        demand.set_running(saturate(row.running));
        demand.set_cost_total(row.cost_total);
        demand.set_lead(truncate_precision(row.lead));
    }
}

pub(crate) fn read_report(reader: report::Reader<'_>, directory: &Directory) -> Result<Report, Error> {
    let service_rows = reader.get_services()?;
    check_rows(service_rows.len(), SERVICES_MAX)?;
    let mut services = Vec::new();
    for row in service_rows {
        let report = read_service(row, directory)?;
        if let Some(service) = directory.services.find(NameHash(row.get_service())) {
            services.push((service, report));
        }
    }
    let suspects = reader.get_suspects()?;
    check_rows(suspects.len(), SERVICES_MAX)?;
    let servers_leaving = reader.get_servers_leaving()?;
    check_rows(servers_leaving.len(), ROWS_MAX)?;
    Ok(Report {
        sender: NameHash(reader.get_sender()),
        incarnation: reader.get_incarnation(),
        clock: reader.get_clock(),
        bundle_version: reader.get_bundle_version(),
        is_leaving: reader.get_leaving(),
        services,
        suspects: suspects.iter().map(NameHash).collect(),
        servers_leaving: servers_leaving.iter().map(NameHash).collect(),
    })
}

fn read_service(reader: service_report::Reader<'_>, directory: &Directory) -> Result<ServiceReport, Error> {
    let kind = match reader.get_kind() {
        0 => MemberKind::Instance,
        1 => MemberKind::Domain,
        other => return Err(Error::failed(format!("unknown member kind {other}; known: 0, 1"))),
    };
    let slot_rows = reader.get_slots()?;
    let resting_rows = reader.get_resting()?;
    let demand_rows = reader.get_demands()?;
    check_rows(slot_rows.len(), ROWS_MAX)?;
    check_rows(resting_rows.len(), ROWS_MAX)?;
    check_rows(demand_rows.len(), ROWS_MAX)?;
    let slots = slot_rows.iter().filter_map(|row| {
        Some(SlotRow {
            server: directory.servers.find(NameHash(row.get_server()))?,
            held: u32::from(row.get_held()),
            in_use: u32::from(row.get_in_use()),
        })
    });
    let resting = resting_rows
        .iter()
        .filter_map(|hash| directory.servers.find(NameHash(hash)));
    let mut demands = Vec::new();
    for row in demand_rows {
        let lead = check_finite(f64::from(row.get_lead()))?;
        if let Some(workspace) = directory.workspaces.find(NameHash(row.get_workspace())) {
            demands.push(DemandRow {
                workspace,
                queued: u32::from(row.get_queued()),
                running: u32::from(row.get_running()),
                cost_total: row.get_cost_total(),
                lead,
            });
        }
    }
    Ok(ServiceReport {
        kind,
        session: reader.get_session(),
        own_slots: reader.get_own_slots(),
        base: check_finite(reader.get_base())?,
        slots: slots.collect(),
        resting: resting.collect(),
        demands,
    })
}

fn saturate(count: u32) -> u16 {
    u16::try_from(count).unwrap_or(u16::MAX)
}
