//! A mapping with a fixed set of keys: `close` reports every key that was not read.

use marked_yaml::types::MarkedMappingNode;

use crate::Fault;
use crate::Faults;
use crate::Value;

/// A mapping of a document, while it is read.
#[derive(Debug)]
pub struct Mapping<'a> {
    node: &'a MarkedMappingNode,
    own_value: Value<'a>,
    faults: &'a Faults,
    read_keys: Vec<&'static str>,
}

impl<'a> Mapping<'a> {
    pub(crate) fn new(node: &'a MarkedMappingNode, own_value: Value<'a>, faults: &'a Faults) -> Self {
        Self {
            node,
            own_value,
            faults,
            read_keys: Vec::new(),
        }
    }

    /// Returns the value of an optional key.
    pub fn optional(&mut self, key: &'static str) -> Option<Value<'a>> {
        self.read_keys.push(key);
        let node = self.node.get_node(key)?;
        Some(Value::new(node, self.child_path(key), self.faults))
    }

    /// Returns the value of a required key, or adds a fault if the key is missing.
    pub fn required(&mut self, key: &'static str) -> Option<Value<'a>> {
        let value = self.optional(key);
        if value.is_none() {
            self.own_value.fault(format!("key `{key}` is missing"));
        }
        value
    }

    /// Returns all entries of a mapping whose keys are arbitrary names.
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
        self.own_value.fault(message);
    }

    /// Finishes reading and adds a fault for each key that was not read.
    pub fn close(self) {
        for key in self.node.keys() {
            if self.read_keys.contains(&key.as_str()) {
                continue;
            }
            let known = self.read_keys.join("`, `");
            let message = format!("unknown key; known keys: `{known}`");
            let path = self.child_path(key.as_str());
            self.faults.add(Fault::at(key.span().start(), path, message));
        }
    }

    fn child_path(&self, key: &str) -> String {
        match self.own_value.path() {
            "" => key.to_owned(),
            path => format!("{path}.{key}"),
        }
    }
}
