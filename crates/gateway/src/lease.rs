//! The lease under which one instance gives orders to backend servers.
//!
//! The record lies in the platform's store and is written by conditional update only. The fencing
//! token is the revision of the write that granted it. The holder counts its term from before it
//! sent a write; a candidate counts from after it read one. Both use clocks that go on while the
//! machine is suspended. Servers don't check tokens, so that a successor lets a gap pass
//! before its first order, in which the last orders of the predecessor arrive. A holder that gives
//! the lease back tells what is left of the gap, also of the ones before it.
//!
//! After the store came back from a copy, its record may be an older one, or a write that was sent
//! before may be carried out yet. The record has the era of its write's condition, so that either
//! is known for what it is: something that another instance may hold by.

mod record;
mod wait;

use std::{sync::Arc, time::Duration};

use shallotlead_base::{
    hash::Map,
    id::Version,
    store::{Call, Key, Object, Reply},
    time::Time,
};

use self::{record::Record, wait::Wait};

pub(crate) use self::record::CLOCK_TOLERANCE;
pub use self::record::Publication;

/// Kind of the record. Calls of this kind go before all others.
pub const KIND: &str = "lease";
/// Length of a term. A dead holder is replaced after it, so it is short; each renewal is paid for.
const TERM: Duration = Duration::from_millis(2_000);
/// What the holder ends early and a candidate waits longer, for clocks that drift.
const MARGIN: Duration = Duration::from_millis(200);
/// How often the holder renews: three tries in a term.
const RENEW: Duration = Duration::from_millis(600);
/// How often the first two candidates read the record, and how often the third does.
const LOOK: Duration = Duration::from_millis(700);
const LOOK_LATER: Duration = Duration::from_millis(1_500);
/// Candidates for the lease, the holder included. Each look is paid for.
const CANDIDATES: usize = 3;
/// How much later each next candidate takes over.
const STAGGER: Duration = Duration::from_millis(500);
/// How often the record is read while a holder is about to give the lease back, and for how long.
const HURRY: Duration = Duration::from_millis(40);
const HURRIED: Duration = Duration::from_millis(400);
/// Pause after a call that failed.
const RETRY: Duration = Duration::from_millis(300);

/// The right to give orders until a time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// The fencing token.
    pub fence: u64,
    /// Orders may be given from then on.
    pub from: Time,
    /// The right ends then.
    pub until: Time,
}

#[derive(Debug)]
enum Stage {
    /// Another instance may hold it: the record's version, since when it has been unchanged, and
    /// whether it was given back.
    Watching(Option<Seen>),
    /// A claim was sent.
    Claiming { sent: Time },
    /// Held.
    Holding { version: Version, fence: u64, sent: Time, renewing: Option<Time> },
}

#[derive(Clone, Debug)]
struct Seen {
    version: Version,
    since: Time,
    /// What the instance that gave it back has told to wait for.
    released: Option<Wait>,
    /// It names this life of this instance.
    is_own: bool,
}

/// One lease as seen by one instance.
#[derive(Debug)]
pub struct Lease {
    key: Key,
    me: Arc<str>,
    gap: Duration,
    stage: Stage,
    writes: u64,
    is_calling: bool,
    /// The call under way was made before the store came back from a copy.
    is_void: bool,
    next: Time,
    released: bool,
    /// When this instance last ordered each server.
    orders: Map<Arc<str>, Time>,
    /// What is left of the gap to other holders' orders. It outlives a claim, which may take effect
    /// after its answer was lost.
    wait: Wait,
    /// Until then the record is read often.
    hurried_until: Time,
    /// The newest weights, which the record tells to instances that start.
    named: Vec<Publication>,
    /// Until when this instance knew of all weights that were named, in Unix milliseconds.
    known_until: Option<u64>,
    /// The same of whoever wrote the record that was read last.
    record_known_until: Option<u64>,
    /// The record has been read once, or there was none.
    has_read_record: bool,
}

impl Lease {
    /// The lease `name` for the instance's life `me`. `gap`: time between two holders' orders.
    pub fn new(name: &str, me: Arc<str>, gap: Duration) -> Self {
        Self {
            key: Key::new(KIND, name),
            me,
            gap,
            stage: Stage::Watching(None),
            writes: 0,
            is_calling: false,
            is_void: false,
            next: Time::ZERO,
            released: false,
            orders: Map::default(),
            wait: Wait::default(),
            hurried_until: Time::ZERO,
            named: Vec::new(),
            known_until: None,
            record_known_until: None,
            has_read_record: false,
        }
    }

    /// The right to give orders now, if there is one.
    pub fn grant(&self, now: Time) -> Option<Grant> {
        let Stage::Holding { fence, sent, .. } = self.stage else { return None };
        let (from, until) = (self.wait.all(), sent + (TERM - MARGIN));
        (from <= now && now < until).then_some(Grant { fence, from, until })
    }

    /// Whether it is held, also while the predecessor's orders may still arrive.
    pub fn is_held(&self, now: Time) -> bool {
        matches!(self.stage, Stage::Holding { sent, .. } if now < sent + (TERM - MARGIN))
    }

    /// The right to order `server` now, if there is one. Orders of two holders to one server must lie
    /// apart; the own ones needn't.
    pub fn authorise_order(&mut self, now: Time, server: &Arc<str>) -> Option<Grant> {
        let grant = self.grant(now)?;
        if now < self.wait.of(server) {
            return None;
        }
        self.orders.insert(server.clone(), now);
        Some(grant)
    }

    /// The store came back from a copy: the right is over, and nothing that was seen before counts,
    /// also not that there was no record. The next order comes after the rights of older eras have
    /// ended and their orders have arrived. The answer to a call that is under way counts as unknown.
    pub fn handle_restore(&mut self, now: Time) {
        self.stage = Stage::Watching(None);
        self.wait.delay_all(now + TERM + self.gap);
        self.is_void = self.is_calling;
        self.next = now;
    }

    /// Weights were named. The holder writes it to the record at once, if it is news there.
    pub fn add_publication(&mut self, named: Publication) {
        match self.named.iter_mut().find(|it| it.model == named.model) {
            Some(it) if !named.replaces(it) => return,
            Some(it) => *it = named,
            None => self.named.push(named),
        }
        if matches!(self.stage, Stage::Holding { .. }) {
            self.next = Time::ZERO;
        }
    }

    /// Whether [`Lease::tick`] may return a write.
    pub fn may_write(&self, now: Time, rank: usize) -> bool {
        let is_candidate = rank < CANDIDATES || matches!(self.stage, Stage::Holding { .. });
        is_candidate && !self.is_calling && self.next <= now
    }

    /// This instance knows of all weights that were named until then, by its time of day in Unix milliseconds. The
    /// next write tells it.
    pub fn set_known_until(&mut self, unix_ms: u64) {
        self.known_until = Some(unix_ms);
    }

    /// Until when the writer of the record that was read last knew of all weights that were named, in Unix
    /// milliseconds. What the record doesn't name was named later.
    pub fn record_known_until(&self) -> Option<u64> {
        self.record_known_until
    }

    /// Whether the record has been read since the start, so that what it says of weights is known.
    pub fn has_read_record(&self) -> bool {
        self.has_read_record
    }

    /// Gives the lease back at the next tick. No order may be given any more.
    pub fn release(&mut self) {
        self.released = true;
        self.next = Time::ZERO;
    }

    /// The holder is about to give the lease back: look soon.
    pub fn expect_release(&mut self, now: Time) {
        if matches!(self.stage, Stage::Watching(_)) {
            self.next = self.next.min(now + HURRY);
            self.hurried_until = now + HURRIED;
        }
    }

    /// The next call, if one is due. `rank`: this instance's place among the candidates.
    pub fn tick(&mut self, now: Time, rank: usize) -> Option<Call> {
        if let Stage::Holding { sent, .. } = self.stage
            && sent + (TERM - MARGIN) <= now
        {
            // Guards against a paused holder that goes on giving orders: after a long pause the
            // lease may belong to another instance. It shows as orders under two tokens at one
            // server. The clock goes on during the pause, so that the term is over here too.
            self.stage = Stage::Watching(None);
            self.next = now;
        }
        if self.is_calling || now < self.next {
            return None;
        }
        let call = self.call(now, rank)?;
        self.is_calling = true;
        Some(call)
    }

    fn call(&mut self, now: Time, rank: usize) -> Option<Call> {
        match &self.stage {
            Stage::Claiming { .. } => Some(Call::Get(self.key.clone())),
            Stage::Holding { version, .. } => {
                let put = self.put(now, *version);
                if self.released {
                    self.stage = Stage::Watching(None);
                }
                if let Stage::Holding { renewing, .. } = &mut self.stage {
                    *renewing = Some(now);
                }
                Some(put)
            }
            // Each instance reads it once, for the weights that it names.
            Stage::Watching(None) if !self.has_read_record && !self.released => {
                Some(Call::Get(self.key.clone()))
            }
            Stage::Watching(_) if self.released || CANDIDATES <= rank => None,
            Stage::Watching(seen) => {
                let patience = TERM + MARGIN + STAGGER * u32::try_from(rank).unwrap_or(u32::MAX);
                // Nobody else has it while the record is this life's own: a holder that lost the store for
                // longer than its term takes it back at once.
                let free = |it: &&Seen| {
                    it.is_own || it.released.is_some() || patience <= now.since(it.since)
                };
                let Some(seen) = seen.as_ref().filter(free).cloned() else {
                    return Some(Call::Get(self.key.clone()));
                };
                // The predecessor's last order is not later than the end of its term, which was over
                // when this instance read an unchanged record a term after it had seen it first.
                // One that gave the lease back has told what is left to wait for.
                self.wait.delay_all(now);
                match seen.released {
                    _ if seen.is_own => {}
                    None => self.wait.delay_all(seen.since + TERM + self.gap),
                    Some(wait) => self.wait.merge(now, wait),
                }
                self.stage = Stage::Claiming { sent: now };
                Some(self.put(now, seen.version))
            }
        }
    }

    /// Takes the answer to the call that [`Lease::tick`] returned. `rank` as there. Returns the weights that the
    /// record names, if it was read.
    pub fn handle_reply(&mut self, now: Time, rank: usize, reply: &Reply) -> Vec<Publication> {
        let named = match reply {
            Reply::Got(Some(it)) | Reply::Conflict(Some(it)) => {
                let record = serde_json::from_slice::<Record>(&it.value).ok();
                self.record_known_until = record.as_ref().and_then(Record::known_until);
                record.map(Record::into_named).unwrap_or_default()
            }
            _ => Vec::new(),
        };
        self.has_read_record |=
            matches!(reply, Reply::Got(_) | Reply::Conflict(_) | Reply::Done(_));
        self.take(now, rank, reply);
        named
    }

    fn take(&mut self, now: Time, rank: usize, reply: &Reply) {
        self.is_calling = false;
        self.next = now;
        if std::mem::take(&mut self.is_void) {
            return;
        }
        let found = match reply {
            Reply::Got(object) | Reply::Conflict(object) => Some(object.as_ref()),
            _ => None,
        };
        match (&mut self.stage, reply) {
            (Stage::Claiming { sent }, Reply::Done(version)) => {
                let (sent, version, fence) = (*sent, *version, version.0);
                self.stage = Stage::Holding { version, fence, sent, renewing: None };
                self.next = sent + RENEW;
            }
            (Stage::Holding { version, sent, renewing, .. }, Reply::Done(stored)) => {
                *version = *stored;
                if let Some(at) = renewing.take() {
                    *sent = at;
                }
                self.next = *sent + RENEW;
            }
            (Stage::Holding { .. }, Reply::Failed(_)) => self.next = now + RETRY,
            (_, Reply::Failed(_)) => {
                if let Stage::Claiming { .. } = self.stage {
                    self.stage = Stage::Watching(None);
                }
                self.next = now + RETRY;
            }
            (Stage::Watching(seen), _) => {
                if let Reply::Done(version) = reply {
                    // A renewal that took effect after the term was over.
                    let (version, since) = (*version, now);
                    *seen = Some(Seen { version, since, released: None, is_own: true });
                }
                if let Some(object) = found {
                    see(seen, now, &self.me, self.gap, object);
                }
                let is_late = seen.as_ref().is_some_and(|it| TERM <= now.since(it.since));
                let is_own = seen.as_ref().is_some_and(|it| it.is_own);
                let pause = match rank {
                    _ if is_own => Duration::ZERO,
                    _ if now < self.hurried_until => HURRY,
                    0 | 1 => LOOK,
                    _ if is_late => LOOK,
                    _ => LOOK_LATER,
                };
                self.next = now + pause;
            }
            (Stage::Claiming { .. } | Stage::Holding { .. }, _) => {
                let mut seen = None;
                if let Some(object) = found {
                    see(&mut seen, now, &self.me, self.gap, object);
                }
                self.stage = Stage::Watching(seen);
                self.next = now + RETRY;
            }
        }
    }

    fn put(&mut self, now: Time, expected: Version) -> Call {
        self.writes += 1;
        let (me, named) = (self.me.clone(), self.named.clone());
        let mut record = Record::new(me, self.writes, expected.era(), named, self.known_until);
        if self.released {
            let mut wait = self.wait.clone();
            self.orders.iter().for_each(|it| wait.delay(it.0, *it.1 + self.gap));
            record.release(now, self.gap, &wait);
        }
        let value = serde_json::to_vec(&record).unwrap_or_default();
        Call::Put { key: self.key.clone(), expected, value: value.into() }
    }
}

fn see(seen: &mut Option<Seen>, now: Time, me: &str, gap: Duration, object: Option<&Object>) {
    let version = object.map_or(Version(0), |it| it.version);
    if seen.as_ref().is_some_and(|it| it.version == version) {
        return;
    }
    // Guards against a record of an older era that frees the lease under a holder: it is a copy, or
    // was written late, under a revision that was given out again.
    let record = object.and_then(|it| serde_json::from_slice::<Record>(&it.value).ok());
    let record = record.filter(|it| it.era() == version.era());
    let is_own = record.as_ref().is_some_and(|it| it.is_of(me));
    let released = record.and_then(|it| it.released(now, gap));
    *seen = Some(Seen { version, since: now, released, is_own });
}
