//! Objects, their versions and the changes that watches read.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

/// All objects.
#[derive(Debug)]
pub(crate) struct Store {
    version: u64,
    history: usize,
    kinds: BTreeMap<String, Kind>,
}

/// Objects of one kind.
#[derive(Debug, Default)]
struct Kind {
    objects: BTreeMap<String, (u64, Arc<[u8]>)>,
    changes: VecDeque<Change>,
    /// Changes up to this version are forgotten.
    compacted: u64,
}

/// One change.
#[derive(Clone, Debug)]
pub(crate) struct Change {
    pub(crate) version: u64,
    pub(crate) name: String,
    /// `None`: the object was removed.
    pub(crate) value: Option<Arc<[u8]>>,
}

/// What became of a conditional write.
#[derive(Debug)]
pub(crate) enum Outcome {
    Done(u64),
    /// Another version is in force: this one, or none.
    Conflict(Option<(u64, Arc<[u8]>)>),
}

impl Store {
    /// An empty store that remembers `history` changes of each kind.
    pub(crate) fn new(history: usize) -> Self {
        Self { version: 0, history, kinds: BTreeMap::new() }
    }

    /// Version of the last write.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// One object.
    pub(crate) fn get(&self, kind: &str, name: &str) -> Option<(u64, Arc<[u8]>)> {
        self.kinds.get(kind)?.objects.get(name).cloned()
    }

    /// All objects of a kind, by name.
    pub(crate) fn list(&self, kind: &str) -> impl Iterator<Item = (&str, u64, &[u8])> {
        let objects = self.kinds.get(kind).into_iter().flat_map(|it| &it.objects);
        objects.map(|(name, (version, value))| (name.as_str(), *version, &**value))
    }

    /// Writes (or removes, without a value) when `expected` is the version in force.
    pub(crate) fn change(
        &mut self,
        kind: &str,
        name: &str,
        expected: u64,
        value: Option<Arc<[u8]>>,
    ) -> Outcome {
        let current = self.get(kind, name);
        let version = current.as_ref().map_or(0, |it| it.0);
        if version != expected || (version == 0 && value.is_none()) {
            return Outcome::Conflict(current);
        }
        Outcome::Done(self.write(kind, name, value))
    }

    /// Writes or removes, whatever the version; returns the new one.
    pub(crate) fn write(&mut self, kind: &str, name: &str, value: Option<Arc<[u8]>>) -> u64 {
        self.version += 1;
        let kind = self.kinds.entry(kind.to_owned()).or_default();
        match &value {
            Some(value) => {
                kind.objects.insert(name.to_owned(), (self.version, Arc::clone(value)));
            }
            None => {
                kind.objects.remove(name);
            }
        }
        kind.changes.push_back(Change { version: self.version, name: name.to_owned(), value });
        if self.history < kind.changes.len() {
            kind.compacted = kind.changes.pop_front().map_or(0, |it| it.version);
        }
        self.version
    }

    /// Changes of a kind after a version, oldest first; `None` when some are forgotten.
    pub(crate) fn changes(&self, kind: &str, after: u64) -> Option<Vec<&Change>> {
        let Some(kind) = self.kinds.get(kind) else { return Some(Vec::new()) };
        if after < kind.compacted {
            return None;
        }
        Some(kind.changes.iter().filter(|it| after < it.version).collect())
    }
}
