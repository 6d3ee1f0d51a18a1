//! The expected answers of a backend server.

use hyper::StatusCode;

/// Header that names the server of an answer; an instance's own answers don't have it.
pub(crate) const SERVED_BY: &str = "soak-served-by";
/// Status of a server that receives a request for another server.
pub(crate) const MISDIRECTED: StatusCode = StatusCode::MISDIRECTED_REQUEST;
/// Number of events of a stream.
pub(crate) const EVENTS: u32 = 10;

/// Returns the answer to a plain request.
pub(crate) fn plain_answer(request_id: &str) -> String {
    format!("the answer to {request_id}, ").repeat(20)
}

/// Returns an event of a stream, written by a server of a software version.
pub(crate) fn event(request_id: &str, number: u32, version: &str) -> String {
    format!("id: {number}\ndata: part {number} for {request_id} by {version}\n\n")
}

/// Returns the software version that wrote an event, if it is the expected event of the request.
pub(crate) fn parse_event(text: &str, request_id: &str, number: u32) -> Option<String> {
    let start = format!("id: {number}\ndata: part {number} for {request_id} by ");
    let version = text.strip_prefix(&start)?.strip_suffix("\n\n")?;
    Some(version.to_owned())
}
