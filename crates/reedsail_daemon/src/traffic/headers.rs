//! Reads the headers that callers send, and selects those that are forwarded.

use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use reedsail_core::ErrorKind;
use reedsail_net::HOP_HEADERS;
use reedsail_scheduling::Class;
use reedsail_scheduling::Digest;
use sha2::Digest as _;
use sha2::Sha256;

/// The class of a request: `interactive` or `batch`.
const CLASS_HEADER: &str = "reedsail-class";
/// The deadline for the start of the answer, in milliseconds.
const DEADLINE_HEADER: &str = "reedsail-deadline-ms";
/// The idempotency key of a call. Calls with the same key run at most once.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// The request id, which backend servers return in their answer.
pub(crate) const REQUEST_ID_HEADER: &str = "x-request-id";

/// Headers besides [`HOP_HEADERS`] that are not forwarded: those between the caller and this daemon, and
/// those that the daemon sets itself. `reedsail-router`, in contrast, forwards `host` and the two proxy
/// headers, since its backend servers may read them.
const NOT_FORWARDED_HEADERS: &[&str] = &[
    "proxy-authenticate",
    "proxy-authorization",
    "host",
    "content-length",
    "expect",
    "authorization",
    "x-request-id",
    "x-workspace",
    "x-priority",
    "x-resume-from",
    "x-load",
    "x-prefix-dropped",
    CLASS_HEADER,
    DEADLINE_HEADER,
];

/// Returns the digest of the caller's bearer key (RFC 6750).
pub(crate) fn key_digest(headers: &HeaderMap) -> Option<Digest> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let key = value.strip_prefix("Bearer ")?;
    Some(Sha256::digest(key.as_bytes()).into())
}

/// Reads the requested class, or returns the default.
pub(crate) fn class(headers: &HeaderMap, default: Class) -> Result<Class, ErrorKind> {
    let Some(value) = headers.get(CLASS_HEADER) else {
        return Ok(default);
    };
    Class::ALL
        .into_iter()
        .find(|class| value.as_bytes() == class.name().as_bytes())
        .ok_or(ErrorKind::BadHeader)
}

/// Reads the deadline for the start of the answer, in milliseconds. It is limited to `max_ms`.
pub(crate) fn deadline_ms(headers: &HeaderMap, default_ms: u64, max_ms: u64) -> Result<u64, ErrorKind> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(default_ms);
    };
    let text = value.to_str().map_err(|_| ErrorKind::BadHeader)?;
    let requested_ms: u64 = text.parse().map_err(|_| ErrorKind::BadHeader)?;
    Ok(requested_ms.min(max_ms))
}

/// Returns the idempotency key as the caller sent it.
pub(crate) fn idempotency_key(headers: &HeaderMap) -> Option<&HeaderValue> {
    headers.get(IDEMPOTENCY_KEY_HEADER)
}

/// Copies the headers that are forwarded to backend servers.
pub(crate) fn forward_headers(from: &HeaderMap, to: &mut HeaderMap) {
    for (name, value) in from {
        if is_forwarded(name) {
            to.append(name.clone(), value.clone());
        }
    }
}

fn is_forwarded(name: &HeaderName) -> bool {
    !HOP_HEADERS.contains(&name.as_str()) && !NOT_FORWARDED_HEADERS.contains(&name.as_str())
}
