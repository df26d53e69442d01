//! Requests that crash the servers that run them: evidence, quarantine and release.
//!
//! Answers the load of one request that ends each server which begins to run it, and comes again at any
//! instance: each end takes along all that runs there, and what is sent again elsewhere may meet the next one.
//! Pure: whoever uses it tells the other instances what it has found.

mod case;
mod ends;
mod identity;
pub mod endpoint;
mod record;

use std::time::Duration;

use shallotlead_base::{hash::Map, time::Time};

use case::Case;
use ends::Ends;
pub use identity::{Identity, IdentityError};
pub use record::Record;

/// Requests under suspicion or in quarantine that are remembered. A crash of an engine brings as many as it had
/// slots; 1,024 of about 150 bytes stay far below a megabyte.
const MOST_CASES: usize = 1_024;
/// The same for one organisation, so that none can drive out the others' by crashing servers.
const MOST_OF_CALLER: usize = MOST_CASES / 4;
/// How long evidence is looked at before it puts a request in quarantine for good: others may still be found to have
/// ended at the same moment.
const SETTLED: Duration = Duration::from_millis(300);
/// After so many times the usual time in quarantine a request runs on trial though it has come all the while: it
/// may have been implicated wrongly, or the servers mended.
const LONGEST: u32 = 6;

/// One life of a server, by a hash of its name and birth.
pub type IncarnationId = u64;

/// When a request is put in quarantine, and for how long.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Policy {
    /// Servers that must have crashed under it.
    pub crash_threshold: usize,
    /// How long it stays there after it came last.
    pub retention: Duration,
}

/// What is held of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Nothing speaks against it.
    Clear,
    /// One more crash puts it in quarantine: it should run where little else does.
    Suspect,
    /// It isn't sent to any server until what is known of the last losses has settled.
    Held,
    /// It isn't sent to any server.
    Quarantined,
}

/// What became of a request whose time in quarantine is over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expiry {
    /// It may run once more; if it crashes another server, it is back at once.
    OnTrial,
    /// It is forgotten.
    Forgotten,
}

/// Lives that don't speak against a request any more.
#[derive(Debug)]
struct Release {
    at: Time,
    lives: Vec<IncarnationId>,
    /// Others may hold them against it.
    is_told: bool,
}

/// The requests under suspicion and in quarantine, as one instance knows them.
#[derive(Debug)]
pub struct Quarantine {
    terms: Policy,
    cases: Map<Identity, Case>,
    ends: Ends,
    released: Map<Identity, Release>,
    /// How many records were told so far, to go on with the next ones.
    told: usize,
}

impl Quarantine {
    /// Nothing is suspected.
    pub fn new(terms: Policy) -> Self {
        let (cases, released) = (Map::default(), Map::default());
        Self { terms, cases, ends: Ends::default(), released, told: 0 }
    }

    /// Whether anything speaks against the request.
    pub fn is_tracked(&self, identity: &Identity) -> bool {
        self.cases.contains_key(identity)
    }

    /// How long a request stays in quarantine after it came last.
    pub fn retention(&self) -> Duration {
        self.terms.retention
    }

    /// Whether nothing is suspected.
    pub fn is_empty(&self) -> bool {
        self.cases.is_empty()
    }

    /// A run was lost with the connection to its server, of which nobody knows yet whether it lives.
    pub fn record_loss(&mut self, now: Time, identity: Identity, life: IncarnationId) {
        if self.is_released(&identity, life) {
            return;
        }
        let case = self.case(now, identity);
        if !case.has(life) {
            case.open.push((life, now));
            case.seen = now;
        }
    }

    /// A server is known to have crashed, of a service with so many `servers`. Returns the requests against which
    /// that is new evidence.
    pub fn record_crash(
        &mut self,
        now: Time,
        life: IncarnationId,
        servers: usize,
    ) -> Vec<Identity> {
        self.ends.push(now, life, servers);
        let has_lost = |it: &Case| it.open.iter().any(|it| it.0 == life);
        let lost = self.cases.iter_mut().filter(|it| has_lost(it.1));
        lost.map(|(identity, case)| {
            case.proves(now, life);
            case.is_own = true;
            *identity
        })
        .collect()
    }

    /// A server lives: what it lost was no crash, whatever was found before.
    pub fn record_alive(&mut self, life: IncarnationId) {
        for case in self.cases.values_mut().filter(|it| it.quarantined.is_none()) {
            case.open.retain(|it| it.0 != life);
            case.crashed.retain(|it| *it != life);
        }
        self.cases.retain(|_, it| !it.is_idle());
    }

    /// Another instance has found that a server crashed under a request at `at`. Says whether that is news.
    pub fn record_peer_crash(
        &mut self,
        now: Time,
        at: Time,
        identity: Identity,
        life: IncarnationId,
        servers: usize,
    ) -> bool {
        self.ends.push(at, life, servers);
        !self.is_released(&identity, life) && self.case(now, identity).proves(now, life)
    }

    /// Takes what another instance, or the store, has on record. Says whether the request is in quarantine from now
    /// on, or was released by it.
    pub fn merge_record(&mut self, now: Time, record: &Record) -> bool {
        let Record { identity, incarnations: lives, age_ms, is_released } = record;
        let at = now - Duration::from_millis(*age_ms);
        if self.terms.retention <= now.since(at) {
            return false;
        }
        if *is_released {
            return self.release_lives(at, identity, lives, true);
        }
        if lives.iter().all(|it| self.is_released(identity, *it)) {
            return false;
        }
        let case = self.case(now, *identity);
        let is_news = case.quarantined.is_none();
        case.quarantined.get_or_insert(now);
        case.seen = if is_news { at } else { case.seen.max(at) };
        for life in lives {
            case.proves(at, *life);
        }
        is_news
    }

    /// Puts requests in quarantine under which enough servers have crashed. Returns them, and whether this instance
    /// has found one of the crashes itself.
    pub fn evaluate(&mut self, now: Time) -> Vec<(Identity, bool)> {
        let crashes = self.terms.crash_threshold;
        let is_settled = |it: &Case| it.quarantined.is_none() && SETTLED <= now.since(it.proved);
        let settled = self.cases.iter().filter(|it| is_settled(it.1));
        let due = settled.filter(|it| crashes <= self.weight(it.1, it.1.crashed.iter().copied()));
        let due: Vec<(Identity, bool)> = due.map(|it| (*it.0, it.1.is_own)).collect();
        for (identity, _) in &due {
            if let Some(case) = self.cases.get_mut(identity) {
                case.quarantined = Some(now);
            }
        }
        due
    }

    /// What is held of a request. Runs whose servers may have crashed count as well: the next one would be lost
    /// before more is known.
    pub fn verdict(&self, now: Time, identity: &Identity) -> Verdict {
        let Some(case) = self.cases.get(identity) else { return Verdict::Clear };
        match self.weight(case, case.lives(now)) {
            _ if case.quarantined.is_some() => Verdict::Quarantined,
            it if self.terms.crash_threshold <= it => Verdict::Held,
            it if self.terms.crash_threshold <= it + 1 => Verdict::Suspect,
            _ => Verdict::Clear,
        }
    }

    /// A request has come.
    pub fn record_arrival(&mut self, now: Time, identity: &Identity) {
        if let Some(case) = self.cases.get_mut(identity) {
            case.seen = now;
        }
    }

    /// A run of it has ended well, or an operator releases it. Says whether the others should know: a single crash
    /// speaks against all that ran there, and is of no weight.
    pub fn release(&mut self, now: Time, identity: &Identity) -> bool {
        let Some(case) = self.cases.get(identity) else { return false };
        let is_told = case.quarantined.is_some() || 1 < case.crashed.len();
        let lives: Vec<IncarnationId> = case.lives(now).collect();
        self.release_lives(now, identity, &lives, is_told);
        is_told
    }

    /// What crashed so far doesn't speak against the request. Says whether it was in quarantine.
    fn release_lives(
        &mut self,
        at: Time,
        identity: &Identity,
        lives: &[IncarnationId],
        is_told: bool,
    ) -> bool {
        if !self.released.contains_key(identity) && MOST_CASES <= self.released.len() {
            let oldest = self.released.iter().min_by_key(|it| it.1.at).map(|it| *it.0);
            oldest.and_then(|it| self.released.remove(&it));
        }
        let empty = || Release { at, lives: Vec::new(), is_told };
        let release = self.released.entry(*identity).or_insert_with(empty);
        release.at = at.max(release.at);
        release.is_told |= is_told;
        let known = &mut release.lives;
        known.extend(lives);
        known.sort_unstable();
        known.dedup();
        let Some(case) = self.cases.get_mut(identity) else { return false };
        let was_quarantined = case.quarantined.is_some();
        case.crashed.retain(|it| !known.contains(it));
        case.open.retain(|it| !known.contains(&it.0));
        if case.crashed.len() < self.terms.crash_threshold {
            case.quarantined = None;
        }
        let is_released = was_quarantined && case.quarantined.is_none();
        self.cases.retain(|_, it| !it.is_idle());
        is_released
    }

    /// Ends what is over. Those that were in quarantine run on trial first.
    pub fn expire(&mut self, now: Time) -> Vec<(Identity, Expiry)> {
        let Policy { crash_threshold: crashes, retention: keep } = self.terms;
        let mut over = Vec::new();
        self.cases.retain(|identity, case| {
            case.settle(now);
            let is_long = case.quarantined.is_some_and(|it| keep * LONGEST <= now.since(it));
            if now.since(case.seen) < keep && !is_long {
                return !case.is_idle();
            }
            if case.quarantined.is_some() {
                case.put_on_trial(now, crashes);
                over.push((*identity, Expiry::OnTrial));
                return true;
            }
            if 1 < case.crashed.len() {
                over.push((*identity, Expiry::Forgotten));
            }
            false
        });
        self.released.retain(|_, it| now.since(it.at) < keep);
        over
    }

    /// The requests in quarantine, those that came last first.
    pub fn records(&self, now: Time) -> Vec<Record> {
        let age_ms = |at: Time| now.since(at).as_millis() as u64;
        let quarantined = self.cases.iter().filter(|it| it.1.quarantined.is_some());
        let mut all: Vec<Record> = quarantined
            .map(|(identity, case)| Record {
                identity: *identity,
                incarnations: case.crashed.clone(),
                age_ms: age_ms(case.seen),
                is_released: false,
            })
            .collect();
        all.sort_by_key(|it| (it.age_ms, it.identity));
        all
    }

    /// Some of the requests in quarantine, and of those that were released, for another instance: each time the next
    /// ones, `most` at most.
    pub fn next_records(&mut self, now: Time, most: usize) -> Vec<Record> {
        let mut all = self.records(now);
        let released = self.released.iter().filter(|it| it.1.is_told);
        all.extend(released.map(|(identity, it)| Record {
            identity: *identity,
            incarnations: it.lives.clone(),
            age_ms: now.since(it.at).as_millis() as u64,
            is_released: true,
        }));
        if all.is_empty() {
            return all;
        }
        all.sort_by_key(|it| it.identity);
        let start = self.told % all.len();
        all.rotate_left(start);
        all.truncate(most);
        self.told += all.len();
        all
    }

    /// The requests against which a crash speaks, unless so many servers ended together that it speaks of another
    /// cause.
    pub fn implicated(&self, life: IncarnationId) -> Vec<Identity> {
        let is_blamed = |it: &Case| {
            it.crashed.contains(&life) && !self.ends.is_mass(life, |other| it.has(other))
        };
        self.cases.iter().filter(|it| is_blamed(it.1)).map(|it| *it.0).collect()
    }

    /// Servers that are known to have crashed under the request.
    pub fn crashes(&self, identity: &Identity) -> &[IncarnationId] {
        self.cases.get(identity).map_or(&[], |it| &it.crashed)
    }

    /// How many requests are in quarantine, and under suspicion.
    pub fn counts(&self) -> (usize, usize) {
        let quarantined = self.cases.values().filter(|it| it.quarantined.is_some()).count();
        (quarantined, self.cases.len() - quarantined)
    }

    /// How many of the lives speak against the request.
    fn weight(&self, case: &Case, lives: impl Iterator<Item = IncarnationId>) -> usize {
        lives.filter(|it| !self.ends.is_mass(*it, |other| case.has(other))).count()
    }

    fn is_released(&self, identity: &Identity, life: IncarnationId) -> bool {
        self.released.get(identity).is_some_and(|it| it.lives.contains(&life))
    }

    /// The case of a request, opened if there is none.
    fn case(&mut self, now: Time, identity: Identity) -> &mut Case {
        if !self.cases.contains_key(&identity) {
            let of_caller = self.cases.keys().filter(|it| it.caller == identity.caller).count();
            if MOST_OF_CALLER <= of_caller {
                self.forget_least(|it| it.caller == identity.caller);
            } else if MOST_CASES <= self.cases.len() {
                self.forget_least(|_| true);
            }
        }
        self.cases.entry(identity).or_insert_with(|| Case::open(now))
    }

    fn forget_least(&mut self, is_chosen: impl Fn(&Identity) -> bool) {
        let chosen = self.cases.iter().filter(|it| is_chosen(it.0));
        let least = chosen.min_by_key(|it| it.1.rank()).map(|it| *it.0);
        if let Some(it) = least {
            self.cases.remove(&it);
        }
    }
}
