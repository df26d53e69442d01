//! Objects in memory, under the platform's rules for versions and conditional writes.

use std::{collections::BTreeMap, sync::Arc};

use crate::{
    id::Version,
    store::{Call, Key, Object, Reply, Store},
};

/// A store that carries out each call at once and never fails, for tests and simulations. Whoever
/// drives it adds delays and faults.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    /// All objects.
    pub objects: BTreeMap<Key, Object>,
    /// The version of the last write.
    pub version: Version,
}

impl Memory {
    fn write(&mut self, key: Key, expected: Version, value: Option<Arc<[u8]>>) -> Reply {
        let found = self.objects.get(&key);
        if found.map_or(Version(0), |it| it.version) != expected {
            return Reply::Conflict(found.cloned());
        }
        self.version.0 += 1;
        let version = self.version;
        match value {
            Some(value) => self.objects.insert(key.clone(), Object { key, version, value }),
            None => self.objects.remove(&key),
        };
        Reply::Done(version)
    }
}

impl Store for Memory {
    /// A watch ends at once, without a change.
    fn call(&mut self, call: Call) -> Reply {
        match call {
            Call::Get(key) => Reply::Got(self.objects.get(&key).cloned()),
            Call::Put { key, expected, value } => self.write(key, expected, Some(value)),
            Call::Delete { key, expected } => self.write(key, expected, None),
            Call::List { kind } => {
                let objects = self.objects.values().filter(|it| it.key.kind == kind).cloned();
                Reply::Listed { objects: objects.collect(), version: self.version }
            }
            Call::Watch { .. } => Reply::Changed { changes: Vec::new(), version: self.version },
        }
    }
}
