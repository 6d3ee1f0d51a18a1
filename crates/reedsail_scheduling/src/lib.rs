//! The scheduling decisions of `reedsaild`: which workspace's request runs next, on which slots, and what
//! state the log's records yield. The router's decisions are in `reedsail_dispatch`.
//!
//! The code is pure: each function takes state, an event and the current time, and returns the actions to
//! take. Instances, tests and replays run this same code.
//!
//! | modules | decide |
//! |---|---|
//! | `fair_queue`, `scheduler`, `preemption`, `share` | which request of which workspace runs next |
//! | `allocator`, `slot_lease`, `membership`, `pacer` | how the fleet's slots are leased to instances |
//! | `rollout_fold`, `claim_fold` | which bundle is in force, who may run a keyed call |
//! | `affinity`, `health`, `rate_limit`, `retry_budget` | limits and hints of a single instance |

mod affinity;
mod allocator;
mod claim_fold;
mod fair_queue;
mod health;
mod membership;
mod pacer;
mod policy;
mod preemption;
mod rate_limit;
mod retry_budget;
mod rollout_fold;
mod scheduler;
mod share;
mod slot_lease;
mod workspace_table;

pub use affinity::AffinityTable;
pub use allocator::Allocator;
pub use allocator::AllocatorConfig;
pub use allocator::ServerCapacity;
pub use claim_fold::ClaimFold;
pub use claim_fold::ClaimKey;
pub use claim_fold::ClaimRecord;
pub use claim_fold::ClaimState;
pub use claim_fold::Nonce;
pub use fair_queue::Class;
pub use fair_queue::FairQueue;
pub use fair_queue::QueueLimits;
pub use fair_queue::Ticket;
pub use fair_queue::Waiting;
pub use health::ServerHealth;
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
pub use rollout_fold::AcceptedVersion;
pub use rollout_fold::Digest;
pub use rollout_fold::FoldVerdict;
pub use rollout_fold::RolloutFold;
pub use rollout_fold::RolloutRecord;
pub use scheduler::Dispatch;
pub use scheduler::Running;
pub use scheduler::Scheduler;
pub use scheduler::ServerSetup;
pub use share::ShareDemand;
pub use share::share_slots;
pub use slot_lease::DemandRow;
pub use slot_lease::LeaseRow;
pub use slot_lease::MemberKind;
pub use slot_lease::ServiceGrant;
pub use slot_lease::ServiceReport;
pub use slot_lease::SlotRow;
pub use slot_lease::VirtualTimeRow;
pub use workspace_table::WorkspaceSetup;
pub use workspace_table::WorkspaceTable;
