//! The store's era: it rises when the store comes back from an older copy, and what was written since is lost.

use std::{sync::Arc, time::Duration};

use rand::Rng;
use shallotlead_base::{
    hash::Set,
    id::Version,
    store::{Call, Failure, Reply},
    time::Time,
};
use shallotlead_platform::outcome::Outcome;

use crate::{
    adapter::ObjectKind,
    core::{
        Core,
        storage::{Register, What},
    },
    http::head::Fields,
};

/// How long after a restore servers' entries are read once more. A server that lapsed while it lived writes again
/// what the copy has, but for its beat, and no change tells of that.
const READ_AGAIN: Duration = Duration::from_millis(2_500);
/// Within it all instances write their own records again: they learn of a restore at the same moment.
const SPREAD: Duration = Duration::from_millis(300);

/// The store's era as one instance knows it.
#[derive(Debug, Default)]
pub(crate) struct Era {
    /// What the store has said; zero where it names none. Nothing before its first answer.
    from_store: Option<u64>,
    /// What another instance has told last.
    told: u64,
    /// When servers' entries are read once more.
    read_again: Option<Time>,
    /// Kinds that are to be listed before they are watched on.
    lists: Set<Arc<str>>,
}

impl Era {
    /// The era, as other instances are told; zero before the first answer.
    pub(crate) fn number(&self) -> u64 {
        self.from_store.unwrap_or(0)
    }

    /// A kind was listed.
    pub(super) fn listed(&mut self, kind: &str) {
        self.lists.remove(kind);
    }
}

/// What an answer's era says of the answer.
enum Standing {
    /// It may be used.
    Current,
    /// The store came back from an older copy since the last one.
    Newer(u64),
    /// It may not be used.
    Refused(&'static str),
}

/// The version that a call's condition names, or that a watch goes on from.
fn condition_version(call: &Call) -> Option<Version> {
    match call {
        Call::Put { expected: it, .. } | Call::Delete { expected: it, .. } => {
            (*it != Version(0)).then_some(*it)
        }
        Call::Watch { after, .. } => Some(*after),
        Call::Get(_) | Call::List { .. } => None,
    }
}

impl Core {
    /// The outcome of a call that goes by an older era. It isn't sent, as its revision may belong to something else by
    /// now: a write's condition doesn't hold, and a watch's history is lost.
    pub(super) fn outdated(&self, call: &Call) -> Option<Outcome> {
        let era = &self.storage.era;
        let is_older = condition_version(call).is_some_and(|it| it.era() < era.number());
        let reply = match call {
            Call::Watch { kind, .. } if is_older || era.lists.contains(kind) => {
                Reply::Failed(Failure::Compacted)
            }
            Call::Put { .. } | Call::Delete { .. } if is_older => Reply::Conflict(None),
            _ => return None,
        };
        Some(Outcome::Answered(reply))
    }

    /// Learns the era of an answer before the answer itself is used. Says whether it may be.
    pub(super) fn learn_era(&mut self, fields: &Fields, is_refusal: bool) -> bool {
        match self.check_era(fields, is_refusal) {
            Standing::Current => true,
            Standing::Newer(era) => {
                self.store_restored(era);
                true
            }
            Standing::Refused(reason) => {
                self.stats.era_refused(reason);
                self.journal.line(self.now, "store_era_refused").text("reason", reason);
                false
            }
        }
    }

    fn check_era(&mut self, fields: &Fields, is_refusal: bool) -> Standing {
        let named = match self.dialect.parse_store_era(fields) {
            Ok(it) => it,
            Err(_) => return Standing::Refused("unreadable"),
        };
        let Some(known) = self.storage.era.from_store else {
            if !is_refusal {
                let era = named.unwrap_or(0);
                self.storage.era.from_store = Some(era);
                self.journal.line(self.now, "store_era").number("era", era);
            }
            return Standing::Current;
        };
        match named {
            None if is_refusal || known == 0 => Standing::Current,
            None => Standing::Refused("missing"),
            Some(era) if era < known => Standing::Refused("older"),
            Some(era) if known < era => Standing::Newer(era),
            Some(_) => Standing::Current,
        }
    }

    /// Discards what an answer of a newer era says to a call that goes by an older one.
    pub(super) fn discard_if_outdated(&self, call: &Call, outcome: Outcome) -> Outcome {
        match (&outcome, self.outdated(call)) {
            (Outcome::Answered(_), Some(lost)) if matches!(call, Call::Watch { .. }) => lost,
            // It was carried out on a revision that was given out again: nothing follows from it.
            (Outcome::Answered(Reply::Done(_)), Some(_)) => Outcome::Lost,
            _ => outcome,
        }
    }

    /// Another instance has heard of the store's `era`. Orders stop at once; what the era is, is believed only of the
    /// store, which is asked by lists and by writing the own record again.
    pub(crate) fn told_era(&mut self, era: u64) {
        // One that has heard nothing of the store goes by nothing of an older era.
        let Some(known) = self.storage.era.from_store else { return };
        if era <= known || era == self.storage.era.told || Version::MAX_ERA < era {
            return;
        }
        self.storage.era.told = era;
        self.journal.line(self.now, "store_era").number("era", known).number("told", era);
        self.lease.handle_restore(self.now);
        if self.storage.is_watcher {
            self.list_anew(|_| true);
        }
        self.write_record_again();
    }

    /// The store came back from an older copy.
    fn store_restored(&mut self, era: u64) {
        let now = self.now;
        self.journal
            .line(now, "store_restored")
            .number("before", self.storage.era.number())
            .number("era", era)
            .number("servers", self.storage.entries.len());
        self.stats.store_restored();
        self.storage.era.from_store = Some(era);
        self.storage.era.read_again = Some(now + READ_AGAIN);
        self.lease.handle_restore(now);
        self.pool.store_recovered(now);
        if self.storage.is_watcher {
            self.list_anew(|_| true);
        }
        self.write_record_again();
        self.storage.quarantine.restored(now);
        self.tell_own_state();
    }

    /// Reads servers' entries once more after a restore.
    pub(super) fn tick_era(&mut self) {
        if self.storage.era.read_again.is_none_or(|it| self.now < it) {
            return;
        }
        self.storage.era.read_again = None;
        if self.storage.is_watcher {
            self.list_anew(|it| it == What::Subject(ObjectKind::Servers));
        }
    }

    /// Lists kinds before they are watched on.
    fn list_anew(&mut self, is_chosen: impl Fn(What) -> bool) {
        let followed = self.storage.followed.iter();
        let chosen = followed.filter(|it| it.what != What::Records && is_chosen(it.what));
        self.storage.era.lists.extend(chosen.map(|it| it.kind.clone()));
        self.end_watches();
    }

    /// Writes the own record again, by which instances that start find this one.
    fn write_record_again(&mut self) {
        let at = self.now + SPREAD.mul_f64(self.rng.random::<f64>());
        self.storage.register = Register::Due(Version(0), at);
    }
}
