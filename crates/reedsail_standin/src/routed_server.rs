//! A stand-in for a backend server of the router. It answers from a script and records the requests that it received.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Either;
use http_body_util::channel::Channel;
use http_body_util::channel::Sender;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use reedsail_net::remove_frame;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::StandinError;
use crate::http_server::Body;
use crate::http_server::Handler;
use crate::http_server::HttpServer;
use crate::http_server::Stopper;
use crate::http_server::full_response;

/// The header with a request's id, in requests and answers.
const REQUEST_ID: &str = "reedsail-request-id";
/// The header with the id of the last event that the caller has received.
const LAST_EVENT: &str = "last-event-id";
/// The path at which a server tells the time of its start.
const START_PATH: &str = "/start";
/// Pause between two events of a stream, in milliseconds.
const EVENT_PAUSE_MS: u64 = 5;

/// How a routed server answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutedAnswer {
    /// With a complete body.
    Whole {
        /// The status.
        status: u16,
        /// The length of the body.
        bytes: usize,
    },
    /// With a stream of events. The numbers start at one, or after the last event that the caller has received.
    Stream {
        /// The number of the last event.
        events: u32,
        /// Number of the event after which the stream pauses until the server crashes or the caller disconnects.
        pause_after: Option<u32>,
    },
    /// With a stream of large events, sent as fast as they are read, that is cut if the reader stalls.
    Flood {
        /// The length of an event, in bytes.
        event_bytes: usize,
        /// The number of the last event.
        events: u32,
        /// How long an event may stay unread before the stream is cut, in milliseconds.
        stalled_ms: u64,
    },
    /// With a text as the body.
    Text {
        /// The body.
        text: &'static str,
        /// Whether the body comes in chunks. Otherwise it has neither a length nor chunks, and ends with the connection.
        is_framed: bool,
        /// Whether the server ends, as a crashed process does, where the body ends.
        ends_server: bool,
    },
    /// With a text that has neither a length nor chunks, until the server ends.
    Held {
        /// The beginning of the body.
        text: &'static str,
    },
    /// That the server did not run the request.
    NotRun,
    /// With the id of another request.
    WrongId,
    /// With a body that is shorter than announced.
    Short,
    /// With a broken connection.
    Broken,
    /// Never.
    Silent,
}

/// A request that reached a routed server.
#[derive(Clone, Debug)]
pub struct RoutedRun {
    /// The method, and the path with the query.
    pub call: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Whether the caller disconnected before the end of the answer.
    pub is_cancelled: bool,
}

impl RoutedRun {
    /// Returns a header as text. The text is empty if the header is missing.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default()
    }
}

#[derive(Debug, Default)]
struct State {
    script: Vec<RoutedAnswer>,
    /// Additional headers of each answer.
    answer_headers: HeaderMap,
    /// The time of its start, which it tells on request.
    start_ms: Option<u64>,
    runs: Vec<RoutedRun>,
    /// `None` until the server has started.
    stopper: Option<Stopper>,
}

#[derive(Clone, Debug, Default)]
struct RoutedHandler(Arc<Mutex<State>>);

/// A running routed server.
#[derive(Debug)]
pub struct RoutedStandin {
    server: HttpServer,
    handler: RoutedHandler,
}

impl RoutedStandin {
    /// Starts a server on a free loopback port. It answers with status 200 and 10 bytes by default.
    ///
    /// # Errors
    /// Returns the system's error if the port cannot be bound.
    pub async fn start() -> std::io::Result<Self> {
        let handler = RoutedHandler::default();
        let server = HttpServer::start(handler.clone()).await?;
        handler.lock().stopper = Some(server.stopper());
        Ok(Self { server, handler })
    }

    /// Returns the address at which the server accepts requests.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Sets the next answers, in order. The last one also answers all later requests.
    pub fn answer_with(&self, script: &[RoutedAnswer]) {
        self.handler.lock().script = script.to_vec();
    }

    /// Replaces the additional headers of each answer.
    pub fn set_headers(&self, headers: &[(&'static str, &'static str)]) {
        let answer_headers = headers
            .iter()
            .map(|(name, value)| (HeaderName::from_static(name), HeaderValue::from_static(value)));
        self.handler.lock().answer_headers = answer_headers.collect();
    }

    /// Sets the time of its start, which it tells at [`START_PATH`], in milliseconds of Unix time.
    pub fn set_start_ms(&self, start_ms: u64) {
        self.handler.lock().start_ms = Some(start_ms);
    }

    /// Returns all requests that the server received, in order.
    pub fn runs(&self) -> Vec<RoutedRun> {
        self.handler.lock().runs.clone()
    }

    /// Breaks every open connection.
    pub fn crash(&self) {
        self.server.break_connections();
    }

    /// Ends the server as a crashed process ends: its listener closes, then its connections, in order.
    pub async fn end(&self) {
        self.server.stopper().crash().await;
    }

    /// Stops the server.
    pub fn close(self) {
        self.server.close();
    }
}

impl RoutedHandler {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record(&self, run: RoutedRun) -> (usize, RoutedAnswer) {
        let mut state = self.lock();
        state.runs.push(run);
        let answer = match state.script.len() {
            0 => RoutedAnswer::Whole {
                status: 200,
                bytes: 10,
            },
            1 => state.script[0],
            _ => state.script.remove(0),
        };
        (state.runs.len() - 1, answer)
    }
}

/// Marks its run as cancelled when it is dropped before the answer is complete.
struct CancelGuard {
    handler: RoutedHandler,
    index: usize,
    is_complete: bool,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if !self.is_complete {
            self.handler.lock().runs[self.index].is_cancelled = true;
        }
    }
}

impl Handler for RoutedHandler {
    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Body>, StandinError> {
        let mut response = self.answer(request).await?;
        let answer_headers = self.lock().answer_headers.clone();
        response.headers_mut().extend(answer_headers);
        Ok(response)
    }
}

impl RoutedHandler {
    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Body>, StandinError> {
        if request.uri().path() == START_PATH {
            let start_ms = self.lock().start_ms;
            let text = start_ms.map_or_else(String::new, |start_ms| start_ms.to_string());
            return Ok(full_response(StatusCode::OK, text));
        }
        let call = format!("{} {}", request.method(), request.uri());
        let (parts, body) = request.into_parts();
        let body = body.collect().await.map_err(|_| StandinError)?.to_bytes();
        let id = parts.headers.get(REQUEST_ID).cloned();
        let last_event = parts.headers.get(LAST_EVENT).cloned();
        let (index, answer) = self.record(RoutedRun {
            call,
            headers: parts.headers,
            body,
            is_cancelled: false,
        });
        let mut guard = CancelGuard {
            handler: self.clone(),
            index,
            is_complete: false,
        };
        match answer {
            RoutedAnswer::Stream { events, pause_after } => {
                let first = first_event(last_event.as_ref());
                let (sender, body) = Channel::new(1);
                tokio::spawn(send_events(sender, first, events, pause_after, guard));
                Ok(with_id(Response::new(Either::Right(body)), id))
            }
            RoutedAnswer::Flood {
                event_bytes,
                events,
                stalled_ms,
            } => {
                let (sender, body) = Channel::new(1);
                tokio::spawn(send_flood(sender, event_bytes, events, stalled_ms, guard));
                Ok(with_id(Response::new(Either::Right(body)), id))
            }
            RoutedAnswer::Text {
                text,
                is_framed,
                ends_server,
            } => {
                let (sender, body) = Channel::new(1);
                let stopper = self.lock().stopper.clone().filter(|_| ends_server);
                tokio::spawn(send_text(sender, text, stopper, guard));
                let mut response = Response::new(Either::Right(body));
                if !is_framed {
                    remove_frame(&mut response);
                }
                Ok(with_id(response, id))
            }
            RoutedAnswer::Held { text } => {
                let (sender, body) = Channel::new(1);
                tokio::spawn(hold(sender, text, guard));
                let mut response = Response::new(Either::Right(body));
                remove_frame(&mut response);
                Ok(with_id(response, id))
            }
            RoutedAnswer::Silent => {
                std::future::pending::<()>().await;
                Err(StandinError)
            }
            RoutedAnswer::Broken => {
                guard.is_complete = true;
                Err(StandinError)
            }
            RoutedAnswer::WrongId => {
                guard.is_complete = true;
                let other = HeaderValue::from_static("another");
                Ok(with_id(full_response(StatusCode::OK, "another's"), Some(other)))
            }
            RoutedAnswer::Whole { .. } | RoutedAnswer::NotRun | RoutedAnswer::Short => {
                guard.is_complete = true;
                Ok(with_id(scripted_response(answer), id))
            }
        }
    }
}

/// Returns the number of a stream's first event.
fn first_event(last_event: Option<&HeaderValue>) -> u32 {
    // If the id of the last event is invalid, the stream starts at its first event.
    let last = last_event.and_then(|event| event.to_str().ok()?.parse::<u32>().ok());
    last.map_or(1, |event| event + 1)
}

fn with_id(mut response: Response<Body>, id: Option<HeaderValue>) -> Response<Body> {
    if let Some(id) = id {
        response.headers_mut().insert(REQUEST_ID, id);
    }
    response
}

/// Returns a response that is sent at once: complete, or shorter than announced.
fn scripted_response(answer: RoutedAnswer) -> Response<Body> {
    match answer {
        RoutedAnswer::NotRun => {
            let mut response = full_response(StatusCode::SERVICE_UNAVAILABLE, "");
            let not_run = HeaderValue::from_static("not_run");
            response.headers_mut().insert("reedsail-ran", not_run);
            response
        }
        RoutedAnswer::Short => {
            let mut response = full_response(StatusCode::OK, "xxxx");
            // hyper breaks the connection when the body ends early.
            let length = HeaderValue::from_static("4000");
            response.headers_mut().insert("content-length", length);
            response
        }
        RoutedAnswer::Whole { status, bytes } => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
            full_response(status, vec![b'x'; bytes])
        }
        RoutedAnswer::Stream { .. }
        | RoutedAnswer::Flood { .. }
        | RoutedAnswer::Text { .. }
        | RoutedAnswer::Held { .. }
        | RoutedAnswer::WrongId
        | RoutedAnswer::Broken
        | RoutedAnswer::Silent => {
            unreachable!("these answers are not sent at once")
        }
    }
}

/// Sends a text, and keeps the response open until its connection ends.
async fn hold(mut sender: Sender<Bytes, StandinError>, text: &'static str, mut guard: CancelGuard) {
    if sender
        .send_data(Bytes::from_static(text.as_bytes()))
        .await
        .is_err()
    {
        return;
    }
    guard.is_complete = true;
    // Sending nothing fails once the connection has ended.
    while sender.send_data(Bytes::new()).await.is_ok() {
        sleep(Duration::from_millis(EVENT_PAUSE_MS)).await;
    }
}

/// Sends a text, and ends the server after it if there is a stopper.
async fn send_text(
    mut sender: Sender<Bytes, StandinError>,
    text: &'static str,
    stopper: Option<Stopper>,
    mut guard: CancelGuard,
) {
    if sender
        .send_data(Bytes::from_static(text.as_bytes()))
        .await
        .is_err()
    {
        return;
    }
    guard.is_complete = true;
    // The text must be on the wire before the connections end.
    sleep(Duration::from_millis(EVENT_PAUSE_MS)).await;
    if let Some(stopper) = stopper {
        stopper.crash().await;
    }
}

async fn send_events(
    mut sender: Sender<Bytes, StandinError>,
    first: u32,
    events: u32,
    pause_after: Option<u32>,
    mut guard: CancelGuard,
) {
    for number in first..=events {
        let event = Bytes::from(format!("id: {number}\ndata: token {number}\n\n"));
        if sender.send_data(event).await.is_err() {
            return;
        }
        if pause_after == Some(number) {
            // Sending a comment line fails once the caller has disconnected.
            loop {
                sleep(Duration::from_millis(EVENT_PAUSE_MS)).await;
                if sender.send_data(Bytes::from_static(b": wait\n\n")).await.is_err() {
                    return;
                }
            }
        }
        sleep(Duration::from_millis(EVENT_PAUSE_MS)).await;
    }
    guard.is_complete = true;
}

/// Sends large events as fast as they are read, and cuts the stream if one stays unread for too long.
async fn send_flood(
    mut sender: Sender<Bytes, StandinError>,
    event_bytes: usize,
    events: u32,
    stalled_ms: u64,
    mut guard: CancelGuard,
) {
    for number in 1..=events {
        let event = Bytes::from(format!("id: {number}\ndata: {}\n\n", "x".repeat(event_bytes)));
        match timeout(Duration::from_millis(stalled_ms), sender.send_data(event)).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return,
            Err(_) => {
                sender.abort(StandinError);
                return;
            }
        }
    }
    guard.is_complete = true;
}
