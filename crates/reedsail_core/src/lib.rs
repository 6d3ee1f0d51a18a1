//! Types that the programs share: what they were built from, keys, times, the fixed list of error kinds, and the outcome of
//! a failed request.
//!
//! Pure: no I/O, no clock, no runtime. Depends on no other crate of the project.

mod build_info;
mod error_kind;
mod fingerprint;
mod key;
mod milliseconds;
mod outcome;
mod store_position;

pub use build_info::BuildInfo;
pub use error_kind::ErrorKind;
pub use error_kind::RanState;
pub use fingerprint::Fingerprint;
pub use key::Directory;
pub use key::KeyTable;
pub use key::NameHash;
pub use key::ServerKey;
pub use key::ServiceKey;
pub use key::TableKey;
pub use key::TimeMs;
pub use key::WorkspaceKey;
pub use milliseconds::Milliseconds;
pub use outcome::Failure;
pub use outcome::Sent;
pub use outcome::Unsent;
pub use store_position::StorePosition;
