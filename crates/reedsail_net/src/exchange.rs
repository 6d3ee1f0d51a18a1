//! One request on one connection, up to the head of its response.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use reedsail_core::ErrorKind;
use reedsail_core::Sent;
use reedsail_core::Unsent;
use tokio::select;

use crate::DeadlineTimer;

use crate::HttpConnection;
use crate::ReceivedBody;
use crate::SendError;

/// The outcome of sending a request on a connection.
#[derive(Debug)]
pub enum Exchange {
    /// No byte was written. The request is returned to the caller.
    HandedBack(Unsent, Box<Request<Full<Bytes>>>),
    /// The head of the response arrived.
    Head(Sent, Box<Response<ReceivedBody>>, HttpConnection),
    /// Bytes may have been written, and no response arrived.
    Failed(Sent, ErrorKind),
}

/// Sends a request and waits for the head of its response until the deadline.
pub async fn exchange(
    mut connection: HttpConnection,
    request: Request<Full<Bytes>>,
    unsent: Unsent,
    deadline: DeadlineTimer,
) -> Exchange {
    let sent = unsent.send();
    let outcome = select! {
        biased;
        outcome = connection.send(request) => outcome,
        () = deadline => return Exchange::Failed(sent, ErrorKind::DeadlineAfterSend),
    };
    match outcome {
        Ok(response) => Exchange::Head(sent, Box::new(response), connection),
        Err(SendError::NotWritten(request)) => Exchange::HandedBack(sent.into_unsent(), request),
        Err(error @ (SendError::AfterWrite(_) | SendError::UntrustedHead(_))) => {
            log::debug!("no response: {error}");
            Exchange::Failed(sent, ErrorKind::BackendFailed)
        }
    }
}
