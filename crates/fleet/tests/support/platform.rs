//! A fake of the platform's object API for simulated nodes.

use std::{sync::Arc, time::Duration};

use shallotlead_base::{
    id::Version,
    store::{Call, Change, Failure, Key, Object, Reply, Store, memory::Memory},
    time::Time,
};

use shallotlead_fleet::node::CallId;

/// A watch call that waits for a change.
struct Watch {
    instance: usize,
    id: CallId,
    kind: Arc<str>,
    after: Version,
    deadline: Time,
}

/// Objects with versions, conditional writes and watches.
#[derive(Default)]
pub(crate) struct Platform {
    store: Memory,
    watches: Vec<Watch>,
    /// Number of calls so far. A watch counts as one call.
    pub(crate) calls: u64,
    /// Bytes of the values in all replies so far.
    pub(crate) bytes: u64,
    /// Whether the platform is down, so that every call fails.
    pub(crate) is_down: bool,
    /// Whether the reply to the next successful write is lost after the write took effect.
    pub(crate) lose_next_reply: bool,
}

impl Platform {
    /// Processes one call. Returns `None` for a watch that has to wait.
    pub(crate) fn submit(
        &mut self,
        now: Time,
        instance: usize,
        id: CallId,
        call: Call,
    ) -> Option<Reply> {
        self.calls += 1;
        if self.is_down {
            let retry_after = Duration::ZERO;
            return Some(Reply::Failed(Failure::NotApplied { retry_after }));
        }
        if let Call::Watch { kind, after, wait } = call {
            let changes = self.changes(&kind, after);
            if changes.is_empty() {
                self.watches.push(Watch { instance, id, kind, after, deadline: now + wait });
                return None;
            }
            return Some(self.count_bytes(Reply::Changed { changes, version: self.store.version }));
        }
        let reply = self.apply(call);
        Some(self.count_bytes(reply))
    }

    /// Removes the watches that end now, by a change, a timeout or an outage, and returns their
    /// instance, call and reply.
    pub(crate) fn take_finished_watches(&mut self, now: Time) -> Vec<(usize, CallId, Reply)> {
        let mut ended = Vec::new();
        for watch in std::mem::take(&mut self.watches) {
            let changes = self.changes(&watch.kind, watch.after);
            if changes.is_empty() && now < watch.deadline && !self.is_down {
                self.watches.push(watch);
                continue;
            }
            let reply = if self.is_down {
                Reply::Failed(Failure::Unknown)
            } else {
                Reply::Changed { changes, version: self.store.version }
            };
            let reply = self.count_bytes(reply);
            ended.push((watch.instance, watch.id, reply));
        }
        ended
    }

    /// Returns the object's current state.
    pub(crate) fn get(&self, key: &Key) -> Option<Object> {
        self.store.objects.get(key).cloned()
    }

    /// Returns the instances that wait for a change, in order.
    pub(crate) fn watchers(&self) -> Vec<usize> {
        let mut instances = self.watches.iter().map(|it| it.instance).collect::<Vec<_>>();
        instances.sort_unstable();
        instances.dedup();
        instances
    }

    /// Drops all waiting watches without a reply, as if their connections broke.
    pub(crate) fn drop_watches(&mut self) {
        self.watches.clear();
    }

    /// Returns the earliest timeout of a waiting watch.
    pub(crate) fn next_deadline(&self) -> Time {
        self.watches.iter().map(|it| it.deadline).min().unwrap_or(Time::MAX)
    }

    fn changes(&self, kind: &str, after: Version) -> Vec<Change> {
        let objects = self.store.objects.values();
        let newer = objects.filter(|it| *it.key.kind == *kind && after < it.version);
        newer.cloned().map(Change::Put).collect()
    }

    fn count_bytes(&mut self, reply: Reply) -> Reply {
        let size = |it: &Object| it.value.len() as u64;
        self.bytes += match &reply {
            Reply::Got(Some(it)) | Reply::Conflict(Some(it)) => size(it),
            Reply::Listed { objects, .. } => objects.iter().map(size).sum(),
            Reply::Changed { changes, .. } => changes
                .iter()
                .map(|it| match it {
                    Change::Put(it) => size(it),
                    Change::Delete(..) => 0,
                })
                .sum(),
            _ => 0,
        };
        reply
    }

    fn apply(&mut self, call: Call) -> Reply {
        let reply = self.store.call(call);
        if matches!(reply, Reply::Done(_)) && std::mem::take(&mut self.lose_next_reply) {
            return Reply::Failed(Failure::Unknown);
        }
        reply
    }
}

impl Store for Platform {
    fn call(&mut self, call: Call) -> Reply {
        self.calls += 1;
        if self.is_down {
            return Reply::Failed(Failure::NotApplied { retry_after: Duration::ZERO });
        }
        self.apply(call)
    }
}
