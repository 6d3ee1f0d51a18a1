//! Parses and formats header values for every header protocol.

use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use reedsail_dispatch::Prompt;
use reedsail_dispatch::PromptSegment;

use crate::HeaderError;
use crate::ResumptionHead;

/// Reads a non-negative integer, or `None` if the header is absent.
///
/// # Errors
/// The header is not a non-negative integer.
pub fn read_number(headers: &HeaderMap, name: &'static str) -> Result<Option<u64>, HeaderError> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let number = value.to_str().ok().and_then(|text| text.trim().parse().ok());
    number.map(Some).ok_or(HeaderError {
        name,
        expected: "a non-negative integer",
    })
}

/// Reads a bearer token (RFC 6750).
pub fn read_bearer(headers: &HeaderMap) -> Option<String> {
    // A value that is not ASCII is not a valid token.
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ").map(str::to_owned)
}

/// Reads the segments of a prompt, or `None` if the header is absent. A value that is not ASCII has no segments.
///
/// # Errors
/// A segment is not `ID:TOKENS`.
pub fn read_prompt(
    headers: &HeaderMap,
    name: &'static str,
    output_tokens: u32,
) -> Result<Option<Prompt>, HeaderError> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    // A value that is not ASCII counts as empty.
    let text = value.to_str().unwrap_or_default();
    let segments: Option<Vec<PromptSegment>> = text
        .split(',')
        .filter(|segment| !segment.is_empty())
        .map(read_segment)
        .collect();
    segments
        .map(|segments| {
            Some(Prompt {
                segments,
                output_tokens,
            })
        })
        .ok_or(HeaderError {
            name,
            expected: "segments of the form ID:TOKENS, the ID in hexadecimal, separated by commas",
        })
}

fn read_segment(text: &str) -> Option<PromptSegment> {
    let (id, tokens) = text.trim().split_once(':')?;
    Some(PromptSegment {
        // An invalid number makes the whole header invalid, and the caller receives an error.
        id: u64::from_str_radix(id, 16).ok()?,
        tokens: tokens.parse().ok()?, // as above
    })
}

/// Reads the maximum number of tokens of the response, the second of two numbers separated by a comma; zero if the
/// header is absent.
///
/// # Errors
/// The header has no valid second number.
pub fn read_output_tokens(headers: &HeaderMap, name: &'static str) -> Result<u32, HeaderError> {
    let Some(value) = headers.get(name) else {
        return Ok(0);
    };
    // A value that is not ASCII doesn't hold two numbers, so the caller receives an error.
    let second = value.to_str().ok().and_then(|text| text.split_once(','));
    second
        .and_then(|(_, output_max)| output_max.trim().parse().ok())
        .ok_or(HeaderError {
            name,
            expected: "the tokens of the prompt and the maximum tokens of the response, separated by a comma",
        })
}

/// Reads the headers with which a caller continues a stream. Either of them marks the request as a continuation.
pub fn read_resumption(
    headers: &HeaderMap,
    first_attempt: &str,
    last_event_id: &str,
) -> Option<ResumptionHead> {
    let only = |name: &str| {
        let mut values = headers.get_all(name).iter().filter(|value| !value.is_empty());
        values.next().filter(|_| values.next().is_none()).cloned()
    };
    let is_present = |name: &str| headers.get_all(name).iter().any(|value| !value.is_empty());
    (is_present(first_attempt) || is_present(last_event_id)).then(|| ResumptionHead {
        first_attempt: only(first_attempt),
        last_event_id: only(last_event_id),
    })
}

/// Reads the `retry-after` header in milliseconds. It must be a number of seconds, with an optional fraction. The dates
/// that RFC 9110 also allows are ignored.
pub fn read_retry_after_ms(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(RETRY_AFTER)?;
    let seconds = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse::<f64>().ok());
    let Some(seconds) = seconds.filter(|seconds| seconds.is_finite() && *seconds >= 0.0) else {
        log::debug!("ignoring retry-after {value:?} of a backend server: expected a number of seconds");
        return None;
    };
    Some((seconds * 1_000.0).ceil() as u64)
}

/// Formats a `retry-after` value as seconds with a fraction.
pub fn format_retry_after(after_ms: u64) -> HeaderValue {
    let text = format!("{}.{:03}", after_ms / 1_000, after_ms % 1_000);
    HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static("1"))
}

/// Inserts a text value, and skips a value that is not a valid header value. Skipping is safe: names from the store are
/// ASCII, and a server that doesn't find its own id in the request refuses it.
pub fn insert_text(headers: &mut HeaderMap, name: &'static str, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}
