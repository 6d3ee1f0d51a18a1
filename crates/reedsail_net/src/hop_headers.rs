//! Headers that concern one connection only, and are not passed on in requests or answers.

use hyper::HeaderMap;
use hyper::header::CONNECTION;

/// Headers that concern one connection only (RFC 9110, 7.6.1).
pub const HOP_HEADERS: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Removes these headers, and those that the `Connection` header names.
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
