//! What the end of a server's response body proves.
//!
//! **Rule.** A stream that ended inside an event has broken off. Any other body that was framed is whole. A body that ended
//! with its connection may have been cut anywhere: it is broken off if its server has ended, and otherwise it goes to the
//! caller without a frame, so that nothing tells the caller more than the server told.

use std::sync::Arc;

use reedsail_core::ServerKey;
use reedsail_net::BodyFraming;

use super::Pool;
use super::server_check::ServerCheck;
use super::server_check::check_server;
use crate::HeaderProtocol;
use crate::shared::Shared;

/// How a server's response body ended, if reading it brought no error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ResponseEnd {
    /// How the response delimits its body.
    pub(crate) framing: BodyFraming,
    /// Whether the body is a stream that ended inside an event.
    pub(crate) is_inside_event: bool,
}

/// What is known of a response body that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndVerdict {
    /// It is whole, as far as its server can tell: it was framed, or the server goes on running.
    Whole,
    /// It has broken off.
    BrokenOff,
    /// It ended with its connection, and whether the server goes on running is unknown.
    Unproven,
}

impl ResponseEnd {
    /// Returns the end of a body that is no stream of events.
    pub(crate) fn of_body(framing: BodyFraming) -> Self {
        Self {
            framing,
            is_inside_event: false,
        }
    }

    /// Returns what the end alone proves.
    pub(crate) fn verdict(self) -> EndVerdict {
        match (self.framing, self.is_inside_event) {
            (_, true) => EndVerdict::BrokenOff,
            (BodyFraming::Framed, false) => EndVerdict::Whole,
            (BodyFraming::ConnectionEnd, false) => EndVerdict::Unproven,
        }
    }

    /// Returns the name in log lines and metrics.
    pub(crate) fn name(self) -> &'static str {
        match (self.framing, self.is_inside_event) {
            (BodyFraming::Framed, false) => "framed",
            (BodyFraming::Framed, true) => "framed_inside_event",
            (BodyFraming::ConnectionEnd, false) => "connection_end",
            (BodyFraming::ConnectionEnd, true) => "connection_end_inside_event",
        }
    }
}

/// Finds out whether the server of an unproven end goes on running. The connection that this opens replaces the one that
/// ended, so it costs a busy server none.
pub(crate) async fn settle_unproven<H: HeaderProtocol>(
    shared: &Arc<Shared<H>>,
    pool: &Pool,
    server: ServerKey,
) -> EndVerdict {
    match check_server(shared, pool, server).await {
        ServerCheck::Listening => EndVerdict::Whole,
        // A draining server ends after its last answer.
        ServerCheck::Ended if shared.dispatcher().is_draining(server) => EndVerdict::Unproven,
        ServerCheck::Ended => EndVerdict::BrokenOff,
        ServerCheck::Inconclusive => EndVerdict::Unproven,
    }
}
