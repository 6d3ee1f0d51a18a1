//! A datagram between instances, of any kind.

use crate::LoadMessage;
use crate::RetryLoanMessage;
use crate::StreamMessage;
use crate::retry_loan_message::RETRY_LOAN_MESSAGE_MARK;
use crate::stream_message::STREAM_MESSAGE_MARK;

/// A message from a peer.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// Load, members and the state that the sender knows.
    Load(Box<LoadMessage>),
    /// Software versions of streams.
    Streams(StreamMessage),
    /// Loans of retries, and requests for them.
    RetryLoans(RetryLoanMessage),
}

impl PeerMessage {
    /// Decodes a datagram.
    ///
    /// # Errors
    /// Returns an error if the bytes are no message, or a list is longer than any instance sends.
    pub fn decode(bytes: &[u8]) -> Result<Self, capnp::Error> {
        match bytes.split_first() {
            Some((&STREAM_MESSAGE_MARK, content)) => {
                StreamMessage::decode_content(content).map(Self::Streams)
            }
            Some((&RETRY_LOAN_MESSAGE_MARK, content)) => {
                RetryLoanMessage::decode_content(content).map(Self::RetryLoans)
            }
            _ => Ok(Self::Load(Box::new(LoadMessage::decode(bytes)?))),
        }
    }
}
