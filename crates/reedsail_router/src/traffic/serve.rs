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

use super::Pool;
use super::call::read_call;
use super::forward::forward;
use super::request_log::RequestLog;
use super::response::ResponseBody;
use super::response::failure_response;
use crate::HeaderProtocol;
use crate::shared::Shared;

/// Serves one request. Every failure becomes an error response. `reset` and `frames` belong to the
/// caller's connection.
pub(crate) async fn serve_request<H: HeaderProtocol>(
    shared: Arc<Shared<H>>,
    pool: Arc<Pool>,
    request: Request<Incoming>,
    reset: ResetOnClose,
    frames: FrameLimit,
) -> Result<Response<ResettingBody<ResponseBody<H>>>, Infallible> {
    let arrived_at = shared.clock.now();
    let head = shared.protocol.read_call(request.headers());
    let request_id = head.as_ref().ok().and_then(|head| head.request_id.clone());
    let (method, version) = (request.method().clone(), request.version());
    let mut log = RequestLog::begin(&shared, head.as_ref().ok(), arrived_at);
    let outcome = match read_call(&*shared, request, frames, head, arrived_at).await {
        Ok(call) => {
            log.set_call(&call);
            forward(&shared, &pool, call, log).await
        }
        Err(kind) => {
            let failure = Unsent::new().refuse(kind);
            log.record_unplaced_refusal(&failure);
            Err(failure)
        }
    };
    let mut response =
        outcome.unwrap_or_else(|failure| failure_response(&shared.protocol, &failure, request_id.as_ref()));
    if shared.should_close_connection() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(ResettingBody::wrap(response, &method, version, &reset))
}
