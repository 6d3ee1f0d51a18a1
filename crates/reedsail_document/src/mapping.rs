//! A mapping whose keys are all known: `close` reports those that nobody asked for.

use marked_yaml::types::MarkedMappingNode;

use crate::Fault;
use crate::Faults;
use crate::Value;

/// A mapping being read.
#[derive(Debug)]
pub struct Mapping<'a> {
    node: &'a MarkedMappingNode,
    place: Value<'a>,
    faults: &'a Faults,
    asked: Vec<&'static str>,
}

impl<'a> Mapping<'a> {
    pub(crate) fn new(node: &'a MarkedMappingNode, place: Value<'a>, faults: &'a Faults) -> Self {
        Self {
            node,
            place,
            faults,
            asked: Vec::new(),
        }
    }

    /// Returns the value of a key that may be absent.
    pub fn optional(&mut self, key: &'static str) -> Option<Value<'a>> {
        self.asked.push(key);
        let node = self.node.get_node(key)?;
        Some(Value::new(node, self.child_path(key), self.faults))
    }

    /// Returns the value of a key that must be there.
    pub fn required(&mut self, key: &'static str) -> Option<Value<'a>> {
        let value = self.optional(key);
        if value.is_none() {
            self.place.fault(format!("key `{key}` is missing"));
        }
        value
    }

    /// Returns all entries, of a mapping whose keys are names.
    pub fn entries(&mut self) -> Vec<(String, Value<'a>)> {
        let entry = |(key, node): (&'a marked_yaml::types::MarkedScalarNode, &'a marked_yaml::Node)| {
            let key = key.as_str().to_owned();
            let value = Value::new(node, self.child_path(&key), self.faults);
            (key, value)
        };
        self.node.iter().map(entry).collect()
    }

    /// Adds a fault at the mapping itself.
    pub fn fault(&self, message: impl Into<String>) {
        self.place.fault(message);
    }

    /// Ends the reading; each key that nobody asked for is a fault.
    pub fn close(self) {
        for key in self.node.keys() {
            if self.asked.contains(&key.as_str()) {
                continue;
            }
            let known = self.asked.join("`, `");
            let message = format!("unknown key; known here: `{known}`");
            let path = self.child_path(key.as_str());
            self.faults.add(Fault::at(key.span().start(), path, message));
        }
    }

    fn child_path(&self, key: &str) -> String {
        match self.place.path() {
            "" => key.to_owned(),
            path => format!("{path}.{key}"),
        }
    }
}
