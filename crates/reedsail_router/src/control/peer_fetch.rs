//! Fetches a newer configuration or server list from a peer, over TCP.
//!
//! A load message announces only that the peer has a newer version. If a fetch fails, a later tick plans it again, from
//! the peer that has the newest version at that time.

use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::StatusCode;
use hyper::header::HOST;
use reedsail_net::ByteCounter;
use reedsail_net::HttpConnection;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::time::timeout;
use xtra::Address;

use super::actor::Control;
use super::messages::ConfigurationRead;
use super::messages::DifferenceUnknown;
use super::messages::Origin;
use super::messages::PeerFetch;
use super::messages::PeerServersRead;
use super::messages::WholeListFetched;
use crate::HeaderProtocol;
use crate::admin::CONFIGURATION_PATH;
use crate::admin::DIGEST_QUERY;
use crate::admin::SERVERS_PATH;
use crate::configuration_copy::ConfigurationCopy;

/// Time-out of a fetch, in milliseconds. It is shorter than the interval at which the actor plans fetches, so that a
/// fetch has ended before the next one begins.
const FETCH_TIMEOUT_MS: u64 = 450;
/// Time-out of a fetch of the whole list of servers, in milliseconds. The list is long, and many instances that start
/// together fetch it from one peer.
pub(super) const WHOLE_LIST_TIMEOUT_MS: u64 = 5_000;
/// Time-out of a connection attempt to a peer, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 200;
/// Maximum size of an answer, in bytes.
const ANSWER_BYTES_MAX: usize = 16 << 20;

/// Why a fetch failed.
#[derive(Debug, Error)]
enum FetchError {
    #[error("cannot connect to the peer: {0}")]
    Connect(std::io::Error),
    #[error("the peer closed the connection")]
    Closed,
    #[error("cannot build the request: {0}")]
    Request(hyper::http::Error),
    #[error("the peer did not answer: {0}")]
    NoAnswer(reedsail_net::SendError),
    #[error("the peer answered with status {0}")]
    Status(StatusCode),
    #[error("the answer is incomplete or too large: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    #[error("cannot parse the answer: {0}")]
    Unreadable(serde_json::Error),
    #[error("the peer did not answer within {0} ms")]
    TimedOut(u64),
}

/// Runs a fetch and sends the result to the actor.
pub(crate) async fn run_fetch<H: HeaderProtocol>(fetch: PeerFetch, control: Address<Control<H>>) {
    let outcome = match fetch {
        PeerFetch::Configuration(peer) => fetch_configuration(peer, &control).await,
        PeerFetch::Servers(peer) => fetch_whole_list(peer, &control).await,
        PeerFetch::ServersSince(peer, digest) => fetch_difference(peer, digest, &control).await,
    };
    if let Err(error) = outcome {
        // Debug level: fetches from an unreachable peer are retried twice a second, and the silence of a peer
        // is logged as a separate event.
        log::debug!("{fetch:?} failed: {error}");
    }
}

async fn fetch_configuration<H: HeaderProtocol>(
    peer: SocketAddrV4,
    control: &Address<Control<H>>,
) -> Result<(), FetchError> {
    let copy: ConfigurationCopy<'_> = fetch_page(peer, CONFIGURATION_PATH, FETCH_TIMEOUT_MS).await?;
    match copy.into_configuration() {
        Ok(configuration) => {
            let origin = Origin::Peer;
            let read = ConfigurationRead {
                configuration,
                origin,
            };
            // The actor ends only with the instance.
            let _ = control.send(read).await;
        }
        Err(ambiguous) => {
            // The actor ends only with the instance.
            let _ = control.send(ambiguous).await;
        }
    }
    Ok(())
}

async fn fetch_whole_list<H: HeaderProtocol>(
    peer: SocketAddrV4,
    control: &Address<Control<H>>,
) -> Result<(), FetchError> {
    let outcome = fetch_servers(peer, SERVERS_PATH, WHOLE_LIST_TIMEOUT_MS, control).await;
    // The actor ends only with the instance.
    let _ = control.send(WholeListFetched).await;
    outcome
}

async fn fetch_difference<H: HeaderProtocol>(
    peer: SocketAddrV4,
    digest: u64,
    control: &Address<Control<H>>,
) -> Result<(), FetchError> {
    let path = format!("{SERVERS_PATH}?{DIGEST_QUERY}{digest:016x}");
    let outcome = fetch_servers(peer, &path, FETCH_TIMEOUT_MS, control).await;
    if matches!(outcome, Err(FetchError::Status(StatusCode::GONE))) {
        // The actor ends only with the instance.
        let _ = control.send(DifferenceUnknown).await;
    }
    outcome
}

async fn fetch_servers<H: HeaderProtocol>(
    peer: SocketAddrV4,
    path: &str,
    timeout_ms: u64,
    control: &Address<Control<H>>,
) -> Result<(), FetchError> {
    let listing = fetch_page(peer, path, timeout_ms).await?;
    // The actor ends only with the instance.
    let _ = control.send(PeerServersRead { listing, peer }).await;
    Ok(())
}

async fn fetch_page<T: DeserializeOwned>(
    peer: SocketAddrV4,
    path: &str,
    timeout_ms: u64,
) -> Result<T, FetchError> {
    let bytes = timeout(Duration::from_millis(timeout_ms), fetch_bytes(peer, path))
        .await
        .map_err(|_| FetchError::TimedOut(timeout_ms))??;
    serde_json::from_slice(&bytes).map_err(FetchError::Unreadable)
}

async fn fetch_bytes(peer: SocketAddrV4, path: &str) -> Result<Bytes, FetchError> {
    let address = SocketAddr::V4(peer);
    let mut connection = HttpConnection::open(address, CONNECT_TIMEOUT_MS, ByteCounter::default())
        .await
        .map_err(FetchError::Connect)?;
    if !connection.ready().await {
        return Err(FetchError::Closed);
    }
    let request = Request::builder()
        .uri(path)
        .header(HOST, address.to_string())
        .body(Full::<Bytes>::default())
        .map_err(FetchError::Request)?;
    let response = connection.send(request).await.map_err(FetchError::NoAnswer)?;
    if response.status() != StatusCode::OK {
        return Err(FetchError::Status(response.status()));
    }
    let body = Limited::new(response.into_body(), ANSWER_BYTES_MAX);
    Ok(body.collect().await.map_err(FetchError::Body)?.to_bytes())
}
