//! A datagram between instances, of either kind.

use crate::LoadMessage;
use crate::StreamMessage;
use crate::stream_message::STREAM_MESSAGE_MARK;

/// A message from a peer.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// Load, members and the state that the sender knows.
    Load(Box<LoadMessage>),
    /// Software versions of streams.
    Streams(StreamMessage),
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
            _ => Ok(Self::Load(Box::new(LoadMessage::decode(bytes)?))),
        }
    }
}
