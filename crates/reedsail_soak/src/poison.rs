//! Requests whose prompts have a segment that ends each engine which begins to answer them.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use reedsail_net::ByteCounter;
use reedsail_net::HttpConnection;
use reedsail_platform_standin::CallerHead;
use tokio::time::timeout;

use crate::CallKind;
use crate::EngineEnd;
use crate::caller::CONNECT_TIMEOUT_MS;
use crate::caller::CallerShared;
use crate::caller::PROMPT_COUNT;
use crate::caller::PROMPT_TOKENS;
use crate::caller::build_request;
use crate::layout;

/// The segment's id.
pub(crate) const POISON_SEGMENT: u64 = 0xdead;
/// What the ids of these requests begin with.
const ID_PREFIX: &str = "poison-";
/// What the id of a request ends with whose engine ends before the head.
const BEFORE_HEAD: &str = "head";
/// The workspace that sends them. Its other requests share their first segments.
pub(crate) const POISON_WORKSPACE: &str = "large";

/// Returns whether a request has the segment.
pub(crate) fn is_poison(request_id: &str) -> bool {
    request_id.starts_with(ID_PREFIX)
}

/// Returns the instance to which a request with the segment was sent.
pub(crate) fn instance_of(request_id: &str) -> Option<usize> {
    let rest = request_id.strip_prefix(ID_PREFIX)?;
    rest.split('-').next()?.parse().ok()
}

/// Returns when the engine ends that answers a request with the segment; `None` if its id does not say so.
pub(crate) fn engine_end_of(request_id: &str) -> Option<EngineEnd> {
    let text = request_id.strip_prefix(ID_PREFIX)?.split('-').nth(2)?;
    if text == BEFORE_HEAD {
        return Some(EngineEnd::BeforeHead);
    }
    let (events, interval_ms) = text.split_once('x')?;
    Some(EngineEnd::AfterEvents {
        events: events.parse().ok()?,
        interval_ms: interval_ms.parse().ok()?,
    })
}

/// Returns the end of a request's id, which tells the engine when to end.
fn id_suffix(engine_end: Option<EngineEnd>) -> String {
    match engine_end {
        None => String::new(),
        Some(EngineEnd::BeforeHead) => format!("-{BEFORE_HEAD}"),
        Some(EngineEnd::AfterEvents { events, interval_ms }) => format!("-{events}x{interval_ms}"),
    }
}

/// Sends a request with the segment to an instance, and reads what comes. No two of them are alike.
pub(crate) async fn send_poison_request(
    shared: Arc<CallerShared>,
    number: u64,
    engine_end: Option<EngineEnd>,
) {
    let instances = &shared.fleet.instances;
    let instance = number as usize % instances.len();
    let id = format!("{ID_PREFIX}{instance}-{number}{}", id_suffix(engine_end));
    let (shared_tokens, own_tokens) = PROMPT_TOKENS;
    let head = CallerHead {
        request_id: &id,
        deadline_ms: layout::TIMEOUT_MS,
        key: None,
        resumes: None,
        prompt: Some((number % PROMPT_COUNT + 1, shared_tokens, own_tokens)),
        second_part: Some(POISON_SEGMENT),
    };
    let key = layout::key(POISON_WORKSPACE, 0);
    let request = build_request(CallKind::Letter, head, &key);
    let address = instances[instance].callers.address;
    let exchange = async {
        let connecting = HttpConnection::open(address, CONNECT_TIMEOUT_MS, ByteCounter::default());
        let mut connection = connecting.await.ok()?;
        let response = connection.send(request).await.ok()?;
        response.into_body().collect().await.ok()
    };
    // Nobody misses these requests: what counts is which servers they reach.
    let _ = timeout(Duration::from_millis(layout::TIMEOUT_MS), exchange).await;
}
