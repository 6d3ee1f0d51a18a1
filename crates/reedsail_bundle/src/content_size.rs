//! The size of a bundle's content: uncompressed, compressed, and as a patch.

use crate::codec::make_patch;
use crate::codec::pack;

/// The sizes, in bytes, that determine the network cost of a bundle change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ContentSize {
    /// The uncompressed content.
    pub whole_bytes: usize,
    /// The compressed content in a checkpoint.
    pub packed_bytes: usize,
    /// The patch from the base in a proposal.
    pub patch_bytes: usize,
}

impl ContentSize {
    /// Measures the content `text` and its patch from `base`.
    pub fn measure(base: &str, text: &str) -> Self {
        Self {
            whole_bytes: text.len(),
            packed_bytes: pack(text).len(),
            patch_bytes: make_patch(base, text).len(),
        }
    }
}
