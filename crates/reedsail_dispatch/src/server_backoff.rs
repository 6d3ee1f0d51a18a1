//! Server back-off: how long a server that asked for back-off gets no requests, and how requests return to it.
//!
//! **Rule.** A server that rejects a request and asks this instance for back-off gets no request from it until the
//! requested time is over, plus a delay that differs between instances and grows with the fleet. Then a window limits
//! the requests that were sent and are not yet being answered: one at first, one more for each answer that begins,
//! until the window is as wide as the server has slots. An instance that learns of the back-off from a peer keeps
//! sending through such a window.
//!
//! **Inputs.** Notices in answers (milliseconds), the number of instances and of the server's slots, peers' reports,
//! answers that begin.
//!
//! **Why.** The server is healthy and says when it can accept more, so its rejections are no failures and only the
//! requested time ends the pause. All instances end their pauses at about the same time. Without the window the
//! server would immediately get the load that it rejected before, and in a fleet with more instances than the server
//! has slots even one request from each would be too many.
//!
//! **Tested by** `tests/server_notices.rs`, `crates/reedsail_simulation/tests/server_notices.rs`.

use reedsail_core::NameHash;
use reedsail_core::TimeMs;

/// Longest back-off that a server may ask for, in milliseconds: a wrong number must not take the server out of use
/// for days.
const BACKOFF_MAX_MS: u64 = 600_000;
/// How long further reports of peers count as the same back-off, in milliseconds: each back-off narrows the window
/// once.
const PEER_BACKOFF_MS: u64 = 2_000;
/// Time over which as many instances as a server has slots return to it, in milliseconds.
const RETURN_ROUND_MS: u64 = 1_000;
/// Longest time over which all instances return to a server, in milliseconds.
const RETURN_SPAN_MAX_MS: u64 = 5_000;

/// Returns this instance's delay after the requested back-off before it sends to the server again, in milliseconds.
pub(crate) fn return_delay_ms(own: NameHash, server: NameHash, instances: usize, slots: u32) -> u64 {
    let others = instances.saturating_sub(1) as u64;
    let span_ms = (RETURN_ROUND_MS * others / u64::from(slots.max(1))).min(RETURN_SPAN_MAX_MS);
    own.rendezvous_weight(u64::from(server.0)) % (span_ms + 1)
}

/// A request's permit from the window of a server.
#[derive(Debug)]
pub(crate) struct WindowPermit(());

/// The back-off of one server, and the window that opens afterwards.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServerBackoff {
    until: TimeMs,
    /// Until when a peer's report counts as the same back-off.
    peer_until: TimeMs,
    /// Maximum number of sent requests without an answer; `None` if there is no limit.
    window: Option<u32>,
    /// Requests that count against the window.
    unanswered: u32,
}

impl ServerBackoff {
    /// Records that the server asked this instance for back-off. Returns whether no back-off was active before.
    pub(crate) fn record(&mut self, backoff_ms: u64, now: TimeMs) -> bool {
        let is_new = !self.is_active(now);
        self.until = self.until.max(now.plus_ms(backoff_ms.min(BACKOFF_MAX_MS)));
        self.window = Some(1);
        is_new
    }

    /// Records that a peer reports a back-off of the server.
    pub(crate) fn record_peer_report(&mut self, now: TimeMs) {
        if now >= self.peer_until && self.window.is_none() {
            self.window = Some(1);
        }
        self.peer_until = now.plus_ms(PEER_BACKOFF_MS);
    }

    /// Returns whether the back-off is active.
    pub(crate) fn is_active(self, now: TimeMs) -> bool {
        self.until > now
    }

    /// Returns the time before which nothing is sent.
    pub(crate) fn until(self) -> TimeMs {
        self.until
    }

    /// Returns whether a request may be sent now.
    pub(crate) fn allows(self, now: TimeMs) -> bool {
        !self.is_active(now) && self.window.is_none_or(|window| self.unanswered < window)
    }

    /// Records that a request is sent. Returns its permit if the window is active.
    pub(crate) fn begin(&mut self) -> Option<WindowPermit> {
        self.window?;
        self.unanswered += 1;
        Some(WindowPermit(()))
    }

    /// Returns the permit of a finished request to the window.
    pub(crate) fn release(&mut self, _: WindowPermit) {
        self.unanswered = self.unanswered.saturating_sub(1);
    }

    /// Returns the permit of a request whose answer begins, and widens the window. `slots` is the number of the
    /// server's slots.
    pub(crate) fn widen(&mut self, permit: WindowPermit, slots: u32) {
        self.release(permit);
        self.window = self
            .window
            .map(|window| window + 1)
            .filter(|window| *window <= slots);
    }
}
