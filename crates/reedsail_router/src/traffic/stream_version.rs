//! Determines the software version at which a caller's stream continues, and binds streams to their versions.
//!
//! `reedsail_dispatch` has the rules (`stream_version_table`, `version_history`). Relies on `stream_exchange` for what
//! peers know.

use std::sync::Arc;

use reedsail_core::ErrorKind;
use reedsail_core::ServerKey;
use reedsail_dispatch::StreamId;
use reedsail_dispatch::StreamKnowledge;
use reedsail_dispatch::StreamRow;
use reedsail_dispatch::VersionDemand;

use super::call::Call;
use crate::HeaderProtocol;
use crate::shared::Shared;

/// How this instance learned which version began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum VersionSource {
    /// It served the stream itself.
    Own,
    /// A peer had announced it.
    Announced,
    /// It asked its peers.
    Asked,
    /// All streams of the service began at one version.
    OnlyVersion,
    /// It did not learn it.
    Unknown,
}

impl VersionSource {
    /// Returns the name in log lines and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Announced => "announced",
            Self::Asked => "asked",
            Self::OnlyVersion => "only_version",
            Self::Unknown => "unknown",
        }
    }
}

/// Restricts a request that continues a stream to the service and the version that began the stream. Other requests are
/// not changed.
///
/// # Errors
/// [`ErrorKind::StreamVersionUnknown`] if the version is not known, and [`ErrorKind::StreamVersionGone`] if the route no
/// longer leads to the stream's service.
pub(crate) async fn resolve_version<H: HeaderProtocol>(
    shared: &Arc<Shared<H>>,
    call: &mut Call,
) -> Result<Option<VersionSource>, ErrorKind> {
    if call.resumption.is_none() {
        return Ok(None);
    }
    let (source, knowledge) = find_version(shared, call).await;
    let resumptions = &shared.metrics.versions.resumptions;
    resumptions.with_label_values(&[source.name()]).inc();
    call.version = match knowledge {
        StreamKnowledge::Began {
            service,
            version: Some(version),
        } => {
            call.set_service(service).ok_or(ErrorKind::StreamVersionGone)?;
            VersionDemand::Only(version)
        }
        StreamKnowledge::OnlyVersion(version) => VersionDemand::OnlyUnverified(version),
        StreamKnowledge::Began { version: None, .. } | StreamKnowledge::Unknown => {
            return Err(ErrorKind::StreamVersionUnknown);
        }
    };
    Ok(Some(source))
}

async fn find_version<H: HeaderProtocol>(
    shared: &Arc<Shared<H>>,
    call: &Call,
) -> (VersionSource, StreamKnowledge) {
    let now = shared.clock.now();
    if let Some(known) = call.stream.and_then(|stream| find_in_table(shared, stream)) {
        return known;
    }
    if let Some(version) = shared.dispatcher().only_version(call.service, now) {
        return (VersionSource::OnlyVersion, StreamKnowledge::OnlyVersion(version));
    }
    let Some(stream) = call.stream else {
        return (VersionSource::Unknown, StreamKnowledge::Unknown);
    };
    let knowledge = shared.streams.ask(stream, call.service).await;
    match knowledge {
        StreamKnowledge::Unknown => (VersionSource::Unknown, knowledge),
        StreamKnowledge::Began { .. } => (VersionSource::Asked, knowledge),
        StreamKnowledge::OnlyVersion(version) => {
            // The peer vouches for the past. What this instance knows itself must not contradict it.
            let now = shared.clock.now();
            let mut dispatcher = shared.dispatcher();
            dispatcher.accept_only_version(call.service, version, now);
            match dispatcher.only_version(call.service, now) {
                Some(version) => (VersionSource::OnlyVersion, StreamKnowledge::OnlyVersion(version)),
                None => (VersionSource::Unknown, StreamKnowledge::Unknown),
            }
        }
    }
}

fn find_in_table<H>(shared: &Shared<H>, stream: StreamId) -> Option<(VersionSource, StreamKnowledge)> {
    let table = shared.streams.table();
    let row = table.get(stream, shared.clock.now())?;
    let source = if table.is_own(stream) {
        VersionSource::Own
    } else {
        VersionSource::Announced
    };
    let knowledge = StreamKnowledge::Began {
        service: row.service,
        version: row.version,
    };
    Some((source, knowledge))
}

/// Binds a stream to the version of the server that sends its first event, before the caller gets that event. Returns
/// the versions that may continue the stream.
pub(crate) fn bind_version<H: HeaderProtocol>(
    shared: &Shared<H>,
    call: &Call,
    server: ServerKey,
) -> VersionDemand {
    let now = shared.clock.now();
    let dispatcher = shared.dispatcher();
    let version = dispatcher.software_version(server);
    let has_only_version = dispatcher.only_version(call.service, now).is_some();
    drop(dispatcher);
    let left_ms = call.stream_until.since_ms(now);
    if let Some(stream) = call.stream.filter(|_| left_ms > 0) {
        let row = StreamRow {
            stream,
            service: call.service,
            workspace: call.workspace_hash(),
            version,
            left_ms: u32::try_from(left_ms).unwrap_or(u32::MAX),
        };
        shared.streams.bind(&row, !has_only_version, now);
    }
    version.map_or(VersionDemand::Unknown, VersionDemand::Only)
}
