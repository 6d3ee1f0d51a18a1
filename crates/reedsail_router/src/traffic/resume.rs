//! Passes a stream on event by event, and goes on with it elsewhere when its server breaks off.

use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::Response;
use hyper::body::Frame;
use hyper::body::Incoming;
use reedsail_core::ServerKey;
use reedsail_dispatch::AttemptOutcome;
use reedsail_dispatch::Decision;
use reedsail_events::EventKind;
use reedsail_net::EventSplitter;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::timeout_at;

use super::Pool;
use super::answer::AnswerBody;
use super::answer::AnswerBroken;
use super::answer::remove_hop_headers;
use super::attempt_guard::AttemptGuard;
use super::call::Call;
use super::exchange::Answering;
use super::exchange::Try;
use super::exchange::try_once;
use super::relay::answer_from;
use super::serve::RequestLog;
use crate::HeaderProtocol;
use crate::shared::Shared;

/// The most parts that wait for the caller.
const PARTS_MAX: usize = 32;
/// The largest event.
const EVENT_BYTES_MAX: usize = 1 << 20;
/// How often a stream may be gone on with elsewhere.
const RESUMES_MAX: usize = 3;

/// The caller's end of a stream; dropping it cancels the run.
#[derive(Debug)]
pub(crate) struct ResumedBody {
    parts: mpsc::Receiver<Result<Bytes, AnswerBroken>>,
    relay: AbortHandle,
}

impl ResumedBody {
    pub(crate) fn poll_part(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerBroken>>> {
        self.parts
            .poll_recv(context)
            .map(|part| part.map(|part| part.map(Frame::data)))
    }
}

impl Drop for ResumedBody {
    fn drop(&mut self) {
        self.relay.abort();
    }
}

/// How a server's part of a stream ended.
enum PartEnd {
    /// The stream is whole.
    Whole,
    /// It broke off.
    Broken,
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
    sender: mpsc::Sender<Result<Bytes, AnswerBroken>>,
    splitter: EventSplitter,
    last_event: Option<String>,
    log: RequestLog<H>,
}

/// Begins to pass a stream on, and returns the answer whose body it feeds.
pub(crate) fn relay_resumable<H: HeaderProtocol>(
    shared: &Arc<Shared<H>>,
    pool: &Arc<Pool>,
    call: Call,
    answering: Answering<H>,
    tried: Vec<ServerKey>,
    log: RequestLog<H>,
) -> Response<AnswerBody<H>> {
    let (sender, parts) = mpsc::channel(PARTS_MAX);
    let status = answering.response.status();
    let mut headers = answering.response.headers().clone();
    remove_hop_headers(&mut headers);
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
    let task = tokio::spawn(relay.run(answering));
    let body = ResumedBody {
        parts,
        relay: task.abort_handle(),
    };
    answer_from(status, headers, AnswerBody::Resumed(body))
}

impl<H: HeaderProtocol> ResumableRelay<H> {
    async fn run(mut self, mut answering: Answering<H>) {
        for _ in 0..=RESUMES_MAX {
            let (parts, mut body) = answering.response.into_parts();
            let mut guard = answering.guard;
            match self.pass_on(&mut body, &mut guard).await {
                PartEnd::Whole => {
                    self.give_back(&guard, answering.connection, &parts.headers);
                    guard.close(AttemptOutcome::Answered);
                    self.log.end("answered");
                    return;
                }
                PartEnd::CallerGone => return,
                PartEnd::Deadline => {
                    self.log.end("deadline");
                    break;
                }
                PartEnd::Broken => guard.close(AttemptOutcome::Failed),
            }
            drop(body);
            let Some(next) = self.go_on_elsewhere().await else {
                self.log.end("backend_broke_off");
                break;
            };
            answering = next;
        }
        let _ = self.sender.send(Err(AnswerBroken)).await;
    }

    /// Passes whole events on until the server's part of the stream ends.
    async fn pass_on(&mut self, body: &mut Incoming, guard: &mut AttemptGuard<H>) -> PartEnd {
        self.splitter.clear();
        let deadline = self.shared.clock.instant(self.call.deadline);
        loop {
            let frame = match timeout_at(deadline, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(None) if self.splitter.partial_bytes() == 0 => return PartEnd::Whole,
                Ok(None | Some(Err(_))) => return PartEnd::Broken,
                Err(_) => return PartEnd::Deadline,
            };
            let Ok(data) = frame.into_data() else { continue };
            guard.note_answer();
            let mut whole = Vec::new();
            for event in self.splitter.push(&data) {
                if let Some(id) = event_id(&event) {
                    self.last_event = Some(id);
                }
                whole.extend_from_slice(&event);
            }
            if self.splitter.partial_bytes() > EVENT_BYTES_MAX {
                return PartEnd::Broken;
            }
            if whole.is_empty() {
                continue;
            }
            self.log.note_part();
            if self.sender.send(Ok(Bytes::from(whole))).await.is_err() {
                return PartEnd::CallerGone;
            }
        }
    }

    /// Asks another server to go on after the last event that was passed on.
    async fn go_on_elsewhere(&mut self) -> Option<Answering<H>> {
        let shared = Arc::clone(&self.shared);
        if self.tried.len() >= self.call.route.attempts.max(1) as usize {
            return None;
        }
        loop {
            let now = shared.clock.now();
            self.call.time_left_ms(now)?;
            if !shared.dispatcher().take_retry(self.call.service, now) {
                return None;
            }
            // The stream has begun, so its goal no longer bounds where it may go on.
            let mut demand = self.call.demand(&self.tried, now);
            demand.waited_ms = 0;
            demand.latency_target_ms = self.call.route.timeout_ms;
            let Decision::Send(placement) = shared.dispatcher().decide(&demand, now) else {
                return None;
            };
            let guard = AttemptGuard::begin(&shared, &demand, &placement);
            if let Some(server) = shared.servers.load().get(&placement.server) {
                self.log.server.clone_from(&server.id);
            }
            self.tried.push(placement.server);
            let last_event = self.last_event.clone();
            let fields = [
                ("server", self.log.server.clone()),
                ("after_event", last_event.clone().unwrap_or_default()),
            ];
            self.log.note(EventKind::StreamResumed, &fields);
            let resume_after = last_event.as_deref();
            let outcome = try_once(&shared, &self.pool, &self.call, &placement, resume_after, guard).await;
            match outcome {
                Try::Answering(answering) if answering.response.status().is_success() => {
                    return Some(*answering);
                }
                Try::Answering(_) | Try::Failed(..) => return None,
                Try::NotSent(_) | Try::Rejected(_) => {}
            }
        }
    }

    fn give_back(
        &self,
        guard: &AttemptGuard<H>,
        connection: reedsail_net::HttpConnection,
        headers: &HeaderMap,
    ) {
        if let Some(server) = guard.server() {
            self.pool
                .give_back(server, connection, headers, self.shared.clock.now());
        }
    }
}

/// Returns the id of an event (HTML Living Standard, 9.2).
fn event_id(event: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(event).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    Some(line.trim().to_owned())
}
