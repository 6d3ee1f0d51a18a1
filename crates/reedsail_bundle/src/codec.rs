//! Computes digests, compression and patches of bundle content.

use std::io::Read;
use std::io::Write;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use reedsail_scheduling::Digest;
use sha2::Digest as _;
use sha2::Sha256;
use thiserror::Error;

/// Maximum size of decompressed content; a record with larger content is rejected.
const CONTENT_BYTES_MAX: u64 = 16 << 20;

/// The reason why content could not be decoded.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum CodecError {
    /// The text is not valid Base64.
    #[error("the content is not valid Base64")]
    NotBase64,
    /// The bytes do not decompress to text within the size limit.
    #[error("the content does not decompress to text of at most 16 MiB")]
    NotDeflate,
    /// The patch does not apply to its base.
    #[error("the patch does not apply to its base")]
    PatchMisfit,
}

/// Returns the SHA-256 digest of a text.
pub fn digest_of(text: &str) -> Digest {
    Sha256::digest(text.as_bytes()).into()
}

pub(crate) fn pack(text: &str) -> String {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::best());
    encoder
        .write_all(text.as_bytes())
        .and_then(|()| encoder.finish())
        .map(|bytes| STANDARD.encode(bytes))
        .expect("writing to memory does not fail")
}

pub(crate) fn unpack(packed: &str) -> Result<String, CodecError> {
    let bytes = STANDARD.decode(packed).map_err(|_| CodecError::NotBase64)?;
    let mut text = String::new();
    DeflateDecoder::new(bytes.as_slice())
        .take(CONTENT_BYTES_MAX + 1)
        .read_to_string(&mut text)
        .map_err(|_| CodecError::NotDeflate)?;
    if text.len() as u64 > CONTENT_BYTES_MAX {
        return Err(CodecError::NotDeflate);
    }
    Ok(text)
}

/// Returns the patch from `base` to `text`, as text.
pub(crate) fn make_patch(base: &str, text: &str) -> String {
    let mut options = diffy::DiffOptions::new();
    options.set_context_len(0);
    options.create_patch(base, text).to_string()
}

pub(crate) fn apply_patch(base: &str, patch: &str) -> Result<String, CodecError> {
    let patch = diffy::Patch::from_str(patch).map_err(|_| CodecError::PatchMisfit)?;
    diffy::apply(base, &patch).map_err(|_| CodecError::PatchMisfit)
}
