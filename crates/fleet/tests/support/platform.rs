//! A small stand-in of the platform's object API for nodes in virtual time.

use std::{sync::Arc, time::Duration};

use shallotlead_base::{
    id::Version,
    store::{Call, Change, Failure, Key, Object, Reply, Store, memory::Memory},
    time::Time,
};

use shallotlead_fleet::node::CallId;

/// A call that waits for a change.
struct Watch {
    node: usize,
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
    /// Calls so far, a waiting watch counted as one.
    pub(crate) calls: u64,
    /// Bytes of values that were answered.
    pub(crate) bytes: u64,
    /// Whether every call fails.
    pub(crate) is_down: bool,
    /// The answer to the next write is lost after it took effect.
    pub(crate) lose_next_reply: bool,
}

impl Platform {
    /// Takes one call; the answer may come later.
    pub(crate) fn submit(
        &mut self,
        now: Time,
        node: usize,
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
                self.watches.push(Watch { node, id, kind, after, deadline: now + wait });
                return None;
            }
            return Some(self.count_bytes(Reply::Changed { changes, version: self.store.version }));
        }
        let reply = self.apply(call);
        Some(self.count_bytes(reply))
    }

    /// Watches that end now, by a change or because their time is up.
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
            ended.push((watch.node, watch.id, reply));
        }
        ended
    }

    /// The object as it is now.
    pub(crate) fn get(&self, key: &Key) -> Option<Object> {
        self.store.objects.get(key).cloned()
    }

    /// Instances that wait for a change.
    pub(crate) fn watchers(&self) -> Vec<usize> {
        let mut nodes = self.watches.iter().map(|it| it.node).collect::<Vec<_>>();
        nodes.sort_unstable();
        nodes.dedup();
        nodes
    }

    /// Cuts the connections of those that wait; they never hear an answer.
    pub(crate) fn drop_watches(&mut self) {
        self.watches.clear();
    }

    /// When the next waiting watch's time is up.
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
