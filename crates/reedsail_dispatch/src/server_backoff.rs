//! Backoff: how long a server that asked for time gets nothing, and how requests return to it.
//!
//! **Rule.** A server that turned a request away and asked this instance for time gets nothing from it until that time
//! is over, and a while longer that differs from instance to instance and grows with the fleet. Then a window bounds
//! the requests that are sent and have not begun to be answered: one at first, one more with each answer that begins,
//! until the window is as wide as the server has slots. An instance whose peer was asked for time goes on sending,
//! through such a window.
//!
//! **Inputs.** Notices in answers (milliseconds), the number of instances and of the server's slots, peers' reports,
//! answers that begin.
//!
//! **Why.** The server is well and says when it can take more, so its rejections are no failures and nothing but its
//! own time ends the pause. All instances end their pauses at about the same moment; without the window the server would
//! get at once what it turned away before, and in a fleet of more instances than it has slots even one request of each
//! would be too many.
//!
//! **Tested by** `tests/server_notices.rs`, `crates/reedsail_simulation/tests/server_notices.rs`.

use reedsail_core::NameHash;
use reedsail_core::TimeMs;

/// Longest time that a server may ask for, in milliseconds: a wrong number must not take it out of use for days.
const BACKOFF_MAX_MS: u64 = 600_000;
/// How long a peer's report that a server asked it for time counts as the same one, in milliseconds: each such report
/// narrows the window once.
const PEER_BACKOFF_MS: u64 = 2_000;
/// Span over which as many instances as a server has slots return to it, in milliseconds.
const RETURN_ROUND_MS: u64 = 1_000;
/// Longest span over which all instances return to a server, in milliseconds.
const RETURN_SPAN_MAX_MS: u64 = 5_000;

/// Returns how long after the time that a server asked for this instance returns to it, in milliseconds.
pub(crate) fn return_delay_ms(own: NameHash, server: NameHash, instances: usize, slots: u32) -> u64 {
    let others = instances.saturating_sub(1) as u64;
    let span_ms = (RETURN_ROUND_MS * others / u64::from(slots.max(1))).min(RETURN_SPAN_MAX_MS);
    own.rendezvous_weight(u64::from(server.0)) % (span_ms + 1)
}

/// A request's place in the window of a server that is being returned to.
#[derive(Debug)]
pub(crate) struct WindowPlace(());

/// What one server asked for, and how far requests have returned to it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServerBackoff {
    until: TimeMs,
    /// Until when a peer's report counts as one that is known.
    peer_until: TimeMs,
    /// Requests that may be sent and not answered yet; `None` if nothing bounds them.
    window: Option<u32>,
    /// Requests that count against the window.
    unanswered: u32,
}

impl ServerBackoff {
    /// Records that the server asked this instance for time; `true` unless it had already.
    pub(crate) fn record(&mut self, backoff_ms: u64, now: TimeMs) -> bool {
        let is_new = !self.is_active(now);
        self.until = self.until.max(now.plus_ms(backoff_ms.min(BACKOFF_MAX_MS)));
        self.window = Some(1);
        is_new
    }

    /// Records that a peer reports the same.
    pub(crate) fn record_peer(&mut self, now: TimeMs) {
        if now >= self.peer_until && self.window.is_none() {
            self.window = Some(1);
        }
        self.peer_until = now.plus_ms(PEER_BACKOFF_MS);
    }

    /// Tells whether the server wants nothing yet.
    pub(crate) fn is_active(self, now: TimeMs) -> bool {
        self.until > now
    }

    /// Returns the moment before which nothing is sent.
    pub(crate) fn until(self) -> TimeMs {
        self.until
    }

    /// Tells whether a request may be sent now.
    pub(crate) fn allows(self, now: TimeMs) -> bool {
        !self.is_active(now) && self.window.is_none_or(|window| self.unanswered < window)
    }

    /// Records that a request is sent; returns its place if a window bounds them.
    pub(crate) fn begin(&mut self) -> Option<WindowPlace> {
        self.window?;
        self.unanswered += 1;
        Some(WindowPlace(()))
    }

    /// Takes the place of a request back that has ended.
    pub(crate) fn close(&mut self, _: WindowPlace) {
        self.unanswered = self.unanswered.saturating_sub(1);
    }

    /// Takes the place of a request back that the server, which has so many slots, begins to answer, and widens the
    /// window.
    pub(crate) fn widen(&mut self, place: WindowPlace, slots: u32) {
        self.close(place);
        self.window = self
            .window
            .map(|window| window + 1)
            .filter(|window| *window <= slots);
    }
}
