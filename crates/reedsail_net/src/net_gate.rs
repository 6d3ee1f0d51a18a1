//! Network partitions between named parties, and frozen control threads, for tests and fault scripts. By default no
//! link is cut.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

/// The injected partitions and freezes. Clones share their state.
#[derive(Clone, Debug, Default)]
pub struct NetGate(Arc<State>);

#[derive(Debug, Default)]
struct State {
    is_used: AtomicBool,
    rules: Mutex<Rules>,
}

#[derive(Debug, Default)]
struct Rules {
    groups: HashMap<String, String>,
    cuts: HashSet<(String, String)>,
    frozen: HashSet<String>,
}

impl NetGate {
    /// Assigns a party to a group, so that a whole group can be cut off.
    pub fn assign(&self, party: &str, group: &str) {
        self.change(|rules| {
            rules.groups.insert(party.to_owned(), group.to_owned());
        });
    }

    /// Cuts two parties or groups off from each other, in both directions.
    pub fn cut(&self, one: &str, other: &str) {
        self.change(|rules| {
            rules.cuts.insert((one.to_owned(), other.to_owned()));
            rules.cuts.insert((other.to_owned(), one.to_owned()));
        });
        self.0.is_used.store(true, Ordering::Release);
    }

    /// Removes the cut between two parties or groups.
    pub fn heal(&self, one: &str, other: &str) {
        self.change(|rules| {
            rules.cuts.remove(&(one.to_owned(), other.to_owned()));
            rules.cuts.remove(&(other.to_owned(), one.to_owned()));
        });
    }

    /// Freezes the control thread of a party, or lets it continue.
    pub fn freeze(&self, party: &str, is_frozen: bool) {
        self.change(|rules| {
            if is_frozen {
                rules.frozen.insert(party.to_owned());
            } else {
                rules.frozen.remove(party);
            }
        });
        self.0.is_used.store(true, Ordering::Release);
    }

    /// Returns whether the control thread of a party is frozen.
    pub fn is_frozen(&self, party: &str) -> bool {
        if !self.0.is_used.load(Ordering::Acquire) {
            return false;
        }
        let rules = self.0.rules.lock().unwrap_or_else(PoisonError::into_inner);
        rules.frozen.contains(party)
    }

    /// Returns whether messages from one party to another are lost.
    pub fn is_cut(&self, from: &str, to: &str) -> bool {
        if !self.0.is_used.load(Ordering::Acquire) {
            return false;
        }
        let rules = self.0.rules.lock().unwrap_or_else(PoisonError::into_inner);
        // A party without a group gets the empty group name, which no cut contains.
        let group = |party: &str| rules.groups.get(party).cloned().unwrap_or_default();
        let (from_group, to_group) = (group(from), group(to));
        let pairs = [
            (from.to_owned(), to.to_owned()),
            (from_group.clone(), to.to_owned()),
            (from.to_owned(), to_group.clone()),
            (from_group.clone(), to_group.clone()),
        ];
        from_group != to_group && pairs.iter().any(|pair| rules.cuts.contains(pair))
            || rules.cuts.contains(&pairs[0])
    }

    fn change(&self, change: impl FnOnce(&mut Rules)) {
        let mut rules = self.0.rules.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut rules);
    }
}
