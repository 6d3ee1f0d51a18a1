//! Relays a backend server's answer to the caller.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Either;
use http_body_util::Full;
use http_body_util::channel::Channel;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use reedsail_bundle::CostUnit;
use reedsail_core::ErrorKind;
use reedsail_core::Sent;
use reedsail_core::ServerKey;
use reedsail_net::BodyFraming;
use reedsail_net::ReceivedBody;
use reedsail_net::remove_frame;
use reedsail_scheduling::SharePolicy;
use tokio::time::timeout;

use super::Pool;
use super::answer::AnswerBody;
use super::answer::RAN_HEADER;
use super::backend::StartedAnswer;
use super::call::Call;
use super::chat::reported_tokens;
use super::headers;
use crate::shared::Shared;

/// Returns whether the answer is a stream of events, which is relayed token by token.
pub(crate) fn is_stream<P: SharePolicy>(call: &Call<P>, started_answer: &StartedAnswer) -> bool {
    let content_type = started_answer.response.headers().get(CONTENT_TYPE);
    let is_events = content_type.is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"));
    call.wants_stream && is_events && started_answer.response.status() == StatusCode::OK
}

/// A complete answer and its cost.
pub(crate) struct BufferedAnswer {
    pub(crate) answer: Response<AnswerBody>,
    pub(crate) cost: f64,
}

/// An incomplete answer. No part of it has reached the caller.
pub(crate) struct IncompleteAnswer {
    pub(crate) sent: Sent,
    pub(crate) kind: ErrorKind,
    pub(crate) server: ServerKey,
}

/// Reads the complete answer first, so that the caller gets either all of it or an error.
pub(crate) async fn relay_buffered<P: SharePolicy>(
    shared: &Shared<P>,
    pool: &Pool,
    call: &Call<P>,
    started_answer: StartedAnswer,
) -> Result<BufferedAnswer, IncompleteAnswer> {
    let (parts, body) = started_answer.response.into_parts();
    record_server_state(shared, call, started_answer.server, &parts.headers);
    let framing = BodyFraming::of(&parts.headers, &body);
    let limits = &shared.settings.limits;
    let body = match read_answer(body, limits.answer_bytes_max, limits.stall_max_ms).await {
        Ok(body) => body,
        Err(kind) => {
            call.service
                .cell
                .lock()
                .record_failure(started_answer.server, shared.clock.now());
            return Err(IncompleteAnswer {
                sent: started_answer.sent,
                kind,
                server: started_answer.server,
            });
        }
    };
    if framing == BodyFraming::Framed {
        pool.give_back(
            started_answer.address,
            started_answer.connection,
            &parts.headers,
            shared.clock.now(),
        );
    }
    let cost = buffered_answer_cost(shared, call, &body);
    let body = match framing {
        BodyFraming::Framed => Either::Left(Full::new(body)),
        BodyFraming::ConnectionEnd => body_without_length(body).await,
    };
    let mut answer = answer_from(parts.status, &parts.headers, &call.id, body);
    if framing == BodyFraming::ConnectionEnd {
        remove_frame(&mut answer);
    }
    Ok(BufferedAnswer { answer, cost })
}

/// Returns a body whose length is not told: nothing proves that it is whole.
async fn body_without_length(body: Bytes) -> AnswerBody {
    let (mut sender, channel) = Channel::new(1);
    // The receiver is alive, and the channel has room for one frame.
    let _ = sender.send_data(body).await;
    Either::Right(channel)
}

/// Reads a body to its end. The total time is not limited, but a pause longer than `stall_ms` is an error.
async fn read_answer(mut body: ReceivedBody, bytes_max: usize, stall_ms: u64) -> Result<Bytes, ErrorKind> {
    let stall = Duration::from_millis(stall_ms);
    let mut whole = BytesMut::new();
    loop {
        let frame = match timeout(stall, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => return Ok(whole.freeze()),
            Ok(Some(Err(_))) => return Err(ErrorKind::AnswerIncomplete),
            Err(_) => return Err(ErrorKind::DeadlineAfterSend),
        };
        if let Some(data) = frame.data_ref() {
            if whole.len() + data.len() > bytes_max {
                return Err(ErrorKind::AnswerTooLarge);
            }
            whole.extend_from_slice(data);
        }
    }
}

/// Builds an answer with the backend server's status and headers.
pub(crate) fn answer_from(
    status: StatusCode,
    from: &HeaderMap,
    id: &str,
    body: AnswerBody,
) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    headers::forward_headers(from, response.headers_mut());
    response
        .headers_mut()
        .insert(RAN_HEADER, HeaderValue::from_static("ran"));
    if let Ok(id) = HeaderValue::from_str(id) {
        response.headers_mut().insert(headers::REQUEST_ID_HEADER, id);
    }
    response
}

fn buffered_answer_cost<P: SharePolicy>(shared: &Shared<P>, call: &Call<P>, body: &Bytes) -> f64 {
    match call.service.service.cost_unit {
        CostUnit::Tokens => reported_tokens(body).unwrap_or(0) as f64,
        CostUnit::Requests => 1.0,
        CostUnit::Milliseconds => shared.clock.now().since_ms(call.admitted_at).max(1) as f64,
    }
}

/// Records the load and cache state that a server's answer reports. It describes a past state of the server.
pub(crate) fn record_server_state<P: SharePolicy>(
    shared: &Shared<P>,
    call: &Call<P>,
    server: ServerKey,
    headers: &HeaderMap,
) {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let mut scheduler = None;
    if let Some((running, waiting, slots)) = text("x-load").and_then(parse_load) {
        let busy_ratio = (running + waiting) / slots.max(1.0);
        scheduler
            .get_or_insert_with(|| call.service.cell.lock())
            .record_load(server, busy_ratio);
    }
    if let Some(prefix) = text("x-prefix-dropped").and_then(|text| u64::from_str_radix(text, 16).ok()) {
        scheduler
            .get_or_insert_with(|| call.service.cell.lock())
            .record_cache_event(server, prefix, false, shared.clock.now());
    }
}

fn parse_load(text: &str) -> Option<(f64, f64, f64)> {
    let mut numbers = text.split('/').map(|part| part.parse::<u32>().ok());
    let running = numbers.next()??;
    let waiting = numbers.next()??;
    let slots = numbers.next()??;
    Some((f64::from(running), f64::from(waiting), f64::from(slots)))
}
