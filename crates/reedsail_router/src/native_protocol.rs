//! The product's own headers.

use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::AUTHORIZATION;
use hyper::header::HeaderValue;
use reedsail_dispatch::Prompt;
use reedsail_dispatch::PromptPart;

use crate::AnswerHead;
use crate::CallHead;
use crate::ForwardHead;
use crate::HeaderFault;
use crate::HeaderProtocol;

/// The id of a request, echoed by the server.
const REQUEST_ID: &str = "reedsail-request-id";
/// How many milliseconds the caller waits.
const DEADLINE: &str = "reedsail-deadline-ms";
/// The parts of a prompt, as `ID:TOKENS` in hexadecimal and decimal, split by commas.
const PROMPT: &str = "reedsail-prompt";
/// The most tokens of the answer.
const OUTPUT_TOKENS: &str = "reedsail-output-tokens";
/// The server that is meant.
const SERVER: &str = "reedsail-server";
/// The workspace that the request counts against.
const WORKSPACE: &str = "reedsail-workspace";
/// A server to copy from.
const COPY_FROM: &str = "reedsail-copy-from";
/// The last event that the caller has.
const RESUME_AFTER: &str = "last-event-id";
/// Set by a server that did not run the request.
const RAN: &str = "reedsail-ran";

/// The product's own headers, all of which begin with `reedsail-`.
#[derive(Clone, Copy, Debug, Default)]
pub struct NativeProtocol;

impl HeaderProtocol for NativeProtocol {
    fn read_call(&self, headers: &HeaderMap) -> Result<CallHead, HeaderFault> {
        Ok(CallHead {
            request_id: headers.get(REQUEST_ID).cloned(),
            deadline_ms: read_number(headers, DEADLINE)?,
            key: read_bearer(headers),
            prompt: read_prompt(
                headers,
                PROMPT,
                read_number(headers, OUTPUT_TOKENS)?.unwrap_or(0) as u32,
            )?,
        })
    }

    fn write_forward(&self, headers: &mut HeaderMap, forward: &ForwardHead<'_>) {
        headers.remove(AUTHORIZATION);
        headers.remove(WORKSPACE);
        headers.remove(COPY_FROM);
        headers.insert(REQUEST_ID, forward.request_id.clone());
        headers.insert(DEADLINE, HeaderValue::from(forward.deadline_ms));
        insert_text(headers, SERVER, forward.server_id);
        if let Some(workspace) = forward.workspace {
            insert_text(headers, WORKSPACE, workspace);
        }
        if let Some(address) = forward.copy_from {
            insert_text(headers, COPY_FROM, &address.to_string());
        }
        if let Some(event) = forward.resume_after {
            insert_text(headers, RESUME_AFTER, event);
        }
    }

    fn read_answer(&self, status: StatusCode, headers: &HeaderMap, request_id: &HeaderValue) -> AnswerHead {
        let echoed = headers.get(REQUEST_ID);
        if echoed.is_some_and(|echoed| echoed != request_id) {
            AnswerHead::Mismatched
        } else if headers.get(RAN).is_some_and(|ran| ran == "not_run")
            || status == StatusCode::MISDIRECTED_REQUEST
        {
            AnswerHead::NotRun
        } else {
            AnswerHead::Ran
        }
    }

    fn write_own_answer(&self, headers: &mut HeaderMap, request_id: Option<&HeaderValue>) {
        if let Some(id) = request_id {
            headers.insert(REQUEST_ID, id.clone());
        }
    }

    fn retry_after(&self, after_ms: u64) -> HeaderValue {
        HeaderValue::from(after_ms.div_ceil(1_000))
    }
}

/// Reads a whole number, where the header is there.
///
/// # Errors
/// The header holds something else.
pub fn read_number(headers: &HeaderMap, name: &'static str) -> Result<Option<u64>, HeaderFault> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let number = value.to_str().ok().and_then(|text| text.trim().parse().ok());
    number.map(Some).ok_or(HeaderFault {
        name,
        allowed: "it holds a whole number",
    })
}

/// Reads a bearer key (RFC 6750).
pub fn read_bearer(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ").map(str::to_owned)
}

/// Reads the parts of a prompt, where the header is there.
///
/// # Errors
/// A part is not `ID:TOKENS`.
pub fn read_prompt(
    headers: &HeaderMap,
    name: &'static str,
    output_tokens: u32,
) -> Result<Option<Prompt>, HeaderFault> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    let parts: Option<Vec<PromptPart>> = text
        .split(',')
        .filter(|part| !part.is_empty())
        .map(read_part)
        .collect();
    parts
        .map(|parts| Some(Prompt { parts, output_tokens }))
        .ok_or(HeaderFault {
            name,
            allowed: "it holds parts as ID:TOKENS, the ID in hexadecimal, split by commas",
        })
}

fn read_part(text: &str) -> Option<PromptPart> {
    let (id, tokens) = text.trim().split_once(':')?;
    Some(PromptPart {
        id: u64::from_str_radix(id, 16).ok()?,
        tokens: tokens.parse().ok()?,
    })
}

/// Inserts a text; one that no header may hold is left out.
pub fn insert_text(headers: &mut HeaderMap, name: &'static str, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}
