//! Keeps one kind of object in sync with the platform's store, by one list and then watches.

use std::{sync::Arc, time::Duration};

use shallotlead_base::{id::Version, store::Call, time::Time};

use crate::{
    adapter::ObjectKind,
    core::storage::{Pages, RETRY_DELAY},
};

#[cfg(test)]
mod tests;

/// Longest wait of a watch. The platform allows at most 30 s; TCP keep-alive probes detect a dead
/// connection sooner.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Longest wait of the configuration's watch in a large fleet. A change has to be in force
/// everywhere within 4 s, and most instances depend on the few that watch, so the store has to
/// confirm the configuration more often than that.
const CONFIGURATION_WATCH_WAIT: Duration = Duration::from_secs(1);

/// Time between the moment that an answer shows and the next call from which on the store counts as not watched in
/// between.
const MAX_UNWATCHED: Duration = Duration::from_secs(1);

/// Delay after the first list of a kind. By then most instances of a large fleet know that others
/// watch.
const SETTLE_DELAY: Duration = Duration::from_millis(500);
/// Delay between two watches of the servers' entries in a large fleet, so that bursts of changes are
/// read together. The entries change with each load of weights; a server that leaves may still be
/// used for some seconds after its entry says so.
const SERVERS_WATCH_DELAY: Duration = Duration::from_millis(400);
/// The same for the instances' own records; instances also inform each other directly.
const INSTANCES_WATCH_DELAY: Duration = Duration::from_secs(2);

/// Failed calls from which on a list counts as failing, as single ones are lost at any time.
const LIST_ATTEMPTS: u32 = 3;
/// Longest delay before a list is tried again that was rejected.
const MAX_LIST_DELAY: Duration = Duration::from_secs(5);

/// What is mirrored.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Topic {
    /// The configuration, published weights, and servers' entries.
    Platform(ObjectKind),
    /// The instances' own records.
    Instances,
    /// Quarantined requests. Read only once, as instances inform each other of later ones.
    Records,
}

/// The list and watches of one kind.
pub(super) struct Subscription {
    pub(super) kind: Arc<str>,
    pub(super) topic: Topic,
    /// Version up to which the kind was read; `None` before the first list.
    pub(super) revision: Option<Version>,
    /// The pages of its list that were read so far.
    pub(super) pages: Pages,
    pub(super) is_in_flight: bool,
    /// When the next call may be sent.
    pub(super) next_at: Time,
    /// Time of the store's last answer; zero before the first one.
    pub(super) last_answer: Time,
    /// Until when nothing had changed that wasn't read.
    confirmed_at: Option<Time>,
    /// When the call in flight was sent.
    sent_at: Time,
    /// Until when the last answer shows all changes; zero before the first one. Pages of a list may have been read long
    /// before its end.
    read_until: Time,
    /// A call has failed, or none was sent for a while, since the last answer.
    is_interrupted: bool,
    /// Failed calls since the last answer.
    failures: u32,
    /// Lists that the store answered, but that couldn't be read to their end, since the last answer.
    rejected_lists: u32,
}

/// What an answer of the store shows about when its changes were made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Basis {
    /// The changes have just been made, and none before them was missed.
    pub(crate) is_live: bool,
    /// Until when nothing had changed; `None` if the kind wasn't read before.
    pub(crate) unchanged_until: Option<Time>,
}

impl Subscription {
    pub(super) fn new(kind: &str, topic: Topic, now: Time) -> Self {
        Self {
            kind: Arc::from(kind),
            topic,
            revision: None,
            pages: Pages::default(),
            is_in_flight: false,
            next_at: now,
            last_answer: Time::ZERO,
            confirmed_at: None,
            sent_at: Time::ZERO,
            read_until: Time::ZERO,
            is_interrupted: false,
            failures: 0,
            rejected_lists: 0,
        }
    }

    /// Marks the next call as sent.
    pub(super) fn start_call(&mut self, now: Time) {
        self.is_in_flight = true;
        // A list that goes on with a further page shows nothing later than its first page.
        if self.pages.count() == 0 {
            self.sent_at = now;
        }
        self.is_interrupted |=
            self.read_until != Time::ZERO && MAX_UNWATCHED < now.since(self.read_until);
    }

    /// Skips the changes up to `known`. After a restore of the store the kind has to be listed instead.
    pub(super) fn advance(&mut self, known: Version) {
        if let Some(it) = self.revision.as_mut().filter(|it| it.era() == known.era()) {
            *it = known.max(*it);
        }
    }

    /// Until when this instance knows all changes, from its own calls or, where it leaves the watch to others, from
    /// them; `None` if it doesn't.
    pub(super) fn known_until(&self, now: Time) -> Option<Time> {
        if self.is_interrupted { self.confirmed_at } else { self.confirmed_at.and(Some(now)) }
    }

    /// How long the watch that is about to be sent may wait; at most `wait`. The watch of weights that follows a failed
    /// call doesn't: its answer shows what was published meanwhile, so that whatever a later watch reports is known
    /// to be new.
    pub(super) fn watch_timeout(&self, wait: Duration) -> Duration {
        match self.topic {
            Topic::Platform(ObjectKind::Weights) if self.is_interrupted => Duration::ZERO,
            Topic::Platform(_) | Topic::Instances | Topic::Records => wait,
        }
    }

    /// Marks a call as failed, which may be sent again.
    pub(super) fn fail_call(&mut self) {
        self.is_interrupted = true;
        self.failures = self.failures.saturating_add(1);
    }

    /// Gives up a list that can't be read to its end. The next one begins with the first page.
    pub(super) fn reject_list(&mut self) {
        self.pages = Pages::default();
        self.rejected_lists = self.rejected_lists.saturating_add(1);
    }

    /// Whether the kind has to be listed and that fails, though other calls may be answered.
    pub(super) fn is_list_failing(&self) -> bool {
        self.revision.is_none() && (0 < self.rejected_lists || LIST_ATTEMPTS <= self.failures)
    }

    /// Delay before a list that was given up is tried again. One whose call was lost or refused isn't delayed: the store
    /// may be back at any time.
    pub(super) fn list_delay(&self) -> Duration {
        match self.rejected_lists {
            0 => Duration::ZERO,
            it => (RETRY_DELAY * (1 << (it - 1).min(16))).min(MAX_LIST_DELAY),
        }
    }

    /// What the pages of a list show about the changes on them.
    pub(super) fn list_basis(&self) -> Basis {
        Basis { is_live: false, unchanged_until: self.confirmed_at }
    }

    /// Marks the call as answered by a list or, if `is_watch`, by a watch. Returns what that shows about the changes
    /// in it.
    pub(super) fn finish_call(&mut self, now: Time, is_watch: bool) -> Basis {
        let is_live = is_watch && !self.is_interrupted;
        // An answer that wasn't awaited may have been under way since the call.
        let confirmed_at = if is_live { now } else { self.sent_at };
        let unchanged_until = self.confirmed_at.replace(confirmed_at);
        self.last_answer = now;
        self.read_until = if is_watch { now } else { self.sent_at };
        self.is_interrupted = false;
        (self.failures, self.rejected_lists) = (0, 0);
        Basis { is_live, unchanged_until }
    }

    /// Whether this instance may call the store for it. After the first list only watchers do; the
    /// others hear of changes from them, and list again if nobody does.
    pub(super) fn is_active(&self, is_watcher: bool) -> bool {
        match self.topic {
            Topic::Records => is_watcher && self.revision.is_none(),
            Topic::Platform(_) | Topic::Instances => is_watcher || self.revision.is_none(),
        }
    }

    /// Delay between an answer and the next call.
    pub(super) fn delay(&self, is_large: bool) -> Duration {
        match self.topic {
            _ if self.revision.is_none() => SETTLE_DELAY,
            Topic::Platform(ObjectKind::Servers) if is_large => SERVERS_WATCH_DELAY,
            Topic::Instances if is_large => INSTANCES_WATCH_DELAY,
            Topic::Platform(_) | Topic::Instances | Topic::Records => Duration::ZERO,
        }
    }

    pub(super) fn next_call(&self, is_large: bool) -> Call {
        let kind = self.kind.clone();
        let wait = match self.topic {
            Topic::Platform(ObjectKind::Configuration) if is_large => CONFIGURATION_WATCH_WAIT,
            Topic::Platform(_) | Topic::Instances | Topic::Records => WATCH_WAIT,
        };
        match self.revision {
            None => Call::List { kind },
            Some(after) => Call::Watch { kind, after, wait },
        }
    }
}
