//! The lease's record in the store.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use shallotlead_base::time::Time;

use super::wait::Wait;

/// How far apart two words on one naming lie that say the same: they come as ages, and clocks are set.
pub(crate) const CLOCK_TOLERANCE: Duration = Duration::from_millis(500);

/// When weights were named.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Publication {
    /// The model.
    pub model: Arc<str>,
    /// The version.
    pub version: u64,
    /// When the holder learnt of it, by its time of day in Unix milliseconds.
    pub unix_ms: u64,
}

impl Publication {
    /// Whether it says more than `known`: a later version, or that the same one was named well before.
    pub(crate) fn replaces(&self, known: &Self) -> bool {
        let is_older = self.unix_ms + (CLOCK_TOLERANCE.as_millis() as u64) < known.unix_ms;
        known.version < self.version || (known.version == self.version && is_older)
    }
}

/// Content of the record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Record {
    holder: Arc<str>,
    /// Makes each write's content unique, so that a lost answer can be settled.
    write: u64,
    /// Set when the holder gives the lease back: the servers that it or one before it has ordered
    /// lately, each with the age of the order in milliseconds.
    released: Option<Vec<(Arc<str>, u64)>>,
    /// Set when the holder gives the lease back: how long no server may be ordered, in milliseconds.
    #[serde(default)]
    wait: u64,
    /// The store's era in the version that the write was conditional on.
    #[serde(default)]
    era: u64,
    /// The newest weights, for instances that start when no other one is left to tell how old they are.
    #[serde(default)]
    named: Vec<Publication>,
    /// Until when the holder knew of all weights that were named, by its time of day in Unix milliseconds.
    #[serde(default)]
    known_until: Option<u64>,
}

impl Record {
    /// The record of a holder that goes on.
    pub(crate) fn new(
        holder: Arc<str>,
        write: u64,
        era: u64,
        named: Vec<Publication>,
        known_until: Option<u64>,
    ) -> Self {
        Self { holder, write, released: None, wait: 0, era, named, known_until }
    }

    /// Until when its writer knew of all weights that were named, in Unix milliseconds.
    pub(crate) fn known_until(&self) -> Option<u64> {
        self.known_until
    }

    /// The weights that it names.
    pub(crate) fn into_named(self) -> Vec<Publication> {
        self.named
    }

    /// The era that its writer knew.
    pub(crate) fn era(&self) -> u64 {
        self.era
    }

    /// Gives the lease back at `now` with what its next holder has to wait for.
    pub(crate) fn release(&mut self, now: Time, gap: Duration, wait: &Wait) {
        let age = |left: Duration| gap.saturating_sub(left).as_millis() as u64;
        self.released = Some(wait.left(now).map(|it| (it.0.clone(), age(it.1))).collect());
        self.wait = wait.all().since(now).as_micros().div_ceil(1_000) as u64;
    }

    /// Whether it names the instance's life `me`.
    pub(crate) fn is_of(&self, me: &str) -> bool {
        *self.holder == *me
    }

    /// What the next holder has to wait for, if it was given back. `since`: when it was read.
    pub(crate) fn released(&self, since: Time, gap: Duration) -> Option<Wait> {
        let mut wait = Wait::default();
        for (server, age) in self.released.as_ref()? {
            wait.delay(server, since + gap - Duration::from_millis(*age));
        }
        wait.delay_all(since + Duration::from_millis(self.wait));
        Some(wait)
    }
}
