//! A request router: accepts callers' requests on the routes that operators configure, and forwards each to a backend
//! server of the route's service.
//!
//! Small traits cover what differs between deployments: the sources of the configuration and the server list
//! ([`OperatorSource`], [`ServerSource`]), and the headers of callers and servers ([`HeaderProtocol`]).
//! `reedsail_dispatch` makes the routing decisions.

mod admin;
mod caller_access;
mod configuration;
mod configuration_copy;
mod control;
mod header_values;
mod log_cursor;
mod metrics;
mod newest_records;
mod program;
mod protocol;
mod route_table;
mod running;
mod server_views;
mod settings;
mod share_fields;
mod shared;
mod source;
mod stream_exchange;
mod traffic;
mod workspace_tokens;

pub use caller_access::CallerAccess;
pub use configuration::AnswerShape;
pub use configuration::CallerLimits;
pub use configuration::Configuration;
pub use configuration::Repetition;
pub use configuration::Route;
pub use configuration::RouteTarget;
pub use configuration::ServiceDefinition;
pub use configuration::WorkspaceDefinition;
pub use header_values::format_retry_after;
pub use header_values::insert_text;
pub use header_values::read_bearer;
pub use header_values::read_number;
pub use header_values::read_output_tokens;
pub use header_values::read_prompt;
pub use header_values::read_resumption;
pub use header_values::read_retry_after_ms;
pub use log_cursor::LogCursor;
pub use newest_records::NewestRecords;
pub use newest_records::PositionedRecord;
pub use program::ProgramFlags;
pub use program::run_program;
pub use protocol::CallHead;
pub use protocol::ForwardHead;
pub use protocol::HeaderError;
pub use protocol::HeaderProtocol;
pub use protocol::ResponseKind;
pub use protocol::ResumptionHead;
pub use running::RouterAddresses;
pub use running::RunningRouter;
pub use settings::ListenAddresses;
pub use settings::RouterSettings;
pub use settings::StopSettings;
pub use source::OperatorSource;
pub use source::OperatorUpdate;
pub use source::QuarantineStore;
pub use source::SavedQuarantine;
pub use source::ServerSource;
pub use source::SourceError;
pub use source::Sources;
