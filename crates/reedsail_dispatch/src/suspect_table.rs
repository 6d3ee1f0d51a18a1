//! The table of suspects, bounded in total and for each workspace.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::ops::RangeInclusive;

use reedsail_core::NameHash;

use crate::SegmentId;
use crate::SegmentKey;
use crate::SuspectKey;
use crate::suspect::Suspect;

/// Maximum number of suspects of a kind of a workspace, so that a workspace with many cannot evict those of
/// others.
const WORKSPACE_SUSPECTS_MAX: usize = 256;
/// Maximum number of suspects, about 0.5 MB.
const SUSPECTS_MAX: usize = 4_096;

/// All suspects, by key.
#[derive(Clone, Debug, Default)]
pub(crate) struct SuspectTable {
    suspects: BTreeMap<SuspectKey, Suspect>,
}

impl SuspectTable {
    pub(crate) fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    pub(crate) fn contains(&self, key: SuspectKey) -> bool {
        self.suspects.contains_key(&key)
    }

    pub(crate) fn get(&self, key: SuspectKey) -> Option<&Suspect> {
        self.suspects.get(&key)
    }

    pub(crate) fn get_mut(&mut self, key: SuspectKey) -> Option<&mut Suspect> {
        self.suspects.get_mut(&key)
    }

    /// Returns the suspect of a key, which `new` creates if there is none.
    pub(crate) fn get_or_insert(&mut self, key: SuspectKey, new: impl FnOnce() -> Suspect) -> &mut Suspect {
        self.suspects.entry(key).or_insert_with(new)
    }

    pub(crate) fn remove(&mut self, key: SuspectKey) -> Option<Suspect> {
        self.suspects.remove(&key)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (SuspectKey, &Suspect)> {
        self.suspects.iter().map(|(key, suspect)| (*key, suspect))
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (SuspectKey, &mut Suspect)> {
        self.suspects.iter_mut().map(|(key, suspect)| (*key, suspect))
    }

    /// Returns the suspects of a segment, one for each workspace.
    pub(crate) fn of_segment(&self, segment: SegmentId) -> impl Iterator<Item = &Suspect> {
        self.suspects.range(keys_of(segment)).map(|(_, suspect)| suspect)
    }

    /// Returns the suspects of a segment, one for each workspace.
    pub(crate) fn of_segment_mut(&mut self, segment: SegmentId) -> impl Iterator<Item = &mut Suspect> {
        let suspects = self.suspects.range_mut(keys_of(segment));
        suspects.map(|(_, suspect)| suspect)
    }

    /// Returns the suspect to evict before one of `workspace` is added; `None` if there is room. It is one of the same kind of
    /// this workspace if that has too many itself, or one of the workspace with the most if the total is too high: if
    /// possible not a protected one, with the fewest ends and, among these, the least recently seen.
    pub(crate) fn victim(
        &self,
        added: SuspectKey,
        workspace: NameHash,
        is_protected: impl Fn(SuspectKey) -> bool,
    ) -> Option<SuspectKey> {
        let is_same_kind = |key: SuspectKey| std::mem::discriminant(&key) == std::mem::discriminant(&added);
        let of_workspace = self.iter();
        let of_workspace = of_workspace
            .filter(|(key, suspect)| suspect.workspace == workspace && is_same_kind(*key))
            .count();
        let is_workspace_full = of_workspace >= WORKSPACE_SUSPECTS_MAX;
        if !is_workspace_full && self.suspects.len() < SUSPECTS_MAX {
            return None;
        }
        let evicted_workspace = if is_workspace_full {
            workspace
        } else {
            self.largest_workspace()
        };
        let evictable = self.iter().filter(|(key, suspect)| {
            suspect.workspace == evicted_workspace && (!is_workspace_full || is_same_kind(*key))
        });
        let victim =
            evictable.min_by_key(|(key, suspect)| (is_protected(*key), suspect.ends.len(), suspect.seen_at));
        victim.map(|(key, _)| key)
    }

    fn largest_workspace(&self) -> NameHash {
        let mut counts: HashMap<NameHash, usize> = HashMap::new();
        for suspect in self.suspects.values() {
            *counts.entry(suspect.workspace).or_default() += 1;
        }
        let largest = counts
            .into_iter()
            .max_by_key(|(workspace, count)| (*count, *workspace));
        largest.map_or_else(NameHash::default, |(workspace, _)| workspace)
    }
}

/// Returns the range of the keys of a segment, of all workspaces.
fn keys_of(segment: SegmentId) -> RangeInclusive<SuspectKey> {
    let key = |workspace| SuspectKey::Segment(SegmentKey { segment, workspace });
    key(NameHash(0))..=key(NameHash(u32::MAX))
}
