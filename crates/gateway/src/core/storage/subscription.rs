//! One kind of object that is followed in the platform's store.

use std::{sync::Arc, time::Duration};

use shallotlead_base::{id::Version, store::Call, time::Time};

use crate::dialect::Subject;

/// How long a watch may wait for a change. The platform takes 30 s at most; a connection that went
/// silent is found earlier, by probes.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// How long the watch of the configuration may wait in a large fleet. The others rely on the few that watch, and a
/// change is to be in force everywhere within 4 s: the store must be known to answer more often than that.
const CONFIGURATION_WATCH_WAIT: Duration = Duration::from_secs(1);

/// Pause after the first reading of a kind: until then most instances of a large fleet know that others watch.
const SETTLE_DELAY: Duration = Duration::from_millis(500);
/// Pause between two watches in a large fleet, so that changes that come close together are read together: of
/// backend servers, whose entries change with each load of weights, and of instances, which tell each other
/// of themselves. A server's leaving binds some seconds after the store has it.
const SERVERS_WATCH_DELAY: Duration = Duration::from_millis(400);
const INSTANCES_WATCH_DELAY: Duration = Duration::from_secs(2);

/// What is followed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Topic {
    Platform(Subject),
    Instances,
    /// Requests in quarantine: read once, as instances tell each other of those that are added.
    Records,
}

/// One kind that is followed by a watch.
pub(super) struct Subscription {
    pub(super) kind: Arc<str>,
    pub(super) topic: Topic,
    pub(super) revision: Option<Version>,
    pub(super) is_in_flight: bool,
    pub(super) next_at: Time,
    /// When the store last said how things stand; zero before the first time.
    pub(super) last_answer: Time,
}

impl Subscription {
    pub(super) fn new(kind: &str, what: Topic, now: Time) -> Self {
        Self {
            kind: Arc::from(kind),
            topic: what,
            revision: None,
            is_in_flight: false,
            next_at: now,
            last_answer: Time::ZERO,
        }
    }

    /// Whether an instance reads it now. What was read once is followed by those that watch; the others hear of it from
    /// them, and read it anew where they don't.
    pub(super) fn is_active(&self, is_watcher: bool) -> bool {
        match self.topic {
            Topic::Records => is_watcher && self.revision.is_none(),
            Topic::Platform(_) | Topic::Instances => is_watcher || self.revision.is_none(),
        }
    }

    /// How long to wait after an answer before the next call.
    pub(super) fn delay(&self, is_large: bool) -> Duration {
        match self.topic {
            _ if self.revision.is_none() => SETTLE_DELAY,
            Topic::Platform(Subject::Servers) if is_large => SERVERS_WATCH_DELAY,
            Topic::Instances if is_large => INSTANCES_WATCH_DELAY,
            Topic::Platform(_) | Topic::Instances | Topic::Records => Duration::ZERO,
        }
    }

    pub(super) fn next_call(&self, is_large: bool) -> Call {
        let kind = self.kind.clone();
        let wait = match self.topic {
            Topic::Platform(Subject::Configuration) if is_large => CONFIGURATION_WATCH_WAIT,
            Topic::Platform(_) | Topic::Instances | Topic::Records => WATCH_WAIT,
        };
        match self.revision {
            None => Call::List { kind },
            Some(after) => Call::Watch { kind, after, wait },
        }
    }
}
