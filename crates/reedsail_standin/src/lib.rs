//! Small stand-ins for the systems around the fleet: the platform, model engines, plain services and backend servers.
//!
//! Each runs on a loopback port inside the calling process, records what happened, and has faults that a test or a
//! script can switch on.

mod engine;
mod engine_slots;
mod http_server;
mod plain_service;
mod platform;
mod platform_log;
mod prefix_cache;
mod raw_server;
mod routed_server;

pub use engine::EngineConfig;
pub use engine::EngineFaults;
pub use engine::EngineRun;
pub use engine::EngineStandin;
pub use engine::RunEnd;
pub use engine::token_text;
pub use http_server::Body;
pub use http_server::Handler;
pub use http_server::HttpServer;
pub use http_server::StandinError;
pub use http_server::unframed_response;
pub use plain_service::PlainFaults;
pub use plain_service::PlainRun;
pub use plain_service::PlainStandin;
pub use platform::PlatformConfig;
pub use platform::PlatformFaults;
pub use platform::PlatformStandin;
pub use raw_server::RawAnswer;
pub use raw_server::RawServer;
pub use routed_server::RoutedAnswer;
pub use routed_server::RoutedRun;
pub use routed_server::RoutedStandin;
