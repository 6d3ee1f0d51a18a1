//! A stream of a caller over its attempts: which events arrived, and which software versions wrote them.

use http_body_util::BodyExt;
use hyper::Response;
use reedsail_net::BodyFraming;
use reedsail_net::ReceivedBody;

use crate::Outcome;
use crate::StreamPart;
use crate::caller::outcome_of_body;
use crate::server::EVENTS;
use crate::server::parse_event;

/// The part of a stream that its caller has received.
#[derive(Clone, Debug, Default)]
pub(crate) struct StreamProgress {
    /// The attempt that brought the first event; empty before that.
    pub(crate) first_attempt: String,
    /// The number of the last event.
    pub(crate) last_event: u32,
}

impl StreamProgress {
    /// Reads the events of one attempt. The caller hangs up after the event `hang_up_after`.
    pub(crate) async fn read(
        &mut self,
        attempt_id: &str,
        response: Response<ReceivedBody>,
        hang_up_after: Option<u32>,
    ) -> (Outcome, StreamPart) {
        let mut part = self.empty_part();
        let (head, mut body) = response.into_parts();
        let framing = BodyFraming::of(&head.headers, &body);
        let mut received = Vec::new();
        let outcome = loop {
            let data = match body.frame().await {
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                Some(Err(error)) => break outcome_of_body(&error),
                None if received.is_empty() && self.last_event == EVENTS => break Outcome::Answered,
                // Nothing told the caller that the stream was complete.
                None if framing == BodyFraming::ConnectionEnd => break Outcome::Cut { had_begun: true },
                None => {
                    let rest = String::from_utf8_lossy(&received).into_owned();
                    break Outcome::Wrong(format!("ended after event {}: {rest:?}", self.last_event));
                }
            };
            received.extend_from_slice(&data);
            if let Err(fault) = self.take_events(attempt_id, &mut received, &mut part) {
                break Outcome::Wrong(fault);
            }
            if hang_up_after.is_some_and(|last| self.last_event >= last) {
                break Outcome::HungUp;
            }
        };
        part.first_attempt.clone_from(&self.first_attempt);
        (outcome, part)
    }

    /// Takes the complete events off the received bytes.
    fn take_events(
        &mut self,
        attempt_id: &str,
        received: &mut Vec<u8>,
        part: &mut StreamPart,
    ) -> Result<(), String> {
        while let Some(length) = received.windows(2).position(|bytes| bytes == b"\n\n") {
            let bytes: Vec<u8> = received.drain(..length + 2).collect();
            let text = String::from_utf8_lossy(&bytes).into_owned();
            let expected = self.last_event + 1;
            let version = parse_event(&text, attempt_id, expected)
                .ok_or_else(|| format!("event {expected} is {text:?}"))?;
            self.last_event = expected;
            if self.first_attempt.is_empty() {
                attempt_id.clone_into(&mut self.first_attempt);
            }
            if !part.versions.contains(&version) {
                part.versions.push(version);
            }
        }
        Ok(())
    }

    /// Returns the part of an attempt that has brought no event yet.
    pub(crate) fn empty_part(&self) -> StreamPart {
        StreamPart {
            first_attempt: self.first_attempt.clone(),
            after_event: self.last_event,
            versions: Vec::new(),
        }
    }

    /// Returns whether the caller may continue the stream.
    pub(crate) fn is_open(&self) -> bool {
        (1..EVENTS).contains(&self.last_event)
    }
}
