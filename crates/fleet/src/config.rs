//! The replica of the configuration table. A few instances watch the platform, the others receive
//! changes from their peers. Only increasing versions are applied.

use std::{collections::BTreeMap, mem, sync::Arc, time::Duration};

use assembly::Assembly;
use message::{ChunkRequest, Message};
use rand::{SeedableRng, rngs::SmallRng, seq::IteratorRandom};
use shallotlead_base::{hash, id::Version, name, store::Reply, time::Time};
use shallotlead_table::{change::Change, error::Error, snapshot::Snapshot};
use watcher::{Outcome, Watcher};

use crate::{context::Context, delivery::Delivery, outbox::Outbox};

pub(crate) mod assembly;
pub mod message;
pub(crate) mod watcher;

/// Most changes that are kept for peers with an older version.
const MAX_LOG: usize = 64;
/// Most changes that are held until their predecessors arrive.
const MAX_PENDING: usize = 64;
/// Most peers with a newer version that are remembered.
const MAX_PEERS_AHEAD: usize = 8;
/// How long to wait for gossip, which is mostly faster, before a peer with a newer version is asked.
const REQUEST_DELAY: Duration = Duration::from_millis(250);
/// After this time without an answer, another peer is asked.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);
/// Most bytes of the table in one answer.
const MAX_CHUNK_BYTES: usize = 32 * 1024;
/// Most bytes of changes in one answer.
const MAX_CHANGES_BYTES: usize = 48 * 1024;
/// Most changes read at once that are gossiped. Peers request larger numbers themselves.
const MAX_GOSSIPED: usize = 8;
/// How long an encoded table is kept for further requests.
const ENCODED_RETENTION: Duration = Duration::from_secs(10);

/// An outstanding request to a peer.
#[derive(Debug)]
struct OutstandingRequest {
    to: name::Instance,
    at: Time,
}

/// An encoded table, from which chunks are sent.
#[derive(Debug)]
struct Encoded {
    version: Version,
    bytes: Arc<[u8]>,
    hash: u64,
    used: Time,
}

/// Effects of calls into the replica that the node has to act on.
#[derive(Debug, Default)]
pub(crate) struct Effects {
    /// The newer table that is in force.
    pub(crate) snapshot: Option<Arc<Snapshot>>,
    /// Changes to gossip.
    pub(crate) changes: Vec<Change>,
    /// Whether the platform answered.
    pub(crate) has_platform_answered: bool,
    /// A change that can't be applied here, and why.
    pub(crate) rejected: Option<(Version, Error)>,
}

impl Effects {
    pub(crate) fn is_empty(&self) -> bool {
        self.snapshot.is_none()
            && self.changes.is_empty()
            && !self.has_platform_answered
            && self.rejected.is_none()
    }
}

/// One instance's replica of the configuration table.
#[derive(Debug)]
pub(crate) struct Config {
    rng: SmallRng,
    snapshot: Arc<Snapshot>,
    log: Vec<Change>,
    pending: BTreeMap<Version, Change>,
    peers_ahead: BTreeMap<name::Instance, Version>,
    behind_since: Option<Time>,
    outstanding: Option<OutstandingRequest>,
    assembly: Option<Assembly>,
    encoded: Option<Encoded>,
    watcher: Watcher,
    effects: Effects,
}

impl Config {
    pub(crate) fn new(now: Time, seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            snapshot: Arc::default(),
            log: Vec::new(),
            pending: BTreeMap::new(),
            peers_ahead: BTreeMap::new(),
            behind_since: None,
            outstanding: None,
            assembly: None,
            encoded: None,
            watcher: Watcher::new(now, seed ^ 1),
            effects: Effects::default(),
        }
    }

    pub(crate) fn take_effects(&mut self) -> Effects {
        mem::take(&mut self.effects)
    }

    /// Whether this instance is one of those that watch the platform.
    pub(crate) fn is_watcher(&self) -> bool {
        self.watcher.is_regular()
    }

    /// Applies an accepted change, which came from an operator's call through this instance or by
    /// gossip.
    pub(crate) fn apply_accepted(&mut self, change: Change) {
        if change.version <= self.snapshot.version {
            return;
        }
        self.pending.insert(change.version, change);
        self.apply_pending(true);
        if MAX_PENDING < self.pending.len() {
            self.pending.pop_last();
        }
    }

    /// Records the version that a peer reported to be in force there.
    pub(crate) fn record_peer_version(
        &mut self,
        now: Time,
        from: &name::Instance,
        version: Version,
    ) {
        if version <= self.snapshot.version {
            return;
        }
        self.behind_since.get_or_insert(now);
        if self.peers_ahead.len() < MAX_PEERS_AHEAD || self.peers_ahead.contains_key(from) {
            self.peers_ahead.insert(from.clone(), version);
        }
    }

    pub(crate) fn handle_message(
        &mut self,
        ctx: &Context<'_>,
        from: &name::Instance,
        message: Message,
        out: &mut Outbox<'_>,
    ) {
        match message {
            Message::Request { have, want } => self.answer_request(ctx.now, from, have, want, out),
            Message::Changes(changes) => {
                self.close_request(from);
                for change in changes {
                    self.pending.insert(change.version, change);
                }
                self.apply_pending(false);
                self.pending.clear();
                self.send_request(ctx, out);
            }
            Message::Chunk { version, hash, total, offset, bytes } => {
                self.close_request(from);
                self.add_chunk(version, hash, total, offset, &bytes);
                self.send_request(ctx, out);
            }
            Message::NotAhead => {
                self.close_request(from);
                self.peers_ahead.remove(from);
            }
        }
    }

    pub(crate) fn handle_reply(
        &mut self,
        ctx: &Context<'_>,
        number: u64,
        reply: Reply,
        out: &mut Outbox<'_>,
    ) {
        self.effects.has_platform_answered |=
            !matches!(reply, Reply::Failed(_)) && self.watcher.is_waiting_for(number);
        match self.watcher.handle_reply(ctx.now, number, reply, &self.snapshot, out) {
            Outcome::Nothing => {}
            Outcome::Changes(changes) => {
                let gossip = changes.len() <= MAX_GOSSIPED;
                for change in changes {
                    self.pending.insert(change.version, change);
                }
                self.apply_pending(gossip);
            }
            Outcome::Table(snapshot, log) => self.replace(snapshot, log),
        }
    }

    /// Runs what is due. `last_platform_answer` is when the platform last answered any instance whose
    /// messages reach this one. Returns when to call again.
    pub(crate) fn tick(
        &mut self,
        ctx: &Context<'_>,
        last_platform_answer: Time,
        out: &mut Outbox<'_>,
    ) -> Time {
        let now = ctx.now;
        if self.encoded.as_ref().is_some_and(|it| ENCODED_RETENTION < now.since(it.used)) {
            self.encoded = None;
        }
        if self.outstanding.as_ref().is_some_and(|it| REQUEST_TIMEOUT <= now.since(it.at))
            && let Some(request) = self.outstanding.take()
        {
            self.peers_ahead.remove(&request.to);
        }
        let delay =
            if self.snapshot.version == Version(0) { Duration::ZERO } else { REQUEST_DELAY };
        if self.behind_since.is_some_and(|it| it + delay <= now) {
            self.send_request(ctx, out);
        }
        let has_table = self.snapshot.version != Version(0);
        let next = self.watcher.tick(ctx, last_platform_answer, has_table, out);
        let timeout = self.outstanding.as_ref().map(|it| it.at + REQUEST_TIMEOUT);
        let behind = self
            .behind_since
            .filter(|_| self.outstanding.is_none() && !self.peers_ahead.is_empty());
        next.min(timeout.unwrap_or(Time::MAX)).min(behind.map_or(Time::MAX, |it| it + delay))
    }

    fn send_request(&mut self, ctx: &Context<'_>, out: &mut Outbox<'_>) {
        if self.outstanding.is_some() {
            return;
        }
        let have = self.snapshot.version;
        self.peers_ahead.retain(|_, it| have < *it);
        if self.peers_ahead.is_empty() {
            self.behind_since = None;
            return;
        }
        let is_local = |name: &name::Instance| {
            let centre = |it| ctx.view.get(it).map(|it| &it.member.centre);
            centre(name) == centre(ctx.me)
        };
        // Links within the data centre are the cheapest.
        let local = self.peers_ahead.keys().filter(|it| is_local(it)).choose(&mut self.rng);
        let Some(to) = local.or_else(|| self.peers_ahead.keys().choose(&mut self.rng)).cloned()
        else {
            return;
        };
        let want = self.assembly.as_ref().map(Assembly::next_request);
        out.send(&to, Message::Request { have, want }, Delivery::Stream);
        self.outstanding = Some(OutstandingRequest { to, at: ctx.now });
    }

    fn close_request(&mut self, from: &name::Instance) {
        if self.outstanding.as_ref().is_some_and(|it| it.to == *from) {
            self.outstanding = None;
        }
    }

    fn answer_request(
        &mut self,
        now: Time,
        from: &name::Instance,
        have: Version,
        want: Option<ChunkRequest>,
        out: &mut Outbox<'_>,
    ) {
        if self.snapshot.version <= have {
            out.send(from, Message::NotAhead, Delivery::Stream);
            return;
        }
        let changes = self.changes_after(have);
        if !changes.is_empty() {
            out.send(from, Message::Changes(changes), Delivery::Stream);
            return;
        }
        let Some(encoded) = self.encode(now) else { return };
        let offset = want.filter(|it| it.version == encoded.version).map_or(0, |it| it.offset);
        let bytes = encoded.bytes.get(offset as usize..).unwrap_or_default();
        let bytes = &bytes[..bytes.len().min(MAX_CHUNK_BYTES)];
        let message = Message::Chunk {
            version: encoded.version,
            hash: encoded.hash,
            total: encoded.bytes.len() as u32,
            offset,
            bytes: bytes.to_vec(),
        };
        out.send(from, message, Delivery::Stream);
    }

    /// The changes after `have` that fit one answer. Empty when the log begins later, or when the next
    /// change alone is too large, as that of a whole sheet may be; then the table is sent in chunks.
    fn changes_after(&self, have: Version) -> Vec<Change> {
        if self.log.first().is_none_or(|it| have.0 + 1 < it.version.0) {
            return Vec::new();
        }
        let mut size = 0;
        let newer = self.log.iter().filter(|it| have < it.version);
        let fitting = newer.take_while(|it| {
            size += postcard::experimental::serialized_size(it).unwrap_or(MAX_CHANGES_BYTES);
            size <= MAX_CHANGES_BYTES
        });
        fitting.cloned().collect()
    }

    /// The encoded table. A slightly older one stays in use while the log reaches back to it, so that
    /// a peer gets all chunks of one version while the table keeps changing.
    fn encode(&mut self, now: Time) -> Option<&Encoded> {
        let reaches = |it: &Encoded| {
            let version = it.version;
            version == self.snapshot.version
                || self.log.first().is_some_and(|it| it.version.0 <= version.0 + 1)
        };
        if !self.encoded.as_ref().is_some_and(reaches) {
            let bytes: Arc<[u8]> = postcard::to_stdvec(&*self.snapshot).ok()?.into();
            let hash = hash::stable(&bytes);
            let version = self.snapshot.version;
            self.encoded = Some(Encoded { version, bytes, hash, used: now });
        }
        let encoded = self.encoded.as_mut()?;
        encoded.used = now;
        Some(encoded)
    }

    fn add_chunk(&mut self, version: Version, hash: u64, total: u32, offset: u32, bytes: &[u8]) {
        if version <= self.snapshot.version {
            self.assembly = None;
            return;
        }
        let matches = self.assembly.as_ref().is_some_and(|it| it.version == version);
        if !matches {
            self.assembly = Assembly::open(version, hash, total);
        }
        let Some(assembly) = &mut self.assembly else { return };
        assembly.push(offset, bytes);
        if !assembly.is_complete() {
            return;
        }
        // A table that doesn't match its hash was assembled from chunks of different tables; it is
        // requested again.
        if let Some(snapshot) = self.assembly.take().and_then(Assembly::finish) {
            self.replace(snapshot, Vec::new());
        }
    }

    /// Puts a whole table in force, if it is newer. A stale copy that arrives late, from a peer or the
    /// platform, would seem to revert a change. It can't, because tables and changes are applied only
    /// after the comparison of versions here and in [`Config::apply_pending`].
    fn replace(&mut self, snapshot: Snapshot, log: Vec<Change>) {
        if snapshot.version <= self.snapshot.version {
            return;
        }
        self.log = log;
        self.trim_log();
        self.put_in_force(Arc::new(snapshot));
        self.apply_pending(false);
    }

    /// Applies the pending changes that follow the version in force, in order.
    fn apply_pending(&mut self, gossip: bool) {
        let version = self.snapshot.version;
        self.pending.retain(|it, _| version < *it);
        let follows = |it: &Version| it.0 == version.0 + 1;
        if !self.pending.keys().next().is_some_and(follows) {
            return;
        }
        let mut snapshot = Snapshot::clone(&self.snapshot);
        let mut applied = Vec::new();
        while let Some(entry) = self.pending.first_entry() {
            if entry.key().0 != snapshot.version.0 + 1 {
                break;
            }
            let change = entry.remove();
            if let Err(error) = snapshot.replay(&change) {
                // The replay may have stopped halfway, so the whole batch is discarded. The change can
                // only be one that this release can't read; the table in force stays.
                self.effects.rejected = Some((change.version, error));
                self.pending.clear();
                self.peers_ahead.clear();
                self.behind_since = None;
                return;
            }
            applied.push(change);
        }
        if gossip {
            self.effects.changes.extend(applied.iter().cloned());
        }
        self.log.append(&mut applied);
        self.trim_log();
        self.put_in_force(Arc::new(snapshot));
    }

    fn trim_log(&mut self) {
        let excess = self.log.len().saturating_sub(MAX_LOG);
        self.log.drain(..excess);
    }

    fn put_in_force(&mut self, snapshot: Arc<Snapshot>) {
        self.snapshot = snapshot;
        self.effects.snapshot = Some(self.snapshot.clone());
        let version = self.snapshot.version;
        self.peers_ahead.retain(|_, it| version < *it);
        if self.peers_ahead.is_empty() {
            self.behind_since = None;
        }
    }
}
