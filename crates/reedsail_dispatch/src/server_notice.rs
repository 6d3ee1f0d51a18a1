//! Notices that a backend server sends about itself in an answer. The adapter of a platform decodes them.

/// The notice in the head of an answer about the server that sent it. The default is an empty notice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerNotice {
    /// Whether the server is draining: it finishes its running requests and then departs.
    pub is_draining: bool,
    /// How long this instance must send no request to the server, in milliseconds from the answer; `None` if the
    /// answer does not say.
    pub backoff_ms: Option<u64>,
}

impl ServerNotice {
    /// Returns whether the notice is empty.
    pub fn is_empty(self) -> bool {
        self == Self::default()
    }
}
