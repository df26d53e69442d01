//! Which instances an allowance of the whole fleet is divided among.

use std::{sync::Arc, time::Duration};

use shallotlead_base::{hash::Map, time::Time};

/// How long an instance that fell silent without announcing its shutdown, or that is known from the store only, still
/// counts. It may live on behind a partition, and spend its share there. A longer partition isn't covered.
const ABSENCE_TTL: Duration = Duration::from_secs(600);
/// Time until all other instances have heard of a new one and have given up its share: four gossip periods.
const INTRODUCTION_TIME: Duration = Duration::from_millis(2_400);

/// What one process knows of those that it shares with.
#[derive(Debug, Default)]
pub(super) struct Sharers {
    /// Members that are no longer known otherwise.
    absent: Map<Arc<str>, Absent>,
    entry: Option<Entry>,
}

#[derive(Debug)]
struct Absent {
    /// When it was last heard of, or its record was read.
    seen_at: Time,
    /// Whether it is known from more than its record, which remains in the store when an instance is gone for good.
    was_heard: bool,
}

/// How a process has entered the fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Entry {
    /// As the first process ever: no other one can have spent anything.
    Founder,
    /// Its instance, or another one, may have spent shares before.
    Successor,
}

impl Sharers {
    /// Number of absent members.
    pub(super) fn absent(&self) -> usize {
        self.absent.len()
    }

    /// Number of absent members that this process has heard of.
    pub(super) fn absent_heard(&self) -> usize {
        self.absent.values().filter(|it| it.was_heard).count()
    }

    /// Keeps a silent member for a while.
    pub(super) fn add_absent(&mut self, name: Arc<str>, seen_at: Time, was_heard: bool) {
        self.absent.insert(name, Absent { seen_at, was_heard });
    }

    /// Removes a member that is heard of again.
    pub(super) fn remove_absent(&mut self, name: &str) {
        self.absent.remove(name);
    }

    /// Forgets members that have been absent for too long.
    pub(super) fn expire(&mut self, now: Time) {
        self.absent.retain(|_, it| now.since(it.seen_at) < ABSENCE_TTL);
    }

    /// Records that this process has entered the fleet: it is registered and has read who else is.
    pub(super) fn enter(&mut self, is_founder: bool) {
        let entry = if is_founder { Entry::Founder } else { Entry::Successor };
        self.entry.get_or_insert(entry);
    }

    /// Whether this process has entered the fleet.
    pub(super) fn has_entered(&self) -> bool {
        self.entry.is_some()
    }

    /// Whether this process may spend its share, `uptime` after its start, of an allowance that covers `span`.
    ///
    /// Guards against a fleet that exceeds its allowance when instances restart: the process before may have spent
    /// the share within the span, and nobody has kept account of it.
    pub(super) fn has_share(&self, uptime: Duration, span: Duration) -> bool {
        match self.entry {
            None => false,
            Some(Entry::Founder) => true,
            Some(Entry::Successor) => span + INTRODUCTION_TIME <= uptime,
        }
    }
}
