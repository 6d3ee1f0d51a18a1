//! Hop-by-hop headers, which are not forwarded in requests or responses.

use hyper::HeaderMap;
use hyper::header::CONNECTION;

/// The hop-by-hop headers (RFC 9110, 7.6.1).
pub const HOP_HEADERS: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Removes the hop-by-hop headers, including those that the `Connection` header names.
pub fn remove_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in HOP_HEADERS {
        headers.remove(*name);
    }
    for name in named {
        headers.remove(name.as_str());
    }
}
