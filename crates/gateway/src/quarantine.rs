//! Requests, and parts of prompts, that crash the servers that run them: evidence, quarantine and
//! release.
//!
//! Covers a request that crashes each server that starts it, and that is retried at any instance,
//! and a part that does so in any prompt: each crash ends all that runs on the server, and what is
//! retried elsewhere may be lost in the next crash. Does no I/O: the caller announces to other
//! instances what this finds.

mod blame;
pub mod endpoint;
mod evidence;
mod expiry;
mod identity;
mod policy;
mod record;
mod silent;
mod starts;
mod terminations;

use std::time::Duration;

use shallotlead_base::{
    hash::{Map, Set},
    time::Time,
};

use evidence::Evidence;
pub use expiry::Expiry;
pub use identity::{Identity, IdentityError};
pub use policy::Policy;
pub use record::Record;
use silent::SilentRuns;
use starts::Starts;
use terminations::Terminations;

/// Largest number of requests that are tracked as suspects or in quarantine. A crash of an engine
/// adds as many as it had slots; 1,024 of about 150 bytes stay far below a megabyte.
const MAX_TRACKED: usize = 1_024;
/// The same for one organisation, so that none can evict the others' by crashing servers.
const MAX_TRACKED_PER_CALLER: usize = MAX_TRACKED / 4;
/// How long to wait after the last crash before a request is quarantined: other servers may still
/// be found to have ended at the same moment.
const SETTLING_TIME: Duration = Duration::from_millis(300);

/// Age of the last crash of a part up to which an instance that learns of its quarantine may probe it.
/// Later on others have done so, and each instance that starts would do so again.
const RECENT_CRASH: Duration = Duration::from_secs(2);

/// Identifies one incarnation of a server: a hash of its name and incarnation.
pub type IncarnationId = u64;

/// How a request is to be handled.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
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
    starts: Starts,
    silent: SilentRuns,
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
            starts: Starts::default(),
            silent: SilentRuns::default(),
            released,
            announced_records: 0,
        }
    }

    /// Whether there is any evidence against the request.
    pub fn is_tracked(&self, identity: &Identity) -> bool {
        self.tracked.contains_key(identity)
    }

    /// How long it is remembered after it last arrived, by the number of its crashes.
    pub fn retention(&self, identity: &Identity, crashes: usize) -> Duration {
        self.policy.retention(identity, crashes)
    }

    /// Whether no request is tracked.
    pub fn is_empty(&self) -> bool {
        self.tracked.is_empty()
    }

    /// Whether the end of a server could be evidence against anything.
    pub fn has_runs(&self) -> bool {
        !self.tracked.is_empty() || !self.silent.is_empty()
    }

    /// Records a run at a server that doesn't respond. It counts as lost only if the server is found to have ended.
    /// `parts`: those of its prompt that may have crashed the server.
    pub fn record_silent_run(
        &mut self,
        now: Time,
        request: Identity,
        parts: &[Identity],
        incarnation_id: IncarnationId,
    ) {
        self.silent.push(now, incarnation_id, Some(request), parts);
    }

    /// Records a run that was lost with the connection to its server, of which it isn't known yet
    /// whether it still runs.
    pub fn record_loss(&mut self, now: Time, identity: Identity, incarnation_id: IncarnationId) {
        if self.is_released(&identity, incarnation_id) {
            return;
        }
        let evidence = self.evidence_mut(now, identity);
        evidence.is_lost_here = true;
        if !evidence.includes(incarnation_id) {
            evidence.lost.push((incarnation_id, now));
            evidence.last_seen = now;
        }
    }

    /// Records that a run of a prompt with these shared `parts` has brought its first event.
    pub fn record_start(&mut self, now: Time, incarnation_id: IncarnationId, parts: &[Identity]) {
        if !parts.is_empty() {
            self.starts.push(now, incarnation_id, parts);
        }
    }

    /// Records that the runs on probation at a server may have been lost.
    pub fn record_lost_starts(&mut self, now: Time, incarnation_id: IncarnationId) {
        let runs: Vec<Box<[Identity]>> =
            self.starts.parts(incarnation_id).map(Into::into).collect();
        runs.iter().for_each(|it| self.record_part_losses(now, it, incarnation_id));
    }

    /// Records the loss of a run that had these `parts`, in this order.
    pub fn record_part_losses(
        &mut self,
        now: Time,
        parts: &[Identity],
        incarnation_id: IncarnationId,
    ) {
        for (index, part) in parts.iter().enumerate() {
            self.record_loss(now, *part, incarnation_id);
            if let Some(evidence) = self.tracked.get_mut(part) {
                evidence.record_position(&parts[..index]);
            }
        }
    }

    /// Takes the tracked parts that a server has survived, as there is a sign of life from it now.
    pub fn take_survived(&mut self, now: Time, incarnation_id: IncarnationId) -> Set<Identity> {
        let survived = self.starts.take_survived(now, incarnation_id).into_iter();
        survived.filter(|it| self.tracked.contains_key(it)).collect()
    }

    /// The servers to be asked for a sign of life, as it would clear parts that are tracked.
    pub fn take_unchecked(&mut self, now: Time) -> Vec<IncarnationId> {
        let Self { starts, tracked, .. } = self;
        starts.take_unchecked(now, |it| tracked.contains_key(it))
    }

    /// Whether runs are on probation at a server.
    pub fn has_starts(&self, incarnation_id: IncarnationId) -> bool {
        self.starts.parts(incarnation_id).next().is_some()
    }

    /// Forgets the runs on probation: what a process reads after a pause may be old.
    pub fn discard_starts(&mut self) {
        self.starts.clear();
    }

    /// Records that the entry of a server that doesn't respond was removed, of a service with this many `servers`. Its
    /// runs on probation count as lost only if it is found to have ended.
    pub fn record_removal(&mut self, now: Time, incarnation_id: IncarnationId, servers: usize) {
        self.terminations.push(now, incarnation_id, servers);
        for parts in self.starts.parts(incarnation_id) {
            self.silent.push(now, incarnation_id, None, parts);
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
        self.starts.remove(incarnation_id);
        for (request, parts) in self.silent.take(now, incarnation_id) {
            if let Some(request) = request {
                self.record_loss(now, request, incarnation_id);
            }
            self.record_part_losses(now, &parts, incarnation_id);
        }
        let policy = self.policy;
        let is_affected = |it: &Evidence| it.lost.iter().any(|it| it.0 == incarnation_id);
        let lost = self.tracked.iter_mut().filter(|it| is_affected(it.1));
        lost.map(|(identity, evidence)| {
            evidence.close_probe(now);
            evidence.record_crash(now, incarnation_id, policy.threshold(identity));
            *identity
        })
        .collect()
    }

    /// Records that a server still runs: what it lost was no crash, whatever was found before.
    pub fn record_alive(&mut self, incarnation_id: IncarnationId) {
        self.silent.remove(incarnation_id);
        let policy = self.policy;
        let suspects = self.tracked.iter_mut().filter(|it| it.1.quarantined_at.is_none());
        for (identity, evidence) in suspects {
            evidence.retain_crashes(policy.threshold(identity), |it| it != incarnation_id);
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
        let threshold = self.policy.threshold(&identity);
        if self.is_released(&identity, incarnation_id) {
            return false;
        }
        let ended_at = self.terminations.ended_at(incarnation_id).unwrap_or(at);
        let evidence = self.evidence_mut(now, identity);
        if !evidence.includes(incarnation_id) {
            evidence.close_probe(ended_at);
        }
        evidence.record_crash(now, incarnation_id, threshold)
    }

    /// Merges a record of another instance or of the store. Returns whether it puts the request in
    /// quarantine or releases it.
    pub fn merge_record(&mut self, now: Time, record: &Record) -> bool {
        let Record { identity, incarnations, age_ms, is_released } = record;
        let at = now - Duration::from_millis(*age_ms);
        if self.retention(identity, incarnations.len()) <= now.since(at) {
            return false;
        }
        if *is_released {
            return self.release_incarnations(at, identity, incarnations, true);
        }
        if self.is_explained(identity, incarnations) {
            return false;
        }
        let threshold = self.policy.threshold(identity);
        let left = incarnations.iter().filter(|it| !self.is_released(identity, **it)).count();
        if left < threshold && left < incarnations.len() {
            // The sender hasn't heard of the release.
            self.released.entry(*identity).and_modify(|it| it.is_announced = true);
            return false;
        }
        let was_sound = identity.is_part() && self.starts.has_survived(now, identity);
        let is_recent = |it: Time| now.since(it) < RECENT_CRASH;
        let ended_at = incarnations.iter().filter_map(|it| self.terminations.ended_at(*it));
        let may_be_probed = identity.is_part() && ended_at.max().is_some_and(is_recent);
        let evidence = self.evidence_mut(now, *identity);
        let is_new = evidence.quarantined_at.is_none();
        evidence.is_doubtful |= is_new && was_sound;
        evidence.has_open_probe |= is_new && may_be_probed;
        evidence.quarantined_at.get_or_insert(now);
        evidence.last_seen = if is_new { at } else { evidence.last_seen.max(at) };
        for incarnation_id in incarnations {
            evidence.record_crash(at, *incarnation_id, threshold);
        }
        is_new
    }

    /// Quarantines the requests and parts under which enough servers have crashed. Returns them, and
    /// whether this instance has lost a run of it itself.
    pub fn evaluate(&mut self, now: Time) -> Vec<(Identity, bool)> {
        let mut due = Vec::new();
        while let Some(part) = self.due_part(now) {
            due.extend(self.quarantine(now, part));
        }
        for request in self.due_requests(now) {
            due.extend(self.quarantine(now, request));
        }
        due
    }

    /// The part that explains enough crashes, once it is known what else ran at these servers.
    fn due_part(&self, now: Time) -> Option<Identity> {
        let leading = self.leading_part(now, false)?;
        let reached = self.tracked.get(&leading)?.reached?;
        (SETTLING_TIME <= now.since(reached)).then_some(leading)
    }

    fn due_requests(&self, now: Time) -> Vec<Identity> {
        let explained = self.explained();
        let is_due = |identity: &Identity, it: &Evidence| {
            !identity.is_part()
                && it.quarantined_at.is_none()
                && SETTLING_TIME <= now.since(it.last_crash)
                && self.policy.crash_threshold
                    <= self.count_incriminating(it, it.crashed.iter().copied(), &explained)
        };
        self.tracked.iter().filter(|it| is_due(it.0, it.1)).map(|it| *it.0).collect()
    }

    fn quarantine(&mut self, now: Time, identity: Identity) -> Option<(Identity, bool)> {
        let is_doubtful = identity.is_part() && self.starts.has_survived(now, &identity);
        let evidence = self.tracked.get_mut(&identity)?;
        (evidence.quarantined_at, evidence.is_doubtful) = (Some(now), is_doubtful);
        evidence.has_open_probe = identity.is_part();
        Some((identity, evidence.is_lost_here))
    }

    /// How a request is to be handled, by the evidence against it or against one of its parts. Runs
    /// whose servers may have crashed count as evidence too: the next run would be lost before more
    /// is known.
    pub fn verdict(&self, now: Time, identity: &Identity) -> Verdict {
        let Some(evidence) = self.tracked.get(identity) else { return Verdict::Clear };
        if evidence.quarantined_at.is_some() {
            return Verdict::Quarantined;
        }
        let explained = self.explained();
        let (crashes, threshold) = match identity.is_part() {
            true => {
                let times = self.event_times(now, identity, evidence, &explained, true);
                (times.len(), self.needed_crashes(&times, evidence))
            }
            false => {
                let crashed = evidence.incarnations(now);
                let count = self.count_incriminating(evidence, crashed, &explained);
                (count, self.policy.crash_threshold)
            }
        };
        match crashes {
            it if threshold <= it && self.may_be_held(now, identity) => Verdict::Held,
            it if threshold <= it + 1 => Verdict::Suspect,
            _ => Verdict::Clear,
        }
    }

    /// Of the parts only the one that explains most crashes is held.
    fn may_be_held(&self, now: Time, identity: &Identity) -> bool {
        !identity.is_part() || self.leading_part(now, true) == Some(*identity)
    }

    /// Records that a request has arrived.
    pub fn record_arrival(&mut self, now: Time, identity: &Identity) {
        if let Some(evidence) = self.tracked.get_mut(identity) {
            evidence.last_seen = now;
        }
    }

    /// Releases a request after a run of it has ended well, a part that a server has survived, or
    /// either for an operator. Returns whether other instances should know: a single crash counts
    /// against all that ran on the server, and proves little.
    pub fn release(&mut self, now: Time, identity: &Identity) -> bool {
        let Some(evidence) = self.tracked.get(identity) else { return false };
        let is_announced = evidence.quarantined_at.is_some() || 1 < evidence.crashed.len();
        // The run that a server has survived began that long ago: the part may do harm since.
        let is_after = |it: IncarnationId| {
            let ended_at = self.terminations.ended_at(it);
            identity.is_part() && ended_at.is_some_and(|it| now.since(it) < starts::PROBATION)
        };
        let incarnations: Vec<IncarnationId> =
            evidence.incarnations(now).filter(|it| !is_after(*it)).collect();
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
        let threshold = self.policy.threshold(identity);
        let Some(evidence) = self.tracked.get_mut(identity) else { return false };
        let was_quarantined = evidence.quarantined_at.is_some();
        evidence.retain_crashes(threshold, |it| !known.contains(&it));
        let is_released = was_quarantined && evidence.quarantined_at.is_none();
        if !identity.is_part() {
            self.release_covered_parts(incarnations);
        }
        self.tracked.retain(|_, it| !it.is_empty());
        is_released
    }

    /// Stops counting crashes against parts that were blamed for none, as a request that is released
    /// was in all of them.
    fn release_covered_parts(&mut self, incarnations: &[IncarnationId]) {
        let threshold = self.policy.part_threshold();
        let parts = self.tracked.iter_mut().filter(|it| it.0.is_part());
        for (_, evidence) in parts.filter(|it| it.1.quarantined_at.is_none()) {
            let is_covered = evidence.crashed.iter().all(|it| incarnations.contains(it));
            if threshold <= evidence.crashed.len() && is_covered {
                evidence.retain_crashes(threshold, |it| !incarnations.contains(&it));
            }
        }
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
        explained: &Set<IncarnationId>,
    ) -> usize {
        let unexplained = incarnations.filter(|it| !explained.contains(it));
        unexplained
            .filter(|it| {
                !self.terminations.is_mass_termination(*it, |other| evidence.includes(other))
            })
            .count()
    }

    fn is_released(&self, identity: &Identity, incarnation_id: IncarnationId) -> bool {
        self.released.get(identity).is_some_and(|it| it.incarnations.contains(&incarnation_id))
    }

    /// Whether the request is tracked, or can be without dropping another.
    pub fn has_room(&self, identity: &Identity) -> bool {
        self.tracked.contains_key(identity)
            || (self.tracked.len() < MAX_TRACKED
                && self.count_from_caller(identity) < MAX_TRACKED_PER_CALLER)
    }

    fn count_from_caller(&self, identity: &Identity) -> usize {
        self.tracked.keys().filter(|it| it.caller == identity.caller).count()
    }

    /// The evidence against a request, empty if it isn't tracked yet.
    fn evidence_mut(&mut self, now: Time, identity: Identity) -> &mut Evidence {
        if !self.tracked.contains_key(&identity) {
            if MAX_TRACKED_PER_CALLER <= self.count_from_caller(&identity) {
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
