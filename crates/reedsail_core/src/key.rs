//! Small `Copy` keys into arenas, and the hash that identifies a name between instances.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;
use twox_hash::XxHash64;

/// A time on the process's monotonic clock, in milliseconds. The clock reads [`TimeMs::PROCESS_START`] when the process starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimeMs(pub u64);

impl TimeMs {
    /// The reading of the clock when the process starts. What peers and the store tell of the last hour, by its age, has a
    /// time of its own from the start on.
    pub const PROCESS_START: Self = Self(3_600_000);

    /// Returns the time `span_ms` later, for example a deadline.
    #[must_use]
    pub fn plus_ms(self, span_ms: u64) -> Self {
        Self(self.0.saturating_add(span_ms))
    }

    /// Returns the number of milliseconds since `earlier`, or zero if `earlier` is in the future.
    pub fn since_ms(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// A name's 32-bit hash. It identifies the name in messages between instances, since the keys of their arenas differ.
///
/// The check of a bundle refuses a bundle in which two names of one kind have the same hash.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NameHash(pub u32);

impl NameHash {
    /// Hashes a name. A name has the same hash in every process and release.
    pub fn of(name: &str) -> Self {
        Self(XxHash64::oneshot(0, name.as_bytes()) as u32)
    }

    /// Returns the weight of this name for a key in rendezvous hashing (Thaler and Ravishankar, 1998).
    ///
    /// The candidate with the greatest weight owns the key, and the loss of another candidate moves no key. The
    /// weight is the same in every process and release.
    pub fn rendezvous_weight(self, key: u64) -> u64 {
        XxHash64::oneshot(key, &self.0.to_le_bytes())
    }
}

/// A key type of a [`KeyTable`].
pub trait TableKey: Copy {
    /// Creates the key for an index of the arena.
    fn from_index(index: usize) -> Self;
    /// Returns the key's index in the arena.
    fn index(self) -> usize;
}

macro_rules! table_key {
    ($(#[$doc:meta])* $name:ident, $repr:ty) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $repr);

        impl TableKey for $name {
            fn from_index(index: usize) -> Self {
                Self(<$repr>::try_from(index).expect("arena has no more entries than its key type has values"))
            }

            fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}

table_key!(
    /// The key of a workspace in this process's arena.
    WorkspaceKey,
    u32
);
table_key!(
    /// The key of a service in this process's arena.
    ServiceKey,
    u16
);
table_key!(
    /// The key of a backend server in this process's arena.
    ServerKey,
    u16
);

/// Interns names as dense keys that stay valid for the lifetime of the process.
///
/// Keys are never removed, so a table that is indexed by keys stays valid when the bundle changes.
#[derive(Clone, Debug)]
pub struct KeyTable<K> {
    names: Vec<String>,
    hashes: Vec<NameHash>,
    by_hash: HashMap<NameHash, K>,
}

impl<K> Default for KeyTable<K> {
    fn default() -> Self {
        Self {
            names: Vec::new(),
            hashes: Vec::new(),
            by_hash: HashMap::new(),
        }
    }
}

impl<K: TableKey> KeyTable<K> {
    /// Returns the key of `name`; adds the name if it is new.
    pub fn intern(&mut self, name: &str) -> K {
        let hash = NameHash::of(name);
        if let Some(key) = self.by_hash.get(&hash) {
            return *key;
        }
        let key = K::from_index(self.names.len());
        self.names.push(name.to_owned());
        self.hashes.push(hash);
        self.by_hash.insert(hash, key);
        key
    }

    /// Returns the key for a hash from a peer; `None` if this process does not know the name.
    pub fn find(&self, hash: NameHash) -> Option<K> {
        self.by_hash.get(&hash).copied()
    }

    /// Returns the name of a key.
    pub fn name(&self, key: K) -> &str {
        &self.names[key.index()]
    }

    /// Returns the hash of a key's name.
    pub fn hash(&self, key: K) -> NameHash {
        self.hashes[key.index()]
    }

    /// Returns the number of names.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Returns whether the table has no names.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}

/// The names that this process knows, of each kind that instances exchange.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    /// Workspaces.
    pub workspaces: KeyTable<WorkspaceKey>,
    /// Services.
    pub services: KeyTable<ServiceKey>,
    /// Backend servers.
    pub servers: KeyTable<ServerKey>,
}
