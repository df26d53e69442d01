//! Locations that one owner knows: which servers are expected to have which blocks cached.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};
use shallotlead_base::{
    hash::Map,
    id::{Block, Incarnation},
    name,
    time::Time,
};

use crate::directory::{
    Hint, Location,
    path::{Path, Step},
};

/// Most blocks that one owner remembers: about 9 MB with one holder each, 42 MB with the most.
pub const MAX_ROWS: usize = 65_536;
/// Most servers remembered for one block; the latest are kept.
pub const MAX_HOLDERS: usize = 12;

/// A full table evicts the least recently used of this many rows picked at random.
const EVICTION_SAMPLE: usize = 8;
/// Initial confidence in a location known from a placement alone.
const PLACED_CONFIDENCE: f32 = 0.8;
/// Initial confidence in a location that the server confirmed.
const CONFIRMED_CONFIDENCE: f32 = 0.97;
/// Half-life of the confidence in a placement.
const PLACED_HALF_LIFE: Duration = Duration::from_secs(20);
/// Half-life of the confidence in a confirmed location: evictions are reported, but reports get
/// lost.
const CONFIRMED_HALF_LIFE: Duration = Duration::from_secs(120);
/// Factor applied to the confidence after events were lost.
const EVENT_LOSS_FACTOR: f32 = 0.5;
/// Locations with less confidence aren't returned.
const MIN_CONFIDENCE: f32 = 0.05;

/// Where a location is known from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Source {
    /// An attempt was sent there.
    Placed,
    /// The server reported it.
    Confirmed,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    server: u32,
    /// Epoch of the server, as counted by this table.
    epoch: u32,
    at: Time,
    source: Source,
}

#[derive(Debug)]
struct Row {
    block: Block,
    key: Block,
    last_used: Time,
    holders: Vec<Holder>,
}

#[derive(Debug)]
struct Server {
    name: name::Server,
    incarnation: Incarnation,
    epoch: u32,
    events_lost_at: Option<Time>,
}

/// Locations that one owner knows.
#[derive(Debug)]
pub struct Table {
    rows: Vec<Row>,
    index: Map<Block, u32>,
    servers: Vec<Server>,
    slots: Map<name::Server, u32>,
    rng: SmallRng,
}

impl Default for Table {
    fn default() -> Self {
        Self {
            rows: Vec::new(),
            index: Map::default(),
            servers: Vec::new(),
            slots: Map::default(),
            // The choice of rows to evict need not be unpredictable.
            rng: SmallRng::seed_from_u64(0),
        }
    }
}

impl Table {
    /// Number of blocks in the table.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// The servers in the table, with their incarnations.
    pub(crate) fn servers(&self) -> impl Iterator<Item = (&name::Server, Incarnation)> {
        self.servers.iter().map(|it| (&it.name, it.incarnation))
    }

    /// The blocks that `server` is expected to have cached.
    pub(crate) fn blocks_of(&self, server: &name::Server) -> Vec<Block> {
        let Some(slot) = self.slots.get(server) else { return Vec::new() };
        let held = |row: &&Row| row.holders.iter().any(|it| it.server == *slot);
        self.rows.iter().filter(held).map(|it| it.block).collect()
    }

    /// Records that an attempt along `path` was sent. Returns the blocks that are new for this
    /// server.
    pub(crate) fn record_placement(
        &mut self,
        now: Time,
        path: &Path,
        key: Block,
        server: &name::Server,
        incarnation: Incarnation,
    ) -> Vec<Block> {
        let Some(slot) = self.slot(server, incarnation) else { return Vec::new() };
        let holder = self.new_holder(slot, now, Source::Placed);
        let hold = |it: &Step| self.set_holder(now, it.block, key, holder).then_some(it.block);
        path.steps.iter().filter_map(hold).collect()
    }

    /// Inserts a location from another owner. Returns whether it was unknown.
    pub(crate) fn insert(&mut self, now: Time, location: &Location) -> bool {
        let Some(slot) = self.slot(&location.server, location.incarnation) else { return false };
        let at = now - Duration::from_millis(location.age_ms.into());
        let source = if location.is_confirmed { Source::Confirmed } else { Source::Placed };
        let holder = Holder { at, ..self.new_holder(slot, now, source) };
        self.set_holder(at, location.block, location.key, holder)
    }

    /// The servers expected to have parts of `path` cached: the deepest match of each, deepest
    /// first, at most `max`.
    pub(crate) fn find(&mut self, now: Time, path: &Path, max: usize) -> Vec<Hint> {
        let mut hints: Vec<Hint> = Vec::new();
        let mut seen: Vec<u32> = Vec::new();
        for step in path.steps.iter().rev() {
            let Some(row) = self.index.get(&step.block) else { continue };
            let Some(row) = self.rows.get_mut(*row as usize) else { continue };
            row.last_used = now;
            for holder in &row.holders {
                let Some(server) = self.servers.get(holder.server as usize) else { continue };
                let confidence = server.confidence(now, holder);
                if seen.contains(&holder.server) || confidence < MIN_CONFIDENCE {
                    continue;
                }
                seen.push(holder.server);
                let age = now.since(holder.at).as_millis();
                hints.push(Hint {
                    server: server.name.clone(),
                    incarnation: server.incarnation,
                    blocks: step.depth,
                    confidence,
                    age_ms: u32::try_from(age).unwrap_or(u32::MAX),
                });
                if hints.len() == max {
                    return hints;
                }
            }
        }
        hints
    }

    /// Applies a server's report of stored and evicted blocks.
    pub(crate) fn record_changes(
        &mut self,
        now: Time,
        server: &name::Server,
        incarnation: Incarnation,
        stored: &[Block],
        evicted: &[Block],
    ) {
        let Some(slot) = self.slot(server, incarnation) else { return };
        let holder = self.new_holder(slot, now, Source::Confirmed);
        for block in stored {
            let row = self.index.get(block).and_then(|it| self.rows.get_mut(*it as usize));
            if let Some(row) = row {
                row.set_holder(holder);
            }
        }
        for block in evicted {
            let row = self.index.get(block).and_then(|it| self.rows.get_mut(*it as usize));
            if let Some(row) = row {
                row.holders.retain(|it| it.server != slot);
            }
        }
    }

    /// Records that events of a server were lost, which lowers the confidence in its older
    /// locations.
    pub(crate) fn record_event_loss(
        &mut self,
        now: Time,
        server: &name::Server,
        incarnation: Incarnation,
    ) {
        let slot = self.slot(server, incarnation);
        if let Some(it) = slot.and_then(|it| self.servers.get_mut(it as usize)) {
            it.events_lost_at = Some(now);
        }
    }

    /// Discards all locations at a server, as its cache is empty.
    pub(crate) fn clear_server(&mut self, server: &name::Server, incarnation: Incarnation) {
        let slot = self.slot(server, incarnation);
        if let Some(it) = slot.and_then(|it| self.servers.get_mut(it as usize)) {
            it.epoch += 1;
        }
    }

    /// Removes the rows whose key `is_moved` selects, and returns the locations of those that were
    /// used within `max_idle`, latest first, at most `max`.
    pub(crate) fn remove_moved(
        &mut self,
        now: Time,
        max_idle: Duration,
        max: usize,
        mut is_moved: impl FnMut(Block) -> bool,
    ) -> Vec<Location> {
        let mut moved = Vec::new();
        let mut index = 0;
        while let Some(row) = self.rows.get(index) {
            if is_moved(row.key) {
                moved.push(self.remove(index));
            } else {
                index += 1;
            }
        }
        moved.retain(|it| now < it.last_used + max_idle);
        moved.sort_by(|a, b| b.last_used.cmp(&a.last_used).then(a.block.cmp(&b.block)));
        let locations = moved.iter().flat_map(|row| row.holders.iter().map(move |it| (row, it)));
        locations.filter_map(|(row, it)| self.location(now, row, it)).take(max).collect()
    }

    fn location(&self, now: Time, row: &Row, holder: &Holder) -> Option<Location> {
        let server = self.servers.get(holder.server as usize)?;
        (MIN_CONFIDENCE <= server.confidence(now, holder)).then(|| Location {
            block: row.block,
            key: row.key,
            server: server.name.clone(),
            incarnation: server.incarnation,
            age_ms: u32::try_from(now.since(holder.at).as_millis()).unwrap_or(u32::MAX),
            is_confirmed: holder.source == Source::Confirmed,
        })
    }

    /// The index of a server; `None` if `incarnation` is an earlier one. A new incarnation discards
    /// the locations of the one before.
    fn slot(&mut self, name: &name::Server, incarnation: Incarnation) -> Option<u32> {
        let Some(slot) = self.slots.get(name) else {
            let slot = u32::try_from(self.servers.len()).ok()?;
            let name = name.clone();
            self.slots.insert(name.clone(), slot);
            self.servers.push(Server { name, incarnation, epoch: 0, events_lost_at: None });
            return Some(slot);
        };
        let server = self.servers.get_mut(*slot as usize)?;
        if incarnation < server.incarnation {
            return None;
        }
        if server.incarnation < incarnation {
            server.incarnation = incarnation;
            server.epoch += 1;
            server.events_lost_at = None;
        }
        Some(*slot)
    }

    fn new_holder(&self, server: u32, at: Time, source: Source) -> Holder {
        let epoch = self.servers.get(server as usize).map_or(0, |it| it.epoch);
        Holder { server, epoch, at, source }
    }

    /// Records that `holder` has `block` cached. Returns whether that was unknown.
    fn set_holder(&mut self, last_used: Time, block: Block, key: Block, holder: Holder) -> bool {
        if let Some(row) = self.index.get(&block).and_then(|it| self.rows.get_mut(*it as usize)) {
            row.last_used = row.last_used.max(last_used);
            row.key = key;
            return row.set_holder(holder);
        }
        if MAX_ROWS <= self.rows.len() {
            self.evict_one();
        }
        let Ok(index) = u32::try_from(self.rows.len()) else { return false };
        self.index.insert(block, index);
        self.rows.push(Row { block, key, last_used, holders: vec![holder] });
        true
    }

    fn evict_one(&mut self) {
        let len = self.rows.len();
        let sample =
            (0..EVICTION_SAMPLE).map(|_| self.rng.random_range(0..len)).collect::<Vec<_>>();
        let oldest = sample.into_iter().min_by_key(|it| self.rows.get(*it).map(|it| it.last_used));
        if let Some(index) = oldest {
            self.remove(index);
        }
    }

    fn remove(&mut self, index: usize) -> Row {
        let row = self.rows.swap_remove(index);
        self.index.remove(&row.block);
        if let Some(moved) = self.rows.get(index) {
            self.index.insert(moved.block, index as u32);
        }
        row
    }
}

impl Row {
    /// Adds or updates a holder. Returns whether its server and epoch are new in this row.
    fn set_holder(&mut self, holder: Holder) -> bool {
        if let Some(it) = self.holders.iter_mut().find(|it| it.server == holder.server) {
            let is_new = it.epoch != holder.epoch;
            let is_confirmed = !is_new && it.source == Source::Confirmed;
            let source = if is_confirmed { Source::Confirmed } else { holder.source };
            let at = if is_new { holder.at } else { it.at.max(holder.at) };
            *it = Holder { source, at, ..holder };
            return is_new;
        }
        if MAX_HOLDERS <= self.holders.len() {
            let oldest = self.holders.iter().enumerate().min_by_key(|(_, it)| it.at);
            if let Some((index, _)) = oldest {
                self.holders.swap_remove(index);
            }
        }
        self.holders.push(holder);
        true
    }
}

impl Server {
    fn confidence(&self, now: Time, holder: &Holder) -> f32 {
        if holder.epoch != self.epoch {
            return 0.0;
        }
        let (base, half_life) = match holder.source {
            Source::Placed => (PLACED_CONFIDENCE, PLACED_HALF_LIFE),
            Source::Confirmed => (CONFIRMED_CONFIDENCE, CONFIRMED_HALF_LIFE),
        };
        let factor = match self.events_lost_at {
            Some(at) if holder.at <= at => EVENT_LOSS_FACTOR,
            _ => 1.0,
        };
        let age = now.since(holder.at).as_secs_f32() / half_life.as_secs_f32();
        base * factor * (-age).exp2()
    }
}
