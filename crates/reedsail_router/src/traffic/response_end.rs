//! What the end of a server's response body proves.

use reedsail_net::BodyFraming;

/// How a server's response body ended, if reading it brought no error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ResponseEnd {
    /// How the response delimits its body.
    pub(crate) framing: BodyFraming,
    /// Whether the body is a stream that ended inside an event.
    pub(crate) is_inside_event: bool,
}

impl ResponseEnd {
    /// Returns the end of a body that is no stream of events.
    pub(crate) fn of_body(framing: BodyFraming) -> Self {
        Self {
            framing,
            is_inside_event: false,
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
