//! One shard as seen by one writer: the records read, the writes that are pending and the call in
//! flight.

use std::{mem, time::Duration};

use shallotlead_base::{
    hash::Map,
    id::Version,
    store::{Call, Failure, Object, Reply},
    time::Time,
};

use crate::{
    context::Context,
    intent::{
        DEFAULT_RETRY_AFTER, MAX_KEYS_PER_SHARD, Outcome,
        entry::{Entry, Key, State, StoredResponse},
        head::{self, HEAD, Head, SEAL_BYTES, Sealed, Stamped},
    },
    outbox::Outbox,
    view,
};

/// Shortest time between two commits of one writer: 64 shards stay under 214 writes a second.
pub(crate) const MIN_COMMIT_INTERVAL: Duration = Duration::from_millis(300);
/// How long a batch without intents waits for further results.
const RESULT_BATCH_DELAY: Duration = Duration::from_secs(1);
/// Most bytes of records in one shard, beyond which results are stored without their bodies.
pub(crate) const MAX_BYTES: usize = 2 << 20;
/// Most records in one commit.
const MAX_BATCH: usize = 256;
/// Delay after a call whose outcome is unknown.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Upper bound for the size of a record without its response's body, in bytes.
const RECORD_OVERHEAD_BYTES: usize = 160;

/// Where the outcome is delivered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Origin {
    /// This instance.
    Local,
    /// The executor of the record, another instance.
    Peer,
}

/// A record that is waiting to be written.
#[derive(Clone, Debug)]
pub(crate) struct PendingWrite {
    pub(crate) origin: Origin,
    pub(crate) entry: Entry,
    since: Time,
    /// Whether it was part of a commit, which may have taken effect.
    was_sent: bool,
}

impl PendingWrite {
    pub(crate) fn new(since: Time, origin: Origin, entry: Entry) -> Self {
        Self { origin, entry, since, was_sent: false }
    }

    fn is_intent(&self) -> bool {
        self.entry.state == State::Intended
    }
}

/// The head as last read or written by this writer.
#[derive(Debug)]
struct Base {
    version: Version,
    head: Head,
    /// When it was read; other writers may have changed it since.
    read: Time,
}

#[derive(Debug)]
enum Step {
    /// Reads all objects of the shard.
    Load,
    /// Reads the head, to resolve a lost reply or to decide on current records.
    Read,
    /// Writes the segment of the head's records.
    Seal,
    /// Writes the head.
    Commit(Head, Vec<Sealed>),
    /// Removes a segment that is no longer listed.
    Remove,
}

#[derive(Debug)]
struct Row {
    at_ms: u64,
    entry: Entry,
}

/// One shard as seen by one writer.
#[derive(Debug)]
pub(crate) struct Shard {
    number: u64,
    base: Option<Base>,
    rows: Map<Key, Row>,
    bytes: usize,
    writes: Vec<PendingWrite>,
    /// Outcomes to deliver to their origins.
    pub(crate) outcomes: Vec<(PendingWrite, Outcome)>,
    call: Option<(u64, Step)>,
    /// The segment of the current head, once it is written.
    sealed: Option<Sealed>,
    /// The head must be read before anything else.
    must_read_head: bool,
    garbage: Vec<Sealed>,
    not_before: Time,
    /// Intents are refused until then, as the platform is unavailable.
    unavailable_until: Time,
    next_commit: Time,
    last_used: Time,
}

impl Shard {
    pub(crate) fn new(number: u64, now: Time) -> Self {
        Self {
            number,
            base: None,
            rows: Map::default(),
            bytes: 0,
            writes: Vec::new(),
            outcomes: Vec::new(),
            call: None,
            sealed: None,
            must_read_head: false,
            garbage: Vec::new(),
            not_before: Time::ZERO,
            unavailable_until: Time::ZERO,
            next_commit: Time::ZERO,
            last_used: now,
        }
    }

    /// Whether it wasn't used for `idle`.
    pub(crate) fn is_idle(&self, now: Time, idle: Duration) -> bool {
        self.writes.is_empty() && self.call.is_none() && self.last_used + idle <= now
    }

    pub(crate) fn is_waiting_for(&self, number: u64) -> bool {
        self.call.as_ref().is_some_and(|it| it.0 == number)
    }

    /// Adds a record to write, in place of an earlier one of the same attempt.
    pub(crate) fn enqueue(&mut self, now: Time, write: PendingWrite) {
        self.last_used = now;
        let is_full = MAX_KEYS_PER_SHARD <= self.writes.len();
        let queued = self.writes.iter_mut().find(|it| it.entry.is_same_attempt(&write.entry));
        match queued {
            // A late copy of the intent must not replace the result.
            Some(it) if !it.is_intent() && write.is_intent() => {}
            Some(it) => {
                let was_sent = it.was_sent;
                *it = PendingWrite { was_sent, ..write };
            }
            // Its executor submits it again.
            None if is_full => {}
            None => self.writes.push(write),
        }
    }

    pub(crate) fn tick(&mut self, ctx: &Context<'_>, out: &mut Outbox<'_>) -> Time {
        if ctx.now < self.unavailable_until {
            self.refuse_intents(self.unavailable_until.since(ctx.now));
        }
        if self.call.is_some() {
            return Time::MAX;
        }
        if self.writes.is_empty() && !self.must_read_head && self.garbage.is_empty() {
            return Time::MAX;
        }
        if ctx.now < self.not_before {
            return self.not_before;
        }
        let Some((step, call)) = self.next_call(ctx) else {
            return match self.writes.is_empty() {
                true => Time::MAX,
                false => self.next_commit.max(ctx.now + Duration::from_millis(10)),
            };
        };
        self.call = Some((out.call(call), step));
        Time::MAX
    }

    fn next_call(&mut self, ctx: &Context<'_>) -> Option<(Step, Call)> {
        let Some(base) = &self.base else {
            let kind = head::kind(self.number).into();
            return Some((Step::Load, Call::List { kind }));
        };
        if self.must_read_head {
            return Some((Step::Read, Call::Get(head::head_key(self.number))));
        }
        let read = base.read;
        let (batch, needs_read) = self.resolve_writes(ctx, read);
        if needs_read {
            return Some((Step::Read, Call::Get(head::head_key(self.number))));
        }
        let Some(has_intent) =
            batch.first().map(|_| batch.iter().any(|it| it.state == State::Intended))
        else {
            return self.remove_garbage();
        };
        let oldest = self.writes.iter().map(|it| it.since).min().unwrap_or(ctx.now);
        let is_waiting = !has_intent && ctx.now < oldest + RESULT_BATCH_DELAY;
        if is_waiting || ctx.now < self.next_commit {
            if is_waiting {
                self.next_commit = self.next_commit.max(oldest + RESULT_BATCH_DELAY);
            }
            return None;
        }
        self.commit(ctx.now, batch)
    }

    /// Determines the outcomes that the known records allow. Returns the records to write, and
    /// whether the head must be read again first.
    fn resolve_writes(&mut self, ctx: &Context<'_>, read: Time) -> (Vec<Entry>, bool) {
        let clock_ms = self.clock(ctx.now);
        let mut batch: Vec<Entry> = Vec::new();
        let mut needs_read = false;
        for write in mem::take(&mut self.writes) {
            let is_in_batch = batch.iter().any(|it| it.key == write.entry.key);
            if is_in_batch || MAX_BATCH <= batch.len() {
                self.writes.push(write);
                continue;
            }
            let row = self.rows.get(&write.entry.key);
            let row = row.filter(|it| !head::is_expired(it.at_ms, clock_ms));
            let decision = match row {
                None if MAX_KEYS_PER_SHARD <= self.rows.len() && write.is_intent() => {
                    Decision::Resolve(Outcome::unrecorded(DEFAULT_RETRY_AFTER, !write.was_sent))
                }
                None => Decision::Write,
                Some(row) => check_record(ctx, &row.entry, &write, read),
            };
            match decision {
                Decision::Write => {
                    batch.push(self.trim(write.entry.clone()));
                    self.writes.push(write);
                }
                Decision::Read => {
                    needs_read = true;
                    self.writes.push(write);
                }
                Decision::Resolve(outcome) => self.outcomes.push((write, outcome)),
            }
        }
        (batch, needs_read)
    }

    fn commit(&mut self, now: Time, batch: Vec<Entry>) -> Option<(Step, Call)> {
        let clock_ms = self.clock(now);
        let base = self.base.as_ref()?;
        let mut next = base.head.clone();
        if SEAL_BYTES < head::encode(&next.entries).len() {
            let Some(sealed) = self.sealed.filter(|it| it.head_version == base.version) else {
                let key = head::segment_key(self.number, base.version);
                let value = head::encode(&next.entries);
                return Some((Step::Seal, Call::Put { key, expected: Version(0), value }));
            };
            next.sealed.push(sealed);
            next.entries.clear();
        }
        next.clock_ms = clock_ms;
        let expired = next.remove_expired();
        let stamp = |entry| Stamped { at_ms: clock_ms, entry };
        next.entries.extend(batch.into_iter().map(stamp));
        let call = Call::Put {
            key: head::head_key(self.number),
            expected: base.version,
            value: head::encode(&next),
        };
        for write in &mut self.writes {
            write.was_sent = true;
        }
        self.next_commit = now + MIN_COMMIT_INTERVAL;
        Some((Step::Commit(next, expired), call))
    }

    fn remove_garbage(&mut self) -> Option<(Step, Call)> {
        let sealed = self.garbage.pop()?;
        let key = head::segment_key(self.number, sealed.head_version);
        Some((Step::Remove, Call::Delete { key, expected: sealed.object_version }))
    }

    /// Handles the reply to the call in flight.
    pub(crate) fn reply(&mut self, ctx: &Context<'_>, reply: Reply) {
        let Some((_, step)) = self.call.take() else { return };
        match (step, reply) {
            (Step::Load, Reply::Listed { objects, .. }) => self.load(ctx.now, &objects),
            (Step::Read, Reply::Got(object)) => self.adopt_head(ctx.now, object),
            (Step::Commit(head, expired), Reply::Done(version)) => {
                self.garbage.extend(expired);
                self.set_head(ctx.now, version, head);
            }
            (Step::Commit(..), Reply::Conflict(object)) => self.adopt_head(ctx.now, object),
            (Step::Seal, Reply::Done(version)) => self.set_sealed(version),
            // The name determines the content, so any writer wrote the same.
            (Step::Seal, Reply::Conflict(Some(it))) => self.set_sealed(it.version),
            (Step::Commit(..), Reply::Failed(Failure::Unknown)) => {
                // Guards against a lost reply: the records may be stored or not. An intent could be
                // stored whose request is never sent, or a refused request could count as running.
                // Reading the head resolves it: it contains the records, or its version shows
                // whether the write can still take effect.
                self.must_read_head = true;
                self.not_before = ctx.now + RETRY_DELAY;
            }
            (step, Reply::Failed(failure)) => self.handle_failure(ctx.now, &step, failure),
            (_, _) => {}
        }
    }

    fn handle_failure(&mut self, now: Time, step: &Step, failure: Failure) {
        let delay = match failure {
            Failure::NotApplied { retry_after } => retry_after.max(RETRY_DELAY),
            Failure::Unknown | Failure::Compacted => RETRY_DELAY,
        };
        self.not_before = now + delay;
        if !matches!(step, Step::Remove) {
            self.unavailable_until = now + delay;
            self.refuse_intents(delay);
        }
    }

    fn refuse_intents(&mut self, retry_after: Duration) {
        let (intents, rest) =
            mem::take(&mut self.writes).into_iter().partition(PendingWrite::is_intent);
        self.writes = rest;
        let outcome = |it: PendingWrite| {
            let outcome = Outcome::unrecorded(retry_after, !it.was_sent);
            (it, outcome)
        };
        self.outcomes.extend(Vec::into_iter(intents).map(outcome));
    }

    fn set_sealed(&mut self, object: Version) {
        let Some(base) = &self.base else { return };
        let newest_ms = base.head.entries.last().map_or(0, |it| it.at_ms);
        self.sealed =
            Some(Sealed { head_version: base.version, object_version: object, newest_ms });
    }

    fn load(&mut self, now: Time, objects: &[Object]) {
        let found = objects.iter().find(|it| &*it.key.name == HEAD);
        let (version, head) = match found {
            Some(it) => match postcard::from_bytes::<Head>(&it.value) {
                Ok(head) => (it.version, head),
                // A head that can't be decoded must not be overwritten: intents are refused.
                Err(_) => return self.handle_failure(now, &Step::Load, Failure::Unknown),
            },
            None => (Version(0), Head::default()),
        };
        self.rows.clear();
        self.bytes = 0;
        for sealed in &head.sealed {
            let name = head::segment_key(self.number, sealed.head_version).name;
            let segment = objects.iter().find(|it| it.key.name == name);
            let entries =
                segment.and_then(|it| postcard::from_bytes::<Vec<Stamped>>(&it.value).ok());
            let Some(entries) = entries else {
                return self.handle_failure(now, &Step::Load, Failure::Unknown);
            };
            self.insert(&entries);
        }
        for object in objects {
            let Some(head_version) = head::parse_segment_name(&object.key.name) else { continue };
            // An unlisted segment of an older head will never be listed: the head's conditional
            // update would expect that older version.
            if head_version < version
                && head.sealed.iter().all(|it| it.head_version != head_version)
            {
                self.garbage.push(Sealed {
                    head_version,
                    object_version: object.version,
                    newest_ms: 0,
                });
            }
        }
        self.set_head(now, version, head);
    }

    /// Applies the head as another writer left it.
    fn adopt_head(&mut self, now: Time, object: Option<Object>) {
        let head = object.as_ref().and_then(|it| {
            let head = postcard::from_bytes::<Head>(&it.value).ok()?;
            Some((it.version, head))
        });
        let Some((version, head)) = head else {
            self.must_read_head = false;
            if object.is_some() || self.base.as_ref().is_none_or(|it| it.version != Version(0)) {
                self.base = None;
            }
            return;
        };
        let known = self.base.as_ref().is_some_and(|base| {
            let is_listed = |version| {
                version == base.version
                    || base.head.sealed.iter().any(|it| it.head_version == version)
            };
            head.sealed.iter().all(|it| is_listed(it.head_version))
        });
        self.must_read_head = false;
        match known {
            true => self.set_head(now, version, head),
            // Segments were sealed since: all objects must be read again.
            false => self.base = None,
        }
    }

    fn set_head(&mut self, now: Time, version: Version, head: Head) {
        self.insert(&head.entries);
        let clock_ms = head.clock_ms;
        let bytes = &mut self.bytes;
        self.rows.retain(|_, it| {
            let keep = !head::is_expired(it.at_ms, clock_ms);
            if !keep {
                *bytes = bytes.saturating_sub(record_bytes(&it.entry));
            }
            keep
        });
        self.base = Some(Base { version, head, read: now });
    }

    fn insert(&mut self, entries: &[Stamped]) {
        for it in entries {
            let row = Row { at_ms: it.at_ms, entry: it.entry.clone() };
            self.bytes += record_bytes(&row.entry);
            if let Some(old) = self.rows.insert(it.entry.key.clone(), row) {
                self.bytes = self.bytes.saturating_sub(record_bytes(&old.entry));
            }
        }
    }

    /// The record, without its response's body if the shard is full.
    fn trim(&self, mut entry: Entry) -> Entry {
        if let State::Done(StoredResponse { body, .. }) = &mut entry.state
            && MAX_BYTES < self.bytes
        {
            *body = None;
        }
        entry
    }

    fn clock(&self, now: Time) -> u64 {
        let base = self.base.as_ref();
        base.map_or(0, |it| it.head.clock_ms + head::millis(now.since(it.read)))
    }
}

enum Decision {
    Write,
    Read,
    Resolve(Outcome),
}

/// Decides what to do with `write`, given the key's record as read at `read`.
fn check_record(ctx: &Context<'_>, entry: &Entry, write: &PendingWrite, read: Time) -> Decision {
    if entry.is_same_attempt(&write.entry) {
        return match (&entry.state, write.is_intent()) {
            (State::Intended, true) => Decision::Resolve(Outcome::Recorded),
            (State::Intended, false) => Decision::Write,
            // A late copy of the intent, or a repeated result.
            (_, _) => Decision::Resolve(Outcome::Finished),
        };
    }
    if write.entry.state == State::Void && entry.state == State::Void {
        return Decision::Write;
    }
    if !write.is_intent() {
        // The record has expired, or the intent never took effect and never will.
        return Decision::Resolve(Outcome::Finished);
    }
    match &entry.state {
        State::Void => Decision::Write,
        _ if entry.body_hash != write.entry.body_hash => Decision::Resolve(Outcome::Reused),
        State::Done(response) => Decision::Resolve(Outcome::Ran(response.clone())),
        State::Unknown => Decision::Resolve(Outcome::Unknown),
        State::Intended if read < write.since => Decision::Read,
        State::Intended if is_alive(ctx, entry) => Decision::Resolve(Outcome::Running),
        State::Intended => Decision::Resolve(Outcome::Unknown),
    }
}

/// Whether the incarnation of the record's executor may still be running.
fn is_alive(ctx: &Context<'_>, entry: &Entry) -> bool {
    ctx.view.get(&entry.executor.instance).is_some_and(|it| {
        it.member.incarnation == entry.executor.incarnation && it.state < view::State::Dead
    })
}

fn record_bytes(entry: &Entry) -> usize {
    let body = match &entry.state {
        State::Done(StoredResponse { body: Some(body), .. }) => body.len(),
        _ => 0,
    };
    RECORD_OVERHEAD_BYTES + entry.key.key.len() + body
}
