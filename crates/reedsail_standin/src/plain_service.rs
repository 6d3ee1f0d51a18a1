//! A plain service, like bookings or a till's prices: records what ran.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Either;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use tokio::time::sleep;

use crate::StandinError;
use crate::http_server::Body;
use crate::http_server::Handler;
use crate::http_server::HttpServer;
use crate::http_server::whole;

/// What is wrong with a service at the moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlainFaults {
    /// Runs the call, then breaks the connection instead of answering; so many times.
    pub answers_lost: u32,
    /// Answers with another request's id; so many times.
    pub answers_crossed: u32,
    /// Announces a longer body than it sends; so many times.
    pub answers_short: u32,
    /// How long a call takes.
    pub delay_ms: u64,
}

/// A call that ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlainRun {
    /// The id that came with the request.
    pub request_id: String,
    /// The idempotency key that came with it.
    pub idempotency_key: String,
    /// The method and path.
    pub call: String,
}

#[derive(Debug, Default)]
struct State {
    faults: PlainFaults,
    runs: Vec<PlainRun>,
}

#[derive(Clone, Debug, Default)]
struct PlainHandler(Arc<Mutex<State>>);

/// A running plain service.
#[derive(Debug)]
pub struct PlainStandin {
    server: HttpServer,
    handler: PlainHandler,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerFault {
    None,
    Lost,
    Crossed,
    Short,
}

impl PlainStandin {
    /// Starts a service on a free loopback port.
    ///
    /// # Errors
    /// The system's, when no port is to be had.
    pub async fn start() -> std::io::Result<Self> {
        let handler = PlainHandler::default();
        let server = HttpServer::start(handler.clone()).await?;
        Ok(Self { server, handler })
    }

    /// Returns where the service takes requests.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Switches faults on and off.
    pub fn set_faults(&self, change: impl FnOnce(&mut PlainFaults)) {
        change(&mut self.handler.lock().faults);
    }

    /// Returns every call that ran, in order.
    pub fn runs(&self) -> Vec<PlainRun> {
        self.handler.lock().runs.clone()
    }

    /// Breaks every open connection.
    pub fn crash(&self) {
        self.server.break_connections();
    }

    /// Stops the service.
    pub fn close(self) {
        self.server.close();
    }
}

impl PlainHandler {
    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the run and says how the answer is to go wrong.
    fn run(&self, run: PlainRun) -> AnswerFault {
        let mut state = self.lock();
        state.runs.push(run);
        let faults = &mut state.faults;
        let switches = [
            (&mut faults.answers_lost, AnswerFault::Lost),
            (&mut faults.answers_crossed, AnswerFault::Crossed),
            (&mut faults.answers_short, AnswerFault::Short),
        ];
        for (left, fault) in switches {
            if *left > 0 {
                *left -= 1;
                return fault;
            }
        }
        AnswerFault::None
    }
}

impl Handler for PlainHandler {
    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Body>, StandinError> {
        let header = |name: &str| {
            let value = request.headers().get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let request_id = header("x-request-id");
        let run = PlainRun {
            request_id: request_id.clone(),
            idempotency_key: header("idempotency-key"),
            call: format!("{} {}", request.method(), request.uri()),
        };
        let call = run.call.clone();
        request.into_body().collect().await.map_err(|_| StandinError)?;
        let delay_ms = self.lock().faults.delay_ms;
        if delay_ms > 0 {
            sleep(Duration::from_millis(delay_ms)).await;
        }
        let fault = self.run(run);
        if fault == AnswerFault::Lost {
            return Err(StandinError);
        }
        let body = format!(r#"{{"call":"{call}","request_id":"{request_id}"}}"#);
        let mut response = whole(StatusCode::OK, body.clone());
        if fault == AnswerFault::Short {
            *response.body_mut() = Either::Left(Full::new(Bytes::from(body[..4].to_owned())));
            // The announced length stays; hyper breaks the connection when the body ends early.
            let length = "4000".parse().expect("a valid header value");
            response.headers_mut().insert("content-length", length);
        }
        let echoed = match fault {
            AnswerFault::Crossed => format!("not-{request_id}"),
            AnswerFault::None | AnswerFault::Lost | AnswerFault::Short => request_id,
        };
        if let Ok(value) = echoed.parse() {
            response.headers_mut().insert("x-request-id", value);
        }
        Ok(response)
    }
}
