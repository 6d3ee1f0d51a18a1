//! What the daemon reads of a chat request and of its answers.

use std::borrow::Cow;

use serde::Deserialize;
use twox_hash::XxHash64;

/// How much of a prompt counts as its prefix, in bytes.
const PREFIX_BYTES_MAX: usize = 64;

/// The parts of a chat request that decide where it goes.
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
    /// Returns the hash of the prompt's first bytes, by which caches are found.
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

/// Returns the tokens that a whole answer says it took.
pub(crate) fn whole_answer_tokens(body: &[u8]) -> Option<u64> {
    let chunk: ChatChunk<'_> = serde_json::from_slice(body).ok()?;
    chunk.usage.map(|usage| usage.completion_tokens)
}

/// What one event of a stream says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamEvent {
    /// A token.
    Token,
    /// The number of tokens in all.
    Usage(u64),
    /// The end of a whole stream.
    Done,
    /// Something else.
    Other,
}

/// Reads one event of a stream, given without the empty line that ends it.
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

/// Cuts a stream of bytes into events (HTML Living Standard, 9.2).
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    partial: Vec<u8>,
}

impl EventSplitter {
    /// Takes in bytes and returns the events that are now whole, each with its end.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Vec<Vec<u8>> {
        self.partial.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(length) = find_event_end(&self.partial[start..]) {
            events.push(self.partial[start..start + length].to_vec());
            start += length;
        }
        self.partial.drain(..start);
        events
    }

    /// Returns the bytes of an event that is not whole yet.
    pub(crate) fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Forgets a part of an event, before the stream goes on elsewhere.
    pub(crate) fn clear(&mut self) {
        self.partial.clear();
    }
}

fn find_event_end(bytes: &[u8]) -> Option<usize> {
    let line_feeds = bytes.windows(2).position(|pair| pair == b"\n\n").map(|at| at + 2);
    let with_returns = bytes
        .windows(4)
        .position(|four| four == b"\r\n\r\n")
        .map(|at| at + 4);
    match (line_feeds, with_returns) {
        (Some(one), Some(other)) => Some(one.min(other)),
        (one, other) => one.or(other),
    }
}
