//! A client of the platform's two services: the append-only log and the instance list.
//!
//! docs/reedsaild/PROTOCOLS.md describes the protocol.

mod client;
mod message;

pub use client::PlatformClient;
pub use client::PlatformError;
pub use message::Appended;
pub use message::Instance;
pub use message::InstanceKind;
pub use message::InstanceList;
pub use message::InstanceState;
pub use message::LogPage;
pub use message::LogRecord;
