//! What an update changed in the server list, by the ids of the servers, for log lines and publication.

/// What has changed in the list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListDelta {
    /// Servers that are new.
    pub listed: Vec<String>,
    /// Servers that started again under their id.
    pub restarted: Vec<String>,
    /// Servers that turned cold, are cold for longer than was known, or are warm again.
    pub cold: Vec<String>,
    /// Servers that began to drain.
    pub draining: Vec<String>,
    /// Servers that departed.
    pub unlisted: Vec<String>,
    /// Records that cannot be read, each with what is wrong.
    pub unreadable: Vec<(String, String)>,
}

impl ListDelta {
    /// Tells whether the list stayed the same.
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
