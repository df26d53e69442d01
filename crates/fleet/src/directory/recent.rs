//! A bounded map of recent items that expire after a fixed time.

use std::{collections::VecDeque, hash::Hash, time::Duration};

use shallotlead_base::{hash::Map, time::Time};

/// How long an item is kept.
const TTL: Duration = Duration::from_secs(5);
/// Most items that are kept.
const MAX_ITEMS: usize = 512;

/// A bounded map of recent items that expire after a fixed time.
#[derive(Debug)]
pub(crate) struct Recent<K, V> {
    items: Map<K, (Time, V)>,
    order: VecDeque<(Time, K)>,
}

impl<K, V> Default for Recent<K, V> {
    fn default() -> Self {
        Self { items: Map::default(), order: VecDeque::new() }
    }
}

impl<K: Clone + Eq + Hash, V> Recent<K, V> {
    /// Adds `value`, in place of an earlier one of the same key.
    pub(crate) fn push(&mut self, now: Time, key: K, value: V) {
        while let Some((at, _)) = self.order.front() {
            if self.order.len() < MAX_ITEMS && now < *at + TTL {
                break;
            }
            if let Some((at, key)) = self.order.pop_front()
                && self.items.get(&key).is_some_and(|it| it.0 == at)
            {
                self.items.remove(&key);
            }
        }
        self.order.push_back((now, key.clone()));
        self.items.insert(key, (now, value));
    }

    /// Removes and returns the value of `key` unless it has expired.
    pub(crate) fn remove(&mut self, now: Time, key: &K) -> Option<V> {
        let (at, value) = self.items.remove(key)?;
        (now < at + TTL).then_some(value)
    }
}
