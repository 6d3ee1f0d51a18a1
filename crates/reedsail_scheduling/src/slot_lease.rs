//! What a member of a service tells its allocator, and what the allocator leases back.
//!
//! A member is a daemon, or the allocator of another failure domain that borrows spare slots:
//! both speak this same protocol.

use reedsail_core::ServerKey;
use reedsail_core::WorkspaceKey;

/// Who reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberKind {
    /// A daemon of the allocator's own failure domain.
    Instance,
    /// The allocator of the same service in another failure domain.
    Domain,
}

/// The slots that a member holds on one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotRow {
    /// The backend server.
    pub server: ServerKey,
    /// Slots leased to the member or still in use there.
    pub held: u32,
    /// Slots on which a request runs.
    pub in_use: u32,
}

/// What one workspace wants, and what it has received, at the member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DemandRow {
    /// The workspace.
    pub workspace: WorkspaceKey,
    /// Requests that wait.
    pub queued: u32,
    /// Requests that run.
    pub running: u32,
    /// Cost received since the session began, in whole cost units, wrapping at 2³².
    pub cost_total: u32,
    /// Virtual time above the report's base, in cost units per weight.
    pub lead: f64,
}

/// One member's report on one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceReport {
    /// Who reports.
    pub kind: MemberKind,
    /// Changes whenever the member's cost counters start again from zero.
    pub session: u32,
    /// For a domain: how many slots its own backend servers have.
    pub own_slots: u32,
    /// The virtual time from which leads count.
    pub base: f64,
    /// The slots held.
    pub slots: Vec<SlotRow>,
    /// Backend servers that the member's own requests failed on and that now rest.
    pub resting: Vec<ServerKey>,
    /// What workspaces want and got.
    pub demands: Vec<DemandRow>,
}

/// How many slots of a backend server are leased to the member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseRow {
    /// The backend server.
    pub server: ServerKey,
    /// Leased slots, in place of any earlier lease on the server.
    pub slots: u32,
}

/// A workspace's fleet-wide virtual time, and its part of the member's slots.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct VirtualTimeRow {
    /// The workspace.
    pub workspace: WorkspaceKey,
    /// Virtual time above the grant's base, in cost units per weight.
    pub lead: f64,
    /// The slots that the workspace is to have at the member.
    pub share: f64,
}

/// The allocator's answer to one report; servers that it does not name are no longer leased.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceGrant {
    /// The least virtual time among backlogged workspaces, as the allocator knows it.
    pub base: f64,
    /// The leases.
    pub leases: Vec<LeaseRow>,
    /// The virtual times of the workspaces that the report named.
    pub virtual_times: Vec<VirtualTimeRow>,
}

impl ServiceGrant {
    /// Returns each named workspace's share of the member's slots.
    pub fn shares(&self) -> impl Iterator<Item = (WorkspaceKey, f64)> {
        self.virtual_times.iter().map(|row| (row.workspace, row.share))
    }
}
