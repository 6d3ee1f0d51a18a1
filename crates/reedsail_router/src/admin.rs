//! The admin pages: readiness for the load balancer, metrics, and the configuration and server list for peers.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use reedsail_net::serve_pages;
use serde::Serialize;
use tokio::net::TcpListener;
use xtra::Address;

use crate::HeaderProtocol;
use crate::configuration_copy::ConfigurationCopy;
use crate::control::Control;
use crate::control::ListServers;
use crate::shared::Shared;

/// Path of the page with the configuration in force, for peers.
pub(crate) const CONFIGURATION_PATH: &str = "/configuration";
/// Path of the page with the list of backend servers, for peers.
pub(crate) const SERVERS_PATH: &str = "/servers";
/// Prefix of the query of [`SERVERS_PATH`] that requests only a difference. The digest follows in hexadecimal.
pub(crate) const DIGEST_QUERY: &str = "digest=";
/// Path of the metrics page.
const METRICS_PATH: &str = "/metrics";

/// Serves the admin pages on one listener until the instance ends.
pub(crate) async fn serve_admin<H: HeaderProtocol>(
    listener: TcpListener,
    shared: Arc<Shared<H>>,
    control: Address<Control<H>>,
) {
    let mut server = http1::Builder::new();
    server.auto_date_header(false);
    let handler = move |request| handle_request(request, Arc::clone(&shared), control.clone());
    serve_pages(listener, server, handler).await;
}

async fn handle_request<H: HeaderProtocol>(
    request: Request<Incoming>,
    shared: Arc<Shared<H>>,
    control: Address<Control<H>>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let path = request.uri().path();
    let response = if path == shared.settings.readiness_path {
        empty_response(if shared.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        })
    } else if path == METRICS_PATH {
        shared.metrics.bodies.set(&shared.body_memory);
        Response::new(Full::new(Bytes::from(shared.metrics.render())))
    } else if path == CONFIGURATION_PATH {
        let routes = shared.routes.load();
        match routes.version() {
            0 => empty_response(StatusCode::NOT_FOUND),
            _ => json_response(&ConfigurationCopy::of(&routes.configuration)),
        }
    } else if path == SERVERS_PATH {
        let differs_from = request.uri().query().and_then(parse_digest_query);
        match control.send(ListServers { differs_from }).await {
            Ok(Some(page)) => json_text_response(page),
            Ok(None) => empty_response(StatusCode::GONE),
            // The control actor ends only with the instance.
            Err(_) => empty_response(StatusCode::SERVICE_UNAVAILABLE),
        }
    } else {
        empty_response(StatusCode::NOT_FOUND)
    };
    Ok(response)
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

fn json_response(value: &impl Serialize) -> Response<Full<Bytes>> {
    // Every field of these pages serializes, so an error here is a bug. It shows as status 500.
    let Ok(text) = serde_json::to_vec(value) else {
        return empty_response(StatusCode::INTERNAL_SERVER_ERROR);
    };
    json_text_response(Bytes::from(text))
}

fn json_text_response(text: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Returns the digest in a query. A query without a valid digest requests the complete list.
fn parse_digest_query(query: &str) -> Option<u64> {
    let digest = query.strip_prefix(DIGEST_QUERY)?;
    u64::from_str_radix(digest, 16).ok()
}
