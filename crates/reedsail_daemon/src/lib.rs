//! The daemon: one thread owns the control state, the other threads serve requests.

mod admin;
mod claims;
mod control;
mod metrics;
mod running;
mod service_cell;
mod settings;
mod settings_reader;
mod shared;
mod stage;
mod traffic;
mod view;

use reedsail_core::BuildInfo;
use reedsail_core::build_info;

pub use reedsail_net::Clock;
pub use running::DaemonAddresses;
pub use running::DaemonOptions;
pub use running::RunningDaemon;
pub use settings::ClaimSettings;
pub use settings::ControlSettings;
pub use settings::LimitSettings;
pub use settings::ListenSettings;
pub use settings::PeerSeed;
pub use settings::PolicyChoice;
pub use settings::Settings;
pub use settings::TimelineSettings;
pub use shared::ServiceStatus;
pub use shared::Status;
pub use stage::Stage;

/// What the daemon was built from.
pub const BUILD: BuildInfo = build_info!();
