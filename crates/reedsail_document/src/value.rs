//! A value of a document and its path.

use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;

use marked_yaml::Node;

use crate::Fault;
use crate::Faults;
use crate::Mapping;

/// A value of a document. Each failed read adds a fault and returns `None`, or an empty list.
#[derive(Clone, Debug)]
pub struct Value<'a> {
    node: &'a Node,
    path: String,
    faults: &'a Faults,
}

impl<'a> Value<'a> {
    pub(crate) fn root(node: &'a Node, faults: &'a Faults) -> Self {
        Self::new(node, String::new(), faults)
    }

    pub(crate) fn new(node: &'a Node, path: String, faults: &'a Faults) -> Self {
        Self { node, path, faults }
    }

    /// Returns the path of keys and indices to the value.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Adds a fault at this value.
    pub fn fault(&self, message: impl Into<String>) {
        let marker = self.node.span().start();
        self.faults
            .add(Fault::at(marker, self.path.clone(), message.into()));
    }

    /// Reads a mapping.
    pub fn mapping(&self) -> Option<Mapping<'a>> {
        let Some(node) = self.node.as_mapping() else {
            self.fault("must be a mapping of keys to values");
            return None;
        };
        Some(Mapping::new(node, self.clone(), self.faults))
    }

    /// Reads a sequence.
    pub fn list(&self) -> Vec<Value<'a>> {
        let Some(nodes) = self.node.as_sequence() else {
            self.fault("must be a list");
            return Vec::new();
        };
        let element = |(index, node)| Value::new(node, format!("{}[{index}]", self.path), self.faults);
        nodes.iter().enumerate().map(element).collect()
    }

    /// Reads a non-empty string.
    pub fn text(&self) -> Option<String> {
        match self.node.as_scalar() {
            Some(scalar) if !scalar.as_str().is_empty() => Some(scalar.as_str().to_owned()),
            _ => {
                self.fault("must be a non-empty string");
                None
            }
        }
    }

    /// Reads a name of at most 64 letters, digits, `-`, `_` and `.`.
    pub fn name(&self) -> Option<String> {
        let text = self.text()?;
        let is_allowed = |character: char| character.is_ascii_alphanumeric() || "-_.".contains(character);
        if text.len() <= 64 && text.chars().all(is_allowed) {
            return Some(text);
        }
        self.fault(format!(
            "invalid name `{text}`: use at most 64 letters, digits, `-`, `_` and `.`"
        ));
        None
    }

    /// Reads a number within a range.
    pub fn number<N>(&self, range: RangeInclusive<N>) -> Option<N>
    where
        N: FromStr + PartialOrd + Display,
    {
        let text = self.node.as_scalar().map_or("", |scalar| scalar.as_str());
        match text.parse::<N>() {
            Ok(number) if range.contains(&number) => Some(number),
            _ => {
                let (min, max) = (range.start(), range.end());
                self.fault(format!("`{text}` must be a number from {min} to {max}"));
                None
            }
        }
    }

    /// Reads `true` or `false`.
    pub fn flag(&self) -> Option<bool> {
        match self.node.as_scalar().map(std::ops::Deref::deref) {
            Some("true") => Some(true),
            Some("false") => Some(false),
            _ => {
                self.fault("must be `true` or `false`");
                None
            }
        }
    }

    /// Reads one of the given words and returns its value.
    pub fn choice<T: Copy>(&self, choices: &[(&str, T)]) -> Option<T> {
        let text = self.text()?;
        let chosen = choices.iter().find(|(word, _)| *word == text);
        if chosen.is_none() {
            let words: Vec<String> = choices.iter().map(|(word, _)| format!("`{word}`")).collect();
            self.fault(format!("`{text}` must be one of {}", words.join(", ")));
        }
        chosen.map(|(_, value)| *value)
    }

    /// Reads a fixed number of bytes in hexadecimal.
    pub fn hex<const N: usize>(&self) -> Option<[u8; N]> {
        let text = self.text()?;
        let decoded = decode_hex::<N>(&text);
        if decoded.is_none() {
            self.fault(format!("`{text}` must be {} hexadecimal digits", 2 * N));
        }
        decoded
    }

    /// Reads an IP address with a port.
    pub fn socket_address(&self) -> Option<std::net::SocketAddr> {
        let text = self.text()?;
        let parsed = text.parse().ok();
        if parsed.is_none() {
            self.fault(format!(
                "`{text}` must be an IP address with a port, like 127.0.0.1:8080"
            ));
        }
        parsed
    }
}

fn decode_hex<const N: usize>(text: &str) -> Option<[u8; N]> {
    let digits = text.as_bytes();
    if digits.len() != 2 * N || !digits.iter().all(u8::is_ascii_hexdigit) {
        return None;
    }
    let mut bytes = [0; N];
    for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
        *byte = u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok()?;
    }
    Some(bytes)
}
