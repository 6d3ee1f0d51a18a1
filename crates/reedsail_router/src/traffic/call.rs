//! Reads and checks a request: route, workspace, service, body and deadline. The result is ready for placement.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Uri;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::header::EXPECT;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use rand::Rng;
use reedsail_core::ErrorKind;
use reedsail_core::Fingerprint;
use reedsail_core::NameHash;
use reedsail_core::ServerKey;
use reedsail_core::TimeMs;
use reedsail_dispatch::AllowedRegions;
use reedsail_dispatch::BodyKind;
use reedsail_dispatch::Demand;
use reedsail_dispatch::NoBodyRoom;
use reedsail_dispatch::Priority;
use reedsail_dispatch::Prompt;
use reedsail_dispatch::STREAM_LIFE_MAX_MS;
use reedsail_dispatch::StreamId;
use reedsail_dispatch::VersionDemand;
use reedsail_dispatch::time_left_ms;
use reedsail_net::DeadlineTimer;
use reedsail_net::FrameLimit;
use reedsail_net::FrameLimitedBody;
use reedsail_net::header_bytes;
use reedsail_net::remove_hop_headers;
use tokio::select;

use super::body_buffer::BodyBuffer;
use super::body_buffer::BodyError;
use super::fingerprint::fingerprint_of;
use crate::CallHead;
use crate::HeaderError;
use crate::HeaderProtocol;
use crate::ResumptionHead;
use crate::Route;
use crate::route_table::CallerIdentity;
use crate::route_table::RouteTable;
use crate::route_table::WorkspaceEntry;
use crate::shared::Shared;

/// Deadline of a request without a deadline header, in milliseconds after its arrival.
const DEADLINE_DEFAULT_MS: u64 = 60_000;

/// How much of a refused body is discarded before its connection closes, in bodies of the largest size.
const DISCARDED_BODIES: usize = 2;

/// A caller's request, ready for placement on a server.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) id: HeaderValue,
    pub(crate) route: Arc<Route>,
    pub(crate) service: NameHash,
    pub(crate) service_name: String,
    pub(crate) workspace: Option<Arc<WorkspaceEntry>>,
    /// The regions that the configuration allowed when the request was read.
    pub(crate) regions: AllowedRegions,
    pub(crate) configuration_version: u64,
    pub(crate) prompt: Option<Prompt>,
    /// The earlier stream that the request continues, on a route whose streams may be continued.
    pub(crate) resumption: Option<ResumptionHead>,
    /// The software versions that may serve the request.
    pub(crate) version: VersionDemand,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) arrived_at: TimeMs,
    /// The caller's deadline or the end of the route's timeout, whichever comes first.
    pub(crate) deadline: TimeMs,
    /// The stream that the request begins or continues, on a route whose streams may be continued; `None` if it
    /// continues one and its caller does not say which.
    pub(crate) stream: Option<StreamId>,
    /// Until when the caller may continue the stream.
    pub(crate) stream_until: TimeMs,
}

impl Call {
    /// Returns the regions where the request may run now: those that both the configuration at its arrival and the
    /// newest configuration allow. An attempt must not go to a region that operators have removed since.
    ///
    /// # Errors
    /// [`ErrorKind::NoAllowedRegion`] if no region is left.
    pub(crate) fn allowed_regions(&self, newest: &RouteTable) -> Result<AllowedRegions, ErrorKind> {
        let workspace = self.workspace.as_ref().map(|workspace| workspace.hash);
        let regions = self
            .regions
            .intersection(&newest.allowed_regions(&self.route, workspace));
        if regions.is_empty() {
            return Err(ErrorKind::NoAllowedRegion);
        }
        Ok(regions)
    }

    /// Returns the input of the placement, admission and retry decisions.
    pub(crate) fn demand<'a>(
        &'a self,
        tried: &'a [ServerKey],
        regions: &'a AllowedRegions,
        now: TimeMs,
    ) -> Demand<'a> {
        let demand = Demand {
            service: self.service,
            workspace: self.workspace_hash(),
            prompt: self.prompt.as_ref(),
            latency_target_ms: self.route.latency_target_ms,
            gap_target_ms: self.route.gap_target_ms,
            priority: self.priority(),
            waited_ms: now.since_ms(self.arrived_at),
            tried,
            regions,
            version: self.version,
            fingerprint: Some(self.fingerprint),
        };
        if self.version.is_continuation() {
            demand.resumed(self.deadline.since_ms(now))
        } else {
            demand
        }
    }

    /// Returns the workspace, or the default of a request without one.
    pub(crate) fn workspace_hash(&self) -> NameHash {
        let workspace = self.workspace.as_ref();
        workspace.map_or_else(NameHash::default, |workspace| workspace.hash)
    }

    /// Sends the request to a service of its route. Returns `None` if the route does not lead there.
    pub(crate) fn set_service(&mut self, service: NameHash) -> Option<()> {
        let mut targets = self.route.targets.iter();
        let target = targets.find(|target| NameHash::of(&target.service) == service)?;
        self.service = service;
        self.service_name.clone_from(&target.service);
        Some(())
    }

    /// Returns the priority of the workspace, or that of the route if the workspace has none.
    fn priority(&self) -> Priority {
        let workspace = self.workspace.as_ref();
        let own = workspace.and_then(|workspace| workspace.priority);
        own.unwrap_or(Priority(self.route.priority))
    }

    /// Returns the time left in milliseconds, or `None` if it is too short for an attempt.
    pub(crate) fn time_left_ms(&self, now: TimeMs) -> Option<u64> {
        time_left_ms(self.arrived_at, self.deadline, now)
    }
}

/// Why a request is refused before it is placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallError {
    pub(crate) kind: ErrorKind,
    /// The inputs of the decision, if there is no room for the body.
    pub(crate) no_room: Option<NoBodyRoom>,
}

impl From<ErrorKind> for CallError {
    fn from(kind: ErrorKind) -> Self {
        Self { kind, no_room: None }
    }
}

impl From<BodyError> for CallError {
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::TooLarge => ErrorKind::BodyTooLarge.into(),
            BodyError::Broken => ErrorKind::BodyIncomplete.into(),
            BodyError::NoRoom(no_room) => Self {
                kind: ErrorKind::NoBodyRoom,
                no_room: Some(no_room),
            },
        }
    }
}

/// Checks a request whose head was read, and reads its body.
///
/// The route is looked up after the body was read, so that the newest configuration applies.
pub(crate) async fn read_call<H: HeaderProtocol>(
    shared: &Shared<H>,
    request: Request<Incoming>,
    frames: FrameLimit,
    head: Result<CallHead, HeaderError>,
    arrived_at: TimeMs,
) -> Result<Call, CallError> {
    check_overload(shared)?;
    let limits = shared.routes.load().configuration.limits;
    let (parts, body) = request.into_parts();
    if header_bytes(&parts.headers) > limits.header_bytes_max {
        return Err(ErrorKind::HeaderTooLarge.into());
    }
    let head = head.map_err(|_error| ErrorKind::BadHeader)?;
    let body = FrameLimitedBody::new(body, frames);
    let deadline = arrived_at.plus_ms(head.deadline_ms.unwrap_or(DEADLINE_DEFAULT_MS));
    let body = read_body(shared, &parts, head.key.as_deref(), body, deadline).await?;
    let routes = shared.routes.load_full();
    let call = route_call(&routes, parts, head, body, arrived_at)?;
    if !shared.shutdown.takes_request(call.deadline, shared.clock.now()) {
        return Err(ErrorKind::Stopping.into());
    }
    Ok(call)
}

/// Reads the body of a request until its deadline. A body that is too long or has no room is refused at once, and the rest
/// of it is discarded as it arrives, so that its caller gets the answer before the connection closes.
async fn read_body<H>(
    shared: &Shared<H>,
    parts: &Parts,
    key: Option<&str>,
    mut body: FrameLimitedBody,
    deadline: TimeMs,
) -> Result<Bytes, CallError> {
    let routes = shared.routes.load();
    let workspace = key.and_then(|key| routes.workspace(key));
    let workspace = workspace.map_or_else(NameHash::default, |workspace| workspace.hash);
    let bytes_max = routes.configuration.limits.body_bytes_max;
    drop(routes);
    let mut buffer = BodyBuffer::new(&shared.body_memory, workspace, BodyKind::Request, bytes_max);
    let timer = shared.clock.timer(deadline);
    let read = select! {
        biased;
        read = buffer.read(&mut body) => read,
        () = timer => return Err(ErrorKind::BodyIncomplete.into()),
    };
    // A caller that waits for leave to send its body doesn't send it after a refusal.
    let is_refused = matches!(read, Err(BodyError::NoRoom(_) | BodyError::TooLarge));
    if is_refused && !parts.headers.contains_key(EXPECT) {
        let discarded_bytes_max = bytes_max.saturating_mul(DISCARDED_BODIES);
        tokio::spawn(discard_body(
            body,
            discarded_bytes_max,
            shared.clock.timer(deadline),
        ));
    }
    read?;
    Ok(buffer.into_bytes())
}

/// Reads at most `bytes_max` bytes of a body until a deadline, and drops them.
async fn discard_body(mut body: FrameLimitedBody, bytes_max: usize, deadline: DeadlineTimer) {
    let discarding = async {
        let mut read_bytes = 0;
        while let Some(Ok(frame)) = body.frame().await {
            read_bytes += frame.data_ref().map_or(0, Bytes::len);
            if read_bytes > bytes_max {
                return;
            }
        }
    };
    select! {
        () = discarding => {}
        () = deadline => {}
    }
}

/// Rejects the request if this instance is overloaded.
fn check_overload<H>(shared: &Shared<H>) -> Result<(), ErrorKind> {
    let open_requests = shared.metrics.open_requests.get() as u64;
    let open_requests_max = shared.settings.open_requests_max();
    if shared.overload.refuses_request(open_requests, open_requests_max) {
        return Err(ErrorKind::DaemonOverloaded);
    }
    Ok(())
}

/// Determines the route, the workspace and the service of a request.
fn route_call(
    routes: &RouteTable,
    mut parts: Parts,
    head: CallHead,
    body: Bytes,
    arrived_at: TimeMs,
) -> Result<Call, ErrorKind> {
    if routes.version() == 0 {
        return Err(ErrorKind::NotReady);
    }
    let route = find_route(routes, &parts)?;
    let workspace = match routes.identify(&route, head.key.as_deref()) {
        CallerIdentity::Workspace(workspace) => Some(workspace),
        CallerIdentity::Anonymous => None,
        CallerIdentity::Unknown => return Err(ErrorKind::UnknownKey),
    };
    let caller = workspace.as_ref().map(|workspace| workspace.hash);
    let fingerprint = fingerprint_of(caller, &parts, &body);
    let service_name = choose_service(&route).ok_or(ErrorKind::UnknownRoute)?;
    let regions = routes.allowed_regions(&route, caller);
    remove_hop_headers(&mut parts.headers);
    parts.headers.remove(CONTENT_LENGTH);
    parts.headers.remove(EXPECT);
    let deadline_ms = head.deadline_ms.unwrap_or(DEADLINE_DEFAULT_MS);
    let id = request_id(head.request_id);
    let resumption = head.resumption.filter(|_| route.has_resumable_streams());
    let stream_id = |id: &HeaderValue| StreamId::of(caller.unwrap_or_default(), id.as_bytes());
    let stream = match &resumption {
        Some(resumption) => resumption.first_attempt.as_ref().map(stream_id),
        None => route.has_resumable_streams().then(|| stream_id(&id)),
    };
    Ok(Call {
        id,
        service: NameHash::of(&service_name),
        service_name,
        workspace,
        regions,
        configuration_version: routes.version(),
        prompt: head.prompt,
        version: if route.has_resumable_streams() {
            VersionDemand::Resumable
        } else {
            VersionDemand::Any
        },
        resumption,
        uri: origin_form(&parts.uri),
        method: parts.method,
        headers: parts.headers,
        body,
        fingerprint,
        arrived_at,
        deadline: arrived_at.plus_ms(deadline_ms.min(route.timeout_ms)),
        stream,
        stream_until: arrived_at.plus_ms(deadline_ms.min(STREAM_LIFE_MAX_MS)),
        route,
    })
}

/// Returns the id that the caller sent, or a random one.
fn request_id(from_caller: Option<HeaderValue>) -> HeaderValue {
    from_caller.unwrap_or_else(|| {
        let number: u64 = rand::rng().random();
        HeaderValue::from_str(&format!("{number:016x}")).unwrap_or(HeaderValue::from_static("0"))
    })
}

fn find_route(routes: &RouteTable, parts: &Parts) -> Result<Arc<Route>, ErrorKind> {
    let host = parts
        .headers
        .get(HOST)
        .and_then(|host| host.to_str().ok())
        .or_else(|| parts.uri.host())
        .ok_or(ErrorKind::UnknownRoute)?;
    let route = routes.route(host, parts.uri.path());
    route.map(Arc::clone).ok_or(ErrorKind::UnknownRoute)
}

/// Returns a random service of the route, weighted by the targets' weights.
fn choose_service(route: &Route) -> Option<String> {
    if let [only] = route.targets.as_slice() {
        return Some(only.service.clone());
    }
    let total: u32 = route.targets.iter().map(|target| target.weight).sum();
    if total == 0 {
        return route.targets.first().map(|target| target.service.clone());
    }
    let mut drawn = rand::rng().random_range(0..total);
    for target in &route.targets {
        if drawn < target.weight {
            return Some(target.service.clone());
        }
        drawn -= target.weight;
    }
    None
}

/// Returns the path and query of a URI, the origin form of RFC 9112.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(Uri::default, Uri::from)
}
