//! Requests whose prompts have a segment that ends each engine which begins to answer them.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use reedsail_net::ByteCounter;
use reedsail_net::HttpConnection;
use reedsail_platform_standin::CallerHead;
use tokio::time::timeout;

use crate::CallKind;
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

/// Sends a request with the segment to an instance, and reads what comes. No two of them are alike.
pub(crate) async fn send_poison_request(shared: Arc<CallerShared>, number: u64) {
    let instances = &shared.fleet.instances;
    let instance = number as usize % instances.len();
    let id = format!("{ID_PREFIX}{instance}-{number}");
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
