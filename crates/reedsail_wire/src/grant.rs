//! Encodes and decodes grants.

use capnp::Error;
use reedsail_core::Directory;
use reedsail_core::NameHash;
use reedsail_scheduling::LeaseRow;
use reedsail_scheduling::ServiceGrant;
use reedsail_scheduling::VirtualTimeRow;

use crate::Grant;
use crate::message::ROWS_MAX;
use crate::message::SERVICES_MAX;
use crate::message::check_finite;
use crate::message::check_rows;
use crate::message::truncate_precision;
use crate::peer_capnp::grant;
use crate::peer_capnp::service_grant;

pub(crate) fn write_grant(grant: &Grant, directory: &Directory, mut builder: grant::Builder<'_>) {
    builder.set_incarnation(grant.incarnation);
    builder.set_clock(grant.clock);
    builder.set_next_report_ms(grant.next_report_ms);
    builder.set_lease_ms(grant.lease_ms);
    let mut services = builder.reborrow().init_services(grant.services.len() as u32);
    for (index, (service, row)) in grant.services.iter().enumerate() {
        let mut service_builder = services.reborrow().get(index as u32);
        service_builder.set_service(directory.services.hash(*service).0);
        write_service(row, directory, service_builder);
    }
    if !grant.servers_leaving.is_empty() {
        let mut servers = builder.init_leaving(grant.servers_leaving.len() as u32);
        for (index, server) in grant.servers_leaving.iter().enumerate() {
            servers.set(index as u32, server.0);
        }
    }
}

fn write_service(grant: &ServiceGrant, directory: &Directory, mut builder: service_grant::Builder<'_>) {
    builder.set_base(grant.base);
    let mut leases = builder.reborrow().init_leases(grant.leases.len() as u32);
    for (index, row) in grant.leases.iter().enumerate() {
        let mut lease = leases.reborrow().get(index as u32);
        lease.set_server(directory.servers.hash(row.server).0);
        lease.set_slots(row.slots);
    }
    let mut times = builder.init_virtual_times(grant.virtual_times.len() as u32);
    for (index, row) in grant.virtual_times.iter().enumerate() {
        let mut time = times.reborrow().get(index as u32);
        time.set_workspace(directory.workspaces.hash(row.workspace).0);
        time.set_lead(truncate_precision(row.lead));
        time.set_share(truncate_precision(row.share));
    }
}

pub(crate) fn read_grant(reader: grant::Reader<'_>, directory: &Directory) -> Result<Grant, Error> {
    let service_rows = reader.get_services()?;
    check_rows(service_rows.len(), SERVICES_MAX)?;
    let mut services = Vec::new();
    for row in service_rows {
        let grant = read_service(row, directory)?;
        if let Some(service) = directory.services.find(NameHash(row.get_service())) {
            services.push((service, grant));
        }
    }
    let servers_leaving = reader.get_leaving()?;
    check_rows(servers_leaving.len(), ROWS_MAX)?;
    Ok(Grant {
        incarnation: reader.get_incarnation(),
        clock: reader.get_clock(),
        next_report_ms: reader.get_next_report_ms(),
        lease_ms: reader.get_lease_ms(),
        services,
        servers_leaving: servers_leaving.iter().map(NameHash).collect(),
    })
}

fn read_service(reader: service_grant::Reader<'_>, directory: &Directory) -> Result<ServiceGrant, Error> {
    let lease_rows = reader.get_leases()?;
    let time_rows = reader.get_virtual_times()?;
    check_rows(lease_rows.len(), ROWS_MAX)?;
    check_rows(time_rows.len(), ROWS_MAX)?;
    let leases = lease_rows.iter().filter_map(|row| {
        Some(LeaseRow {
            server: directory.servers.find(NameHash(row.get_server()))?,
            slots: row.get_slots(),
        })
    });
    let mut virtual_times = Vec::new();
    for row in time_rows {
        let lead = check_finite(f64::from(row.get_lead()))?;
        let share = check_finite(f64::from(row.get_share()))?;
        if let Some(workspace) = directory.workspaces.find(NameHash(row.get_workspace())) {
            virtual_times.push(VirtualTimeRow {
                workspace,
                lead,
                share,
            });
        }
    }
    Ok(ServiceGrant {
        base: check_finite(reader.get_base())?,
        leases: leases.collect(),
        virtual_times,
    })
}
