//! The changes that an update made to the server list, by server id, for log lines and publication.

use reedsail_core::StorePosition;

/// A server that is used again although its departure was known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerReturn {
    /// The server's id.
    pub id: String,
    /// The position in the store's log as of which it had departed.
    pub departed_at: StorePosition,
    /// The position in the store's log as of which it accepts work.
    pub announced_at: StorePosition,
}

/// The changes of the list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListDelta {
    /// New servers.
    pub listed: Vec<String>,
    /// Servers whose departure was known and has ended.
    pub returned: Vec<ServerReturn>,
    /// Servers that restarted under their id.
    pub restarted: Vec<String>,
    /// Servers that became cold, stay cold for longer than known before, or became warm.
    pub cold: Vec<String>,
    /// Servers that started draining.
    pub draining: Vec<String>,
    /// Servers that departed.
    pub unlisted: Vec<String>,
    /// Ids of unreadable records, each with the error.
    pub unreadable: Vec<(String, String)>,
    /// Number of records that the list was newer than.
    pub outdated: usize,
}

impl ListDelta {
    /// Returns whether the list is unchanged.
    pub fn is_empty(&self) -> bool {
        let changes = [
            &self.listed,
            &self.restarted,
            &self.cold,
            &self.draining,
            &self.unlisted,
        ];
        changes.iter().all(|ids| ids.is_empty())
    }
}
