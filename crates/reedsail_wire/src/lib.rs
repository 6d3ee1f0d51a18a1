//! The messages between daemons, over capnp-rpc on TCP streams that count their bytes, and the datagrams
//! between instances: load messages, stream messages and retry loan messages.
//!
//! Peers' messages are validated and bounded like callers' requests. A row with a name that is unknown to
//! this process is dropped, since it only means that the sender has a newer bundle.

mod claim_rows;
mod grant;
mod link;
#[allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    clippy::all,
    reason = "generated from schema/load.capnp"
)]
mod load_capnp;
mod load_message;
mod message;
#[allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    clippy::all,
    reason = "generated from schema/peer.capnp"
)]
mod peer_capnp;
mod peer_message;
mod report;
mod retry_loan_message;
mod server;
mod stream_message;

pub use claim_rows::ClaimBatch;
pub use link::LinkError;
pub use link::PeerLink;
pub use load_message::IncludedRow;
pub use load_message::LoadMessage;
pub use load_message::LoadScope;
pub use load_message::MemberRow;
pub use message::ClaimEnd;
pub use message::ClaimRequest;
pub use message::ClaimVerdict;
pub use message::Grant;
pub use message::Report;
pub use peer_message::PeerMessage;
pub use retry_loan_message::RetryLoanMessage;
pub use server::PeerHandler;
pub use server::serve_peers;
pub use stream_message::StreamAnswer;
pub use stream_message::StreamMessage;
pub use stream_message::StreamQuery;
