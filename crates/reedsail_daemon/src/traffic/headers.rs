//! The headers that callers send to the daemon, and those that it passes on.

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
/// How many milliseconds the answer may take to begin.
const DEADLINE_HEADER: &str = "reedsail-deadline-ms";
/// The key under which a call runs at most once.
const KEY_HEADER: &str = "idempotency-key";
/// The id that backend servers echo.
pub(crate) const REQUEST_ID_HEADER: &str = "x-request-id";

/// Headers that are not passed on besides [`HOP_HEADERS`]: those between the caller and this daemon, and
/// those that the daemon sets itself. The router passes `host` and the proxy's two on: its routes have
/// backend servers that may look at them.
const OWN_HEADERS: &[&str] = &[
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

/// Reads the class that the caller wants.
pub(crate) fn class(headers: &HeaderMap, default: Class) -> Result<Class, ErrorKind> {
    let Some(value) = headers.get(CLASS_HEADER) else {
        return Ok(default);
    };
    Class::ALL
        .into_iter()
        .find(|class| value.as_bytes() == class.name().as_bytes())
        .ok_or(ErrorKind::BadHeader)
}

/// Reads how long the answer may take to begin, in milliseconds.
pub(crate) fn deadline_ms(headers: &HeaderMap, default_ms: u64, max_ms: u64) -> Result<u64, ErrorKind> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(default_ms);
    };
    let text = value.to_str().map_err(|_| ErrorKind::BadHeader)?;
    let asked_ms: u64 = text.parse().map_err(|_| ErrorKind::BadHeader)?;
    Ok(asked_ms.min(max_ms))
}

/// Returns the idempotency key as the caller wrote it.
pub(crate) fn idempotency_key(headers: &HeaderMap) -> Option<&HeaderValue> {
    headers.get(KEY_HEADER)
}

/// Copies the headers that pass from one side to the other.
pub(crate) fn pass_on(from: &HeaderMap, to: &mut HeaderMap) {
    for (name, value) in from {
        if is_passed_on(name) {
            to.append(name.clone(), value.clone());
        }
    }
}

fn is_passed_on(name: &HeaderName) -> bool {
    !HOP_HEADERS.contains(&name.as_str()) && !OWN_HEADERS.contains(&name.as_str())
}
