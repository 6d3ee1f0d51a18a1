//! Publishes the list of backend servers to the dispatcher and to the traffic thread, and logs changes.

use std::sync::Arc;

use reedsail_core::NameHash;
use reedsail_core::ServerKey;
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

/// Logs a change of the list, and publishes it.
pub(crate) fn log_and_publish_delta<H>(
    shared: &Shared<H>,
    list: &mut ServerList,
    delta: &ListDelta,
    origin: Origin,
    now: TimeMs,
) {
    log_delta(shared, delta, origin, list.age_ms(now));
    publish_servers(shared, list, now);
}

/// Passes changes of the list to the dispatcher and to the traffic thread.
pub(crate) fn publish_servers<H>(shared: &Shared<H>, list: &mut ServerList, now: TimeMs) {
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

fn log_delta<H>(shared: &Shared<H>, delta: &ListDelta, origin: Origin, age_ms: u64) {
    let changes = [
        (EventKind::ServerListed, &delta.listed),
        (EventKind::ServerRestarted, &delta.restarted),
        (EventKind::ServerCold, &delta.cold),
        (EventKind::ServerDraining, &delta.draining),
        (EventKind::ServerUnlisted, &delta.unlisted),
    ];
    for (kind, ids) in changes {
        for id in ids {
            let fields = [
                ("server", id.clone()),
                ("origin", origin.name().to_owned()),
                ("view_age_ms", age_ms.to_string()),
            ];
            shared.emit(kind, &fields);
        }
    }
    for (id, fault) in &delta.unreadable {
        let fields = [("server", id.clone()), ("fault", fault.clone())];
        shared.emit(EventKind::ServerRecordInvalid, &fields);
    }
}
