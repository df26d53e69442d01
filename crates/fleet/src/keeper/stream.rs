//! State of one server's event stream, and the updates that are due to the owners that watch it.

use std::{collections::BTreeSet, mem};

use shallotlead_base::{
    hash::{Map, Set},
    id::{Block, Incarnation},
    name,
    time::Time,
};

use crate::keeper::{Event, MAX_WATCHED, MIN_RESYNC_INTERVAL};

/// Last known state of a watched block.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Presence {
    /// No event or snapshot has covered it yet.
    Unseen,
    /// It is cached.
    Stored,
    /// It was evicted.
    Evicted,
}

/// A block that an owner watches.
#[derive(Debug)]
struct Watched {
    owner: name::Instance,
    presence: Presence,
    /// Sequence number of the last event about it.
    seq: u64,
    since: Time,
}

/// A watched block was stored or evicted.
#[derive(Debug)]
pub(crate) struct Change {
    pub(crate) owner: name::Instance,
    pub(crate) block: Block,
    pub(crate) is_stored: bool,
}

/// Updates that are due to the owners.
#[derive(Debug, Default)]
pub(crate) struct Updates {
    /// Owners whose locations at the server are void.
    pub(crate) cleared: BTreeSet<name::Instance>,
    /// Owners whose locations at the server are uncertain.
    pub(crate) event_losses: BTreeSet<name::Instance>,
    pub(crate) changes: Vec<Change>,
}

/// State of one server's event stream.
#[derive(Debug)]
pub(crate) struct Stream {
    incarnation: Option<Incarnation>,
    /// Sequence number of the last event seen; `None` before the first.
    last_seq: Option<u64>,
    watched: Map<Block, Watched>,
    updates: Updates,
    /// Events up to this one were lost; a snapshot that includes them closes the gap.
    gap: Option<u64>,
    resync_requested_at: Option<Time>,
}

impl Default for Stream {
    fn default() -> Self {
        Self {
            incarnation: None,
            last_seq: None,
            watched: Map::default(),
            updates: Updates::default(),
            // Guards against events lost while no instance read the stream: the previous keeper may
            // have crashed some time ago. The first snapshot closes this gap like any other.
            gap: Some(0),
            resync_requested_at: None,
        }
    }
}

impl Stream {
    pub(crate) fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// Whether there are updates to send or a snapshot to request.
    pub(crate) fn is_busy(&self) -> bool {
        let Updates { cleared, event_losses, changes } = &self.updates;
        let needs_resync = self.gap.is_some() && !self.watched.is_empty();
        !cleared.is_empty() || !event_losses.is_empty() || !changes.is_empty() || needs_resync
    }

    /// Removes and returns the updates that are due.
    pub(crate) fn take_updates(&mut self) -> Updates {
        mem::take(&mut self.updates)
    }

    /// Whether to read a snapshot now; if so, records the time.
    pub(crate) fn start_resync(&mut self, now: Time) -> bool {
        let is_due = self.resync_requested_at.is_none_or(|it| it + MIN_RESYNC_INTERVAL <= now);
        if self.gap.is_none() || self.watched.is_empty() || !is_due {
            return false;
        }
        self.resync_requested_at = Some(now);
        true
    }

    /// Adds watches of `blocks` for an owner.
    pub(crate) fn watch(
        &mut self,
        now: Time,
        owner: &name::Instance,
        incarnation: Incarnation,
        blocks: &[Block],
    ) {
        if !self.accept_incarnation(incarnation) {
            self.updates.cleared.insert(owner.clone());
            return;
        }
        for block in blocks {
            if let Some(it) = self.watched.get_mut(block) {
                it.owner = owner.clone();
                // An eviction may be older than the owner's location; only a stored block is
                // reported.
                if it.presence == Presence::Stored {
                    self.updates.record_change(*block, it);
                }
                continue;
            }
            if MAX_WATCHED <= self.watched.len() {
                self.evict_watches();
            }
            // Guards against a snapshot from before an event that was dropped because its block
            // wasn't watched yet: a location would be lost right after the placement. With the
            // number of the last event, older snapshots aren't applied to the block.
            let seq = self.last_seq.unwrap_or(0);
            let (owner, presence) = (owner.clone(), Presence::Unseen);
            self.watched.insert(*block, Watched { owner, presence, seq, since: now });
            self.gap = self.gap.map(|it| it.max(seq));
        }
    }

    /// Applies events in order. Those seen before are skipped; a gap makes all locations uncertain.
    pub(crate) fn apply_events(&mut self, incarnation: Incarnation, first: u64, events: &[Event]) {
        if !self.accept_incarnation(incarnation) {
            return;
        }
        let Some(end) = first.checked_add(events.len() as u64) else { return };
        // Guards against lost events: evictions among them would leave wrong locations with high
        // confidence, and prompts would be recomputed. Gaps show in the sequence numbers, as they
        // are consecutive within an incarnation.
        if self.last_seq.unwrap_or(0) + 1 < first {
            self.record_gap(first - 1);
        }
        let seen = self.last_seq.map_or(0, |last| (last + 1).saturating_sub(first));
        let unseen = (first..).zip(events).skip(usize::try_from(seen).unwrap_or(usize::MAX));
        for (seq, event) in unseen {
            self.apply_event(seq, *event);
        }
        if self.last_seq.is_none_or(|last| last + 1 < end) {
            self.last_seq = end.checked_sub(1);
        }
    }

    /// Applies a snapshot of all cached blocks as of event `seq`.
    pub(crate) fn apply_snapshot(&mut self, incarnation: Incarnation, seq: u64, blocks: &[Block]) {
        if !self.accept_incarnation(incarnation) {
            return;
        }
        // A snapshot from before the end of the gap doesn't close it.
        if self.gap.is_some_and(|gap| seq < gap) {
            return;
        }
        let cached = blocks.iter().copied().collect::<Set<_>>();
        for (block, it) in &mut self.watched {
            let presence = match cached.contains(block) {
                true => Presence::Stored,
                false => Presence::Evicted,
            };
            // Events after the snapshot take precedence. The owners' locations are uncertain since
            // the gap, so all are sent again.
            if it.seq <= seq && (it.presence != presence || self.gap.is_some()) {
                it.presence = presence;
                it.seq = seq;
                self.updates.record_change(*block, it);
            }
        }
        self.gap = None;
        self.last_seq = Some(self.last_seq.unwrap_or(0).max(seq));
    }

    fn apply_event(&mut self, seq: u64, event: Event) {
        let (block, presence) = match event {
            Event::Stored(block) => (block, Presence::Stored),
            Event::Evicted(block) => (block, Presence::Evicted),
            Event::Cleared => {
                self.apply_clear(seq);
                return;
            }
        };
        let Some(it) = self.watched.get_mut(&block) else { return };
        it.seq = seq;
        if it.presence != presence {
            it.presence = presence;
            self.updates.record_change(block, it);
        }
    }

    fn apply_clear(&mut self, seq: u64) {
        self.updates.changes.clear();
        for it in self.watched.values_mut() {
            it.presence = Presence::Evicted;
            it.seq = seq;
            self.updates.cleared.insert(it.owner.clone());
        }
    }

    fn record_gap(&mut self, lost_until: u64) {
        self.gap = Some(self.gap.unwrap_or(0).max(lost_until));
        let owners = self.watched.values().map(|it| it.owner.clone());
        self.updates.event_losses.extend(owners);
    }

    /// Checks an incarnation of the server; a new one discards all state. Returns whether it is the
    /// current one.
    fn accept_incarnation(&mut self, incarnation: Incarnation) -> bool {
        let Some(known) = self.incarnation else {
            self.incarnation = Some(incarnation);
            return true;
        };
        if incarnation <= known {
            return incarnation == known;
        }
        let owners = self.watched.drain().map(|(_, it)| it.owner);
        self.updates = Updates { cleared: owners.collect(), ..Updates::default() };
        self.incarnation = Some(incarnation);
        self.last_seq = None;
        self.gap = None;
        self.resync_requested_at = None;
        true
    }

    /// Removes the watches of evicted blocks and, if that isn't enough, those of the older half.
    fn evict_watches(&mut self) {
        self.watched.retain(|_, it| it.presence != Presence::Evicted);
        if self.watched.len() < MAX_WATCHED {
            return;
        }
        let mut since = self.watched.values().map(|it| it.since).collect::<Vec<_>>();
        let middle = since.len() / 2;
        let (_, middle, _) = since.select_nth_unstable(middle);
        let middle = *middle;
        self.watched.retain(|_, it| middle < it.since);
    }
}

impl Updates {
    fn record_change(&mut self, block: Block, it: &Watched) {
        let is_stored = match it.presence {
            Presence::Unseen => return,
            Presence::Stored => true,
            Presence::Evicted => false,
        };
        self.changes.push(Change { owner: it.owner.clone(), block, is_stored });
    }
}
