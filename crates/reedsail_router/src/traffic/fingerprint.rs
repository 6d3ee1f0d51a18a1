//! Computes the fingerprint of a request. Retries by the caller have the same fingerprint.

use hyper::header::HOST;
use hyper::http::request::Parts;
use reedsail_core::Fingerprint;
use reedsail_core::NameHash;
use twox_hash::XxHash3_128;

/// Low bits of a fingerprint, a hash of the request. The bits above are its workspace.
const REQUEST_BITS: u32 = 96;

/// Returns the fingerprint of the caller's workspace, the request target and the body. The request's id and deadline
/// are left out, because they change with each retry by the caller.
///
/// The first 32 bits are the workspace, so no caller can forge the fingerprint of another workspace's request, and a
/// fast hash is enough within a workspace. All callers without a workspace share one value of these bits, so their
/// requests are hashed with BLAKE3: with a weaker hash, one caller could craft a collision with another caller's
/// request. BLAKE3 takes 13 us for 17,000 bytes, XXH3 0.6 us (loops of 20,000).
pub(crate) fn fingerprint_of(workspace: Option<NameHash>, parts: &Parts, body: &[u8]) -> Fingerprint {
    let hashed = match workspace {
        Some(_) => fast_hash(parts, body),
        None => collision_resistant_hash(parts, body),
    };
    let workspace = workspace.unwrap_or_default();
    Fingerprint(u128::from(workspace.0) << REQUEST_BITS | hashed >> (u128::BITS - REQUEST_BITS))
}

/// Encodes the method, the host and the path with the length of each.
fn request_target(parts: &Parts) -> Vec<u8> {
    let host = parts.headers.get(HOST).map_or(&[][..], |host| host.as_bytes());
    let path = parts.uri.path_and_query().map_or("", |path| path.as_str());
    let mut request_target = Vec::with_capacity(host.len() + path.len() + 32);
    for field in [parts.method.as_str().as_bytes(), host, path.as_bytes()] {
        request_target.extend_from_slice(&(field.len() as u64).to_le_bytes());
        request_target.extend_from_slice(field);
    }
    request_target
}

fn fast_hash(parts: &Parts, body: &[u8]) -> u128 {
    let target_hash = XxHash3_128::oneshot(&request_target(parts));
    XxHash3_128::oneshot_with_seed(target_hash as u64, body) ^ target_hash
}

fn collision_resistant_hash(parts: &Parts, body: &[u8]) -> u128 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&request_target(parts));
    hasher.update(body);
    let mut first_half = [0; 16];
    hasher.finalize_xof().fill(&mut first_half);
    u128::from_le_bytes(first_half)
}
