//! A backend server as a separate process: prints its address, then a line for each request that
//! arrives, each that it runs and each notice that it sends, and reads its answer faults from standard input.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use anyhow::Context as _;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Either;
use http_body_util::Full;
use http_body_util::channel::Channel;
use http_body_util::channel::Sender;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::header::HeaderValue;
use reedsail_net::Clock;
use reedsail_net::remove_frame;
use reedsail_platform_standin::REPORT_PATH;
use reedsail_platform_standin::ServerHead;
use reedsail_platform_standin::mark_answer;
use reedsail_platform_standin::mark_backoff;
use reedsail_platform_standin::mark_draining;
use reedsail_platform_standin::mark_not_run;
use reedsail_platform_standin::report_body;
use reedsail_standin::Body;
use reedsail_standin::Handler;
use reedsail_standin::HttpServer;
use reedsail_standin::StandinError;
use reedsail_standin::unframed_response;
use tokio::io::AsyncBufReadExt;
use tokio::io::BufReader;
use tokio::io::stdin;
use tokio::sync::Semaphore;
use tokio::time::sleep;

use crate::AnswerFault;
use crate::Arrival;
use crate::EngineEnd;
use crate::Notice;
use crate::NoticeKind;
use crate::Run;
use crate::ServerLine;
use crate::poison::POISON_SEGMENT;
use crate::poison::engine_end_of;
use crate::server::EVENTS;
use crate::server::MISDIRECTED;
use crate::server::SERVED_BY;
use crate::server::event;
use crate::server::plain_answer;

/// Number of requests that run at once; others wait.
const SLOTS: usize = 8;
/// Run time of a plain request.
const PLAIN_RUN_MS: u64 = 10;
/// Prefill time before the first event.
const PREFILL_MS: u64 = 30;
/// Time between two events of a stream.
const EVENT_INTERVAL_MS: u64 = 15;

/// A server and its current answer fault.
#[derive(Debug)]
struct SoakServer {
    id: String,
    version: String,
    born_ms: u64,
    streams: bool,
    fault: Mutex<Option<AnswerFault>>,
    slots: Arc<Semaphore>,
}

/// Runs a server until its input ends.
///
/// # Errors
/// Returns an error if the server cannot listen, the input cannot be read, or a line is not a fault.
pub async fn run_server(id: String, version: String, born_ms: u64, streams: bool) -> anyhow::Result<()> {
    let server = Arc::new(SoakServer {
        id,
        version,
        born_ms,
        streams,
        fault: Mutex::new(None),
        slots: Arc::new(Semaphore::new(SLOTS)),
    });
    let http = HttpServer::start(ServerHandler(Arc::clone(&server)))
        .await
        .context("cannot listen")?;
    println!("{}", http.address);
    let mut lines = BufReader::new(stdin()).lines();
    while let Some(line) = lines.next_line().await? {
        let fault: Option<AnswerFault> =
            serde_json::from_str(&line).with_context(|| format!("invalid answer fault `{line}`"))?;
        *server.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }
    http.close();
    Ok(())
}

/// Handles HTTP requests for a server.
#[derive(Clone, Debug)]
struct ServerHandler(Arc<SoakServer>);

impl Handler for ServerHandler {
    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Body>, StandinError> {
        self.0.answer(request).await
    }
}

impl SoakServer {
    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Body>, StandinError> {
        if request.uri().path() == REPORT_PATH {
            let report = report_body(self.born_ms);
            return Ok(Response::new(Either::Left(Full::new(report.into()))));
        }
        let fault = *self.fault.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(head) = ServerHead::read(request.headers()) else {
            return Ok(self.full_response(StatusCode::BAD_REQUEST, "no id"));
        };
        self.print_arrival(&head);
        request.into_body().collect().await.map_err(|_| StandinError)?;
        if head
            .expected_server
            .as_ref()
            .is_some_and(|expected| *expected != self.id)
        {
            return Ok(self.not_run_response(MISDIRECTED));
        }
        match fault {
            Some(AnswerFault::NotRun) => return Ok(self.not_run_response(StatusCode::SERVICE_UNAVAILABLE)),
            Some(AnswerFault::Busy(backoff_ms)) => return Ok(self.backoff_response(&head, backoff_ms)),
            _ => {}
        }
        let slot = Arc::clone(&self.slots)
            .acquire_owned()
            .await
            .map_err(|_| StandinError)?;
        self.print_run(&head);
        match fault {
            Some(AnswerFault::Hang) => std::future::pending::<()>().await,
            Some(AnswerFault::Slow(late_ms)) => sleep(Duration::from_millis(late_ms)).await,
            _ => {}
        }
        let engine_end = engine_end_of(&head.request_id);
        let mut response = if self.streams {
            sleep(Duration::from_millis(PREFILL_MS)).await;
            if engine_end == Some(EngineEnd::BeforeHead) {
                end_process();
            }
            let (sender, body) = Channel::new(1);
            let (head, version) = (head.clone(), self.version.clone());
            tokio::spawn(async move {
                if head.shared_parts.contains(&POISON_SEGMENT) {
                    end_while_answering(sender, &head, &version, engine_end).await;
                }
                send_events(sender, &head, &version, fault).await;
                drop(slot);
            });
            let mut response = Response::new(Either::Right(body));
            if fault.is_some_and(AnswerFault::is_unframed) {
                remove_frame(&mut response);
            }
            self.add_server_header(&mut response);
            response
        } else {
            sleep(Duration::from_millis(PLAIN_RUN_MS)).await;
            self.plain_response(&head, fault)?
        };
        if fault == Some(AnswerFault::Draining) {
            mark_draining(response.headers_mut());
            self.print_notice(&head, NoticeKind::Draining);
        }
        if fault == Some(AnswerFault::WrongId) {
            mark_answer(response.headers_mut(), "of-another-request");
        } else {
            mark_answer(response.headers_mut(), &head.request_id);
        }
        Ok(response)
    }

    fn plain_response(
        &self,
        head: &ServerHead,
        fault: Option<AnswerFault>,
    ) -> Result<Response<Body>, StandinError> {
        match fault {
            Some(AnswerFault::Error) => Ok(self.full_response(StatusCode::INTERNAL_SERVER_ERROR, "failed")),
            Some(AnswerFault::Break) => Err(StandinError),
            Some(AnswerFault::Short) => {
                let mut response = self.full_response(StatusCode::OK, plain_answer(&head.request_id));
                let headers = response.headers_mut();
                headers.insert(CONTENT_LENGTH, HeaderValue::from_static("100000"));
                Ok(response)
            }
            Some(AnswerFault::Unframed) => Ok(self.unframed_response(plain_answer(&head.request_id))),
            Some(AnswerFault::UnframedCut | AnswerFault::UnframedCutInsideEvent) => {
                let mut body = plain_answer(&head.request_id);
                body.truncate(body.len() / 2);
                Ok(self.unframed_response(body))
            }
            _ => Ok(self.full_response(StatusCode::OK, plain_answer(&head.request_id))),
        }
    }

    fn full_response(&self, status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
        let mut response = Response::new(Either::Left(Full::new(body.into())));
        *response.status_mut() = status;
        self.add_server_header(&mut response);
        response
    }

    fn unframed_response(&self, body: String) -> Response<Body> {
        let mut response = unframed_response(StatusCode::OK, body);
        self.add_server_header(&mut response);
        response
    }

    fn not_run_response(&self, status: StatusCode) -> Response<Body> {
        let mut response = self.full_response(status, "");
        mark_not_run(response.headers_mut());
        response
    }

    fn backoff_response(&self, head: &ServerHead, backoff_ms: u64) -> Response<Body> {
        self.print_notice(head, NoticeKind::Backoff(backoff_ms));
        let mut response = self.not_run_response(StatusCode::SERVICE_UNAVAILABLE);
        mark_answer(response.headers_mut(), &head.request_id);
        mark_backoff(response.headers_mut(), backoff_ms);
        response
    }

    /// Names the server in its answer, so that callers can tell it from an instance's own answers.
    fn add_server_header(&self, response: &mut Response<Body>) {
        if let Ok(id) = HeaderValue::from_str(&self.id) {
            response.headers_mut().insert(SERVED_BY, id);
        }
    }

    fn print_arrival(&self, head: &ServerHead) {
        let arrival = Arrival {
            id: head.request_id.clone(),
            is_engine: self.streams,
            at_ms: Clock::unix_ms(),
        };
        print_line(&ServerLine::Arrival(arrival));
    }

    fn print_run(&self, head: &ServerHead) {
        let run = Run {
            id: head.request_id.clone(),
            server: self.id.clone(),
            workspace: head.workspace.clone(),
            is_resumed: head.resume_after.is_some(),
            saw_key: head.key.is_some(),
            began_ms: Clock::unix_ms(),
        };
        print_line(&ServerLine::Run(run));
    }

    fn print_notice(&self, head: &ServerHead, kind: NoticeKind) {
        let notice = Notice {
            id: head.request_id.clone(),
            server: self.id.clone(),
            at_ms: Clock::unix_ms(),
            kind,
        };
        print_line(&ServerLine::Notice(notice));
    }
}

fn print_line(line: &ServerLine) {
    println!(
        "{}",
        serde_json::to_string(line).expect("a server line serializes to JSON")
    );
}

/// Sends the events before the end, by default one, and ends the process.
async fn end_while_answering(
    mut sender: Sender<Bytes, StandinError>,
    head: &ServerHead,
    version: &str,
    engine_end: Option<EngineEnd>,
) -> ! {
    let (events, interval_ms) = match engine_end {
        Some(EngineEnd::AfterEvents { events, interval_ms }) => (events, interval_ms),
        Some(EngineEnd::BeforeHead) | None => (1, EVENT_INTERVAL_MS),
    };
    for number in 1..=events {
        let event = Bytes::from(event(&head.request_id, number, version));
        // The process ends whether the event was read or not.
        let _ = sender.send_data(event).await;
        sleep(Duration::from_millis(interval_ms)).await;
    }
    end_process();
}

/// Ends the process, as an engine does that crashes.
fn end_process() -> ! {
    print_line(&ServerLine::PoisonEnd(Clock::unix_ms()));
    std::process::exit(1);
}

async fn send_events(
    mut sender: Sender<Bytes, StandinError>,
    head: &ServerHead,
    version: &str,
    fault: Option<AnswerFault>,
) {
    let first = head.resume_after.map_or(1, |last| last + 1);
    for number in first..=EVENTS {
        let is_middle = number == EVENTS / 2;
        match fault {
            Some(AnswerFault::Error | AnswerFault::Break | AnswerFault::Short) if is_middle => {
                // Ends the connection before the end of the body.
                sender.abort(StandinError);
                return;
            }
            Some(AnswerFault::UnframedCut) if is_middle => return,
            Some(AnswerFault::UnframedCutInsideEvent | AnswerFault::ChunkedCutInsideEvent) if is_middle => {
                let mut cut = event(&head.request_id, number, version);
                cut.truncate(cut.len() - 1);
                // The stream ends here for a reader that has left too.
                let _ = sender.send_data(Bytes::from(cut)).await;
                return;
            }
            _ => {}
        }
        let chunk = Bytes::from(event(&head.request_id, number, version));
        if sender.send_data(chunk).await.is_err() {
            return;
        }
        sleep(Duration::from_millis(EVENT_INTERVAL_MS)).await;
    }
}
