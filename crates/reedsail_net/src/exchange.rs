//! One request on one connection, up to the head of its answer.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use reedsail_core::ErrorKind;
use reedsail_core::Sent;
use reedsail_core::Unsent;
use tokio::select;

use crate::DeadlineTimer;

use crate::HttpConnection;
use crate::SendError;

/// What came of sending a request on a connection.
#[derive(Debug)]
pub enum Exchange {
    /// Not a byte was written; the request is handed back.
    HandedBack(Unsent, Box<Request<Full<Bytes>>>),
    /// An answer began.
    Head(Sent, Box<Response<Incoming>>, HttpConnection),
    /// Something may have been written, and no answer came.
    Failed(Sent, ErrorKind),
}

/// Sends a request and waits for the head of its answer until the deadline.
pub async fn exchange(
    mut connection: HttpConnection,
    request: Request<Full<Bytes>>,
    unsent: Unsent,
    deadline: DeadlineTimer,
) -> Exchange {
    let sent = unsent.send();
    let answer = select! {
        biased;
        answer = connection.send(request) => answer,
        () = deadline => return Exchange::Failed(sent, ErrorKind::DeadlineAfterSend),
    };
    match answer {
        Ok(response) => Exchange::Head(sent, Box::new(response), connection),
        Err(SendError::NotWritten(request)) => Exchange::HandedBack(sent.into_unsent(), request),
        Err(SendError::AfterWrite(_)) => Exchange::Failed(sent, ErrorKind::BackendFailed),
    }
}
