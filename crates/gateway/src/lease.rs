//! The lease under which one instance gives orders to backend servers.
//!
//! The record is kept in the platform's store and written by conditional update only. The fencing token is the
//! revision of the write that granted the lease. The holder counts its term from before it sent a write; a candidate
//! counts from after it read one. Both use clocks that advance while the machine is suspended. As servers do not
//! check tokens, a new holder leaves a gap before its first order, counted from when the last orders of its predecessor
//! may arrive at the latest. A holder that releases the lease records what remains of the gap, including that of
//! earlier holders.
//!
//! After the store was restored from a backup, its record may be outdated, or a write that was sent before may still
//! take effect. The record names the era of the version that its write was conditional on; a record of another era is
//! treated as a lease that another instance may hold.

mod holdoff;
mod orders;
mod record;

use std::{sync::Arc, time::Duration};

use shallotlead_base::{
    id::Version,
    store::{Call, Key, Object, Reply},
    time::Time,
};

use self::{holdoff::Holdoff, orders::Orders, record::Record};

pub(crate) use self::record::CLOCK_TOLERANCE;
pub use self::record::Publication;

/// Kind of the record. Calls of this kind take precedence over all others.
pub const KIND: &str = "lease";
/// Length of a term. It is short, as a dead holder is replaced after it, but each renewal is paid for.
const TERM: Duration = Duration::from_millis(2_000);
/// Safety margin for clock drift: the holder ends its term early by this, and a candidate waits longer.
const CLOCK_MARGIN: Duration = Duration::from_millis(200);
/// How long an order may be on its way: its time limit, after which its connection is reset.
pub const ORDER_FLIGHT: Duration = Duration::from_millis(600);
/// Renewal interval of the holder: three attempts per term.
const RENEW_INTERVAL: Duration = Duration::from_millis(600);
/// Interval at which the first two candidates read the record, and at which the third does.
const READ_INTERVAL: Duration = Duration::from_millis(700);
const STANDBY_READ_INTERVAL: Duration = Duration::from_millis(1_500);
/// Number of candidates, including the holder. Each read is paid for.
const CANDIDATES: usize = 3;
/// Additional delay of each further candidate before it takes over.
const TAKEOVER_STAGGER: Duration = Duration::from_millis(500);
/// Interval at which the record is read while a release is expected, and for how long.
const RELEASE_READ_INTERVAL: Duration = Duration::from_millis(40);
const RELEASE_READ_PERIOD: Duration = Duration::from_millis(400);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// The right to give orders for a limited time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// Fencing token.
    pub fence: u64,
    /// Start of the right.
    pub from: Time,
    /// End of the right.
    pub until: Time,
}

#[derive(Debug)]
enum Stage {
    /// Another instance may hold the lease. Contains the record as last read.
    Watching(Option<Observed>),
    /// A claim was sent.
    Claiming { sent: Time },
    /// This instance holds the lease.
    Holding { version: Version, fence: u64, sent: Time, renewing: Option<Time> },
}

#[derive(Clone, Debug)]
struct Observed {
    version: Version,
    since: Time,
    /// Hold-off that the holder left when it released the lease; `None` if it was not released.
    released: Option<Holdoff>,
    /// The record names this incarnation of this instance.
    is_own: bool,
}

/// The lease as seen by one instance.
#[derive(Debug)]
pub struct Lease {
    key: Key,
    me: Arc<str>,
    gap: Duration,
    stage: Stage,
    writes: u64,
    is_call_open: bool,
    /// The open call was made before the store was restored, so its reply is ignored.
    is_reply_void: bool,
    next_call_at: Time,
    is_releasing: bool,
    /// The orders that this instance has sent.
    orders: Orders,
    /// Remaining gap to other holders' orders. It is kept after a failed claim, which may have taken effect although
    /// its reply was lost.
    holdoff: Holdoff,
    /// End of the period in which the record is read often.
    read_often_until: Time,
    /// The latest publications of weights, which are written to the record for instances that start.
    publications: Vec<Publication>,
    /// Time in Unix milliseconds up to which this instance knows of all weights that were published.
    known_until: Option<u64>,
    /// The same, of the writer of the record that was read last.
    record_known_until: Option<u64>,
    /// The record has been read once, or there was none.
    has_read_record: bool,
}

impl Lease {
    /// The lease `name` for the instance's incarnation `me`. `gap` is the minimum time between orders of two holders.
    pub fn new(name: &str, me: Arc<str>, gap: Duration) -> Self {
        Self {
            key: Key::new(KIND, name),
            me,
            gap,
            stage: Stage::Watching(None),
            writes: 0,
            is_call_open: false,
            is_reply_void: false,
            next_call_at: Time::ZERO,
            is_releasing: false,
            orders: Orders::default(),
            holdoff: Holdoff::default(),
            read_often_until: Time::ZERO,
            publications: Vec::new(),
            known_until: None,
            record_known_until: None,
            has_read_record: false,
        }
    }

    /// The right to give orders now, if there is one.
    pub fn grant(&self, now: Time) -> Option<Grant> {
        let Stage::Holding { fence, sent, .. } = self.stage else { return None };
        let (from, until) = (self.holdoff.for_all(), sent + (TERM - CLOCK_MARGIN));
        (from <= now && now < until).then_some(Grant { fence, from, until })
    }

    /// Whether the lease is held, including the time in which the predecessor's orders may still arrive.
    pub fn is_held(&self, now: Time) -> bool {
        matches!(self.stage, Stage::Holding { sent, .. } if now < sent + (TERM - CLOCK_MARGIN))
    }

    /// The right to send `server` an order now, if there is one. The gap applies to orders of different holders only.
    /// An order that could arrive after the term isn't permitted.
    pub fn authorise_order(&mut self, now: Time, server: &Arc<str>) -> Option<Grant> {
        let grant = self.grant(now)?;
        if now < self.holdoff.for_server(server) || grant.until + CLOCK_MARGIN < now + ORDER_FLIGHT
        {
            return None;
        }
        self.orders.send(now, server);
        Some(grant)
    }

    /// `server` has answered the order that was sent at `sent`, so that no copy of it arrives any more. An order that
    /// failed otherwise counts as one that may arrive for [`ORDER_FLIGHT`].
    pub fn handle_order_answer(&mut self, now: Time, server: &str, sent: Time) {
        self.orders.answer(now, server, sent);
    }

    /// The store was restored from a backup. The lease ends, and everything read before is discarded, including that
    /// there was no record. The next order waits until grants of older eras have ended and their orders have arrived.
    /// The reply to an open call counts as unknown.
    pub fn handle_restore(&mut self, now: Time) {
        self.stage = Stage::Watching(None);
        self.holdoff.delay_all(now + TERM + CLOCK_MARGIN + self.gap);
        self.is_reply_void = self.is_call_open;
        self.next_call_at = now;
    }

    /// Sets the publications of weights that the record has. The holder writes it at once if one of them is new, or
    /// clearly earlier than recorded.
    pub fn set_publications(&mut self, publications: Vec<Publication>) {
        let is_news =
            publications.iter().any(|it| self.publications.iter().all(|known| it.adds_to(known)));
        if !is_news && publications.len() == self.publications.len() {
            return;
        }
        self.publications = publications;
        if is_news && matches!(self.stage, Stage::Holding { .. }) {
            self.next_call_at = Time::ZERO;
        }
    }

    /// Whether [`Lease::tick`] may return a write.
    pub fn may_write(&self, now: Time, rank: usize) -> bool {
        let is_candidate = rank < CANDIDATES || matches!(self.stage, Stage::Holding { .. });
        is_candidate && !self.is_call_open && self.next_call_at <= now
    }

    /// Sets the time in Unix milliseconds up to which this instance knows of all weights that were published. The
    /// next write records it.
    pub fn set_known_until(&mut self, unix_ms: u64) {
        self.known_until = Some(unix_ms);
    }

    /// Time in Unix milliseconds up to which the writer of the last record read knew of all published weights.
    /// Weights that the record lacks were published later.
    pub fn record_known_until(&self) -> Option<u64> {
        self.record_known_until
    }

    /// Whether the record has been read since the start.
    pub fn has_read_record(&self) -> bool {
        self.has_read_record
    }

    /// Releases the lease at the next tick and gives no more orders.
    pub fn release(&mut self) {
        self.is_releasing = true;
        self.next_call_at = Time::ZERO;
    }

    /// Takes part again after a release.
    pub fn rejoin(&mut self) {
        self.is_releasing = false;
    }

    /// The holder is about to release the lease, so read the record soon and often.
    pub fn expect_release(&mut self, now: Time) {
        if matches!(self.stage, Stage::Watching(_)) {
            self.next_call_at = self.next_call_at.min(now + RELEASE_READ_INTERVAL);
            self.read_often_until = now + RELEASE_READ_PERIOD;
        }
    }

    /// The next call, if one is due. `rank` is this instance's position among the candidates.
    pub fn tick(&mut self, now: Time, rank: usize) -> Option<Call> {
        if let Stage::Holding { sent, .. } = self.stage
            && sent + (TERM - CLOCK_MARGIN) <= now
        {
            // Guards against a paused holder that continues to give orders after another instance took the lease. It
            // shows as orders under two tokens at one server. The clock advances during the pause, so the term is
            // over here too.
            self.stage = Stage::Watching(None);
            self.next_call_at = now;
        }
        if self.is_call_open || now < self.next_call_at {
            return None;
        }
        let call = self.next_call(now, rank)?;
        self.is_call_open = true;
        Some(call)
    }

    fn next_call(&mut self, now: Time, rank: usize) -> Option<Call> {
        match &self.stage {
            Stage::Claiming { .. } => Some(Call::Get(self.key.clone())),
            Stage::Holding { version, .. } => {
                let write = self.write_call(now, *version);
                if self.is_releasing {
                    self.stage = Stage::Watching(None);
                }
                if let Stage::Holding { renewing, .. } = &mut self.stage {
                    *renewing = Some(now);
                }
                Some(write)
            }
            // Every instance reads the record once, for the weight publications in it.
            Stage::Watching(None) if !self.has_read_record && !self.is_releasing => {
                Some(Call::Get(self.key.clone()))
            }
            Stage::Watching(_) if self.is_releasing || CANDIDATES <= rank => None,
            Stage::Watching(seen) => {
                let takeover_after = TERM
                    + CLOCK_MARGIN
                    + TAKEOVER_STAGGER * u32::try_from(rank).unwrap_or(u32::MAX);
                // While the record is this incarnation's own, nobody else holds the lease: a holder that lost the
                // store for longer than its term takes the lease back at once.
                let is_free = |it: &&Observed| {
                    it.is_own || it.released.is_some() || takeover_after <= now.since(it.since)
                };
                let Some(seen) = seen.as_ref().filter(is_free).cloned() else {
                    return Some(Call::Get(self.key.clone()));
                };
                // The predecessor's last order arrived before the end of its term, which was over once the record had
                // been unchanged for a term since it was first read. A holder that released the lease recorded
                // the remaining hold-off.
                self.holdoff.delay_all(now);
                match seen.released {
                    _ if seen.is_own => {}
                    None => self.holdoff.delay_all(seen.since + TERM + CLOCK_MARGIN + self.gap),
                    Some(holdoff) => self.holdoff.merge(now, holdoff),
                }
                self.stage = Stage::Claiming { sent: now };
                Some(self.write_call(now, seen.version))
            }
        }
    }

    /// Handles the reply to the call that [`Lease::tick`] returned, with the same `rank`. Returns the weight
    /// publications in the record, if it was read.
    pub fn handle_reply(&mut self, now: Time, rank: usize, reply: &Reply) -> Vec<Publication> {
        let publications = match reply {
            Reply::Got(Some(it)) | Reply::Conflict(Some(it)) => {
                let record = serde_json::from_slice::<Record>(&it.value).ok();
                self.record_known_until = record.as_ref().and_then(Record::known_until);
                record.map(Record::into_publications).unwrap_or_default()
            }
            _ => Vec::new(),
        };
        self.has_read_record |=
            matches!(reply, Reply::Got(_) | Reply::Conflict(_) | Reply::Done(_));
        self.apply_reply(now, rank, reply);
        publications
    }

    fn apply_reply(&mut self, now: Time, rank: usize, reply: &Reply) {
        self.is_call_open = false;
        self.next_call_at = now;
        if std::mem::take(&mut self.is_reply_void) {
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
                self.next_call_at = sent + RENEW_INTERVAL;
            }
            (Stage::Holding { version, sent, renewing, .. }, Reply::Done(stored)) => {
                *version = *stored;
                if let Some(at) = renewing.take() {
                    *sent = at;
                }
                self.next_call_at = *sent + RENEW_INTERVAL;
            }
            (Stage::Holding { .. }, Reply::Failed(_)) => self.next_call_at = now + RETRY_DELAY,
            (_, Reply::Failed(_)) => {
                if let Stage::Claiming { .. } = self.stage {
                    self.stage = Stage::Watching(None);
                }
                self.next_call_at = now + RETRY_DELAY;
            }
            (Stage::Watching(seen), _) => {
                if let Reply::Done(version) = reply {
                    // A renewal that took effect after the term was over.
                    let (version, since) = (*version, now);
                    *seen = Some(Observed { version, since, released: None, is_own: true });
                }
                if let Some(object) = found {
                    observe(seen, now, &self.me, self.gap, object);
                }
                let is_late = seen.as_ref().is_some_and(|it| TERM <= now.since(it.since));
                let is_own = seen.as_ref().is_some_and(|it| it.is_own);
                let delay = match rank {
                    _ if is_own => Duration::ZERO,
                    _ if now < self.read_often_until => RELEASE_READ_INTERVAL,
                    0 | 1 => READ_INTERVAL,
                    _ if is_late => READ_INTERVAL,
                    _ => STANDBY_READ_INTERVAL,
                };
                self.next_call_at = now + delay;
            }
            (Stage::Claiming { .. } | Stage::Holding { .. }, _) => {
                let mut seen = None;
                if let Some(object) = found {
                    observe(&mut seen, now, &self.me, self.gap, object);
                }
                self.stage = Stage::Watching(seen);
                self.next_call_at = now + RETRY_DELAY;
            }
        }
    }

    fn write_call(&mut self, now: Time, expected: Version) -> Call {
        self.writes += 1;
        let (me, publications) = (self.me.clone(), self.publications.clone());
        let mut record =
            Record::new(me, self.writes, expected.era(), publications, self.known_until);
        if self.is_releasing {
            let mut holdoff = self.holdoff.clone();
            self.orders.latest().for_each(|it| holdoff.delay(it.0, it.1 + self.gap));
            record.release(now, self.gap, &holdoff);
        }
        let value = serde_json::to_vec(&record).unwrap_or_default();
        Call::Put { key: self.key.clone(), expected, value: value.into() }
    }
}

fn observe(
    seen: &mut Option<Observed>,
    now: Time,
    me: &str,
    gap: Duration,
    object: Option<&Object>,
) {
    let version = object.map_or(Version(0), |it| it.version);
    if seen.as_ref().is_some_and(|it| it.version == version) {
        return;
    }
    // Guards against a record of an older era that releases the lease while it is held: the record comes from a
    // backup, or was written late under a revision that has been reused.
    let record = object.and_then(|it| serde_json::from_slice::<Record>(&it.value).ok());
    let record = record.filter(|it| it.era() == version.era());
    let is_own = record.as_ref().is_some_and(|it| it.is_of(me));
    let released = record.and_then(|it| it.released(now, gap));
    *seen = Some(Observed { version, since: now, released, is_own });
}
