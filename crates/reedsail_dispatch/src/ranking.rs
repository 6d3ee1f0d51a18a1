//! Ranks backend servers for a prompt part, alike on every daemon and without a message.

use reedsail_core::NameHash;
use twox_hash::XxHash64;

/// Returns the weight of a server for a part: the heaviest is the part's first server (rendezvous
/// hashing: Thaler and Ravishankar, 1998).
pub(crate) fn rendezvous_weight(part: u64, server: NameHash) -> u64 {
    XxHash64::oneshot(part, &server.0.to_le_bytes())
}
