//! A backend server of the router: answers as it is told, and records what reached it.

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
use tokio::time::sleep;
use tokio::time::timeout;

use crate::StandinError;
use crate::http_server::Body;
use crate::http_server::Handler;
use crate::http_server::HttpServer;
use crate::http_server::whole;

/// The header that carries a request's id both ways.
const REQUEST_ID: &str = "reedsail-request-id";
/// The last event that the caller has.
const LAST_EVENT: &str = "last-event-id";
/// How long a stream pauses between two events.
const EVENT_PAUSE_MS: u64 = 5;

/// How a routed server answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutedAnswer {
    /// With a body of so many bytes.
    Whole {
        /// The status.
        status: u16,
        /// The length of the body.
        bytes: usize,
    },
    /// With a stream of events, numbered from one, or from the one after the caller's last.
    Stream {
        /// The number of the last event.
        events: u32,
        /// After this event it pauses until the server crashes or the caller leaves.
        pause_after: Option<u32>,
    },
    /// With a stream of large events that is cut once one stays unread for so long.
    Flood {
        /// The length of an event, in bytes.
        event_bytes: usize,
        /// The number of the last event.
        events: u32,
        /// After what time without being read the stream is cut, in milliseconds.
        stalled_ms: u64,
    },
    /// It did not run the request.
    NotRun,
    /// With another request's id.
    WrongId,
    /// With a body that is shorter than announced.
    Short,
    /// The connection breaks.
    Broken,
    /// Never.
    Silent,
}

/// A request that reached a routed server.
#[derive(Clone, Debug)]
pub struct RoutedRun {
    /// Method and path with query.
    pub call: String,
    /// Its headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The caller left before the answer's end.
    pub is_cancelled: bool,
}

impl RoutedRun {
    /// Returns a header as text; empty if it is not there.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default()
    }
}

#[derive(Debug, Default)]
struct State {
    script: Vec<RoutedAnswer>,
    /// What each answer carries besides.
    headers: HeaderMap,
    runs: Vec<RoutedRun>,
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
    /// Starts a server on a free loopback port; it answers with 200 and 10 bytes.
    ///
    /// # Errors
    /// The system's, when no port is to be had.
    pub async fn start() -> std::io::Result<Self> {
        let handler = RoutedHandler::default();
        let server = HttpServer::start(handler.clone()).await?;
        Ok(Self { server, handler })
    }

    /// Returns where the server takes requests.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Sets the next answers, in order; the last one is given to all later requests too.
    pub fn answer_with(&self, script: &[RoutedAnswer]) {
        self.handler.lock().script = script.to_vec();
    }

    /// Sets the headers that each answer carries from now on, in place of those before.
    pub fn set_headers(&self, headers: &[(&'static str, &'static str)]) {
        let said = headers
            .iter()
            .map(|(name, value)| (HeaderName::from_static(name), HeaderValue::from_static(value)));
        self.handler.lock().headers = said.collect();
    }

    /// Returns every request that reached the server, in order.
    pub fn runs(&self) -> Vec<RoutedRun> {
        self.handler.lock().runs.clone()
    }

    /// Breaks every open connection.
    pub fn crash(&self) {
        self.server.break_connections();
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

/// Marks its run as cancelled unless it is closed.
struct RunMark {
    handler: RoutedHandler,
    index: usize,
    is_over: bool,
}

impl Drop for RunMark {
    fn drop(&mut self) {
        if !self.is_over {
            self.handler.lock().runs[self.index].is_cancelled = true;
        }
    }
}

impl Handler for RoutedHandler {
    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Body>, StandinError> {
        let mut response = self.answer(request).await?;
        let said = self.lock().headers.clone();
        response.headers_mut().extend(said);
        Ok(response)
    }
}

impl RoutedHandler {
    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Body>, StandinError> {
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
        let mut mark = RunMark {
            handler: self.clone(),
            index,
            is_over: false,
        };
        match answer {
            RoutedAnswer::Stream { events, pause_after } => {
                let first = first_event(last_event.as_ref());
                let (sender, body) = Channel::new(1);
                tokio::spawn(send_events(sender, first, events, pause_after, mark));
                Ok(with_id(Response::new(Either::Right(body)), id))
            }
            RoutedAnswer::Flood {
                event_bytes,
                events,
                stalled_ms,
            } => {
                let (sender, body) = Channel::new(1);
                tokio::spawn(send_flood(sender, event_bytes, events, stalled_ms, mark));
                Ok(with_id(Response::new(Either::Right(body)), id))
            }
            RoutedAnswer::Silent => {
                std::future::pending::<()>().await;
                Err(StandinError)
            }
            RoutedAnswer::Broken => {
                mark.is_over = true;
                Err(StandinError)
            }
            RoutedAnswer::WrongId => {
                mark.is_over = true;
                let other = HeaderValue::from_static("another");
                Ok(with_id(whole(StatusCode::OK, "another's"), Some(other)))
            }
            RoutedAnswer::Whole { .. } | RoutedAnswer::NotRun | RoutedAnswer::Short => {
                mark.is_over = true;
                Ok(with_id(whole_answer(answer), id))
            }
        }
    }
}

/// Returns the number of the event that a stream begins with.
fn first_event(last_event: Option<&HeaderValue>) -> u32 {
    // A caller whose last event cannot be read gets the stream from its start.
    let last = last_event.and_then(|event| event.to_str().ok()?.parse::<u32>().ok());
    last.map_or(1, |event| event + 1)
}

fn with_id(mut response: Response<Body>, id: Option<HeaderValue>) -> Response<Body> {
    if let Some(id) = id {
        response.headers_mut().insert(REQUEST_ID, id);
    }
    response
}

/// Makes an answer that is sent at once, whole or claiming to be.
fn whole_answer(answer: RoutedAnswer) -> Response<Body> {
    match answer {
        RoutedAnswer::NotRun => {
            let mut response = whole(StatusCode::SERVICE_UNAVAILABLE, "");
            let not_run = HeaderValue::from_static("not_run");
            response.headers_mut().insert("reedsail-ran", not_run);
            response
        }
        RoutedAnswer::Short => {
            let mut response = whole(StatusCode::OK, "xxxx");
            // hyper breaks the connection when the body ends early.
            let length = HeaderValue::from_static("4000");
            response.headers_mut().insert("content-length", length);
            response
        }
        RoutedAnswer::Whole { status, bytes } => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
            whole(status, vec![b'x'; bytes])
        }
        RoutedAnswer::Stream { .. }
        | RoutedAnswer::Flood { .. }
        | RoutedAnswer::WrongId
        | RoutedAnswer::Broken
        | RoutedAnswer::Silent => {
            unreachable!("these are not whole answers")
        }
    }
}

async fn send_events(
    mut sender: Sender<Bytes, StandinError>,
    first: u32,
    events: u32,
    pause_after: Option<u32>,
    mut mark: RunMark,
) {
    for number in first..=events {
        let event = Bytes::from(format!("id: {number}\ndata: token {number}\n\n"));
        if sender.send_data(event).await.is_err() {
            return;
        }
        if pause_after == Some(number) {
            // An event without an id tells whether anybody still listens.
            loop {
                sleep(Duration::from_millis(EVENT_PAUSE_MS)).await;
                if sender.send_data(Bytes::from_static(b": wait\n\n")).await.is_err() {
                    return;
                }
            }
        }
        sleep(Duration::from_millis(EVENT_PAUSE_MS)).await;
    }
    mark.is_over = true;
}

/// Sends large events as fast as they are read, and cuts the stream once one stays unread.
async fn send_flood(
    mut sender: Sender<Bytes, StandinError>,
    event_bytes: usize,
    events: u32,
    stalled_ms: u64,
    mut mark: RunMark,
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
    mark.is_over = true;
}
