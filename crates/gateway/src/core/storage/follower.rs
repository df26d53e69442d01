//! One kind of object that is followed in the platform's store.

use std::{sync::Arc, time::Duration};

use shallotlead_base::{id::Version, store::Call, time::Time};

use crate::dialect::Subject;

/// How long a watch may wait for a change. The platform takes 30 s at most; a connection that went
/// silent is found earlier, by probes.
const WATCH: Duration = Duration::from_secs(20);

/// What is followed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum What {
    Subject(Subject),
    Instances,
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

    pub(super) fn call(&self) -> Call {
        let kind = self.kind.clone();
        match self.revision {
            None => Call::List { kind },
            Some(after) => Call::Watch { kind, after, wait: WATCH },
        }
    }
}
