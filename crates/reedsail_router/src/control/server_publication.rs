//! Publishes the list of backend servers to the dispatcher and to the traffic thread, and logs changes.

use std::net::SocketAddrV4;
use std::sync::Arc;

use reedsail_core::NameHash;
use reedsail_core::ServerKey;
use reedsail_core::StorePosition;
use reedsail_core::TimeMs;
use reedsail_dispatch::ListDelta;
use reedsail_dispatch::ServerList;
use reedsail_dispatch::ServerRecord;
use reedsail_dispatch::ServerSetup;
use reedsail_dispatch::SoftwareVersion;
use reedsail_events::EventKind;

use super::messages::Origin;
use crate::RouterSettings;
use crate::server_views::ServerView;
use crate::shared::Shared;

/// The answer of the store, or the list or message of a peer, that changed the list.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ListSource {
    pub(crate) origin: Origin,
    /// The peer, if it is the origin.
    pub(crate) peer: Option<SocketAddrV4>,
    /// The position in the store's log of the answer or of the peer's list.
    pub(crate) position: StorePosition,
    /// The position of this instance's list when the answer arrived.
    pub(crate) list_before: StorePosition,
}

impl ListSource {
    /// Returns the source of a change that no answer caused.
    pub(crate) fn grace_over(list: &ServerList) -> Self {
        Self {
            origin: Origin::GraceOver,
            peer: None,
            position: list.revision(),
            list_before: list.revision(),
        }
    }
}

/// Logs a change of the list, and publishes it.
pub(crate) fn log_and_publish_delta<H>(
    shared: &Shared<H>,
    list: &mut ServerList,
    delta: &ListDelta,
    source: ListSource,
    now: TimeMs,
) {
    log_delta(shared, delta, source, list.age_ms(now));
    publish_servers(shared, list, now);
}

/// Passes changes of the list to the dispatcher and to the traffic thread.
fn publish_servers<H>(shared: &Shared<H>, list: &mut ServerList, now: TimeMs) {
    let changes = list.take_use_changes(now);
    if changes.is_empty() {
        return;
    }
    let used = changes.used.iter();
    let setups: Vec<ServerSetup> = used
        .map(|record| setup_of(record, &shared.settings, now))
        .collect();
    let mut dispatcher = shared.dispatcher();
    dispatcher.update_servers(&setups, &changes.gone);
    let key = |name: &NameHash| dispatcher.server_key(*name);
    let gone: Vec<ServerKey> = changes.gone.iter().filter_map(key).collect();
    let used = setups.iter().zip(&changes.used);
    let views = used.filter_map(|(setup, record)| Some((key(&setup.name)?, view_of(record))));
    let views: Vec<(ServerKey, ServerView)> = views.collect();
    drop(dispatcher);
    shared.servers.update(views, &gone);
}

fn view_of(record: &ServerRecord) -> ServerView {
    ServerView {
        id: Arc::from(record.id.as_str()),
        service: Arc::from(record.service.as_str()),
        address: record.address,
        born_ms: record.born_ms,
        software_version: Arc::from(record.software_version.as_deref().unwrap_or_default()),
    }
}

fn setup_of(record: &ServerRecord, settings: &RouterSettings, now: TimeMs) -> ServerSetup {
    ServerSetup {
        name: record.name(),
        service: NameHash::of(&record.service),
        failure_domain: NameHash::of(&record.failure_domain),
        region: settings.region_of(&record.failure_domain),
        version: record.software_version.as_deref().and_then(SoftwareVersion::of),
        slots: record.slots,
        is_draining: record.is_draining,
        cold_until: record.cold_until(now),
    }
}

fn log_delta<H>(shared: &Shared<H>, delta: &ListDelta, source: ListSource, age_ms: u64) {
    let changes = [
        (EventKind::ServerListed, &delta.listed),
        (EventKind::ServerRestarted, &delta.restarted),
        (EventKind::ServerCold, &delta.cold),
        (EventKind::ServerDraining, &delta.draining),
        (EventKind::ServerUnlisted, &delta.unlisted),
    ];
    for (kind, ids) in changes {
        for id in ids {
            let mut fields = source_fields(source);
            fields.push(("server", id.clone()));
            fields.push(("view_age_ms", age_ms.to_string()));
            if kind == EventKind::ServerListed {
                fields.extend(return_fields(delta, id));
            }
            shared.emit(kind, &fields);
        }
    }
    if delta.outdated > 0 {
        let mut fields = source_fields(source);
        fields.push(("records", delta.outdated.to_string()));
        shared.emit(EventKind::ServerRecordsOutdated, &fields);
    }
    for (id, fault) in &delta.unreadable {
        let fields = [("server", id.clone()), ("fault", fault.clone())];
        shared.emit(EventKind::ServerRecordInvalid, &fields);
    }
}

fn source_fields(source: ListSource) -> Vec<(&'static str, String)> {
    let mut fields = vec![
        ("origin", source.origin.name().to_owned()),
        ("answer", source.position.to_string()),
        ("list_before", source.list_before.to_string()),
    ];
    fields.extend(source.peer.map(|peer| ("peer", peer.to_string())));
    fields
}

/// Returns why a server is used again although its departure was known; nothing for another server.
fn return_fields(delta: &ListDelta, id: &str) -> Vec<(&'static str, String)> {
    let returned = delta.returned.iter().find(|server| server.id == id);
    returned.map_or_else(Vec::new, |server| {
        vec![
            ("departed_at", server.departed_at.to_string()),
            ("announced_at", server.announced_at.to_string()),
        ]
    })
}
