//! Fetches from a peer what the store does not give.

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
use tokio::time::timeout;
use xtra::Address;

use super::actor::ConfigurationRead;
use super::actor::Control;
use super::actor::PeerServersRead;
use super::round::PeerFetch;
use crate::HeaderProtocol;
use crate::admin::CONFIGURATION_PATH;
use crate::admin::SERVERS_PATH;

/// How long an fetch may take.
const PEER_FETCH_MS: u64 = 450;
/// How long connecting may take.
const CONNECT_MS: u64 = 200;
/// The largest answer that is read.
const ANSWER_BYTES_MAX: usize = 16 << 20;

/// Runs a fetch; one that fails is sent anew by a later tick.
pub(crate) async fn run_fetch<H: HeaderProtocol>(fetch: PeerFetch, control: Address<Control<H>>) {
    let limit = Duration::from_millis(PEER_FETCH_MS);
    match fetch {
        PeerFetch::Configuration(peer) => {
            if let Ok(Some(configuration)) = timeout(limit, fetch_page(peer, CONFIGURATION_PATH)).await {
                let read = ConfigurationRead {
                    configuration,
                    origin: "peer",
                };
                let _ = control.send(read).await;
            }
        }
        PeerFetch::Servers(peer) => {
            if let Ok(Some(records)) = timeout(limit, fetch_page(peer, SERVERS_PATH)).await {
                let _ = control.send(PeerServersRead(records)).await;
            }
        }
    }
}

async fn fetch_page<T: DeserializeOwned>(peer: SocketAddrV4, path: &str) -> Option<T> {
    let address = SocketAddr::V4(peer);
    let mut connection = HttpConnection::open(address, CONNECT_MS, ByteCounter::default())
        .await
        .ok()?;
    if !connection.ready().await {
        return None;
    }
    let request = Request::builder()
        .uri(path)
        .header(HOST, address.to_string())
        .body(Full::<Bytes>::default())
        .ok()?;
    let response = connection.send(request).await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    let body = Limited::new(response.into_body(), ANSWER_BYTES_MAX);
    let bytes = body.collect().await.ok()?.to_bytes();
    serde_json::from_slice(&bytes).ok()
}
