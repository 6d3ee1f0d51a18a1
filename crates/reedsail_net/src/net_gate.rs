//! Cuts and delays between named parties, for tests and fault scripts; open by default.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

/// Which parties cannot reach each other. Clones share their state.
#[derive(Clone, Debug, Default)]
pub struct NetGate(Arc<State>);

#[derive(Debug, Default)]
struct State {
    used: AtomicBool,
    rules: Mutex<Rules>,
}

#[derive(Debug, Default)]
struct Rules {
    groups: HashMap<String, String>,
    cuts: HashSet<(String, String)>,
    frozen: HashSet<String>,
}

impl NetGate {
    /// Puts a party into a group, so that whole groups can be cut off.
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
        self.0.used.store(true, Ordering::Release);
    }

    /// Mends a cut.
    pub fn heal(&self, one: &str, other: &str) {
        self.change(|rules| {
            rules.cuts.remove(&(one.to_owned(), other.to_owned()));
            rules.cuts.remove(&(other.to_owned(), one.to_owned()));
        });
    }

    /// Has a party's control thread stand still, or go on.
    pub fn freeze(&self, party: &str, on: bool) {
        self.change(|rules| {
            if on {
                rules.frozen.insert(party.to_owned());
            } else {
                rules.frozen.remove(party);
            }
        });
        self.0.used.store(true, Ordering::Release);
    }

    /// Tells whether a party is to stand still.
    pub fn is_frozen(&self, party: &str) -> bool {
        if !self.0.used.load(Ordering::Acquire) {
            return false;
        }
        let rules = self.0.rules.lock().unwrap_or_else(PoisonError::into_inner);
        rules.frozen.contains(party)
    }

    /// Tells whether a message from one party to another is lost.
    pub fn is_cut(&self, from: &str, to: &str) -> bool {
        if !self.0.used.load(Ordering::Acquire) {
            return false;
        }
        let rules = self.0.rules.lock().unwrap_or_else(PoisonError::into_inner);
        // A party without a group is in none, and nothing cuts it off.
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
