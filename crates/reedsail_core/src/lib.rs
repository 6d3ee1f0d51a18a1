//! Every decision of the router fleet, as tables of entities and systems over them.
//!
//! Nothing here does I/O, reads a clock or knows an asynchronous runtime: each function takes
//! state, an event and the present moment, and returns what is to be done. The daemon, the tests,
//! the replay and the bench all drive this same code.

mod accept_fold;
mod affinity;
mod allocator;
mod claim_fold;
mod error_kind;
mod fair_queue;
mod health;
mod key;
mod membership;
mod pacer;
mod policy;
mod preemption;
mod rate_limit;
mod retry_budget;
mod scheduler;
mod share;
mod slot_lease;

pub use accept_fold::AcceptFold;
pub use accept_fold::AcceptedVersion;
pub use accept_fold::Digest;
pub use accept_fold::FoldVerdict;
pub use accept_fold::RolloutRecord;
pub use affinity::AffinityTable;
pub use allocator::Allocator;
pub use allocator::AllocatorConfig;
pub use allocator::ServerCapacity;
pub use claim_fold::ClaimFold;
pub use claim_fold::ClaimKey;
pub use claim_fold::ClaimRecord;
pub use claim_fold::ClaimState;
pub use claim_fold::Nonce;
pub use error_kind::ErrorKind;
pub use error_kind::RanState;
pub use fair_queue::Class;
pub use fair_queue::FairQueue;
pub use fair_queue::QueueLimits;
pub use fair_queue::Ticket;
pub use fair_queue::Waiting;
pub use health::ServerHealth;
pub use key::Directory;
pub use key::KeyTable;
pub use key::NameHash;
pub use key::ServerKey;
pub use key::ServiceKey;
pub use key::TableKey;
pub use key::TimeMs;
pub use key::WorkspaceKey;
pub use membership::Membership;
pub use membership::Presence;
pub use membership::rank_by_rendezvous;
pub use pacer::BytePacer;
pub use policy::FifoPolicy;
pub use policy::FleetPolicy;
pub use policy::SharePolicy;
pub use policy::SplitPolicy;
pub use preemption::PreemptFlag;
pub use rate_limit::RateLimit;
pub use retry_budget::RetryBudget;
pub use scheduler::Dispatch;
pub use scheduler::Running;
pub use scheduler::Scheduler;
pub use scheduler::ServerSetup;
pub use scheduler::WorkspaceSetup;
pub use share::ShareDemand;
pub use share::share_slots;
pub use slot_lease::DemandRow;
pub use slot_lease::LeaseRow;
pub use slot_lease::MemberKind;
pub use slot_lease::ServiceGrant;
pub use slot_lease::ServiceReport;
pub use slot_lease::SlotRow;
pub use slot_lease::VirtualTimeRow;
