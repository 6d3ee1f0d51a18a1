//! A stand-in for a plain service, such as bookings or prices. It records the calls that ran.

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
use crate::http_server::full_response;
use crate::http_server::unframed_response;

/// The active faults of a service.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlainFaults {
    /// Number of next calls that run, but whose connection breaks before the answer.
    pub answers_lost: u32,
    /// Number of next answers that carry the id of another request.
    pub answers_crossed: u32,
    /// Number of next answers whose body is shorter than announced.
    pub answers_short: u32,
    /// Number of next answers without a length or chunks, which end with their connection.
    pub answers_unframed: u32,
    /// Number of next answers whose head states a transfer coding that the body does not have.
    pub answers_miscoded: u32,
    /// Duration of a call, in milliseconds.
    pub delay_ms: u64,
}

/// A call that ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlainRun {
    /// The request's id.
    pub request_id: String,
    /// The request's idempotency key.
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
    Unframed,
    Miscoded,
}

impl PlainStandin {
    /// Starts a service on a free loopback port.
    ///
    /// # Errors
    /// Returns the system's error if the port cannot be bound.
    pub async fn start() -> std::io::Result<Self> {
        let handler = PlainHandler::default();
        let server = HttpServer::start(handler.clone()).await?;
        Ok(Self { server, handler })
    }

    /// Returns the address at which the service accepts requests.
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

    /// Records the run and returns the fault of its answer.
    fn run(&self, run: PlainRun) -> AnswerFault {
        let mut state = self.lock();
        state.runs.push(run);
        let faults = &mut state.faults;
        let fault_counters = [
            (&mut faults.answers_lost, AnswerFault::Lost),
            (&mut faults.answers_crossed, AnswerFault::Crossed),
            (&mut faults.answers_short, AnswerFault::Short),
            (&mut faults.answers_unframed, AnswerFault::Unframed),
            (&mut faults.answers_miscoded, AnswerFault::Miscoded),
        ];
        for (remaining, fault) in fault_counters {
            if *remaining > 0 {
                *remaining -= 1;
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
        let mut response = full_response(StatusCode::OK, body.clone());
        if fault == AnswerFault::Short {
            *response.body_mut() = Either::Left(Full::new(Bytes::from(body[..4].to_owned())));
            // The announced length stays, so hyper breaks the connection when the body ends early.
            let length = "4000".parse().expect("a valid header value");
            response.headers_mut().insert("content-length", length);
        }
        if fault == AnswerFault::Unframed {
            response = unframed_response(StatusCode::OK, body);
        }
        if fault == AnswerFault::Miscoded {
            let coding = "gzip".parse().expect("a valid header value");
            response.headers_mut().insert("transfer-encoding", coding);
        }
        let echoed = match fault {
            AnswerFault::Crossed => format!("not-{request_id}"),
            AnswerFault::None
            | AnswerFault::Lost
            | AnswerFault::Short
            | AnswerFault::Unframed
            | AnswerFault::Miscoded => request_id,
        };
        if let Ok(value) = echoed.parse() {
            response.headers_mut().insert("x-request-id", value);
        }
        Ok(response)
    }
}
