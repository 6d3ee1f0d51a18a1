//! The ed25519 keys (RFC 8032) of authors and approvers.

use ed25519_dalek::Signature as DalekSignature;
use ed25519_dalek::Signer;
use ed25519_dalek::SigningKey;
use ed25519_dalek::VerifyingKey;

/// The role of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum KeyRole {
    /// Signs bundles as their author.
    Author,
    /// Approves bundles.
    Approver,
}

/// A public key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PublicKey(pub [u8; 32]);

/// A secret key. It never leaves its owner's machine in a message.
pub struct SecretKey(SigningKey);

impl SecretKey {
    /// Generates a key from the operating system's randomness.
    pub fn generate() -> Self {
        Self::from_bytes(rand::random())
    }

    /// Creates a key from its bytes.
    pub fn from_bytes(bytes: [u8; 32]) -> Self {
        Self(SigningKey::from_bytes(&bytes))
    }

    /// Returns the bytes of the key, for storage by its owner.
    pub fn to_bytes(&self) -> [u8; 32] {
        self.0.to_bytes()
    }

    /// Returns the public key.
    pub fn public(&self) -> PublicKey {
        PublicKey(self.0.verifying_key().to_bytes())
    }

    /// Signs a message.
    pub fn sign(&self, message: &[u8]) -> [u8; 64] {
        self.0.sign(message).to_bytes()
    }
}

impl PublicKey {
    /// Returns whether a signature is valid for this key under strict verification.
    pub fn verify(&self, message: &[u8], signature: &[u8; 64]) -> bool {
        let signature = DalekSignature::from_bytes(signature);
        VerifyingKey::from_bytes(&self.0).is_ok_and(|key| key.verify_strict(message, &signature).is_ok())
    }
}

/// A trusted key from the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrustedKey {
    /// The person's name.
    pub name: String,
    /// The role of the person.
    pub role: KeyRole,
    /// The person's key.
    pub key: PublicKey,
}

/// The trusted keys from the settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TrustedKeys(pub Vec<TrustedKey>);

impl TrustedKeys {
    /// Returns the key of a person in a role.
    pub fn find(&self, name: &str, role: KeyRole) -> Option<PublicKey> {
        let is_match = |trusted: &&TrustedKey| trusted.name == name && trusted.role == role;
        self.0.iter().find(is_match).map(|trusted| trusted.key)
    }
}
