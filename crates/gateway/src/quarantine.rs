//! Requests that crash the servers that run them: evidence, verdicts and release.
//!
//! Answers the load of one request that ends each server which begins to run it, and comes again at any
//! instance: each end takes along all that runs there, and what is sent again elsewhere may meet the next one.
//! Pure: whoever uses it tells the other instances what it has found.

mod case;
mod identity;

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};
use shallotlead_base::{hash::Map, time::Time};

use case::Case;
pub use identity::Identity;

/// Requests under suspicion or in quarantine that are remembered. A crash of an engine brings as many as it had
/// slots; 1,024 of about 150 bytes stay far below a megabyte.
const MOST_CASES: usize = 1_024;
/// The same for one organisation, so that none can drive out the others' by crashing servers.
const MOST_OF_CALLER: usize = MOST_CASES / 4;
/// Ends of servers that are remembered.
const MOST_ENDS: usize = 4_096;
/// Ends that lie closer together count as one event.
const TOGETHER: Duration = Duration::from_millis(100);
/// Part of all servers that must end together with a suspect's to look like a common cause, and how many at least.
const MASS: f64 = 0.25;
const LEAST_MASS: usize = 3;
/// How long a lost run whose server hasn't been found dead or alive speaks against its request.
const UNSETTLED: Duration = Duration::from_secs(10);

/// One life of a server, by a hash of its name and birth.
pub type Life = u64;

/// When a request is put in quarantine, and for how long.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Terms {
    /// Servers that must have crashed under it.
    pub crashes: usize,
    /// How long it stays there after it came last.
    pub keep: Duration,
}

/// What is held of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Nothing speaks against it.
    Clear,
    /// One more crash puts it in quarantine: it should run where little else does.
    Suspect,
    /// It isn't sent to any server.
    Quarantined,
}

/// What another instance needs to know of a request in quarantine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// The request.
    pub identity: Identity,
    /// Lives of the servers that crashed under it.
    pub lives: Vec<Life>,
    /// How long ago it came last, ms.
    pub age_ms: u64,
}

/// What became of a request whose time in quarantine is over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expiry {
    /// It may run once more; if it crashes another server, it is back at once.
    OnTrial,
    /// It is forgotten.
    Forgotten,
}

/// The requests under suspicion and in quarantine, as one instance knows them.
#[derive(Debug)]
pub struct Quarantine {
    terms: Terms,
    cases: Map<Identity, Case>,
    /// When servers were found to have ended, oldest first.
    ends: VecDeque<(Life, Time)>,
    /// Lives that don't count any more against requests that were released.
    released: Map<Identity, (Time, Vec<Life>)>,
}

impl Quarantine {
    /// Nothing is suspected.
    pub fn open(terms: Terms) -> Self {
        let (cases, released) = (Map::default(), Map::default());
        Self { terms, cases, ends: VecDeque::new(), released }
    }

    /// How long a request stays in quarantine after it came last.
    pub fn keep(&self) -> Duration {
        self.terms.keep
    }

    /// Whether nothing is suspected.
    pub fn is_empty(&self) -> bool {
        self.cases.is_empty()
    }

    /// A run was lost with the connection to its server, of which nobody knows yet whether it lives.
    pub fn lost(&mut self, now: Time, identity: Identity, life: Life) {
        if self.is_released(&identity, life) {
            return;
        }
        let case = self.case(now, identity);
        if !case.has(life) {
            case.open.push((life, now));
        }
    }

    /// A server is known to have crashed. Returns the requests against which that is new evidence.
    pub fn crashed(&mut self, now: Time, life: Life) -> Vec<Identity> {
        self.note_end(now, life);
        let mut news = Vec::new();
        for (identity, case) in &mut self.cases {
            if let Some(at) = case.open.iter().position(|it| it.0 == life) {
                case.open.swap_remove(at);
                case.crashed.push(life);
                news.push(*identity);
            }
        }
        news
    }

    /// A server lives: what it lost was no crash.
    pub fn lives(&mut self, life: Life) {
        for case in self.cases.values_mut() {
            case.open.retain(|it| it.0 != life);
        }
        self.cases.retain(|_, it| !it.is_idle());
    }

    /// Another instance tells that a server crashed under a request. Says whether that is news.
    pub fn told(&mut self, now: Time, identity: Identity, life: Life) -> bool {
        self.note_end(now, life);
        if self.is_released(&identity, life) {
            return false;
        }
        let case = self.case(now, identity);
        case.open.retain(|it| it.0 != life);
        let is_news = !case.crashed.contains(&life);
        if is_news {
            case.crashed.push(life);
        }
        is_news
    }

    /// Another instance, or the store, has a request in quarantine. Says whether that is news.
    pub fn adopt(&mut self, now: Time, record: &Record) -> bool {
        let Record { identity, lives, age_ms } = record;
        let seen = now - Duration::from_millis(*age_ms);
        let is_released = lives.iter().all(|it| self.is_released(identity, *it));
        if is_released || self.terms.keep <= now.since(seen) {
            return false;
        }
        let case = self.case(now, *identity);
        let was_convicted = std::mem::replace(&mut case.is_convicted, true);
        case.seen = if was_convicted { case.seen.max(seen) } else { seen };
        for life in lives {
            if !case.crashed.contains(life) {
                case.crashed.push(*life);
            }
        }
        !was_convicted
    }

    /// Puts the request in quarantine if enough of `servers` have crashed under it. Says whether it was put there
    /// now.
    pub fn judge(&mut self, identity: &Identity, servers: usize) -> bool {
        let Some(case) = self.cases.get(identity) else { return false };
        if case.is_convicted || self.weight(case, &case.crashed, servers) < self.terms.crashes {
            return false;
        }
        if let Some(case) = self.cases.get_mut(identity) {
            case.is_convicted = true;
        }
        true
    }

    /// What is held of a request that has come, with `servers` in the pool. Runs whose servers may have crashed
    /// count as well: the next one would be told too late.
    pub fn verdict(&mut self, now: Time, identity: &Identity, servers: usize) -> Verdict {
        let Some(case) = self.cases.get(identity) else { return Verdict::Clear };
        let fresh = case.open.iter().filter(|it| now.since(it.1) < UNSETTLED).map(|it| it.0);
        let lives: Vec<Life> = case.crashed.iter().copied().chain(fresh).collect();
        let weight = self.weight(case, &lives, servers);
        let is_convicted = case.is_convicted;
        if let Some(case) = self.cases.get_mut(identity) {
            case.seen = now;
        }
        match weight {
            _ if is_convicted => Verdict::Quarantined,
            it if self.terms.crashes <= it => Verdict::Quarantined,
            it if self.terms.crashes <= it + 1 => Verdict::Suspect,
            _ => Verdict::Clear,
        }
    }

    /// A run of it has ended well, or an operator releases it. Says whether it was under suspicion for more than
    /// one crash, so that others should know.
    pub fn release(&mut self, now: Time, identity: &Identity) -> bool {
        let Some(case) = self.cases.remove(identity) else { return false };
        let is_news = case.is_convicted || 1 < case.crashed.len();
        let lives = case.crashed.iter().copied().chain(case.open.iter().map(|it| it.0));
        let (at, known) = self.released.entry(*identity).or_insert((now, Vec::new()));
        *at = now;
        known.extend(lives);
        is_news
    }

    /// Ends what is over. Those that were in quarantine run on trial first.
    pub fn expire(&mut self, now: Time) -> Vec<(Identity, Expiry)> {
        let Terms { crashes, keep } = self.terms;
        let mut over = Vec::new();
        self.cases.retain(|identity, case| {
            case.open.retain(|it| now.since(it.1) < UNSETTLED);
            if now.since(case.seen) < keep {
                return !case.is_idle();
            }
            if case.is_convicted {
                case.put_on_trial(now, crashes);
                over.push((*identity, Expiry::OnTrial));
                return true;
            }
            if 1 < case.crashed.len() {
                over.push((*identity, Expiry::Forgotten));
            }
            false
        });
        self.released.retain(|_, it| now.since(it.0) < keep);
        over
    }

    /// The requests in quarantine, those that came last first.
    pub fn records(&self, now: Time) -> Vec<Record> {
        let convicted = self.cases.iter().filter(|it| it.1.is_convicted);
        let record = |it: (&Identity, &Case)| Record {
            identity: *it.0,
            lives: it.1.crashed.clone(),
            age_ms: now.since(it.1.seen).as_millis() as u64,
        };
        let mut all: Vec<Record> = convicted.map(record).collect();
        all.sort_by_key(|it| (it.age_ms, it.identity));
        all
    }

    /// Whether the request is in quarantine, not merely held back until its last loss is explained.
    pub fn is_convicted(&self, identity: &Identity) -> bool {
        self.cases.get(identity).is_some_and(|it| it.is_convicted)
    }

    /// Servers that are known to have crashed under the request.
    pub fn crashes(&self, identity: &Identity) -> usize {
        self.cases.get(identity).map_or(0, |it| it.crashed.len())
    }

    /// Requests in quarantine, and under suspicion for one crash or more.
    pub fn counts(&self) -> (usize, usize) {
        let convicted = self.cases.values().filter(|it| it.is_convicted).count();
        (convicted, self.cases.len() - convicted)
    }

    /// How many of the lives speak against the request.
    ///
    /// Guards against blaming what merely ran where many servers ended at once, as when a rack loses power: each
    /// request that is asked for often would be turned away after three of those. An end doesn't count if many
    /// other servers, on which the request didn't run, ended together with it.
    fn weight(&self, case: &Case, lives: &[Life], servers: usize) -> usize {
        let mass = LEAST_MASS.max((servers as f64 * MASS) as usize);
        let is_own = |life: &&Life| {
            let Some(&(_, at)) = self.ends.iter().find(|it| it.0 == **life) else { return true };
            let near = self.ends.iter().filter(|it| it.1.since(at).max(at.since(it.1)) <= TOGETHER);
            near.filter(|it| !case.has(it.0)).take(mass).count() < mass
        };
        lives.iter().filter(is_own).count()
    }

    fn note_end(&mut self, now: Time, life: Life) {
        if self.ends.iter().rev().any(|it| it.0 == life) {
            return;
        }
        if MOST_ENDS <= self.ends.len() {
            self.ends.pop_front();
        }
        self.ends.push_back((life, now));
    }

    fn is_released(&self, identity: &Identity, life: Life) -> bool {
        self.released.get(identity).is_some_and(|it| it.1.contains(&life))
    }

    /// The case of a request, opened if there is none. Where there are too many, the one that came longest ago goes,
    /// those in quarantine last.
    fn case(&mut self, now: Time, identity: Identity) -> &mut Case {
        if !self.cases.contains_key(&identity) {
            let of_caller = self.cases.keys().filter(|it| it.caller == identity.caller).count();
            if MOST_OF_CALLER <= of_caller {
                self.forget_oldest(|it| it.caller == identity.caller);
            } else if MOST_CASES <= self.cases.len() {
                self.forget_oldest(|_| true);
            }
        }
        self.cases.entry(identity).or_insert_with(|| Case::open(now))
    }

    fn forget_oldest(&mut self, is_chosen: impl Fn(&Identity) -> bool) {
        let chosen = self.cases.iter().filter(|it| is_chosen(it.0));
        let oldest = chosen.min_by_key(|it| (it.1.is_convicted, it.1.seen)).map(|it| *it.0);
        if let Some(it) = oldest {
            self.cases.remove(&it);
        }
    }
}
