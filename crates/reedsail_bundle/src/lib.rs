//! Bundles: the configuration that operators control, and how it is validated, signed, recorded and followed.

mod bundle;

mod codec;
mod content_size;
mod diff;
mod follower;
mod keys;
mod read;
mod record;

pub use bundle::Bundle;
pub use bundle::CallRule;
pub use bundle::CostUnit;
pub use bundle::KeyRule;
pub use bundle::Repeat;
pub use bundle::Server;
pub use bundle::Service;
pub use bundle::ServiceKind;
pub use bundle::Workspace;
pub use bundle::WorkspaceLimits;
pub use codec::CodecError;
pub use codec::digest_of;
pub use content_size::ContentSize;
pub use diff::BundleChange;
pub use diff::diff_bundles;
pub use follower::BundleFollower;
pub use follower::Followed;
pub use keys::KeyRole;
pub use keys::PublicKey;
pub use keys::SecretKey;
pub use keys::TrustedKey;
pub use keys::TrustedKeys;
pub use read::read_bundle;
pub use record::BundleRecord;
pub use record::RecordBody;
pub use record::RecordError;
pub use record::Signature;
pub use record::SignedHead;
