//! Relays a stream event by event, and resumes it on another server if the stream breaks.
//!
//! `reedsail_dispatch` provides the retry rule and the retry budget. Each stream has its own task, which ends when
//! the caller's response body is dropped.

use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Frame;
use reedsail_core::ServerKey;
use reedsail_dispatch::AttemptFailure;
use reedsail_dispatch::AttemptOutcome;
use reedsail_dispatch::BreakCause;
use reedsail_dispatch::Decision;
use reedsail_dispatch::Placement;
use reedsail_dispatch::RESUMES_MAX;
use reedsail_dispatch::RetryPermit;
use reedsail_dispatch::RetryPurpose;
use reedsail_dispatch::RetryVerdict;
use reedsail_dispatch::SlowReaderWatch;
use reedsail_dispatch::VersionDemand;
use reedsail_net::BodyFraming;
use reedsail_net::EventSplitter;
use reedsail_net::ReceivedBody;
use tokio::select;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
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
use super::request_log::RetryCause;
use super::response_aborted::ResponseAborted;
use super::response_end::EndVerdict;
use super::response_end::ResponseEnd;
use super::response_end::settle_unproven;
use super::stream_version::bind_version;
use crate::HeaderProtocol;
use crate::shared::Shared;

/// Maximum number of chunks that wait for the caller. While it is reached, the server's stream is not read.
const CHUNKS_MAX: usize = 32;
/// Maximum number of bytes that wait for the caller, except that one larger chunk may. While it is reached, the server's
/// stream is not read.
const QUEUED_BYTES_MAX: u32 = 64 << 10;
/// Maximum size of an event, in bytes.
const EVENT_BYTES_MAX: usize = 1 << 20;

/// A part of a stream that waits for the caller.
#[derive(Debug)]
struct QueuedChunk {
    data: Bytes,
    /// Its part of [`QUEUED_BYTES_MAX`].
    _room: OwnedSemaphorePermit,
}

/// The response body of a resumable stream. Dropping it cancels the attempt.
#[derive(Debug)]
pub(crate) struct ResumableBody {
    chunks: mpsc::Receiver<Result<QueuedChunk, ResponseAborted>>,
    relay: AbortHandle,
}

impl ResumableBody {
    /// Starts to relay a stream. `tried` lists the servers that the request was sent to so far.
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
            queue_room: Arc::new(Semaphore::new(QUEUED_BYTES_MAX as usize)),
            splitter: EventSplitter::default(),
            last_event_id: None,
            has_version: false,
            framing: response_start.framing,
            log,
        };
        let task = tokio::spawn(relay.run(response_start));
        Self {
            chunks,
            relay: task.abort_handle(),
        }
    }

    /// Relays the next chunk.
    pub(crate) fn poll_chunk(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        self.chunks
            .poll_recv(context)
            .map(|chunk| chunk.map(|chunk| chunk.map(|chunk| Frame::data(chunk.data))))
    }
}

impl Drop for ResumableBody {
    fn drop(&mut self) {
        self.relay.abort();
    }
}

/// How one server's part of a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamEnd {
    /// The stream is complete.
    Complete,
    /// The server's response broke or ended early.
    Broken,
    /// The server's response ended with its connection, between two events.
    Unproven,
    /// It broke because the caller had stopped reading.
    CallerStalled,
    /// The request's deadline expired.
    Deadline,
    /// The caller disconnected.
    CallerGone,
}

/// The task state of a stream.
struct ResumableRelay<H> {
    shared: Arc<Shared<H>>,
    pool: Arc<Pool>,
    call: Call,
    tried: Vec<ServerKey>,
    sender: mpsc::Sender<Result<QueuedChunk, ResponseAborted>>,
    /// Room for the bytes that wait for the caller.
    queue_room: Arc<Semaphore>,
    splitter: EventSplitter,
    last_event_id: Option<String>,
    /// Whether an event was relayed, after which only servers of one software version may continue.
    has_version: bool,
    /// How the first server's response delimits its body, and so the response to the caller.
    framing: BodyFraming,
    log: RequestLog<H>,
}

impl<H: HeaderProtocol> ResumableRelay<H> {
    async fn run(mut self, mut response_start: ResponseStart<H>) {
        for _ in 0..=RESUMES_MAX {
            let ResponseStart {
                head,
                mut body,
                framing,
                mut attempt,
                ..
            } = response_start;
            let mut end = self.relay_events(&mut body, framing, &mut attempt.guard).await;
            let mut outcome = AttemptOutcome::Answered;
            if let (StreamEnd::Unproven, Some(server)) = (end, attempt.guard.server()) {
                (end, outcome) = self.settle(server).await;
            }
            match end {
                StreamEnd::Complete => {
                    attempt.complete(&self.pool, framing, &head.headers, outcome);
                    self.log.end(RequestOutcome::Answered);
                    return;
                }
                StreamEnd::Unproven => attempt.abort(outcome),
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
            match self.resume_on_another_server().await {
                Ok(next) => response_start = next,
                Err(outcome) => {
                    self.log.end(outcome);
                    break;
                }
            }
        }
        // If the caller has disconnected, nobody receives the error.
        let _ = self.sender.send(Err(ResponseAborted)).await;
    }

    /// Relays complete events until the server's response ends.
    async fn relay_events(
        &mut self,
        body: &mut ReceivedBody,
        framing: BodyFraming,
        guard: &mut AttemptGuard<H>,
    ) -> StreamEnd {
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
                None => match self.end_body(framing) {
                    EndVerdict::Whole => return self.relay_rest().await,
                    EndVerdict::Unproven => return StreamEnd::Unproven,
                    EndVerdict::BrokenOff => return self.broken_end(reader),
                },
                Some(Err(_)) => return self.broken_end(reader),
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
            self.bind_version(guard);
            let now = self.shared.clock.now();
            guard.record_event();
            self.log.record_event(now);
            reader.record_written(now);
            let sent = select! {
                biased;
                sent = self.queue(events) => sent,
                () = &mut deadline => return StreamEnd::Deadline,
            };
            if let Err(gone) = sent {
                return gone;
            }
            let now = self.shared.clock.now();
            reader.record_writable(now);
            guard.record_writable(now);
            self.log.record_writable(now);
        }
    }

    /// Records that a server's response was read without an error, and returns what its end proves.
    fn end_body(&mut self, framing: BodyFraming) -> EndVerdict {
        let end = ResponseEnd {
            framing,
            is_inside_event: self.splitter.is_inside_event(),
        };
        self.log.record_response_end(end);
        end.verdict()
    }

    fn broken_end(&self, reader: SlowReaderWatch) -> StreamEnd {
        match reader.break_cause(self.shared.clock.now()) {
            BreakCause::Server => StreamEnd::Broken,
            BreakCause::CallerStalled => StreamEnd::CallerStalled,
        }
    }

    /// Relays what follows the last event, such as a comment.
    async fn relay_rest(&mut self) -> StreamEnd {
        let rest = self.splitter.take_rest();
        if rest.is_empty() {
            return StreamEnd::Complete;
        }
        match self.queue(rest).await {
            Ok(()) => StreamEnd::Complete,
            Err(gone) => gone,
        }
    }

    /// Hands a chunk to the caller's connection, once there is room for it.
    ///
    /// # Errors
    /// Returns `CallerGone` if the caller has disconnected.
    async fn queue(&self, data: Vec<u8>) -> Result<(), StreamEnd> {
        let bytes = u32::try_from(data.len()).unwrap_or(QUEUED_BYTES_MAX);
        let room = Arc::clone(&self.queue_room)
            .acquire_many_owned(bytes.min(QUEUED_BYTES_MAX))
            .await
            .map_err(|_closed| StreamEnd::CallerGone)?;
        let chunk = QueuedChunk {
            data: Bytes::from(data),
            _room: room,
        };
        let sent = self.sender.send(Ok(chunk)).await;
        sent.map_err(|_closed| StreamEnd::CallerGone)
    }

    /// Finds out how a stream ended whose response ended with its connection, and the outcome of the attempt.
    async fn settle(&mut self, server: ServerKey) -> (StreamEnd, AttemptOutcome) {
        let outcome = match settle_unproven(&self.shared, &self.pool, server).await {
            EndVerdict::BrokenOff => return (StreamEnd::Broken, AttemptOutcome::Broken),
            EndVerdict::Whole => AttemptOutcome::Answered,
            EndVerdict::Unproven => AttemptOutcome::Abandoned,
        };
        match self.framing {
            // The caller's response ends with its connection too, and certifies nothing.
            BodyFraming::ConnectionEnd => (self.relay_rest().await, outcome),
            // Only a server that ends the rest in a frame proves that the stream is whole.
            BodyFraming::Framed => (StreamEnd::Unproven, outcome),
        }
    }

    /// Binds the stream to the software version of the server that sends its first event.
    fn bind_version(&mut self, guard: &AttemptGuard<H>) {
        if std::mem::replace(&mut self.has_version, true) {
            return;
        }
        let server = guard.server();
        self.call.version = server.map_or(VersionDemand::Unknown, |server| {
            bind_version(&self.shared, &self.call, server)
        });
    }

    /// Returns the events that `data` completes, and stores the id of the last one.
    fn split_events(&mut self, data: &[u8]) -> Vec<u8> {
        let mut events = Vec::new();
        for event in self.splitter.push(data) {
            if let Some(id) = event_id(&event) {
                self.last_event_id = Some(id);
            }
            events.extend_from_slice(&event);
        }
        events
    }

    /// Asks another server to continue after the last relayed event.
    ///
    /// # Errors
    /// Returns how the request ends if no server can continue it.
    async fn resume_on_another_server(&mut self) -> Result<ResponseStart<H>, RequestOutcome> {
        let failure = AttemptFailure::StreamBroken {
            servers_tried: self.tried.len(),
        };
        if self.call.route.retry_policy().after(failure) == RetryVerdict::Never {
            return Err(RequestOutcome::BackendBrokeOff);
        }
        let mut unused = None;
        loop {
            let permit = self.take_permit(unused.take())?;
            let (placement, guard) = match self.place() {
                Ok(placed) => placed,
                Err(outcome) => {
                    self.shared.dispatcher().refund_retry(&permit);
                    return Err(outcome);
                }
            };
            self.log.record_resume(&placement, self.last_event_id.as_deref());
            self.tried.push(placement.server);
            let last_event_id = self.last_event_id.as_deref();
            let attempt = attempt_once(
                &self.shared,
                &self.pool,
                &self.call,
                &placement,
                last_event_id,
                Some(&permit),
                guard,
            );
            match attempt.await {
                AttemptResult::ResponseStarted(response_start) if response_start.head.status.is_success() => {
                    return Ok(*response_start);
                }
                AttemptResult::ResponseStarted(_) | AttemptResult::Failed(..) => {
                    return Err(RequestOutcome::BackendBrokeOff);
                }
                AttemptResult::NotSent(_) => unused = Some(permit),
                AttemptResult::Rejected(_) => {}
            }
        }
    }

    /// Takes a permit for the next attempt to resume the stream, or the one of an attempt that was not sent.
    ///
    /// # Errors
    /// Returns how the request ends if the retry budget refuses it.
    fn take_permit(&self, unused: Option<RetryPermit>) -> Result<RetryPermit, RequestOutcome> {
        let now = self.shared.clock.now();
        let mut dispatcher = self.shared.dispatcher();
        match unused {
            Some(permit) if permit.is_valid(now) => return Ok(permit),
            Some(permit) => dispatcher.refund_retry(&permit),
            None => {}
        }
        let decision = dispatcher.take_retry(self.call.service, RetryPurpose::ContinueStream, now);
        drop(dispatcher);
        self.log.record_retry(RetryCause::StreamBroken, &decision);
        decision.permit.ok_or(RequestOutcome::BackendBrokeOff)
    }

    /// Chooses another server, if time is left and a server accepts the stream.
    ///
    /// # Errors
    /// Returns how the request ends if there is none.
    fn place(&self) -> Result<(Placement, AttemptGuard<H>), RequestOutcome> {
        let broke_off = RequestOutcome::BackendBrokeOff;
        let now = self.shared.clock.now();
        let left_ms = self.call.time_left_ms(now).ok_or(broke_off)?;
        let newest = self.shared.routes.load();
        // A stream without an allowed region ends like one that no server can resume.
        let regions = self.call.allowed_regions(&newest).map_err(|_kind| broke_off)?;
        let demand = self.call.demand(&self.tried, &regions, now);
        let demand = demand.resumed(left_ms);
        let decision = self.shared.dispatcher().decide(&demand, now);
        match decision {
            Decision::Send(placement) => {
                let guard = AttemptGuard::begin(&self.shared, &demand, &placement);
                Ok((placement, guard))
            }
            Decision::VersionGone => Err(RequestOutcome::VersionGone),
            Decision::Quarantined(_) | Decision::Refuse { .. } => Err(broke_off),
        }
    }
}

/// Returns the id of an event (HTML Living Standard, 9.2).
fn event_id(event: &[u8]) -> Option<String> {
    // An event that is not UTF-8 has no id from which a server could resume.
    let text = std::str::from_utf8(event).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    Some(line.trim().to_owned())
}
