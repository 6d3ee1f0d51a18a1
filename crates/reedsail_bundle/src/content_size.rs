//! How large a bundle's content is, whole, packed, and as a change.

use crate::codec::make_patch;
use crate::codec::pack;

/// The sizes that decide what a change of bundle costs on the wire, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ContentSize {
    /// The content as written.
    pub whole_bytes: usize,
    /// The content as a checkpoint carries it.
    pub packed_bytes: usize,
    /// The change from the base as a proposal carries it.
    pub patch_bytes: usize,
}

impl ContentSize {
    /// Measures the content of a successor and its base.
    pub fn measure(base: &str, text: &str) -> Self {
        Self {
            whole_bytes: text.len(),
            packed_bytes: pack(text).len(),
            patch_bytes: make_patch(base, text).len(),
        }
    }
}
