//! Requests that crash the servers that run them: evidence, quarantine and release.
//!
//! Covers a request that crashes each server that starts it, and that is retried at any instance:
//! each crash ends all that runs on the server, and what is retried elsewhere may be lost in the
//! next crash. Does no I/O: the caller announces to other instances what this finds.

pub mod endpoint;
mod evidence;
mod identity;
mod record;
mod terminations;

use std::time::Duration;

use shallotlead_base::{hash::Map, time::Time};

use evidence::Evidence;
pub use identity::{Identity, IdentityError};
pub use record::Record;
use terminations::Terminations;

/// Largest number of requests that are tracked as suspects or in quarantine. A crash of an engine
/// adds as many as it had slots; 1,024 of about 150 bytes stay far below a megabyte.
const MAX_TRACKED: usize = 1_024;
/// The same for one organisation, so that none can evict the others' by crashing servers.
const MAX_TRACKED_PER_CALLER: usize = MAX_TRACKED / 4;
/// How long to wait after the last crash before a request is quarantined: other servers may still
/// be found to have ended at the same moment.
const SETTLING_TIME: Duration = Duration::from_millis(300);
/// After this many times the retention a request in quarantine runs on trial although it is retried
/// all the time: it may have been implicated wrongly, or the servers may have been fixed.
const MAX_RETENTION_FACTOR: u32 = 6;

/// Identifies one incarnation of a server: a hash of its name and incarnation.
pub type IncarnationId = u64;

/// When a request is quarantined, and for how long.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Policy {
    /// Number of servers that must have crashed while running it.
    pub crash_threshold: usize,
    /// How long it stays in quarantine after it last arrived.
    pub retention: Duration,
}

/// How a request is to be handled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// No evidence against it that matters.
    Clear,
    /// One more crash puts it in quarantine: it should run where little else runs.
    Suspect,
    /// It isn't sent to any server until the cause of the last losses is known.
    Held,
    /// It isn't sent to any server.
    Quarantined,
}

/// What happens to a request whose time in quarantine is over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expiry {
    /// It may run once more; if it crashes another server, it is quarantined again at once.
    OnTrial,
    /// It is no longer tracked.
    Forgotten,
}

/// Incarnations that no longer count as evidence against a request.
#[derive(Debug)]
struct Release {
    at: Time,
    incarnations: Vec<IncarnationId>,
    /// Whether the release is announced, as other instances may count them against the request.
    is_announced: bool,
}

/// The suspects and the requests in quarantine, as one instance knows them.
#[derive(Debug)]
pub struct Quarantine {
    policy: Policy,
    tracked: Map<Identity, Evidence>,
    terminations: Terminations,
    released: Map<Identity, Release>,
    /// Number of records announced so far, to continue with the next ones.
    announced_records: usize,
}

impl Quarantine {
    /// Tracks no request yet.
    pub fn new(policy: Policy) -> Self {
        let (tracked, released) = (Map::default(), Map::default());
        Self {
            policy,
            tracked,
            terminations: Terminations::default(),
            released,
            announced_records: 0,
        }
    }

    /// Whether there is any evidence against the request.
    pub fn is_tracked(&self, identity: &Identity) -> bool {
        self.tracked.contains_key(identity)
    }

    /// How long a request stays in quarantine after it last arrived.
    pub fn retention(&self) -> Duration {
        self.policy.retention
    }

    /// Whether no request is tracked.
    pub fn is_empty(&self) -> bool {
        self.tracked.is_empty()
    }

    /// Records a run that was lost with the connection to its server, of which it isn't known yet
    /// whether it still runs.
    pub fn record_loss(&mut self, now: Time, identity: Identity, incarnation_id: IncarnationId) {
        if self.is_released(&identity, incarnation_id) {
            return;
        }
        let evidence = self.evidence_mut(now, identity);
        if !evidence.includes(incarnation_id) {
            evidence.lost.push((incarnation_id, now));
            evidence.last_seen = now;
        }
    }

    /// Records the crash of a server of a service with this many `servers`. Returns the requests
    /// against which that is new evidence.
    pub fn record_crash(
        &mut self,
        now: Time,
        incarnation_id: IncarnationId,
        servers: usize,
    ) -> Vec<Identity> {
        self.terminations.push(now, incarnation_id, servers);
        let is_affected = |it: &Evidence| it.lost.iter().any(|it| it.0 == incarnation_id);
        let lost = self.tracked.iter_mut().filter(|it| is_affected(it.1));
        lost.map(|(identity, evidence)| {
            evidence.record_crash(now, incarnation_id);
            evidence.is_found_here = true;
            *identity
        })
        .collect()
    }

    /// Records that a server still runs: what it lost was no crash, whatever was found before.
    pub fn record_alive(&mut self, incarnation_id: IncarnationId) {
        for evidence in self.tracked.values_mut().filter(|it| it.quarantined_at.is_none()) {
            evidence.lost.retain(|it| it.0 != incarnation_id);
            evidence.crashed.retain(|it| *it != incarnation_id);
        }
        self.tracked.retain(|_, it| !it.is_empty());
    }

    /// Records that another instance has found that a server crashed while running a request, at
    /// `at`. Returns whether the crash is new.
    pub fn record_peer_crash(
        &mut self,
        now: Time,
        at: Time,
        identity: Identity,
        incarnation_id: IncarnationId,
        servers: usize,
    ) -> bool {
        self.terminations.push(at, incarnation_id, servers);
        !self.is_released(&identity, incarnation_id)
            && self.evidence_mut(now, identity).record_crash(now, incarnation_id)
    }

    /// Merges a record of another instance or of the store. Returns whether it puts the request in
    /// quarantine or releases it.
    pub fn merge_record(&mut self, now: Time, record: &Record) -> bool {
        let Record { identity, incarnations, age_ms, is_released } = record;
        let at = now - Duration::from_millis(*age_ms);
        if self.policy.retention <= now.since(at) {
            return false;
        }
        if *is_released {
            return self.release_incarnations(at, identity, incarnations, true);
        }
        if incarnations.iter().all(|it| self.is_released(identity, *it)) {
            return false;
        }
        let evidence = self.evidence_mut(now, *identity);
        let is_new = evidence.quarantined_at.is_none();
        evidence.quarantined_at.get_or_insert(now);
        evidence.last_seen = if is_new { at } else { evidence.last_seen.max(at) };
        for incarnation_id in incarnations {
            evidence.record_crash(at, *incarnation_id);
        }
        is_new
    }

    /// Quarantines the requests under which enough servers have crashed. Returns them, and whether
    /// this instance has found one of the crashes itself.
    pub fn evaluate(&mut self, now: Time) -> Vec<(Identity, bool)> {
        let threshold = self.policy.crash_threshold;
        let is_settled = |it: &Evidence| {
            it.quarantined_at.is_none() && SETTLING_TIME <= now.since(it.last_crash)
        };
        let settled = self.tracked.iter().filter(|it| is_settled(it.1));
        let due = settled
            .filter(|it| threshold <= self.count_incriminating(it.1, it.1.crashed.iter().copied()));
        let due: Vec<(Identity, bool)> = due.map(|it| (*it.0, it.1.is_found_here)).collect();
        for (identity, _) in &due {
            if let Some(evidence) = self.tracked.get_mut(identity) {
                evidence.quarantined_at = Some(now);
            }
        }
        due
    }

    /// How a request is to be handled. Runs whose servers may have crashed count as evidence too:
    /// the next run would be lost before more is known.
    pub fn verdict(&self, now: Time, identity: &Identity) -> Verdict {
        let Some(evidence) = self.tracked.get(identity) else { return Verdict::Clear };
        match self.count_incriminating(evidence, evidence.incarnations(now)) {
            _ if evidence.quarantined_at.is_some() => Verdict::Quarantined,
            it if self.policy.crash_threshold <= it => Verdict::Held,
            it if self.policy.crash_threshold <= it + 1 => Verdict::Suspect,
            _ => Verdict::Clear,
        }
    }

    /// Records that a request has arrived.
    pub fn record_arrival(&mut self, now: Time, identity: &Identity) {
        if let Some(evidence) = self.tracked.get_mut(identity) {
            evidence.last_seen = now;
        }
    }

    /// Releases a request after a run of it has ended well, or for an operator. Returns whether
    /// other instances should know: a single crash counts against all that ran on the server, and
    /// proves little.
    pub fn release(&mut self, now: Time, identity: &Identity) -> bool {
        let Some(evidence) = self.tracked.get(identity) else { return false };
        let is_announced = evidence.quarantined_at.is_some() || 1 < evidence.crashed.len();
        let incarnations: Vec<IncarnationId> = evidence.incarnations(now).collect();
        self.release_incarnations(now, identity, &incarnations, is_announced);
        is_announced
    }

    /// Stops counting `incarnations` as evidence against the request. Returns whether that ends its
    /// quarantine.
    fn release_incarnations(
        &mut self,
        at: Time,
        identity: &Identity,
        incarnations: &[IncarnationId],
        is_announced: bool,
    ) -> bool {
        if !self.released.contains_key(identity) && MAX_TRACKED <= self.released.len() {
            let oldest = self.released.iter().min_by_key(|it| it.1.at).map(|it| *it.0);
            oldest.and_then(|it| self.released.remove(&it));
        }
        let empty = || Release { at, incarnations: Vec::new(), is_announced };
        let release = self.released.entry(*identity).or_insert_with(empty);
        release.at = at.max(release.at);
        release.is_announced |= is_announced;
        let known = &mut release.incarnations;
        known.extend(incarnations);
        known.sort_unstable();
        known.dedup();
        let Some(evidence) = self.tracked.get_mut(identity) else { return false };
        let was_quarantined = evidence.quarantined_at.is_some();
        evidence.crashed.retain(|it| !known.contains(it));
        evidence.lost.retain(|it| !known.contains(&it.0));
        if evidence.crashed.len() < self.policy.crash_threshold {
            evidence.quarantined_at = None;
        }
        let is_released = was_quarantined && evidence.quarantined_at.is_none();
        self.tracked.retain(|_, it| !it.is_empty());
        is_released
    }

    /// Drops what has expired. Requests in quarantine run on trial first.
    pub fn expire(&mut self, now: Time) -> Vec<(Identity, Expiry)> {
        let Policy { crash_threshold, retention } = self.policy;
        let mut over = Vec::new();
        self.tracked.retain(|identity, evidence| {
            evidence.drop_unexplained(now);
            let is_long = evidence
                .quarantined_at
                .is_some_and(|it| retention * MAX_RETENTION_FACTOR <= now.since(it));
            if now.since(evidence.last_seen) < retention && !is_long {
                return !evidence.is_empty();
            }
            if evidence.quarantined_at.is_some() {
                evidence.put_on_trial(now, crash_threshold);
                over.push((*identity, Expiry::OnTrial));
                return true;
            }
            if 1 < evidence.crashed.len() {
                over.push((*identity, Expiry::Forgotten));
            }
            false
        });
        self.released.retain(|_, it| now.since(it.at) < retention);
        over
    }

    /// The requests in quarantine, those that arrived last first.
    pub fn records(&self, now: Time) -> Vec<Record> {
        let age_ms = |at: Time| now.since(at).as_millis() as u64;
        let quarantined = self.tracked.iter().filter(|it| it.1.quarantined_at.is_some());
        let mut all: Vec<Record> = quarantined
            .map(|(identity, evidence)| Record {
                identity: *identity,
                incarnations: evidence.crashed.clone(),
                age_ms: age_ms(evidence.last_seen),
                is_released: false,
            })
            .collect();
        all.sort_by_key(|it| (it.age_ms, it.identity));
        all
    }

    /// Some of the requests in quarantine and of the released ones, to announce to another
    /// instance: each time the next ones, at most `max`.
    pub fn next_records(&mut self, now: Time, max: usize) -> Vec<Record> {
        let mut all = self.records(now);
        let released = self.released.iter().filter(|it| it.1.is_announced);
        all.extend(released.map(|(identity, it)| Record {
            identity: *identity,
            incarnations: it.incarnations.clone(),
            age_ms: now.since(it.at).as_millis() as u64,
            is_released: true,
        }));
        if all.is_empty() {
            return all;
        }
        all.sort_by_key(|it| it.identity);
        let start = self.announced_records % all.len();
        all.rotate_left(start);
        all.truncate(max);
        self.announced_records += all.len();
        all
    }

    /// The requests against which a crash counts as evidence, unless so many servers ended together
    /// that another cause is likely.
    pub fn implicated(&self, incarnation_id: IncarnationId) -> Vec<Identity> {
        let is_implicated = |it: &Evidence| {
            it.crashed.contains(&incarnation_id)
                && !self
                    .terminations
                    .is_mass_termination(incarnation_id, |other| it.includes(other))
        };
        self.tracked.iter().filter(|it| is_implicated(it.1)).map(|it| *it.0).collect()
    }

    /// Servers that are known to have crashed while running the request.
    pub fn crashes(&self, identity: &Identity) -> &[IncarnationId] {
        self.tracked.get(identity).map_or(&[], |it| &it.crashed)
    }

    /// Numbers of requests in quarantine, and of suspects.
    pub fn counts(&self) -> (usize, usize) {
        let quarantined = self.tracked.values().filter(|it| it.quarantined_at.is_some()).count();
        (quarantined, self.tracked.len() - quarantined)
    }

    /// How many of the incarnations count as evidence against the request.
    fn count_incriminating(
        &self,
        evidence: &Evidence,
        incarnations: impl Iterator<Item = IncarnationId>,
    ) -> usize {
        incarnations
            .filter(|it| {
                !self.terminations.is_mass_termination(*it, |other| evidence.includes(other))
            })
            .count()
    }

    fn is_released(&self, identity: &Identity, incarnation_id: IncarnationId) -> bool {
        self.released.get(identity).is_some_and(|it| it.incarnations.contains(&incarnation_id))
    }

    /// The evidence against a request, empty if it isn't tracked yet.
    fn evidence_mut(&mut self, now: Time, identity: Identity) -> &mut Evidence {
        if !self.tracked.contains_key(&identity) {
            let from_caller = self.tracked.keys().filter(|it| it.caller == identity.caller).count();
            if MAX_TRACKED_PER_CALLER <= from_caller {
                self.evict_least(|it| it.caller == identity.caller);
            } else if MAX_TRACKED <= self.tracked.len() {
                self.evict_least(|_| true);
            }
        }
        self.tracked.entry(identity).or_insert_with(|| Evidence::new(now))
    }

    fn evict_least(&mut self, is_eligible: impl Fn(&Identity) -> bool) {
        let eligible = self.tracked.iter().filter(|it| is_eligible(it.0));
        let least = eligible.min_by_key(|it| it.1.eviction_rank()).map(|it| *it.0);
        if let Some(it) = least {
            self.tracked.remove(&it);
        }
    }
}
