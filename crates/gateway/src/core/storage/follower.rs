//! One kind of object that is followed in the platform's store.

use std::{sync::Arc, time::Duration};

use shallotlead_base::{id::Version, store::Call, time::Time};

use crate::adapter::ObjectKind;

/// How long a watch may wait for a change. The platform takes 30 s at most; a connection that went
/// silent is found earlier, by probes.
const WATCH: Duration = Duration::from_secs(20);
/// How long the watch of the configuration may wait in a large fleet. The others rely on the few that watch, and a
/// change is to be in force everywhere within 4 s: the store must be known to answer more often than that.
const CONFIRMED_WATCH: Duration = Duration::from_secs(1);

/// Pause after the first reading of a kind: until then most instances of a large fleet know that others watch.
const SETTLE: Duration = Duration::from_millis(500);
/// Pause between two watches in a large fleet, so that changes that come close together are read together: of
/// backend servers, whose entries change with each load of weights, and of instances, which tell each other
/// of themselves. A server's leaving binds some seconds after the store has it.
const SERVERS_PAUSE: Duration = Duration::from_millis(400);
const INSTANCES_PAUSE: Duration = Duration::from_secs(2);

/// What is followed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum What {
    Subject(ObjectKind),
    Instances,
    /// Requests in quarantine: read once, as instances tell each other of those that are added.
    Records,
}

/// One kind that is followed by a watch.
pub(super) struct Follower {
    pub(super) kind: Arc<str>,
    pub(super) what: What,
    pub(super) revision: Option<Version>,
    pub(super) is_open: bool,
    pub(super) next: Time,
    /// When the store last said how things stand; zero before the first time.
    pub(super) heard: Time,
}

impl Follower {
    pub(super) fn open(kind: &str, what: What, now: Time) -> Self {
        Self {
            kind: Arc::from(kind),
            what,
            revision: None,
            is_open: false,
            next: now,
            heard: Time::ZERO,
        }
    }

    /// Whether an instance reads it now. What was read once is followed by those that watch; the others hear of it from
    /// them, and read it anew where they don't.
    pub(super) fn is_followed(&self, is_watcher: bool) -> bool {
        match self.what {
            What::Records => is_watcher && self.revision.is_none(),
            What::Subject(_) | What::Instances => is_watcher || self.revision.is_none(),
        }
    }

    /// How long to wait after an answer before the next call.
    pub(super) fn pause(&self, is_large: bool) -> Duration {
        match self.what {
            _ if self.revision.is_none() => SETTLE,
            What::Subject(ObjectKind::Servers) if is_large => SERVERS_PAUSE,
            What::Instances if is_large => INSTANCES_PAUSE,
            What::Subject(_) | What::Instances | What::Records => Duration::ZERO,
        }
    }

    pub(super) fn call(&self, is_large: bool) -> Call {
        let kind = self.kind.clone();
        let wait = match self.what {
            What::Subject(ObjectKind::Configuration) if is_large => CONFIRMED_WATCH,
            What::Subject(_) | What::Instances | What::Records => WATCH,
        };
        match self.revision {
            None => Call::List { kind },
            Some(after) => Call::Watch { kind, after, wait },
        }
    }
}
