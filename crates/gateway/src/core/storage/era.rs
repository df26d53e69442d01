//! The store's era, a number that rises whenever the store is restored from an older copy and so
//! has lost later writes.

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
        storage::{Registration, Topic},
    },
    http::head::Fields,
};

/// Delay after a restore before the servers' entries are listed again. A server whose entry expired
/// while it was alive writes the restored entry again with only its heartbeat changed, which no
/// watch reports.
const REREAD_DELAY: Duration = Duration::from_millis(2_500);
/// Time over which all instances spread the writes of their own records after a restore, which they
/// notice at the same moment.
const REGISTRATION_JITTER: Duration = Duration::from_millis(300);

/// The store's era as this instance knows it.
#[derive(Debug, Default)]
pub(crate) struct Era {
    /// The era that the store named last: `None` before its first answer, zero if it names none.
    from_store: Option<u64>,
    /// The era that another instance reported last.
    from_peer: u64,
    /// When the servers' entries are listed again.
    reread_at: Option<Time>,
    /// Kinds that have to be listed before they are watched again.
    pending_lists: Set<Arc<str>>,
}

impl Era {
    /// The era to report to other instances; zero before the store's first answer.
    pub(crate) fn number(&self) -> u64 {
        self.from_store.unwrap_or(0)
    }

    /// Marks a kind as listed.
    pub(super) fn mark_listed(&mut self, kind: &str) {
        self.pending_lists.remove(kind);
    }
}

/// What the era of an answer says about its use.
enum EraCheck {
    /// The answer may be used.
    Current,
    /// The store was restored from an older copy since the last answer.
    Newer(u64),
    /// The answer must not be used, for this reason.
    Refused(&'static str),
}

/// The version in a call's condition, or the version after which it watches.
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
    /// The reply to a call that refers to a version of an older era. Such a call isn't sent, as the
    /// version may now belong to another write: a conditional write is in conflict, and a watch has
    /// lost its history.
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

    /// Updates the era before an answer itself is processed. Returns whether the answer may be
    /// used.
    pub(super) fn accept_era(&mut self, fields: &Fields, is_refusal: bool) -> bool {
        match self.check_era(fields, is_refusal) {
            EraCheck::Current => true,
            EraCheck::Newer(era) => {
                self.handle_store_restore(era);
                true
            }
            EraCheck::Refused(reason) => {
                self.stats.count_refused_era(reason);
                self.log.line(self.now, "store_era_refused").text("reason", reason);
                false
            }
        }
    }

    fn check_era(&mut self, fields: &Fields, is_refusal: bool) -> EraCheck {
        let named = match self.adapter.parse_store_era(fields) {
            Ok(it) => it,
            Err(_) => return EraCheck::Refused("unreadable"),
        };
        let Some(known) = self.storage.era.from_store else {
            if !is_refusal {
                let era = named.unwrap_or(0);
                self.storage.era.from_store = Some(era);
                self.log.line(self.now, "store_era").number("era", era);
            }
            return EraCheck::Current;
        };
        match named {
            None if is_refusal || known == 0 => EraCheck::Current,
            None => EraCheck::Refused("missing"),
            Some(era) if era < known => EraCheck::Refused("older"),
            Some(era) if known < era => EraCheck::Newer(era),
            Some(_) => EraCheck::Current,
        }
    }

    /// Replaces the outcome of a call that referred to a version of an older era.
    pub(super) fn discard_if_outdated(&self, call: &Call, outcome: Outcome) -> Outcome {
        match (&outcome, self.reply_if_outdated(call)) {
            (Outcome::Answered(_), Some(lost)) if matches!(call, Call::Watch { .. }) => lost,
            // The condition matched a version that was reassigned after the restore, so the write's
            // effect is unknown.
            (Outcome::Answered(Reply::Done(_)), Some(_)) => Outcome::Lost,
            _ => outcome,
        }
    }

    /// Handles a report by another instance that the store is in `era`. Stops giving orders at
    /// once. The era itself is accepted from the store only, which is asked by listing again and by
    /// rewriting this instance's record.
    pub(crate) fn apply_peer_era(&mut self, era: u64) {
        // Before the store's first answer this instance holds nothing of an older era.
        let Some(known) = self.storage.era.from_store else { return };
        if era <= known || era == self.storage.era.from_peer || Version::MAX_ERA < era {
            return;
        }
        self.storage.era.from_peer = era;
        self.log.line(self.now, "store_era").number("era", known).number("told", era);
        self.lease.handle_restore(self.now);
        if self.storage.is_watcher {
            self.relist(|_| true);
        }
        self.reregister();
    }

    /// Handles a restore of the store from an older copy.
    fn handle_store_restore(&mut self, era: u64) {
        let now = self.now;
        self.log
            .line(now, "store_restored")
            .number("before", self.storage.era.number())
            .number("era", era)
            .number("servers", self.storage.entries.len());
        self.stats.count_store_restore();
        self.storage.era.from_store = Some(era);
        self.storage.era.reread_at = Some(now + REREAD_DELAY);
        self.lease.handle_restore(now);
        self.pool.record_store_recovery(now, Duration::ZERO);
        if self.storage.is_watcher {
            self.relist(|_| true);
        }
        self.reregister();
        self.storage.quarantine.handle_restore(now);
        self.storage.builds.handle_restore(now);
        self.storage.journal.handle_restore();
        self.broadcast_membership();
    }

    /// Lists the servers' entries again some time after a restore.
    pub(super) fn tick_era(&mut self) {
        if self.storage.era.reread_at.is_none_or(|it| self.now < it) {
            return;
        }
        self.storage.era.reread_at = None;
        if self.storage.is_watcher {
            self.relist(|it| it == Topic::Platform(ObjectKind::Servers));
        }
    }

    /// Makes the chosen kinds be listed before they are watched again.
    fn relist(&mut self, is_selected: impl Fn(Topic) -> bool) {
        let subscriptions = self.storage.subscriptions.iter();
        let selected =
            subscriptions.filter(|it| it.topic != Topic::Records && is_selected(it.topic));
        self.storage.era.pending_lists.extend(selected.map(|it| it.kind.clone()));
        self.cancel_watches();
    }

    /// Rewrites this instance's own record, through which starting instances find it.
    fn reregister(&mut self) {
        let at = self.now + REGISTRATION_JITTER.mul_f64(self.rng.random::<f64>());
        self.storage.registration = Registration::Due(Version(0), at);
    }
}
