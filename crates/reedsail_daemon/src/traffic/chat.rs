//! The parts of chat requests and their answers that the daemon reads.

use std::borrow::Cow;

use serde::Deserialize;
use twox_hash::XxHash64;

/// The maximum length of the part of a prompt that counts as its prefix, in bytes.
const PREFIX_BYTES_MAX: usize = 64;

/// The parts of a chat request that determine its service and server.
#[derive(Debug, Deserialize)]
pub(crate) struct ChatHead<'a> {
    #[serde(borrow)]
    pub(crate) model: Cow<'a, str>,
    #[serde(default)]
    pub(crate) stream: bool,
    #[serde(default, borrow)]
    messages: Vec<ChatMessage<'a>>,
}

#[derive(Debug, Deserialize)]
struct ChatMessage<'a> {
    #[serde(default, borrow)]
    content: Option<Cow<'a, str>>,
}

impl ChatHead<'_> {
    /// Returns the hash of the prompt's first bytes, by which servers with a matching prefix cache are found.
    pub(crate) fn prefix(&self) -> Option<u64> {
        let first = self.messages.first()?.content.as_deref()?;
        let end = first.len().min(PREFIX_BYTES_MAX);
        Some(XxHash64::oneshot(0, &first.as_bytes()[..end]))
    }
}

#[derive(Debug, Deserialize)]
struct ChatUsage {
    completion_tokens: u64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct ChatDelta<'a> {
    #[serde(borrow)]
    content: Option<Cow<'a, str>>,
}

#[derive(Debug, Deserialize)]
struct ChatChoice<'a> {
    #[serde(default, borrow)]
    delta: ChatDelta<'a>,
}

#[derive(Debug, Deserialize)]
struct ChatChunk<'a> {
    #[serde(default, borrow)]
    choices: Vec<ChatChoice<'a>>,
    #[serde(default)]
    usage: Option<ChatUsage>,
}

/// Returns the number of tokens that a complete answer reports.
pub(crate) fn reported_tokens(body: &[u8]) -> Option<u64> {
    let chunk: ChatChunk<'_> = serde_json::from_slice(body).ok()?;
    chunk.usage.map(|usage| usage.completion_tokens)
}

/// The meaning of one event of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamEvent {
    /// A token.
    Token,
    /// The total number of tokens.
    Usage(u64),
    /// The end of a complete stream.
    Done,
    /// Any other event.
    Other,
}

/// Parses one event of a stream, without the empty line that ends it.
pub(crate) fn read_event(event: &[u8]) -> StreamEvent {
    let Some(data) = event.strip_prefix(b"data:") else {
        return StreamEvent::Other;
    };
    let data = data.trim_ascii();
    if data == b"[DONE]" {
        return StreamEvent::Done;
    }
    let Ok(chunk) = serde_json::from_slice::<ChatChunk<'_>>(data) else {
        return StreamEvent::Other;
    };
    if let Some(usage) = chunk.usage {
        return StreamEvent::Usage(usage.completion_tokens);
    }
    let has_content =
        |choice: &ChatChoice<'_>| choice.delta.content.as_ref().is_some_and(|text| !text.is_empty());
    if chunk.choices.iter().any(has_content) {
        StreamEvent::Token
    } else {
        StreamEvent::Other
    }
}
