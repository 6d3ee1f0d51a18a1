//! Makes the fingerprint of a request as it is read.

use hyper::header::HOST;
use hyper::http::request::Parts;
use reedsail_core::Fingerprint;

/// Returns the fingerprint over the caller's workspace, the address and the body; the request's id and deadline
/// change with each return and are left out.
///
/// BLAKE3, cut to 128 bits: instances share no secret, so a keyed hash would not do, and without one only a
/// cryptographic hash keeps a caller from making a body that collides with another one's.
pub(crate) fn fingerprint_of(workspace: Option<&str>, parts: &Parts, body: &[u8]) -> Fingerprint {
    let mut hasher = blake3::Hasher::new();
    let host = parts.headers.get(HOST).map_or(&[][..], |host| host.as_bytes());
    let path = parts.uri.path_and_query().map_or("", |path| path.as_str());
    let head = [
        workspace.unwrap_or_default().as_bytes(),
        parts.method.as_str().as_bytes(),
        host,
        path.as_bytes(),
    ];
    for field in head {
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field);
    }
    hasher.update(body);
    let mut first_half = [0; 16];
    hasher.finalize_xof().fill(&mut first_half);
    Fingerprint(u128::from_le_bytes(first_half))
}
