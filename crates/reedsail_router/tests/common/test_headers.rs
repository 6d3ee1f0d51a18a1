//! The header protocol that callers and stand-in servers use in the router's tests.

use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::AUTHORIZATION;
use hyper::header::HeaderValue;
use reedsail_dispatch::ServerNotice;
use reedsail_router::CallHead;
use reedsail_router::ForwardHead;
use reedsail_router::HeaderError;
use reedsail_router::HeaderProtocol;
use reedsail_router::ResponseKind;
use reedsail_router::insert_text;
use reedsail_router::read_bearer;
use reedsail_router::read_number;
use reedsail_router::read_prompt;
use reedsail_router::read_resumption;
use reedsail_router::read_retry_after_ms;

/// The id of a request, echoed by the server.
const REQUEST_ID: &str = "reedsail-request-id";
/// The caller's deadline, in milliseconds.
const DEADLINE: &str = "reedsail-deadline-ms";
/// The segments of a prompt, as `ID:TOKENS` in hexadecimal and decimal, separated by commas.
const PROMPT: &str = "reedsail-prompt";
/// The maximum number of tokens of the answer.
const OUTPUT_TOKENS: &str = "reedsail-output-tokens";
/// The id of the server that the request is sent to.
const SERVER: &str = "reedsail-server";
/// The workspace that the request counts against.
const WORKSPACE: &str = "reedsail-workspace";
/// The server to copy the prompt cache from.
const COPY_FROM: &str = "reedsail-copy-from";
/// The caller's attempt that brought the first event of the stream that a request continues.
const RESUMES: &str = "reedsail-resumes";
/// The id of the last event that the caller received.
const RESUME_AFTER: &str = "last-event-id";
/// Makes the router panic while it writes the forwarded request.
const PANIC: &str = "x-panic";
/// Set by a draining server.
const DRAINING: &str = "reedsail-draining";
/// Set by a server that did not run the request.
const RAN: &str = "reedsail-ran";

/// A protocol whose headers begin with `reedsail-`, except `last-event-id` and `x-panic`.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TestHeaders;

impl HeaderProtocol for TestHeaders {
    const START_PATH: &'static str = "/start";

    fn read_call(&self, headers: &HeaderMap) -> Result<CallHead, HeaderError> {
        Ok(CallHead {
            request_id: headers.get(REQUEST_ID).cloned(),
            deadline_ms: read_number(headers, DEADLINE)?,
            key: read_bearer(headers),
            prompt: read_prompt(
                headers,
                PROMPT,
                read_number(headers, OUTPUT_TOKENS)?.unwrap_or(0) as u32,
            )?,
            resumption: read_resumption(headers, RESUMES, RESUME_AFTER),
        })
    }

    fn write_forward(&self, headers: &mut HeaderMap, forward: &ForwardHead<'_>) {
        assert!(!headers.contains_key(PANIC), "a caller asked for a panic");
        headers.remove(AUTHORIZATION);
        headers.remove(WORKSPACE);
        headers.remove(COPY_FROM);
        headers.insert(REQUEST_ID, forward.request_id.clone());
        headers.insert(DEADLINE, HeaderValue::from(forward.deadline_ms));
        insert_text(headers, SERVER, forward.server_id);
        if let Some(workspace) = forward.workspace {
            insert_text(headers, WORKSPACE, workspace);
        }
        if let Some(address) = forward.cache_source {
            insert_text(headers, COPY_FROM, &address.to_string());
        }
        if let Some(event) = forward.resume_after {
            insert_text(headers, RESUME_AFTER, event);
        }
    }

    fn classify(&self, status: StatusCode, headers: &HeaderMap, request_id: &HeaderValue) -> ResponseKind {
        let echoed = headers.get(REQUEST_ID);
        if echoed.is_some_and(|echoed| echoed != request_id) {
            ResponseKind::Mismatched
        } else if headers.get(RAN).is_some_and(|ran| ran == "not_run")
            || status == StatusCode::MISDIRECTED_REQUEST
        {
            ResponseKind::NotRun
        } else {
            ResponseKind::Ran
        }
    }

    fn read_notice(&self, status: StatusCode, headers: &HeaderMap) -> ServerNotice {
        if status == StatusCode::MISDIRECTED_REQUEST {
            return ServerNotice::default();
        }
        let is_rejection = status == StatusCode::SERVICE_UNAVAILABLE;
        ServerNotice {
            is_draining: headers.contains_key(DRAINING),
            backoff_ms: is_rejection.then(|| read_retry_after_ms(headers)).flatten(),
        }
    }

    fn read_start_ms(&self, body: &[u8]) -> Option<u64> {
        std::str::from_utf8(body).ok()?.parse().ok()
    }

    fn write_router_response(&self, headers: &mut HeaderMap, request_id: Option<&HeaderValue>) {
        if let Some(id) = request_id {
            headers.insert(REQUEST_ID, id.clone());
        }
    }

    fn retry_after(&self, after_ms: u64) -> HeaderValue {
        HeaderValue::from(after_ms.div_ceil(1_000))
    }
}
