//! The store's era: it rises when the store comes back from an older copy, and what was written since is lost.

use std::time::Duration;

use rand::Rng;
use shallotlead_base::{
    id::Version,
    store::{Call, Failure, Reply},
    time::Time,
};
use shallotlead_platform::outcome::Outcome;

use crate::{
    core::{
        Core,
        storage::{Register, What},
    },
    dialect::Subject,
    http::head::Fields,
};

/// How long after a restore servers' entries are read once more. A server that lapsed while it lived writes again
/// what the copy has, but for its beat, and no change tells of that.
const READ_AGAIN: Duration = Duration::from_millis(2_500);
/// Within it the followed kinds are read anew, and records written again: all instances learn of a restore together.
const SPREAD: Duration = Duration::from_millis(300);

/// The store's era as one instance knows it.
#[derive(Debug, Default)]
pub(crate) struct Era {
    /// What the store has said, once it has.
    own: Option<u64>,
    /// The latest that another instance has told of.
    told: u64,
    /// When servers' entries are read once more.
    read_again: Option<Time>,
}

impl Era {
    /// The era, as other instances are told; zero before the first answer.
    pub(crate) fn number(&self) -> u64 {
        self.own.unwrap_or(0)
    }

    /// Whether a call goes by what was read in an older era. Such a one isn't sent: its revision may belong to
    /// something else by now.
    fn is_outdated(&self, call: &Call) -> bool {
        basis(call).is_some_and(|it| it.era() < self.number())
    }
}

/// What a call goes by; nothing if it goes by nothing, as a reading or the first writing.
fn basis(call: &Call) -> Option<Version> {
    match call {
        Call::Put { expected: it, .. } | Call::Delete { expected: it, .. } => {
            (*it != Version(0)).then_some(*it)
        }
        Call::Watch { after, .. } => Some(*after),
        Call::Get(_) | Call::List { .. } => None,
    }
}

impl Core {
    /// The outcome of a call that isn't sent, as it goes by an older era: a write's condition doesn't hold, and a
    /// watch's history is lost.
    pub(super) fn outdated(&self, call: &Call) -> Option<Outcome> {
        let reply = match call {
            _ if !self.storage.era.is_outdated(call) => return None,
            Call::Watch { .. } => Reply::Failed(Failure::Compacted),
            Call::Put { .. } | Call::Delete { .. } | Call::Get(_) | Call::List { .. } => {
                Reply::Conflict(None)
            }
        };
        Some(Outcome::Answered(reply))
    }

    /// Takes the era of an answer before the answer itself is used. Says whether it may be: one of an older era comes
    /// late, and one without a readable era proves nothing.
    pub(super) fn take_era(&mut self, fields: &Fields, is_success: bool) -> bool {
        let known = self.storage.era.own;
        let refused = match (self.dialect.store_era(fields), known) {
            (Ok(Some(era)), None) => {
                self.storage.era.own = Some(era);
                self.storage.era.told = self.storage.era.told.max(era);
                self.journal.line(self.now, "store_era").number("era", era);
                return true;
            }
            (Ok(Some(era)), Some(known)) if known < era => {
                self.store_restored(known, era);
                return true;
            }
            (Ok(Some(era)), Some(known)) if known == era => return true,
            (Ok(Some(_)), Some(_)) => "older",
            // A store that has never named an era has come back from no copy.
            (Ok(None), None) => return true,
            // Refusals promise no more than that nothing was done.
            (Ok(None), Some(_)) if !is_success => return true,
            (Ok(None), Some(_)) => "missing",
            (Err(_), _) => "unreadable",
        };
        self.stats.era_refused(refused);
        self.journal.line(self.now, "store_era_refused").text("reason", refused);
        false
    }

    /// What an answer of a newer era says to a call that went by an older one.
    pub(super) fn across_eras(&self, call: &Call, outcome: Outcome) -> Outcome {
        match (&outcome, self.outdated(call)) {
            (Outcome::Answered(_), Some(lost)) if matches!(call, Call::Watch { .. }) => lost,
            // It was carried out on a revision that was given out again: nothing follows from it.
            (Outcome::Answered(Reply::Done(_)), Some(_)) => Outcome::Lost,
            _ => outcome,
        }
    }

    /// Another instance has heard of the store's `era`. Orders stop at once; that the store's answers are of an older
    /// one is believed only of the store.
    pub(crate) fn told_era(&mut self, era: u64) {
        let known = self.storage.era.own.unwrap_or(u64::MAX);
        if era <= known || era <= self.storage.era.told || Version::MAX_ERA < era {
            return;
        }
        self.storage.era.told = era;
        self.journal.line(self.now, "store_era").number("era", known).number("told", era);
        self.lease.restored(self.now);
        self.end_watches();
    }

    /// The store came back from an older copy.
    fn store_restored(&mut self, before: u64, era: u64) {
        let now = self.now;
        self.journal
            .line(now, "store_restored")
            .number("before", before)
            .number("era", era)
            .number("servers", self.storage.entries.len());
        self.stats.store_restored();
        self.storage.era.own = Some(era);
        self.storage.era.told = self.storage.era.told.max(era);
        self.storage.era.read_again = Some(now + READ_AGAIN);
        self.lease.restored(now);
        self.pool.store_returned(now);
        self.end_watches();
        let is_watcher = self.storage.is_watcher;
        for it in self.storage.followed.iter_mut().filter(|it| it.what != What::Verdicts) {
            it.next = now + SPREAD.mul_f64(self.rng.random::<f64>());
            if is_watcher {
                it.revision = None;
            }
        }
        let at = now + SPREAD.mul_f64(self.rng.random::<f64>());
        self.storage.register = Register::Due(Version(0), at);
        self.storage.verdicts.restored(now);
        self.tell_own_state();
    }

    /// Reads servers' entries once more after a restore.
    pub(super) fn tick_era(&mut self) {
        if self.storage.era.read_again.is_none_or(|it| self.now < it) {
            return;
        }
        self.storage.era.read_again = None;
        if !self.storage.is_watcher {
            return;
        }
        self.end_watches();
        let servers = What::Subject(Subject::Servers);
        if let Some(it) = self.storage.followed.iter_mut().find(|it| it.what == servers) {
            it.revision = None;
        }
    }
}
