//! Client of an instance's admin port.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use reedsail_daemon::Status;
use reedsail_net::BodyFraming;
use reedsail_net::ByteCounter;
use reedsail_net::HttpConnection;
use tokio::time::timeout;

use crate::failure::Failure;

/// Time limit for connecting to an instance, and for the whole exchange with it.
const TIMEOUT_MS: u64 = 5_000;

/// Fetches a path of the admin port.
pub(crate) async fn get(address: SocketAddr, path: &str) -> Result<(StatusCode, Bytes), Failure> {
    let unreachable = |error: &dyn std::fmt::Display| {
        Failure::Unreachable(format!("no answer from the instance at {address}: {error}"))
    };
    let exchange = async {
        let mut connection = HttpConnection::open(address, TIMEOUT_MS, ByteCounter::default())
            .await
            .map_err(|error| unreachable(&error))?;
        connection.ready().await;
        let request = Request::builder()
            .uri(path)
            .header("host", address.to_string())
            .body(Full::default())
            .map_err(|error| unreachable(&error))?;
        let response = connection
            .send(request)
            .await
            .map_err(|error| unreachable(&error))?;
        let (head, body) = response.into_parts();
        // The text of a bundle does not show where it was cut.
        if BodyFraming::of(&head.headers, &body) == BodyFraming::ConnectionEnd {
            return Err(unreachable(&"its answer has neither a length nor chunks"));
        }
        let body = body.collect().await.map_err(|error| unreachable(&error))?;
        Ok((head.status, body.to_bytes()))
    };
    match timeout(Duration::from_millis(TIMEOUT_MS), exchange).await {
        Ok(outcome) => outcome,
        Err(error) => Err(unreachable(&error)),
    }
}

/// Fetches an instance's status.
pub(crate) async fn status(address: SocketAddr) -> Result<Status, Failure> {
    let (_, body) = get(address, "/status").await?;
    serde_json::from_slice(&body).map_err(|error| {
        Failure::Unreachable(format!("invalid status from the instance at {address}: {error}"))
    })
}

/// Fetches an instance's metrics in the text format.
pub(crate) async fn metrics(address: SocketAddr) -> Result<String, Failure> {
    let (status, body) = get(address, "/metrics").await?;
    if status != StatusCode::OK {
        return Err(Failure::Unreachable(format!(
            "status {status} for the metrics of the instance at {address}"
        )));
    }
    String::from_utf8(body.to_vec()).map_err(|error| {
        Failure::Unreachable(format!(
            "the metrics of the instance at {address} are not valid UTF-8: {error}"
        ))
    })
}

/// Fetches the content of the bundle that an instance has accepted, or `None` if it has no bundle yet.
pub(crate) async fn bundle(address: SocketAddr) -> Result<Option<String>, Failure> {
    let (status, body) = get(address, "/bundle").await?;
    if status != StatusCode::OK {
        return Ok(None);
    }
    String::from_utf8(body.to_vec()).map(Some).map_err(|error| {
        Failure::Unreachable(format!(
            "the bundle of the instance at {address} is not valid UTF-8: {error}"
        ))
    })
}
