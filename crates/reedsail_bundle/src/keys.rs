//! The ed25519 keys (RFC 8032) of authors and approvers.

use ed25519_dalek::Signature as DalekSignature;
use ed25519_dalek::Signer;
use ed25519_dalek::SigningKey;
use ed25519_dalek::VerifyingKey;

/// What a key may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum KeyRole {
    /// Writes bundles.
    Author,
    /// Signs bundles off.
    Approver,
}

/// A public key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PublicKey(pub [u8; 32]);

/// A secret key; it leaves its owner's machine in no message.
pub struct SecretKey(SigningKey);

impl SecretKey {
    /// Makes a key from the operating system's randomness.
    pub fn generate() -> Self {
        Self::from_bytes(rand::random())
    }

    /// Takes over a key's bytes.
    pub fn from_bytes(bytes: [u8; 32]) -> Self {
        Self(SigningKey::from_bytes(&bytes))
    }

    /// Returns the key's bytes, to be stored by its owner.
    pub fn to_bytes(&self) -> [u8; 32] {
        self.0.to_bytes()
    }

    /// Returns the public half.
    pub fn public(&self) -> PublicKey {
        PublicKey(self.0.verifying_key().to_bytes())
    }

    /// Signs a message.
    pub fn sign(&self, message: &[u8]) -> [u8; 64] {
        self.0.sign(message).to_bytes()
    }
}

impl PublicKey {
    /// Tells whether a signature is this key's, by the strict rules.
    pub fn verify(&self, message: &[u8], signature: &[u8; 64]) -> bool {
        let signature = DalekSignature::from_bytes(signature);
        VerifyingKey::from_bytes(&self.0).is_ok_and(|key| key.verify_strict(message, &signature).is_ok())
    }
}

/// A key that settings name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrustedKey {
    /// The person's name.
    pub name: String,
    /// What the person may do.
    pub role: KeyRole,
    /// The person's key.
    pub key: PublicKey,
}

/// The keys that settings name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TrustedKeys(pub Vec<TrustedKey>);

impl TrustedKeys {
    /// Finds a person's key in a role.
    pub fn find(&self, name: &str, role: KeyRole) -> Option<PublicKey> {
        let fits = |trusted: &&TrustedKey| trusted.name == name && trusted.role == role;
        self.0.iter().find(fits).map(|trusted| trusted.key)
    }
}
