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
    core::{
        Core,
        storage::{Registration, Topic},
    },
    dialect::Subject,
    http::head::Fields,
};

/// How long after a restore servers' entries are read once more. A server that lapsed while it lived writes again
/// what the copy has, but for its beat, and no change tells of that.
const REREAD_DELAY: Duration = Duration::from_millis(2_500);
/// Within it all instances write their own records again: they learn of a restore at the same moment.
const REGISTRATION_JITTER: Duration = Duration::from_millis(300);

/// The store's era as one instance knows it.
#[derive(Debug, Default)]
pub(crate) struct Era {
    /// What the store has said; zero where it names none. Nothing before its first answer.
    from_store: Option<u64>,
    /// What another instance has told last.
    from_peer: u64,
    /// When servers' entries are read once more.
    reread_at: Option<Time>,
    /// Kinds that are to be listed before they are watched on.
    pending_lists: Set<Arc<str>>,
}

impl Era {
    /// The era, as other instances are told; zero before the first answer.
    pub(crate) fn number(&self) -> u64 {
        self.from_store.unwrap_or(0)
    }

    /// A kind was listed.
    pub(super) fn mark_listed(&mut self, kind: &str) {
        self.pending_lists.remove(kind);
    }
}

/// What an answer's era says of the answer.
enum Verdict {
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
    pub(super) fn reply_if_outdated(&self, call: &Call) -> Option<Outcome> {
        let era = &self.storage.era;
        let is_older = condition_version(call).is_some_and(|it| it.era() < era.number());
        let reply = match call {
            Call::Watch { kind, .. } if is_older || era.pending_lists.contains(kind) => {
                Reply::Failed(Failure::Compacted)
            }
            Call::Put { .. } | Call::Delete { .. } if is_older => Reply::Conflict(None),
            _ => return None,
        };
        Some(Outcome::Answered(reply))
    }

    /// Learns the era of an answer before the answer itself is used. Says whether it may be.
    pub(super) fn accept_era(&mut self, fields: &Fields, is_refusal: bool) -> bool {
        match self.check_era(fields, is_refusal) {
            Verdict::Current => true,
            Verdict::Newer(era) => {
                self.handle_store_restore(era);
                true
            }
            Verdict::Refused(reason) => {
                self.stats.count_refused_era(reason);
                self.journal.line(self.now, "store_era_refused").text("reason", reason);
                false
            }
        }
    }

    fn check_era(&mut self, fields: &Fields, is_refusal: bool) -> Verdict {
        let named = match self.dialect.store_era(fields) {
            Ok(it) => it,
            Err(_) => return Verdict::Refused("unreadable"),
        };
        let Some(known) = self.storage.era.from_store else {
            if !is_refusal {
                let era = named.unwrap_or(0);
                self.storage.era.from_store = Some(era);
                self.journal.line(self.now, "store_era").number("era", era);
            }
            return Verdict::Current;
        };
        match named {
            None if is_refusal || known == 0 => Verdict::Current,
            None => Verdict::Refused("missing"),
            Some(era) if era < known => Verdict::Refused("older"),
            Some(era) if known < era => Verdict::Newer(era),
            Some(_) => Verdict::Current,
        }
    }

    /// Discards what an answer of a newer era says to a call that goes by an older one.
    pub(super) fn discard_if_outdated(&self, call: &Call, outcome: Outcome) -> Outcome {
        match (&outcome, self.reply_if_outdated(call)) {
            (Outcome::Answered(_), Some(lost)) if matches!(call, Call::Watch { .. }) => lost,
            // It was carried out on a revision that was given out again: nothing follows from it.
            (Outcome::Answered(Reply::Done(_)), Some(_)) => Outcome::Lost,
            _ => outcome,
        }
    }

    /// Another instance has heard of the store's `era`. Orders stop at once; what the era is, is believed only of the
    /// store, which is asked by lists and by writing the own record again.
    pub(crate) fn apply_peer_era(&mut self, era: u64) {
        // One that has heard nothing of the store goes by nothing of an older era.
        let Some(known) = self.storage.era.from_store else { return };
        if era <= known || era == self.storage.era.from_peer || Version::MAX_ERA < era {
            return;
        }
        self.storage.era.from_peer = era;
        self.journal.line(self.now, "store_era").number("era", known).number("told", era);
        self.lease.restored(self.now);
        if self.storage.is_watcher {
            self.relist(|_| true);
        }
        self.reregister();
    }

    /// The store came back from an older copy.
    fn handle_store_restore(&mut self, era: u64) {
        let now = self.now;
        self.journal
            .line(now, "store_restored")
            .number("before", self.storage.era.number())
            .number("era", era)
            .number("servers", self.storage.entries.len());
        self.stats.count_store_restore();
        self.storage.era.from_store = Some(era);
        self.storage.era.reread_at = Some(now + REREAD_DELAY);
        self.lease.restored(now);
        self.pool.store_returned(now);
        if self.storage.is_watcher {
            self.relist(|_| true);
        }
        self.reregister();
        self.storage.quarantine.handle_restore(now);
        self.broadcast_membership();
    }

    /// Reads servers' entries once more after a restore.
    pub(super) fn tick_era(&mut self) {
        if self.storage.era.reread_at.is_none_or(|it| self.now < it) {
            return;
        }
        self.storage.era.reread_at = None;
        if self.storage.is_watcher {
            self.relist(|it| it == Topic::Platform(Subject::Servers));
        }
    }

    /// Lists kinds before they are watched on.
    fn relist(&mut self, is_chosen: impl Fn(Topic) -> bool) {
        let followed = self.storage.subscriptions.iter();
        let chosen = followed.filter(|it| it.topic != Topic::Records && is_chosen(it.topic));
        self.storage.era.pending_lists.extend(chosen.map(|it| it.kind.clone()));
        self.cancel_watches();
    }

    /// Writes the own record again, by which instances that start find this one.
    fn reregister(&mut self) {
        let at = self.now + REGISTRATION_JITTER.mul_f64(self.rng.random::<f64>());
        self.storage.registration = Registration::Due(Version(0), at);
    }
}
