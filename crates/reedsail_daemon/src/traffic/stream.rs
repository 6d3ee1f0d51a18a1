//! Relays a stream of events token by token, and resumes it on another server when it breaks.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Either;
use http_body_util::channel::Channel;
use http_body_util::channel::Sender;
use hyper::Response;
use reedsail_bundle::CostUnit;
use reedsail_core::ServerKey;
use reedsail_core::Unsent;
use reedsail_events::EventKind;
use reedsail_net::EventSplitter;
use reedsail_net::ReceivedBody;
use reedsail_scheduling::SharePolicy;
use tokio::time::timeout;

use super::Pool;
use super::answer::AnswerBody;
use super::answer::AnswerBroken;
use super::backend::SendState;
use super::backend::StartedAnswer;
use super::backend::send_call;
use super::call::Call;
use super::chat::StreamEvent;
use super::chat::read_event;
use super::queueing::wait_for_slot;
use super::relay::answer_from;
use super::relay::record_server_state;
use crate::service_cell::Slot;
use crate::shared::OpenRequest;
use crate::shared::Shared;

/// The maximum length of the queue between the backend server and the caller, in events.
const EVENTS_QUEUED_MAX: usize = 32;
/// The number of tokens between two charges while a stream runs.
const TOKENS_PER_CHARGE: u64 = 8;
/// The maximum number of times that a broken stream is resumed.
const RESUMES_MAX: usize = 3;
/// The maximum size of an event.
const EVENT_BYTES_MAX: usize = 1 << 20;

/// How the answer of one server ended.
enum StreamEnd {
    /// The stream is complete.
    Whole,
    /// The stream broke and may be resumed on another server.
    Broken,
    /// The scheduler preempted the stream. It is resumed once it gets a slot again.
    Preempted,
    /// The caller disconnected.
    CallerGone,
}

/// A stream that is being relayed.
struct StreamRelay<P: SharePolicy> {
    shared: Arc<Shared<P>>,
    pool: Arc<Pool>,
    call: Call<P>,
    /// `None` while the stream is queued again.
    slot: Option<Slot<P>>,
    sender: Sender<Bytes, AnswerBroken>,
    splitter: EventSplitter,
    tokens: u64,
    /// Tokens that were charged on earlier slots.
    tokens_before: u64,
    done: bool,
}

/// Starts relaying a stream, and returns the answer with the relayed body.
pub(crate) fn relay_stream<P: SharePolicy>(
    shared: Arc<Shared<P>>,
    pool: Arc<Pool>,
    call: Call<P>,
    slot: Slot<P>,
    started_answer: StartedAnswer,
    open: OpenRequest<P>,
) -> Response<AnswerBody> {
    let (sender, body) = Channel::new(EVENTS_QUEUED_MAX);
    let headers = started_answer.response.headers();
    let answer = answer_from(
        started_answer.response.status(),
        headers,
        &call.id,
        Either::Right(body),
    );
    record_server_state(&shared, &call, started_answer.server, headers);
    let relay = StreamRelay {
        shared,
        pool,
        call,
        slot: Some(slot),
        sender,
        splitter: EventSplitter::default(),
        tokens: 0,
        tokens_before: 0,
        done: false,
    };
    tokio::spawn(async move {
        relay.run(started_answer).await;
        drop(open);
    });
    answer
}

impl<P: SharePolicy> StreamRelay<P> {
    async fn run(mut self, first: StartedAnswer) {
        let mut started_answer = first;
        let mut break_count = 0;
        loop {
            let server = started_answer.server;
            let (parts, mut body) = started_answer.response.into_parts();
            let end = self.relay_events(&mut body).await;
            if matches!(end, StreamEnd::Whole) {
                let now = self.shared.clock.now();
                self.pool.give_back(
                    started_answer.address,
                    started_answer.connection,
                    &parts.headers,
                    now,
                );
                self.finish();
                return;
            }
            // Dropping the body and the connection cancels the stream on the server.
            drop(body);
            drop(started_answer.connection);
            let resumed = match end {
                StreamEnd::Whole => return,
                StreamEnd::CallerGone => {
                    self.emit(EventKind::CallerGone);
                    return;
                }
                StreamEnd::Preempted => self.requeue_preempted().await,
                StreamEnd::Broken if break_count < RESUMES_MAX => {
                    break_count += 1;
                    self.resume_on_another_server(server).await
                }
                StreamEnd::Broken => None,
            };
            let Some(resumed) = resumed else { break };
            started_answer = resumed;
        }
        self.emit(EventKind::RequestFailed);
        self.sender.abort(AnswerBroken);
    }

    /// Relays events until the stream ends, breaks, is preempted or the caller disconnects.
    async fn relay_events(&mut self, body: &mut ReceivedBody) -> StreamEnd {
        let stall = Duration::from_millis(self.shared.settings.limits.stall_max_ms);
        loop {
            let frame = match timeout(stall, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(None) if self.done => return StreamEnd::Whole,
                Ok(None | Some(Err(_))) | Err(_) => return StreamEnd::Broken,
            };
            let Ok(data) = frame.into_data() else { continue };
            for event in self.splitter.push(&data) {
                self.note_event(&event);
                if self.sender.send_data(Bytes::from(event)).await.is_err() {
                    return StreamEnd::CallerGone;
                }
            }
            if self.splitter.partial_bytes() > EVENT_BYTES_MAX {
                return StreamEnd::Broken;
            }
            if !self.done && self.slot.as_ref().is_some_and(Slot::is_preempted) {
                return StreamEnd::Preempted;
            }
        }
    }

    fn note_event(&mut self, event: &[u8]) {
        match read_event(event) {
            StreamEvent::Token => self.tokens += 1,
            StreamEvent::Usage(tokens) => self.tokens = self.tokens.max(tokens),
            StreamEvent::Done => self.done = true,
            StreamEvent::Other => return,
        }
        if self.call.service.service.cost_unit != CostUnit::Tokens {
            return;
        }
        let cost = (self.tokens - self.tokens_before) as f64;
        let Some(slot) = &mut self.slot else { return };
        if self.tokens.is_multiple_of(TOKENS_PER_CHARGE) {
            slot.progress(cost);
        } else {
            slot.note_cost(cost);
        }
    }

    /// Releases the slot of a preempted stream, queues it again, and resumes it after the last delivered
    /// token.
    async fn requeue_preempted(&mut self) -> Option<StartedAnswer> {
        self.emit(EventKind::StreamPreempted);
        self.shared
            .metrics
            .retries
            .with_label_values(&["preempted"])
            .inc();
        self.requeue().await?;
        self.resend(Vec::new()).await
    }

    /// Releases the slot and queues for another.
    async fn requeue(&mut self) -> Option<()> {
        self.slot = None;
        self.tokens_before = self.tokens;
        self.extend_deadline();
        let slot = wait_for_slot(&self.shared, &self.call, self.call.deadline).await;
        self.slot = Some(slot.ok()?);
        Some(())
    }

    /// Extends the deadline. The caller's deadline was for the first token, and a stream that has begun may
    /// be queued for longer.
    fn extend_deadline(&mut self) {
        let wait_max_ms = self.shared.settings.limits.deadline_max_ms;
        self.call.deadline = self.shared.clock.now().plus_ms(wait_max_ms);
    }

    /// Resumes the stream on another server after the last delivered token.
    async fn resume_on_another_server(&mut self, broken: ServerKey) -> Option<StartedAnswer> {
        let now = self.shared.clock.now();
        self.call.service.cell.lock().record_failure(broken, now);
        let tried = vec![broken];
        if !self.slot.as_mut()?.restart(&tried) {
            // No other server has a free slot, so queue for one. The caller already has the first part of the
            // stream and needs the rest, so resuming does not use the retry budget.
            self.requeue().await?;
        }
        self.extend_deadline();
        let resumed = self.resend(tried).await?;
        self.emit(EventKind::StreamResumed);
        Some(resumed)
    }

    /// Sends the call again, to resume after the last delivered token.
    async fn resend(&mut self, tried: Vec<ServerKey>) -> Option<StartedAnswer> {
        self.splitter.clear();
        let slot = self.slot.as_mut()?;
        let send_state = SendState::Unsent(Unsent::new());
        send_call(
            &self.shared,
            &self.pool,
            &self.call,
            slot,
            send_state,
            self.tokens,
            tried,
        )
        .await
        .ok()
    }

    fn finish(self) {
        let cost = match self.call.service.service.cost_unit {
            CostUnit::Tokens => (self.tokens - self.tokens_before) as f64,
            CostUnit::Requests => 1.0,
            CostUnit::Milliseconds => self.shared.clock.now().since_ms(self.call.admitted_at) as f64,
        };
        self.emit(EventKind::RequestAnswered);
        self.shared.metrics.answers.with_label_values(&["answered"]).inc();
        if let Some(slot) = self.slot {
            slot.close(cost);
        }
    }

    fn emit(&self, kind: EventKind) {
        if self.shared.settings.timeline.requests {
            let tokens = self.tokens.to_string();
            let fields = [("request", self.call.id.as_str()), ("tokens", &tokens)];
            self.shared.events.emit(kind, &fields);
        }
    }
}
