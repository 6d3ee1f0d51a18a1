//! What a backend server's answer to a request has to be.

use hyper::StatusCode;

/// Names the server that gave an answer; the daemon's own answers have none.
pub(crate) const SERVED_BY: &str = "soak-served-by";
/// The answer of a server that was not meant.
pub(crate) const MISDIRECTED: StatusCode = StatusCode::MISDIRECTED_REQUEST;
/// How many events a stream has.
pub(crate) const EVENTS: u32 = 10;

/// Returns the answer to a plain request.
pub(crate) fn plain_answer(request_id: &str) -> String {
    format!("the answer to {request_id}, ").repeat(20)
}

/// Returns an event of a stream.
pub(crate) fn event(request_id: &str, number: u32) -> String {
    format!("id: {number}\ndata: part {number} for {request_id}\n\n")
}

/// Returns a whole stream.
pub(crate) fn stream_answer(request_id: &str) -> String {
    (1..=EVENTS).map(|number| event(request_id, number)).collect()
}
