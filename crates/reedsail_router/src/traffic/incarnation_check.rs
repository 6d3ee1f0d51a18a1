//! Confirms that a connection leads to the incarnation of a server that its record names.
//!
//! A server may start again under its id and address, at another software version, while this instance's list is old. The
//! request that continues a stream is sent only on a connection on which the server has told the start that is in its
//! record, and so is one that begins a stream while its service may run two versions: else the stream would be bound to
//! a version that did not begin it. One process serves a connection to its end, so it is asked once on each.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use reedsail_net::HttpConnection;
use tokio::time::timeout;

use crate::HeaderProtocol;
use crate::server_views::ServerView;
use crate::shared::Shared;

/// Time-out of the server's answer, in milliseconds. The server answers without a slot.
const CONFIRM_TIMEOUT_MS: u64 = 250;
/// Maximum size of the answer, in bytes.
const ANSWER_BYTES_MAX: usize = 64 << 10;

/// Whether a connection leads to the incarnation of a record.
#[derive(Debug)]
pub(super) enum Confirmation {
    /// It does.
    Confirmed(HttpConnection),
    /// Another incarnation answered.
    Restarted,
    /// No valid answer arrived in time. The connection is closed.
    Unanswered,
}

/// Asks the server on a connection for the time of its start, unless it has told that before or any start will do.
pub(super) async fn confirm_incarnation<H: HeaderProtocol>(
    shared: &Shared<H>,
    server: &ServerView,
    required_start_ms: Option<u64>,
    connection: HttpConnection,
) -> Confirmation {
    let Some(required_ms) =
        required_start_ms.filter(|required_ms| connection.identity() != Some(*required_ms))
    else {
        return Confirmation::Confirmed(connection);
    };
    let limit = Duration::from_millis(CONFIRM_TIMEOUT_MS);
    let answer = timeout(limit, read_start(shared, server, connection)).await;
    match answer {
        Ok(Some((mut connection, start_ms))) if start_ms == required_ms => {
            connection.set_identity(start_ms);
            Confirmation::Confirmed(connection)
        }
        Ok(Some(_)) => Confirmation::Restarted,
        Ok(None) | Err(_) => Confirmation::Unanswered,
    }
}

/// Returns the time of the server's start, and the connection for the next request.
async fn read_start<H: HeaderProtocol>(
    shared: &Shared<H>,
    server: &ServerView,
    mut connection: HttpConnection,
) -> Option<(HttpConnection, u64)> {
    let mut request = Request::get(H::START_PATH).body(Full::<Bytes>::default()).ok()?;
    let host = HeaderValue::from_str(&server.address.to_string()).ok()?;
    request.headers_mut().insert(HOST, host);
    let response = match connection.send(request).await {
        Ok(response) => response,
        Err(error) => {
            log::debug!("{} does not tell its start: {error}", server.id);
            return None;
        }
    };
    let body = Limited::new(response.into_body(), ANSWER_BYTES_MAX)
        .collect()
        .await;
    let body = match body {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            log::debug!("{} does not tell its start: {error}", server.id);
            return None;
        }
    };
    let start_ms = shared.protocol.read_start_ms(&body)?;
    connection.ready().await.then_some((connection, start_ms))
}
