//! Small `Copy` keys into arenas, and the hash under which a name travels between daemons.

use std::collections::HashMap;

use twox_hash::XxHash64;

/// A moment on the process's own monotonic clock, in milliseconds since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimeMs(pub u64);

impl TimeMs {
    /// Returns the moment `span_ms` later; deadlines are made this way and then stored.
    #[must_use]
    pub fn plus_ms(self, span_ms: u64) -> Self {
        Self(self.0.saturating_add(span_ms))
    }

    /// Returns how many milliseconds have passed since `earlier`, or zero if it lies ahead.
    pub fn since_ms(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// A name's 32-bit hash, by which daemons speak of it whatever order their own arenas have.
///
/// A bundle in which two names of one kind share a hash is refused when it is checked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NameHash(pub u32);

impl NameHash {
    /// Hashes a name; the same name gives the same value in every process and release.
    pub fn of(name: &str) -> Self {
        Self(XxHash64::oneshot(0, name.as_bytes()) as u32)
    }

    /// Returns the weight of this name for a key by rendezvous hashing (Thaler and Ravishankar, 1998): of
    /// some candidates, the one with the greatest weight has the key, and the loss of another one moves
    /// nothing. The same in every process and release.
    pub fn rendezvous_weight(self, key: u64) -> u64 {
        XxHash64::oneshot(key, &self.0.to_le_bytes())
    }
}

/// A key that a [`KeyTable`] can hand out.
pub trait TableKey: Copy {
    /// Makes the key for an index of the arena.
    fn from_index(index: usize) -> Self;
    /// Returns the index in the arena.
    fn index(self) -> usize;
}

macro_rules! table_key {
    ($(#[$doc:meta])* $name:ident, $repr:ty) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $repr);

        impl TableKey for $name {
            fn from_index(index: usize) -> Self {
                Self(<$repr>::try_from(index).expect("arena holds no more entries than its key can number"))
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

/// Interns names into dense keys that stay valid for the life of the process.
///
/// Keys only ever get added, so a table that is indexed by them survives a change of bundle.
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
    /// Returns the key of `name`, adding it if it is new.
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

    /// Finds the key of a hash that a peer sent; `None` if this process never met the name.
    pub fn find(&self, hash: NameHash) -> Option<K> {
        self.by_hash.get(&hash).copied()
    }

    /// Returns the name behind a key.
    pub fn name(&self, key: K) -> &str {
        &self.names[key.index()]
    }

    /// Returns the hash under which a key's name travels.
    pub fn hash(&self, key: K) -> NameHash {
        self.hashes[key.index()]
    }

    /// Returns how many names are known.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Tells whether no name is known yet.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}

/// The names that this process has met, of every kind that travels between daemons.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    /// Workspaces.
    pub workspaces: KeyTable<WorkspaceKey>,
    /// Services.
    pub services: KeyTable<ServiceKey>,
    /// Backend servers.
    pub servers: KeyTable<ServerKey>,
}
