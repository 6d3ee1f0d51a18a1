//! Serves one request, from its head to the response.

use std::convert::Infallible;
use std::sync::Arc;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use reedsail_core::Unsent;
use reedsail_net::FrameLimit;
use reedsail_net::ResetOnClose;
use reedsail_net::ResettingBody;
use reedsail_net::ResponseWrites;
use reedsail_net::TrackedBody;

use super::Pool;
use super::call::read_call;
use super::forward::forward;
use super::request_log::RequestLog;
use super::response::ResponseBody;
use super::response::failure_response;
use crate::HeaderProtocol;
use crate::shared::Shared;

/// The body of a response on a caller's connection.
type CallerBody<H> = TrackedBody<ResettingBody<ResponseBody<H>>>;

/// What a request shares with the connection of its caller.
#[derive(Clone, Debug)]
pub(crate) struct CallerConnection {
    pub(crate) reset: ResetOnClose,
    pub(crate) frames: FrameLimit,
    pub(crate) writes: ResponseWrites,
}

/// Serves one request. Every failure becomes an error response.
pub(crate) async fn serve_request<H: HeaderProtocol>(
    shared: Arc<Shared<H>>,
    pool: Arc<Pool>,
    request: Request<Incoming>,
    connection: CallerConnection,
) -> Result<Response<CallerBody<H>>, Infallible> {
    let arrived_at = shared.clock.now();
    let head = shared.protocol.read_call(request.headers());
    let request_id = head.as_ref().ok().and_then(|head| head.request_id.clone());
    let (method, version) = (request.method().clone(), request.version());
    let mut log = RequestLog::begin(&shared, head.as_ref().ok(), arrived_at);
    let outcome = match read_call(&*shared, request, connection.frames, head, arrived_at).await {
        Ok(call) => {
            log.set_call(&call);
            forward(&shared, &pool, call, log).await
        }
        Err(error) => {
            let failure = Unsent::new().refuse(error.kind);
            log.record_unplaced_refusal(&failure, error.no_room.as_ref());
            Err(failure)
        }
    };
    let mut response =
        outcome.unwrap_or_else(|failure| failure_response(&shared.protocol, &failure, request_id.as_ref()));
    if shared.should_close_connection() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    let response = ResettingBody::wrap(response, &method, version, &connection.reset);
    Ok(response.map(|body| connection.writes.begin(body)))
}
