//! What a backend server says of itself in an answer. The adapter of a platform decodes it.

/// What the head of an answer says of the server that sent it; the default says nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerNotice {
    /// It drains: it finishes what it runs, and then departs.
    pub is_draining: bool,
    /// For how long it wants no request from this instance, in milliseconds from the answer; `None` if it does not
    /// say so.
    pub backoff_ms: Option<u64>,
}

impl ServerNotice {
    /// Tells whether it says nothing.
    pub fn is_empty(self) -> bool {
        self == Self::default()
    }
}
