//! Reads and validates a request before it is queued.

use std::sync::Arc;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use reedsail_bundle::KeyRule;
use reedsail_bundle::Repeat;
use reedsail_core::ErrorKind;
use reedsail_core::TimeMs;
use reedsail_core::WorkspaceKey;
use reedsail_net::Clock;
use reedsail_net::header_bytes;
use reedsail_net::read_body;
use reedsail_scheduling::ClaimKey;
use reedsail_scheduling::Class;
use reedsail_scheduling::SharePolicy;
use uuid::Uuid;

use super::chat::ChatHead;
use super::headers;
use crate::shared::Shared;
use crate::stage::Stage;
use crate::view::ServiceView;
use crate::view::View;

/// The path of chat requests. The model in the body determines the service.
const CHAT_PATH: &str = "/v1/chat/completions";
/// How far the timestamp of an idempotency key may be ahead of this daemon's clock.
const KEY_CLOCK_SKEW_MAX_MS: u64 = 60_000;

/// The reason why a request is refused before it is queued, and the delay until a retry in
/// milliseconds, if known.
pub(crate) type Refusal = (ErrorKind, Option<u64>);

/// A validated request, ready to be queued.
#[derive(Debug)]
pub(crate) struct Call<P: SharePolicy> {
    pub(crate) id: String,
    pub(crate) workspace: WorkspaceKey,
    pub(crate) workspace_name: String,
    pub(crate) service: Arc<ServiceView<P>>,
    pub(crate) class: Class,
    pub(crate) admitted_at: TimeMs,
    pub(crate) deadline: TimeMs,
    pub(crate) repeat: Repeat,
    /// The idempotency key. Only a call that must not be repeated has one.
    pub(crate) key: Option<ClaimKey>,
    pub(crate) method: Method,
    pub(crate) path_and_query: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The hash of the prompt's first bytes, by which servers with a matching prefix cache are found.
    pub(crate) prefix: Option<u64>,
    /// Whether the call is a chat whose caller requested the answer as a stream of events.
    pub(crate) wants_stream: bool,
}

/// Reads and validates a request.
pub(crate) async fn read_call<P: SharePolicy>(
    shared: &Shared<P>,
    request: Request<Incoming>,
    id: String,
) -> Result<Call<P>, Refusal> {
    let view = shared.view.load_full();
    check_stage(shared, &view)?;
    let (parts, body) = request.into_parts();
    check_header_size(&parts.headers, shared.settings.limits.header_bytes_max)?;
    let digest = headers::key_digest(&parts.headers).ok_or((ErrorKind::UnknownKey, None))?;
    let (workspace, workspace_view) = view.identify(&digest).ok_or((ErrorKind::UnknownKey, None))?;
    let target = find_target(&view, &parts)?;
    let (class, deadline_ms) =
        read_class_and_deadline(shared, &parts.headers, workspace_view.workspace.default_class)?;
    if let Some(per_s) = workspace_view.workspace.limits.requests_per_s {
        shared
            .take_rate_token(workspace, per_s)
            .map_err(|after_ms| (ErrorKind::RateLimited, Some(after_ms)))?;
    }
    let body = read_body(body, shared.settings.limits.body_bytes_max)
        .await
        .map_err(|kind| (kind, None))?;
    let selected = select_service(&view, target, &body)?;
    let path = parts.uri.path();
    let (repeat, key_rule) = selected.service.service.rule_for(parts.method.as_str(), path);
    let key = match repeat {
        Repeat::Never => read_key(&parts.headers, key_rule, shared.settings.claims.retention_ms)?,
        Repeat::Allowed => None,
    };
    let now = shared.clock.now();
    let mut forwarded = HeaderMap::new();
    headers::forward_headers(&parts.headers, &mut forwarded);
    Ok(Call {
        id,
        workspace,
        workspace_name: workspace_view.name.clone(),
        class,
        admitted_at: now,
        deadline: now.plus_ms(deadline_ms),
        repeat,
        key,
        path_and_query: parts
            .uri
            .path_and_query()
            .map_or_else(|| path.to_owned(), ToString::to_string),
        method: parts.method,
        headers: forwarded,
        body,
        prefix: selected.prefix,
        wants_stream: selected.wants_stream,
        service: selected.service,
    })
}

/// Reads the requested class and the requested deadline in milliseconds.
fn read_class_and_deadline<P: SharePolicy>(
    shared: &Shared<P>,
    headers: &HeaderMap,
    default_class: Class,
) -> Result<(Class, u64), Refusal> {
    let limits = &shared.settings.limits;
    let class = headers::class(headers, default_class).map_err(|kind| (kind, None))?;
    let deadline_ms = headers::deadline_ms(headers, limits.deadline_default_ms, limits.deadline_max_ms)
        .map_err(|kind| (kind, None))?;
    Ok((class, deadline_ms))
}

/// How the service of a request is determined.
enum Target<P: SharePolicy> {
    /// By the path: this service.
    Plain(Arc<ServiceView<P>>),
    /// By the model that the body names.
    Chat,
}

/// The service of a call, with the properties read from its body.
struct SelectedService<P: SharePolicy> {
    service: Arc<ServiceView<P>>,
    /// See [`Call::prefix`].
    prefix: Option<u64>,
    wants_stream: bool,
}

fn find_target<P: SharePolicy>(view: &View<P>, parts: &Parts) -> Result<Target<P>, Refusal> {
    let path = parts.uri.path();
    if path == CHAT_PATH {
        if parts.method != Method::POST {
            return Err((ErrorKind::MethodNotAllowed, None));
        }
        return Ok(Target::Chat);
    }
    let service = view.service_of_path(path).cloned();
    service.map(Target::Plain).ok_or((ErrorKind::UnknownRoute, None))
}

fn select_service<P: SharePolicy>(
    view: &View<P>,
    target: Target<P>,
    body: &[u8],
) -> Result<SelectedService<P>, Refusal> {
    match target {
        Target::Plain(service) => Ok(SelectedService {
            service,
            prefix: None,
            wants_stream: false,
        }),
        Target::Chat => {
            let head: ChatHead<'_> =
                serde_json::from_slice(body).map_err(|_invalid| (ErrorKind::BadJson, None))?;
            let found = view.service_of_model(&head.model);
            Ok(SelectedService {
                service: Arc::clone(found.ok_or((ErrorKind::UnknownModel, None))?),
                prefix: head.prefix(),
                wants_stream: head.stream,
            })
        }
    }
}

fn check_stage<P: SharePolicy>(shared: &Shared<P>, view: &View<P>) -> Result<(), Refusal> {
    match shared.stage.get() {
        Stage::Starting => Err((ErrorKind::NotReady, None)),
        Stage::Closing => Err((ErrorKind::Stopping, None)),
        // Version 0: no bundle is in force yet.
        Stage::Ready | Stage::Draining if view.version == 0 => Err((ErrorKind::NotReady, None)),
        Stage::Ready | Stage::Draining => Ok(()),
    }
}

fn check_header_size(headers: &HeaderMap, bytes_max: usize) -> Result<(), Refusal> {
    if header_bytes(headers) > bytes_max {
        return Err((ErrorKind::HeaderTooLarge, None));
    }
    Ok(())
}

/// Reads the idempotency key of a call that must not be repeated. The key is a `UUIDv7` (RFC 9562) and so
/// includes its creation time, by which keys older than the retention of the log are rejected.
fn read_key(headers: &HeaderMap, rule: KeyRule, retention_ms: u64) -> Result<Option<ClaimKey>, Refusal> {
    let Some(value) = headers::idempotency_key(headers) else {
        return match rule {
            KeyRule::Required => Err((ErrorKind::KeyRequired, None)),
            KeyRule::Optional => Ok(None),
        };
    };
    let parsed = value.to_str().ok().and_then(|text| Uuid::parse_str(text).ok());
    let Some(uuid) = parsed.filter(|uuid| uuid.get_version_num() == 7) else {
        return Err((ErrorKind::KeyMalformed, None));
    };
    let key = ClaimKey(uuid.as_u128());
    let now_ms = Clock::unix_ms();
    if key.created_at_unix_ms() > now_ms + KEY_CLOCK_SKEW_MAX_MS {
        return Err((ErrorKind::KeyFromFuture, None));
    }
    if key.created_at_unix_ms() + retention_ms < now_ms {
        return Err((ErrorKind::KeyExpired, None));
    }
    Ok(Some(key))
}
