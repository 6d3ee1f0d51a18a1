//! The reports of a service's members to their allocator, and the leases it grants.
//!
//! A member is an instance, or the allocator of another failure domain that borrows spare slots. Both use the
//! same protocol.

use reedsail_core::ServerKey;
use reedsail_core::WorkspaceKey;

/// The kind of a reporting member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberKind {
    /// An instance of the allocator's own failure domain.
    Instance,
    /// The allocator of the same service in another failure domain.
    Domain,
}

/// The slots that a member holds on one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotRow {
    /// The backend server.
    pub server: ServerKey,
    /// Slots leased to the member, or still in use after the lease shrank.
    pub held: u32,
    /// Slots with a running request.
    pub in_use: u32,
}

/// A workspace's demand and received cost at the member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DemandRow {
    /// The workspace.
    pub workspace: WorkspaceKey,
    /// Waiting requests.
    pub queued: u32,
    /// Running requests.
    pub running: u32,
    /// Cost received since the session began, in whole cost units, wrapping at 2³².
    pub cost_total: u32,
    /// Virtual time above the report's base, in cost units per weight.
    pub lead: f64,
}

/// One member's report on one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceReport {
    /// The kind of the member.
    pub kind: MemberKind,
    /// Changes whenever the member's cost counters restart from zero.
    pub session: u32,
    /// For a domain: the total slots of its own backend servers.
    pub own_slots: u32,
    /// The virtual time to which leads are relative.
    pub base: f64,
    /// The held slots.
    pub slots: Vec<SlotRow>,
    /// Backend servers that rest after the member's own requests failed on them.
    pub resting: Vec<ServerKey>,
    /// The demand and received cost of each workspace.
    pub demands: Vec<DemandRow>,
}

/// The slots of a backend server leased to the member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseRow {
    /// The backend server.
    pub server: ServerKey,
    /// Leased slots; they replace any earlier lease on the server.
    pub slots: u32,
}

/// A workspace's fleet-wide virtual time and its share of the member's slots.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct VirtualTimeRow {
    /// The workspace.
    pub workspace: WorkspaceKey,
    /// Virtual time above the grant's base, in cost units per weight.
    pub lead: f64,
    /// The workspace's target number of slots at the member.
    pub share: f64,
}

/// The allocator's answer to a report. A server without a row is no longer leased.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceGrant {
    /// The lowest virtual time among backlogged workspaces known to the allocator.
    pub base: f64,
    /// The leases.
    pub leases: Vec<LeaseRow>,
    /// The virtual times of the workspaces in the report.
    pub virtual_times: Vec<VirtualTimeRow>,
}

impl ServiceGrant {
    /// Returns each listed workspace's share of the member's slots.
    pub fn shares(&self) -> impl Iterator<Item = (WorkspaceKey, f64)> {
        self.virtual_times.iter().map(|row| (row.workspace, row.share))
    }
}
