//! Reads and writes of header values that every header protocol needs.

use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use reedsail_dispatch::Prompt;
use reedsail_dispatch::PromptSegment;

use crate::HeaderError;

/// Reads a whole number, where the header is there.
///
/// # Errors
/// The header holds something else.
pub fn read_number(headers: &HeaderMap, name: &'static str) -> Result<Option<u64>, HeaderError> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let number = value.to_str().ok().and_then(|text| text.trim().parse().ok());
    number.map(Some).ok_or(HeaderError {
        name,
        expected: "it holds a whole number",
    })
}

/// Reads a bearer key (RFC 6750).
pub fn read_bearer(headers: &HeaderMap) -> Option<String> {
    // A value that is not ASCII is no key.
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ").map(str::to_owned)
}

/// Reads the segments of a prompt, where the header is there. A value that is not ASCII counts as none.
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
    // A value that is not ASCII has no segments that could be read.
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
            expected: "it holds parts as ID:TOKENS, the ID in hexadecimal, split by commas",
        })
}

fn read_segment(text: &str) -> Option<PromptSegment> {
    let (id, tokens) = text.trim().split_once(':')?;
    Some(PromptSegment {
        // A part that is no number makes the whole header unreadable, which the caller is told.
        id: u64::from_str_radix(id, 16).ok()?,
        tokens: tokens.parse().ok()?, // as above
    })
}

/// Reads after how many milliseconds a server wants to be asked again: a number of seconds, fractions allowed. The
/// dates that RFC 9110 allows as well count as none.
pub fn read_retry_after_ms(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(RETRY_AFTER)?;
    let seconds = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse::<f64>().ok());
    let Some(seconds) = seconds.filter(|seconds| seconds.is_finite() && *seconds >= 0.0) else {
        log::debug!("a server's retry-after {value:?} is no number of seconds, and counts as none");
        return None;
    };
    Some((seconds * 1_000.0).ceil() as u64)
}

/// Formats a retry-after of some milliseconds as seconds with fractions.
pub fn format_retry_after(after_ms: u64) -> HeaderValue {
    let text = format!("{}.{:03}", after_ms / 1_000, after_ms % 1_000);
    HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static("1"))
}

/// Inserts a text. One that no header may hold is left out: names that the store gives are ASCII, and a
/// server that misses its own id refuses the request.
pub fn insert_text(headers: &mut HeaderMap, name: &'static str, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}
