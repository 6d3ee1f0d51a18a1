//! The records of the bundle stream: signed proposals, and checkpoints of accepted versions.

use reedsail_scheduling::Digest;
use reedsail_scheduling::RolloutRecord;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;
use uuid::Uuid;

use crate::CodecError;
use crate::KeyRole;
use crate::SecretKey;
use crate::TrustedKeys;
use crate::codec;

/// Maximum size of a record, in bytes.
const RECORD_BYTES_MAX: usize = 16 << 20;

/// The reason why a record is invalid.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum RecordError {
    /// The record is not valid JSON of a record.
    #[error("the record is unreadable: {0}")]
    Unreadable(String),
    /// The signer is not among the trusted keys of the role.
    #[error("`{name}` is not a trusted {role}; add the key to `trusted_keys` in the settings")]
    UnknownSigner {
        /// The name on the record.
        name: String,
        /// The role in which it signed.
        role: &'static str,
    },
    /// A signature is invalid.
    #[error("the signature of `{0}` is invalid; sign the bundle again")]
    WrongSignature(String),
    /// One person signed as author and approver.
    #[error("`{0}` signed as author and as approver; another person must approve")]
    SelfApproval(String),
    /// No approver signed.
    #[error("the bundle is not approved; run `reedsail bundle approve` with an approver's key")]
    NotApproved,
    /// The content cannot be decoded.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// The digest of the content differs from the signed digest.
    #[error("the content differs from the signed content; sign the bundle again")]
    WrongDigest,
}

/// One person's signature.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Signature {
    /// The person's name, as in the settings.
    pub name: String,
    /// The signature in hexadecimal.
    pub signature: String,
}

/// The part of a record that author and approver sign.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SignedHead {
    /// The version that the record replaces; zero for the first version.
    pub base_version: u32,
    /// The digest of the base's content, in hexadecimal; zeros for the first version.
    pub base_digest: String,
    /// The digest of the content, in hexadecimal.
    pub digest: String,
    /// The author's signature.
    pub author: Signature,
    /// The approver's signature.
    pub approver: Option<Signature>,
}

/// The content of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordBody {
    /// A proposal with the patch from the base.
    Patch(String),
    /// A proposal without a base, with the complete compressed content.
    Whole(String),
    /// A checkpoint of the accepted version.
    Checkpoint {
        /// The checkpoint includes every record of the log before this offset.
        as_of: u64,
        /// The complete compressed content.
        content: String,
    },
}

/// A record of the bundle stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BundleRecord {
    /// Identifies the record, so that a duplicate after a lost response is recognized.
    pub id: Uuid,
    /// The signed part.
    pub head: SignedHead,
    /// The content.
    pub body: RecordBody,
}

impl SignedHead {
    /// Signs content as its author.
    pub fn sign(base: Option<(u32, &str)>, text: &str, name: &str, key: &SecretKey) -> Self {
        let (base_version, base_digest) = match base {
            Some((version, base_text)) => (version, codec::digest_of(base_text)),
            None => (0, Digest::default()),
        };
        let mut head = Self {
            base_version,
            base_digest: hex::encode(base_digest),
            digest: hex::encode(codec::digest_of(text)),
            author: Signature {
                name: name.to_owned(),
                signature: String::new(),
            },
            approver: None,
        };
        head.author.signature = hex::encode(key.sign(&head.message("author")));
        head
    }

    /// Adds an approver's signature.
    pub fn approve(&mut self, name: &str, key: &SecretKey) {
        self.approver = Some(Signature {
            name: name.to_owned(),
            signature: hex::encode(key.sign(&self.message("approver"))),
        });
    }

    /// Returns the digest of the content.
    ///
    /// # Errors
    /// The record is unreadable if the digest is not hexadecimal.
    pub fn content_digest(&self) -> Result<Digest, RecordError> {
        parse_digest(&self.digest)
    }

    /// Checks both signatures against the trusted keys.
    ///
    /// # Errors
    /// Names the signer and the fault.
    pub fn verify(&self, trusted: &TrustedKeys) -> Result<(), RecordError> {
        let approver = self.approver.as_ref().ok_or(RecordError::NotApproved)?;
        if approver.name == self.author.name {
            return Err(RecordError::SelfApproval(approver.name.clone()));
        }
        let author_key = self.verify_one(trusted, &self.author, KeyRole::Author, "author")?;
        let approver_key = self.verify_one(trusted, approver, KeyRole::Approver, "approver")?;
        if author_key == approver_key {
            return Err(RecordError::SelfApproval(approver.name.clone()));
        }
        Ok(())
    }

    fn verify_one(
        &self,
        trusted: &TrustedKeys,
        signature: &Signature,
        role: KeyRole,
        role_name: &'static str,
    ) -> Result<crate::PublicKey, RecordError> {
        let key = trusted
            .find(&signature.name, role)
            .ok_or_else(|| RecordError::UnknownSigner {
                name: signature.name.clone(),
                role: role_name,
            })?;
        let mut bytes = [0; 64];
        let invalid_signature = || RecordError::WrongSignature(signature.name.clone());
        hex::decode_to_slice(&signature.signature, &mut bytes).map_err(|_| invalid_signature())?;
        if !key.verify(&self.message(role_name), &bytes) {
            return Err(invalid_signature());
        }
        Ok(key)
    }

    fn message(&self, role: &str) -> Vec<u8> {
        format!(
            "reedsail bundle 1 {role} {} {} {}",
            self.base_version, self.base_digest, self.digest
        )
        .into_bytes()
    }
}

impl BundleRecord {
    /// Creates a proposal.
    pub fn propose(head: SignedHead, base: Option<&str>, text: &str) -> Self {
        let body = match base {
            Some(base) => RecordBody::Patch(codec::make_patch(base, text)),
            None => RecordBody::Whole(codec::pack(text)),
        };
        let id = Uuid::now_v7();
        Self { id, head, body }
    }

    /// Creates a checkpoint of the accepted version.
    pub fn checkpoint(head: SignedHead, text: &str, as_of: u64) -> Self {
        let content = codec::pack(text);
        Self {
            id: Uuid::now_v7(),
            head,
            body: RecordBody::Checkpoint { as_of, content },
        }
    }

    /// Parses a record.
    ///
    /// # Errors
    /// Returns `Unreadable` with the reason.
    pub fn parse(bytes: &[u8]) -> Result<Self, RecordError> {
        if bytes.len() > RECORD_BYTES_MAX {
            return Err(RecordError::Unreadable(
                "the record is larger than 16 MiB".to_owned(),
            ));
        }
        serde_json::from_slice(bytes).map_err(|error| RecordError::Unreadable(error.to_string()))
    }

    /// Returns the record as JSON.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a record always serializes to JSON")
    }

    /// Returns the content. A patch is applied to `base`.
    ///
    /// # Errors
    /// The content cannot be decoded, does not apply to the base, or differs from the signed content.
    pub fn content(&self, base: Option<&str>) -> Result<String, RecordError> {
        let text = match &self.body {
            RecordBody::Patch(patch) => codec::apply_patch(base.unwrap_or_default(), patch)?,
            RecordBody::Whole(packed) | RecordBody::Checkpoint { content: packed, .. } => {
                codec::unpack(packed)?
            }
        };
        if codec::digest_of(&text) != self.head.content_digest()? {
            return Err(RecordError::WrongDigest);
        }
        Ok(text)
    }

    /// Returns the input for the fold of accepted versions.
    ///
    /// # Errors
    /// The record is unreadable if a digest is not hexadecimal.
    pub fn rollout(&self) -> Result<RolloutRecord, RecordError> {
        let digest = self.head.content_digest()?;
        Ok(match self.body {
            RecordBody::Patch(_) | RecordBody::Whole(_) => RolloutRecord::Proposal {
                base_version: self.head.base_version,
                base_digest: parse_digest(&self.head.base_digest)?,
                digest,
            },
            RecordBody::Checkpoint { as_of, .. } => RolloutRecord::Checkpoint {
                version: self.head.base_version + 1,
                digest,
                as_of,
            },
        })
    }
}

fn parse_digest(text: &str) -> Result<Digest, RecordError> {
    let mut digest = Digest::default();
    hex::decode_to_slice(text, &mut digest)
        .map_err(|_| RecordError::Unreadable("a digest is not 64 hexadecimal digits".to_owned()))?;
    Ok(digest)
}
