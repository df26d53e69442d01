//! Which part of prompts is the cause of crashes.
//!
//! A crash implicates each part of each run that was on probation at the server. Parts that do no
//! harm are cleared by runs that their servers survive. Of the others the one that was in most
//! crashes explains them, and of several that were in the same ones the one that fewest prompts
//! share: a request before a part, and the deepest part before its ancestors. What one part explains
//! counts against nothing else.

use std::time::Duration;

use shallotlead_base::{hash::Set, time::Time};

use super::{
    Identity, IncarnationId, Quarantine, evidence::Evidence, starts::PROBATION,
    terminations::SAME_EVENT,
};

/// How long before the first crash of a part and after its last one unrelated crashes are counted.
const CRASH_MARGIN: Duration = Duration::from_secs(1);
/// Time for which a run is exposed to unrelated crashes: on probation, and waiting before.
const EXPOSURE: Duration = PROBATION.saturating_mul(2);
/// Accepted probability that a part is in so many crashes in a row by chance.
const MAX_CHANCE: f64 = 1e-6;
/// Largest number of crashes that are needed, however many others there are.
const MAX_PART_CRASHES: usize = 8;
/// Time from the first crash until a part is blamed that did no harm a short time ago: by then
/// servers have survived it again, if it still does none.
const RIPENING_TIME: Duration = PROBATION.saturating_mul(2);
/// Share of the most crashes from which a part counts as present in as many: crashes of other causes
/// may have struck the ancestors of the cause.
const EQUAL_SHARE: f64 = 0.75;
/// The same for a part that no server has survived a short time ago.
const SUSPICIOUS_SHARE: f64 = 0.5;

/// A part that may be the cause of crashes.
struct Candidate {
    identity: Identity,
    /// Number of crashes in which it was and that no other part explains.
    crashes: usize,
    /// Its position in the prompts of this instance, from 1; `None` if none of those lost had it, so that it may be
    /// behind any other part.
    depth: Option<usize>,
    /// Servers have survived it a short time ago.
    was_sound: bool,
    /// Servers would have survived it again since the first crash, if it did no harm.
    is_ripe: bool,
}

impl Quarantine {
    /// The part that explains most crashes, if they are enough to blame it. `counts_lost`: lost
    /// runs count whose servers may have crashed. Only an instance that has lost prompts with a part
    /// decides on it, as it can tell the part from its ancestors; the others leave the decision to such a one.
    pub(super) fn leading_part(&self, now: Time, counts_lost: bool) -> Option<Identity> {
        let explained = self.explained();
        let candidates = self.tracked.iter().filter_map(|(identity, evidence)| {
            let is_open = identity.is_part() && evidence.quarantined_at.is_none();
            if !is_open || evidence.incarnations(now).count() < self.policy.part_threshold() {
                return None;
            }
            let was_sound = self.starts.has_survived(now, identity);
            let times = self.event_times(now, identity, evidence, &explained, counts_lost);
            let is_ripe = times.first().is_some_and(|it| RIPENING_TIME <= now.since(*it));
            let is_significant = self.needed_crashes(&times, evidence) <= times.len();
            is_significant.then_some(Candidate {
                identity: *identity,
                crashes: evidence.incarnations(now).filter(|it| !explained.contains(it)).count(),
                depth: evidence.depth,
                was_sound,
                is_ripe: is_ripe || !was_sound,
            })
        });
        let candidates: Vec<Candidate> = candidates.collect();
        let most = candidates.iter().map(|it| it.crashes).max()?;
        let is_leading = |it: &&Candidate| {
            let share = if it.was_sound { EQUAL_SHARE } else { SUSPICIOUS_SHARE };
            most as f64 * share <= it.crashes as f64
        };
        let leading = candidates.iter().filter(is_leading);
        let rank = |it: &&Candidate| {
            (!it.was_sound, it.depth.is_none(), it.depth, it.crashes, it.identity)
        };
        let leading = leading.max_by_key(rank);
        leading.filter(|it| it.is_ripe && it.depth.is_some()).map(|it| it.identity)
    }

    /// Number of crashes that put a part in quarantine whose crashes were at these `times`: the more
    /// servers crashed without it meanwhile, the more of its runs were lost with them by chance.
    pub(super) fn needed_crashes(&self, times: &[Time], evidence: &Evidence) -> usize {
        let least = self.policy.part_threshold();
        let Some((first, last)) = times.first().zip(times.last()) else { return least };
        let (from, until) = (*first - CRASH_MARGIN, *last + CRASH_MARGIN);
        let unrelated = self.terminations.share(from, until, |it| !evidence.includes(it));
        let chance = unrelated * EXPOSURE.as_secs_f64() / until.since(from).as_secs_f64();
        let needed = match chance {
            it if it <= 0.0 => 0.0,
            it if 1.0 <= it => f64::INFINITY,
            it => (MAX_CHANCE.ln() / it.ln()).ceil(),
        };
        (needed as usize).clamp(least, MAX_PART_CRASHES.max(least))
    }

    /// The crashes that parts in quarantine explain.
    pub(super) fn explained(&self) -> Set<IncarnationId> {
        self.causes().flat_map(|it| it.1.crashed.iter().copied()).collect()
    }

    /// The parts in quarantine.
    fn causes(&self) -> impl Iterator<Item = (&Identity, &Evidence)> {
        self.tracked.iter().filter(|it| it.0.is_part() && it.1.quarantined_at.is_some())
    }

    /// Times of the crashes that speak against a part. None counts if a single request may be the
    /// cause of all. Of a part that did no harm a short time ago, servers that ended together count
    /// once, as they may have a common cause.
    pub(super) fn event_times(
        &self,
        now: Time,
        identity: &Identity,
        evidence: &Evidence,
        explained: &Set<IncarnationId>,
        counts_lost: bool,
    ) -> Vec<Time> {
        let is_counted = |it: &IncarnationId| {
            !explained.contains(it) && (counts_lost || evidence.crashed.contains(it))
        };
        let counted: Vec<IncarnationId> = evidence.incarnations(now).filter(is_counted).collect();
        let covers_all = |(identity, other): (&Identity, &Evidence)| {
            !identity.is_part() && counted.iter().all(|it| other.includes(*it))
        };
        if 1 < counted.len() && self.tracked.iter().any(covers_all) {
            return Vec::new();
        }
        let ended_at = |it: &IncarnationId| {
            let lost = evidence.lost.iter().find(|lost| lost.0 == *it).map(|it| it.1);
            self.terminations.ended_at(*it).or(lost).unwrap_or(evidence.last_crash)
        };
        let mut times: Vec<Time> = counted.iter().map(ended_at).collect();
        times.sort();
        if !self.starts.has_survived(now, identity) {
            return times;
        }
        let mut events: Vec<Time> = Vec::new();
        for at in times {
            if events.last().is_none_or(|it| *it + SAME_EVENT < at) {
                events.push(at);
            }
        }
        events
    }

    /// Stops counting what a part in quarantine explains against the rest in quarantine: requests
    /// that ran beside it, and parts that were in some of its crashes only. Returns what is no longer
    /// in quarantine.
    pub fn clear_explained(&mut self) -> Vec<Identity> {
        let quarantined = self.tracked.iter().filter(|it| it.1.quarantined_at.is_some());
        let is_explained = |it: &(&Identity, &Evidence)| self.is_explained(it.0, &it.1.crashed);
        let cleared: Vec<Identity> = quarantined.filter(is_explained).map(|it| *it.0).collect();
        let explained = self.explained();
        for identity in &cleared {
            let threshold = self.policy.threshold(identity);
            if let Some(evidence) = self.tracked.get_mut(identity) {
                evidence.retain_crashes(threshold, |it| !explained.contains(&it));
            }
        }
        self.tracked.retain(|_, it| !it.is_empty());
        cleared
    }

    /// Whether parts in quarantine explain so many of the crashes that the others put nothing in
    /// quarantine.
    pub(super) fn is_explained(&self, identity: &Identity, crashed: &[IncarnationId]) -> bool {
        if identity.is_part() {
            let is_superset = |it: &Evidence| {
                crashed.len() < it.crashed.len() && crashed.iter().all(|id| it.crashed.contains(id))
            };
            return self.causes().any(|it| is_superset(it.1));
        }
        let explained = self.explained();
        let left = crashed.iter().filter(|it| !explained.contains(it)).count();
        left < self.policy.crash_threshold && left < crashed.len()
    }
}
