//! Passes a stream on event by event, and goes on with it elsewhere when its server breaks off.
//!
//! The retry rule and the budget are those of `reedsail_dispatch`. The stream runs in a task of its own,
//! which ends with the caller's body.

use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Frame;
use hyper::body::Incoming;
use reedsail_core::ServerKey;
use reedsail_dispatch::AttemptFailure;
use reedsail_dispatch::AttemptOutcome;
use reedsail_dispatch::BreakCause;
use reedsail_dispatch::Decision;
use reedsail_dispatch::Placement;
use reedsail_dispatch::RESUMES_MAX;
use reedsail_dispatch::RetryVerdict;
use reedsail_dispatch::SlowReaderWatch;
use reedsail_net::EventSplitter;
use tokio::select;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use super::Pool;
use super::attempt_guard::AttemptGuard;
use super::call::Call;
use super::exchange::AttemptResult;
use super::exchange::ResponseStart;
use super::exchange::attempt_once;
use super::request_log::RequestLog;
use super::request_log::RequestOutcome;
use super::response_aborted::ResponseAborted;
use crate::HeaderProtocol;
use crate::shared::Shared;

/// Pieces that wait for the caller at most; then the server's stream is read no further.
const CHUNKS_MAX: usize = 32;
/// Size of an event at most, in bytes.
const EVENT_BYTES_MAX: usize = 1 << 20;

/// The caller's end of a stream; dropping it cancels the attempt.
#[derive(Debug)]
pub(crate) struct ResumableBody {
    chunks: mpsc::Receiver<Result<Bytes, ResponseAborted>>,
    relay: AbortHandle,
}

impl ResumableBody {
    /// Begins to pass a stream on; `tried` are the servers that the request was sent to so far.
    pub(crate) fn start<H: HeaderProtocol>(
        shared: &Arc<Shared<H>>,
        pool: &Arc<Pool>,
        call: Call,
        response_start: ResponseStart<H>,
        tried: Vec<ServerKey>,
        log: RequestLog<H>,
    ) -> Self {
        let (sender, chunks) = mpsc::channel(CHUNKS_MAX);
        let relay = ResumableRelay {
            shared: Arc::clone(shared),
            pool: Arc::clone(pool),
            call,
            tried,
            sender,
            splitter: EventSplitter::default(),
            last_event: None,
            log,
        };
        let task = tokio::spawn(relay.run(response_start));
        Self {
            chunks,
            relay: task.abort_handle(),
        }
    }

    /// Passes the next piece on.
    pub(crate) fn poll_chunk(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        self.chunks
            .poll_recv(context)
            .map(|piece| piece.map(|piece| piece.map(Frame::data)))
    }
}

impl Drop for ResumableBody {
    fn drop(&mut self) {
        self.relay.abort();
    }
}

/// How one server's answer to a stream ended.
enum StreamEnd {
    /// The stream is whole.
    Complete,
    /// It broke off.
    Broken,
    /// It broke off since the caller had stopped reading.
    CallerStalled,
    /// The caller's time is over.
    Deadline,
    /// The caller went away.
    CallerGone,
}

/// A stream under way.
struct ResumableRelay<H> {
    shared: Arc<Shared<H>>,
    pool: Arc<Pool>,
    call: Call,
    tried: Vec<ServerKey>,
    sender: mpsc::Sender<Result<Bytes, ResponseAborted>>,
    splitter: EventSplitter,
    last_event: Option<String>,
    log: RequestLog<H>,
}

impl<H: HeaderProtocol> ResumableRelay<H> {
    async fn run(mut self, mut response_start: ResponseStart<H>) {
        for _ in 0..=RESUMES_MAX {
            let ResponseStart {
                head,
                mut body,
                mut attempt,
                ..
            } = response_start;
            match self.relay_events(&mut body, &mut attempt.guard).await {
                StreamEnd::Complete => {
                    attempt.complete(&self.pool, &head.headers, AttemptOutcome::Answered);
                    self.log.end(RequestOutcome::Answered);
                    return;
                }
                StreamEnd::CallerGone => return,
                StreamEnd::Deadline => {
                    self.log.end(RequestOutcome::Deadline);
                    break;
                }
                StreamEnd::CallerStalled => {
                    attempt.abort(AttemptOutcome::Abandoned);
                    self.log.end(RequestOutcome::CallerStalled);
                    break;
                }
                StreamEnd::Broken => attempt.abort(AttemptOutcome::Broken),
            }
            drop(body);
            let Some(next) = self.resume_on_another_server().await else {
                self.log.end(RequestOutcome::BackendBrokeOff);
                break;
            };
            response_start = next;
        }
        // A caller that has gone has no use for the error.
        let _ = self.sender.send(Err(ResponseAborted)).await;
    }

    /// Passes whole events on until the server's answer ends.
    async fn relay_events(&mut self, body: &mut Incoming, guard: &mut AttemptGuard<H>) -> StreamEnd {
        self.splitter.clear();
        let mut deadline = self.shared.clock.timer(self.call.deadline);
        let mut reader = SlowReaderWatch::default();
        loop {
            let frame = select! {
                biased;
                frame = body.frame() => frame,
                () = &mut deadline => return StreamEnd::Deadline,
            };
            let frame = match frame {
                Some(Ok(frame)) => frame,
                None if self.splitter.partial_bytes() == 0 => return StreamEnd::Complete,
                None | Some(Err(_)) => {
                    return match reader.break_cause(self.shared.clock.now()) {
                        BreakCause::Server => StreamEnd::Broken,
                        BreakCause::CallerStalled => StreamEnd::CallerStalled,
                    };
                }
            };
            let Ok(data) = frame.into_data() else { continue };
            guard.record_first_event();
            let events = self.split_events(&data);
            if self.splitter.partial_bytes() > EVENT_BYTES_MAX {
                return StreamEnd::Broken;
            }
            if events.is_empty() {
                continue;
            }
            self.log.record_first_event();
            reader.record_written(self.shared.clock.now());
            let sent = select! {
                biased;
                sent = self.sender.send(Ok(Bytes::from(events))) => sent,
                () = &mut deadline => return StreamEnd::Deadline,
            };
            if sent.is_err() {
                return StreamEnd::CallerGone;
            }
            reader.record_writable(self.shared.clock.now());
        }
    }

    /// Returns the events that are whole by now, and remembers the id of the last one.
    fn split_events(&mut self, data: &[u8]) -> Vec<u8> {
        let mut events = Vec::new();
        for event in self.splitter.push(data) {
            if let Some(id) = event_id(&event) {
                self.last_event = Some(id);
            }
            events.extend_from_slice(&event);
        }
        events
    }

    /// Asks another server to go on after the last event that was passed on.
    async fn resume_on_another_server(&mut self) -> Option<ResponseStart<H>> {
        let failure = AttemptFailure::StreamBroken {
            servers_tried: self.tried.len(),
        };
        if self.call.route.retry_policy().after(failure) == RetryVerdict::Never {
            return None;
        }
        loop {
            let (placement, guard) = self.place()?;
            self.log.record_resume(&placement, self.last_event.as_deref());
            self.tried.push(placement.server);
            let last_event = self.last_event.as_deref();
            let attempt = attempt_once(
                &self.shared,
                &self.pool,
                &self.call,
                &placement,
                last_event,
                guard,
            );
            match attempt.await {
                AttemptResult::ResponseStarted(response_start) if response_start.head.status.is_success() => {
                    return Some(*response_start);
                }
                AttemptResult::ResponseStarted(_) | AttemptResult::Failed(..) => return None,
                AttemptResult::NotSent(_) | AttemptResult::Rejected(_) => {}
            }
        }
    }

    /// Chooses another server, if there is time, budget and one that takes the stream.
    fn place(&self) -> Option<(Placement, AttemptGuard<H>)> {
        let now = self.shared.clock.now();
        self.call.time_left_ms(now)?;
        if !self.shared.dispatcher().take_retry(self.call.service, now) {
            return None;
        }
        let newest = self.shared.routes.load();
        // Without a region where it may run, the stream ends as one that no server can go on with.
        let regions = self.call.allowed_regions(&newest).ok()?;
        let demand = self.call.demand(&self.tried, &regions, now);
        let demand = demand.resumed(self.call.route.timeout_ms);
        let decision = self.shared.dispatcher().decide(&demand, now);
        match decision {
            Decision::Send(placement) => {
                let guard = AttemptGuard::begin(&self.shared, &demand, &placement);
                Some((placement, guard))
            }
            Decision::Quarantined | Decision::Refuse { .. } => None,
        }
    }
}

/// Returns the id of an event (HTML Living Standard, 9.2).
fn event_id(event: &[u8]) -> Option<String> {
    // An event that is not UTF-8 has no id that a server could be asked to go on after.
    let text = std::str::from_utf8(event).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    Some(line.trim().to_owned())
}
