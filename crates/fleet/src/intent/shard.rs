//! One shard as seen by one writer: what it has read, what is to be written, what is under way.

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
        COME_BACK, MAX_KEYS_PER_SHARD, Outcome,
        entry::{Entry, Key, State, StoredResponse},
        head::{self, HEAD, Head, SEAL, Sealed, Stamped},
    },
    outbox::Outbox,
    view,
};

/// Shortest time between two commits of one writer: 64 shards stay under 214 writes a second.
pub(crate) const GAP: Duration = Duration::from_millis(300);
/// How long results alone wait for company.
const COMPANY: Duration = Duration::from_secs(1);
/// Most bytes of records that one shard remembers; then results are kept without their bodies.
pub(crate) const MAX_BYTES: usize = 2 << 20;
/// Most records in one commit.
const MAX_BATCH: usize = 256;
/// Pause after a call whose fate is unknown.
const RETRY: Duration = Duration::from_millis(200);
/// Most bytes that a record takes besides its result's body, for the bounds.
const OVERHEAD: usize = 160;

/// Who waits for the answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Origin {
    /// This instance.
    Own,
    /// The owner of the record, another instance.
    Peer,
}

/// A record that is to be written.
#[derive(Clone, Debug)]
pub(crate) struct Wish {
    pub(crate) origin: Origin,
    pub(crate) entry: Entry,
    since: Time,
    /// It was part of a commit, which may have taken effect.
    tried: bool,
}

impl Wish {
    pub(crate) fn new(since: Time, origin: Origin, entry: Entry) -> Self {
        Self { origin, entry, since, tried: false }
    }

    fn is_begin(&self) -> bool {
        self.entry.state == State::Intended
    }
}

/// The head as last read or written.
#[derive(Debug)]
struct Base {
    version: Version,
    head: Head,
    /// When it was read: it may have changed since.
    read: Time,
}

#[derive(Debug)]
enum Step {
    /// Reads all objects of the shard.
    Load,
    /// Reads the head, to settle a lost answer or to answer freshly.
    Read,
    /// Writes the segment of the head's records.
    Seal,
    /// Writes the head.
    Commit(Head, Vec<Sealed>),
    /// Removes a segment that no longer counts.
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
    wishes: Vec<Wish>,
    /// Answers that were found, for their origins.
    pub(crate) answers: Vec<(Wish, Outcome)>,
    call: Option<(u64, Step)>,
    /// The segment of the current head, once it is written.
    sealed: Option<Sealed>,
    /// The head must be read before anything else.
    doubtful: bool,
    trash: Vec<Sealed>,
    not_before: Time,
    /// Intents are refused until then, as the platform is out.
    out_until: Time,
    next_commit: Time,
    used: Time,
}

impl Shard {
    pub(crate) fn open(number: u64, now: Time) -> Self {
        Self {
            number,
            base: None,
            rows: Map::default(),
            bytes: 0,
            wishes: Vec::new(),
            answers: Vec::new(),
            call: None,
            sealed: None,
            doubtful: false,
            trash: Vec::new(),
            not_before: Time::ZERO,
            out_until: Time::ZERO,
            next_commit: Time::ZERO,
            used: now,
        }
    }

    /// Whether nothing was asked of it for `idle`.
    pub(crate) fn is_idle(&self, now: Time, idle: Duration) -> bool {
        self.wishes.is_empty() && self.call.is_none() && self.used + idle <= now
    }

    pub(crate) fn waits_for(&self, number: u64) -> bool {
        self.call.as_ref().is_some_and(|it| it.0 == number)
    }

    /// Takes in a record to write. A repeated wish replaces the earlier one.
    pub(crate) fn push(&mut self, now: Time, wish: Wish) {
        self.used = now;
        let full = MAX_KEYS_PER_SHARD <= self.wishes.len();
        let twin = self.wishes.iter_mut().find(|it| it.entry.same_attempt(&wish.entry));
        match twin {
            // A late copy of the intent must not overtake the result.
            Some(it) if !it.is_begin() && wish.is_begin() => {}
            Some(it) => {
                let tried = it.tried;
                *it = Wish { tried, ..wish };
            }
            // Its owner asks again.
            None if full => {}
            None => self.wishes.push(wish),
        }
    }

    pub(crate) fn tick(&mut self, ctx: &Context<'_>, out: &mut Outbox<'_>) -> Time {
        if ctx.now < self.out_until {
            self.refuse(self.out_until.since(ctx.now));
        }
        if self.call.is_some() {
            return Time::MAX;
        }
        if self.wishes.is_empty() && !self.doubtful && self.trash.is_empty() {
            return Time::MAX;
        }
        if ctx.now < self.not_before {
            return self.not_before;
        }
        let Some((step, call)) = self.next(ctx) else {
            return match self.wishes.is_empty() {
                true => Time::MAX,
                false => self.next_commit.max(ctx.now + Duration::from_millis(10)),
            };
        };
        self.call = Some((out.call(call), step));
        Time::MAX
    }

    fn next(&mut self, ctx: &Context<'_>) -> Option<(Step, Call)> {
        let Some(base) = &self.base else {
            let kind = head::kind(self.number).into();
            return Some((Step::Load, Call::List { kind }));
        };
        if self.doubtful {
            return Some((Step::Read, Call::Get(head::head_key(self.number))));
        }
        let read = base.read;
        let (batch, fresh) = self.decide(ctx, read);
        if fresh {
            return Some((Step::Read, Call::Get(head::head_key(self.number))));
        }
        let Some(begun) = batch.first().map(|_| batch.iter().any(|it| it.state == State::Intended))
        else {
            return self.remove();
        };
        let oldest = self.wishes.iter().map(|it| it.since).min().unwrap_or(ctx.now);
        let waits = !begun && ctx.now < oldest + COMPANY;
        if waits || ctx.now < self.next_commit {
            if waits {
                self.next_commit = self.next_commit.max(oldest + COMPANY);
            }
            return None;
        }
        self.commit(ctx.now, batch)
    }

    /// Answers what can be answered. Returns the records to write, and whether the head must be
    /// read again first.
    fn decide(&mut self, ctx: &Context<'_>, read: Time) -> (Vec<Entry>, bool) {
        let clock_ms = self.clock(ctx.now);
        let mut batch: Vec<Entry> = Vec::new();
        let mut fresh = false;
        for wish in mem::take(&mut self.wishes) {
            let taken = batch.iter().any(|it| it.key == wish.entry.key);
            if taken || MAX_BATCH <= batch.len() {
                self.wishes.push(wish);
                continue;
            }
            let row = self.rows.get(&wish.entry.key);
            let row = row.filter(|it| !head::is_expired(it.at_ms, clock_ms));
            let verdict = match row {
                None if MAX_KEYS_PER_SHARD <= self.rows.len() && wish.is_begin() => {
                    Verdict::Answer(Outcome::unrecorded(COME_BACK, !wish.tried))
                }
                None => Verdict::Write,
                Some(row) => judge(ctx, &row.entry, &wish, read),
            };
            match verdict {
                Verdict::Write => {
                    batch.push(self.trim(wish.entry.clone()));
                    self.wishes.push(wish);
                }
                Verdict::Read => {
                    fresh = true;
                    self.wishes.push(wish);
                }
                Verdict::Answer(answer) => self.answers.push((wish, answer)),
            }
        }
        (batch, fresh)
    }

    fn commit(&mut self, now: Time, batch: Vec<Entry>) -> Option<(Step, Call)> {
        let clock_ms = self.clock(now);
        let base = self.base.as_ref()?;
        let mut next = base.head.clone();
        if SEAL < head::encode(&next.entries).len() {
            let Some(sealed) = self.sealed.filter(|it| it.of == base.version) else {
                let key = head::segment_key(self.number, base.version);
                let value = head::encode(&next.entries);
                return Some((Step::Seal, Call::Put { key, expected: Version(0), value }));
            };
            next.sealed.push(sealed);
            next.entries.clear();
        }
        next.clock_ms = clock_ms;
        let gone = next.expire();
        let stamp = |entry| Stamped { at_ms: clock_ms, entry };
        next.entries.extend(batch.into_iter().map(stamp));
        let call = Call::Put {
            key: head::head_key(self.number),
            expected: base.version,
            value: head::encode(&next),
        };
        for wish in &mut self.wishes {
            wish.tried = true;
        }
        self.next_commit = now + GAP;
        Some((Step::Commit(next, gone), call))
    }

    fn remove(&mut self) -> Option<(Step, Call)> {
        let sealed = self.trash.pop()?;
        let key = head::segment_key(self.number, sealed.of);
        Some((Step::Remove, Call::Delete { key, expected: sealed.object }))
    }

    /// Takes in the answer to the call under way.
    pub(crate) fn reply(&mut self, ctx: &Context<'_>, reply: Reply) {
        let Some((_, step)) = self.call.take() else { return };
        match (step, reply) {
            (Step::Load, Reply::Listed { objects, .. }) => self.load(ctx.now, &objects),
            (Step::Read, Reply::Got(object)) => self.adopt(ctx.now, object),
            (Step::Commit(head, gone), Reply::Done(version)) => {
                self.trash.extend(gone);
                self.take(ctx.now, version, head);
            }
            (Step::Commit(..), Reply::Conflict(object)) => self.adopt(ctx.now, object),
            (Step::Seal, Reply::Done(version)) => self.seal(version),
            // The name determines the content, so whoever wrote it wrote the same.
            (Step::Seal, Reply::Conflict(Some(it))) => self.seal(it.version),
            (Step::Commit(..), Reply::Failed(Failure::Unknown)) => {
                // Guards against a lost answer: the records may be stored or not. It shows as an
                // intent that nobody sends, or a request refused that then counts as running.
                // Reading the head holds: it has the records, or its version tells whether the
                // write can still take effect.
                self.doubtful = true;
                self.not_before = ctx.now + RETRY;
            }
            (step, Reply::Failed(failure)) => self.fail(ctx.now, &step, failure),
            (_, _) => {}
        }
    }

    fn fail(&mut self, now: Time, step: &Step, failure: Failure) {
        let pause = match failure {
            Failure::NotApplied { retry_after } => retry_after.max(RETRY),
            Failure::Unknown | Failure::Compacted => RETRY,
        };
        self.not_before = now + pause;
        if !matches!(step, Step::Remove) {
            self.out_until = now + pause;
            self.refuse(pause);
        }
    }

    fn refuse(&mut self, retry_after: Duration) {
        let (begins, rest) = mem::take(&mut self.wishes).into_iter().partition(Wish::is_begin);
        self.wishes = rest;
        let answer = |it: Wish| {
            let answer = Outcome::unrecorded(retry_after, !it.tried);
            (it, answer)
        };
        self.answers.extend(Vec::into_iter(begins).map(answer));
    }

    fn seal(&mut self, object: Version) {
        let Some(base) = &self.base else { return };
        let newest_ms = base.head.entries.last().map_or(0, |it| it.at_ms);
        self.sealed = Some(Sealed { of: base.version, object, newest_ms });
    }

    fn load(&mut self, now: Time, objects: &[Object]) {
        let found = objects.iter().find(|it| &*it.key.name == HEAD);
        let (version, head) = match found {
            Some(it) => match postcard::from_bytes::<Head>(&it.value) {
                Ok(head) => (it.version, head),
                // A head that can't be read must not be written over: intents are refused.
                Err(_) => return self.fail(now, &Step::Load, Failure::Unknown),
            },
            None => (Version(0), Head::default()),
        };
        self.rows.clear();
        self.bytes = 0;
        for sealed in &head.sealed {
            let name = head::segment_key(self.number, sealed.of).name;
            let segment = objects.iter().find(|it| it.key.name == name);
            let entries =
                segment.and_then(|it| postcard::from_bytes::<Vec<Stamped>>(&it.value).ok());
            let Some(entries) = entries else {
                return self.fail(now, &Step::Load, Failure::Unknown);
            };
            self.insert(&entries);
        }
        for object in objects {
            let Some(of) = head::segment_of(&object.key.name) else { continue };
            // A segment of an older head that isn't listed never will be: the head's conditional
            // update would expect that older version.
            if of < version && head.sealed.iter().all(|it| it.of != of) {
                self.trash.push(Sealed { of, object: object.version, newest_ms: 0 });
            }
        }
        self.take(now, version, head);
    }

    /// Takes in the head as another writer left it.
    fn adopt(&mut self, now: Time, object: Option<Object>) {
        let head = object.as_ref().and_then(|it| {
            let head = postcard::from_bytes::<Head>(&it.value).ok()?;
            Some((it.version, head))
        });
        let Some((version, head)) = head else {
            self.doubtful = false;
            if object.is_some() || self.base.as_ref().is_none_or(|it| it.version != Version(0)) {
                self.base = None;
            }
            return;
        };
        let known = self.base.as_ref().is_some_and(|base| {
            let listed = |of| of == base.version || base.head.sealed.iter().any(|it| it.of == of);
            head.sealed.iter().all(|it| listed(it.of))
        });
        self.doubtful = false;
        match known {
            true => self.take(now, version, head),
            // Segments were sealed since: read them all.
            false => self.base = None,
        }
    }

    fn take(&mut self, now: Time, version: Version, head: Head) {
        self.insert(&head.entries);
        let clock_ms = head.clock_ms;
        let bytes = &mut self.bytes;
        self.rows.retain(|_, it| {
            let keep = !head::is_expired(it.at_ms, clock_ms);
            if !keep {
                *bytes = bytes.saturating_sub(size(&it.entry));
            }
            keep
        });
        self.base = Some(Base { version, head, read: now });
    }

    fn insert(&mut self, entries: &[Stamped]) {
        for it in entries {
            let row = Row { at_ms: it.at_ms, entry: it.entry.clone() };
            self.bytes += size(&row.entry);
            if let Some(old) = self.rows.insert(it.entry.key.clone(), row) {
                self.bytes = self.bytes.saturating_sub(size(&old.entry));
            }
        }
    }

    /// The record without its result's body, when the shard is full.
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

enum Verdict {
    Write,
    Read,
    Answer(Outcome),
}

/// What becomes of `wish`, given the key's record as read at `read`.
fn judge(ctx: &Context<'_>, entry: &Entry, wish: &Wish, read: Time) -> Verdict {
    if entry.same_attempt(&wish.entry) {
        return match (&entry.state, wish.is_begin()) {
            (State::Intended, true) => Verdict::Answer(Outcome::Recorded),
            (State::Intended, false) => Verdict::Write,
            // A late copy of the intent, or a repeated result.
            (_, _) => Verdict::Answer(Outcome::Finished),
        };
    }
    if wish.entry.state == State::Void && entry.state == State::Void {
        return Verdict::Write;
    }
    if !wish.is_begin() {
        // The record expired, or the intent never took effect and never will.
        return Verdict::Answer(Outcome::Finished);
    }
    match &entry.state {
        State::Void => Verdict::Write,
        _ if entry.body_hash != wish.entry.body_hash => Verdict::Answer(Outcome::Reused),
        State::Done(kept) => Verdict::Answer(Outcome::Ran(kept.clone())),
        State::Unknown => Verdict::Answer(Outcome::Unknown),
        State::Intended if read < wish.since => Verdict::Read,
        State::Intended if is_alive(ctx, entry) => Verdict::Answer(Outcome::Running),
        State::Intended => Verdict::Answer(Outcome::Unknown),
    }
}

/// Whether the life of the record's owner may still run.
fn is_alive(ctx: &Context<'_>, entry: &Entry) -> bool {
    ctx.view.get(&entry.executor.instance).is_some_and(|it| {
        it.member.incarnation == entry.executor.incarnation && it.state < view::State::Dead
    })
}

fn size(entry: &Entry) -> usize {
    let body = match &entry.state {
        State::Done(StoredResponse { body: Some(body), .. }) => body.len(),
        _ => 0,
    };
    OVERHEAD + entry.key.key.len() + body
}
