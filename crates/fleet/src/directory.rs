//! Directory of prompt prefixes: which servers are expected to have which prefixes cached, divided
//! over the region's instances.
//!
//! A prompt is described by its [`path::Path`], the hashes of some of its blocks. The first of them
//! decides which instance owns the prefix, by rendezvous hashing. One short lookup at the owner
//! returns hints; a placement is reported to it without a reply. Everything here is advisory: a
//! wrong or missing location costs time, never correctness, and a location holds for one
//! incarnation of a server only.
//!
//! How to use it: pass [`Input::Lookup`] when a request arrives; [`Output::Hints`] follows within
//! [`LOOKUP_TIMEOUT`], empty if there was no reply. Pass [`Input::Placed`] for each attempt that
//! was sent. The keepers of the servers' event streams correct the locations without further calls.
//!
//! An owner evicts the least recently used prefixes once it holds [`table::MAX_ROWS`]. When a
//! prefix's owner changes while both are alive, the old owner transfers what was used in the last
//! [`TRANSFER_MAX_IDLE`], within a byte budget; the rest, and everything after a crash, is learnt
//! again.

use std::{collections::VecDeque, time::Duration};

use shallotlead_base::{
    hash::{self, Map},
    id::{Block, Incarnation, Request},
    name,
    store::Reply,
    time::Time,
};

use crate::{
    component::Component,
    context::Context,
    delivery::Delivery,
    directory::{path::Path, recent::Recent, table::Table},
    keeper,
    node::Action,
    outbox::Outbox,
};

pub(crate) mod message;
pub mod path;
pub(crate) mod recent;
pub mod table;

#[cfg(test)]
mod tests;

pub use message::{Hint, Location, Message};

/// Timeout of a lookup, after which the request proceeds without hints.
pub const LOOKUP_TIMEOUT: Duration = Duration::from_millis(5);
/// Most hints in one reply.
pub const MAX_HINTS: usize = 8;
/// Most lookups that one owner answers per second; requests beyond that proceed without hints.
pub const MAX_ANSWERS_PER_SECOND: u32 = 200;
/// Lookups per second with one key from which on callers choose the owner by a deeper block.
pub const SPLIT_LOOKUPS_PER_SECOND: u32 = 50;
/// How recently a prefix must have been used to be transferred.
pub const TRANSFER_MAX_IDLE: Duration = Duration::from_secs(10);

/// How long a caller uses the deeper block.
const SPLIT_TTL: Duration = Duration::from_secs(60);
/// Most keys that a caller remembers as split.
const MAX_SPLIT_KEYS: usize = 1024;
/// Rows in one transfer message: about 4 KB.
const TRANSFER_CHUNK_ROWS: usize = 64;
/// Time between two transfer messages: 8 KB/s.
const TRANSFER_INTERVAL: Duration = Duration::from_millis(500);
/// Most rows in one transfer.
const MAX_TRANSFER_ROWS: usize = 1280;
/// Shortest time between two checks for changed owners and keepers, as each goes over all rows.
const MIN_REASSIGN_INTERVAL: Duration = Duration::from_millis(500);
/// Most blocks in one message to a keeper.
const MAX_WATCH_BLOCKS: usize = 90;
/// Window in which lookups are counted.
const COUNT_WINDOW: Duration = Duration::from_secs(1);

/// Inputs from the daemon.
#[derive(Clone, Debug)]
pub enum Input {
    /// A request arrived.
    Lookup {
        /// The request.
        request: Request,
        /// Its prompt.
        path: Path,
    },
    /// An attempt was sent.
    Placed {
        /// Its prompt.
        path: Path,
        /// The server that it was sent to.
        server: name::Server,
        /// The incarnation of the server that it was meant for.
        incarnation: Incarnation,
    },
}

/// Outputs to the daemon.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// The result of [`Input::Lookup`].
    Hints {
        /// The request.
        request: Request,
        /// Deepest first; empty if nothing is known or no reply came in time.
        hints: Vec<Hint>,
    },
}

/// State of the directory on this instance.
#[derive(Debug, Default)]
pub struct Directory {
    table: Table,
    number: u32,
    pending: Map<u32, PendingLookup>,
    /// Recent lookups by this instance: their numbers, by owner and last block.
    sent_lookups: Recent<(name::Instance, Block), u32>,
    /// Recent lookups by other instances: their paths, by caller, its incarnation and the number.
    received_lookups: Recent<(name::Instance, Incarnation, u32), Path>,
    /// Keys with so many lookups that a deeper block decides the owner, and until when it does.
    split_keys: Map<Block, Time>,
    counter: Counter,
    generation: u64,
    /// The keeper of each server that locations refer to.
    keepers: Map<name::Server, name::Instance>,
    transfers: VecDeque<(name::Instance, Vec<Location>)>,
    next_transfer: Time,
    next_reassign: Time,
}

#[derive(Debug)]
struct PendingLookup {
    request: Request,
    key: Block,
    until: Time,
}

/// Counts the lookups in one window.
#[derive(Debug, Default)]
struct Counter {
    start: Time,
    total: u32,
    by_key: Map<Block, u32>,
}

impl Counter {
    /// Counts a lookup with `key`. Returns the lookups in this window: all, and those with the key.
    fn count(&mut self, now: Time, key: Block) -> (u32, u32) {
        if self.start + COUNT_WINDOW <= now {
            self.start = now;
            self.total = 0;
            self.by_key.clear();
        }
        self.total += 1;
        let for_key = self.by_key.entry(key).or_default();
        *for_key += 1;
        (self.total, *for_key)
    }
}

impl Component for Directory {
    type Input = Input;
    type Message = Message;

    fn handle(&mut self, ctx: &Context<'_>, input: Input, out: &mut Outbox<'_>) {
        match input {
            Input::Lookup { request, path } => self.look_up(ctx, request, path, out),
            Input::Placed { path, server, incarnation } => {
                let Some(key) = self.key(ctx.now, &path) else { return };
                match owner(ctx, key) {
                    Some(owner) if owner != ctx.me => {
                        self.report_placement(
                            ctx,
                            owner,
                            path.starting_at(key),
                            server,
                            incarnation,
                            out,
                        );
                    }
                    _ => self.record_placement(
                        ctx,
                        &path.starting_at(key),
                        &server,
                        incarnation,
                        out,
                    ),
                }
            }
        }
    }

    fn message(
        &mut self,
        ctx: &Context<'_>,
        from: &name::Instance,
        message: Message,
        out: &mut Outbox<'_>,
    ) {
        match message {
            Message::Lookup { incarnation, number, path } => {
                let Some(key) = path.key(&|_| false) else { return };
                self.received_lookups.push(
                    ctx.now,
                    (from.clone(), incarnation, number),
                    path.clone(),
                );
                let (all, for_key) = self.counter.count(ctx.now, key);
                if MAX_ANSWERS_PER_SECOND < all {
                    return;
                }
                let hints = self.table.find(ctx.now, &path, MAX_HINTS);
                let split = SPLIT_LOOKUPS_PER_SECOND <= for_key;
                let message = Message::Hints { incarnation, number, hints, split };
                out.send(from, message, Delivery::Datagram);
            }
            Message::Hints { incarnation, number, hints, split } => {
                // Guards against a reply to an earlier incarnation of this instance, which numbered
                // its lookups from the same start: the request would get hints for another prompt.
                // The reply contains the incarnation that it is meant for.
                if ctx.incarnation() != Some(incarnation) {
                    return;
                }
                let Some(lookup) = self.pending.remove(&number) else { return };
                if split && self.split_keys.len() < MAX_SPLIT_KEYS {
                    self.split_keys.insert(lookup.key, ctx.now + SPLIT_TTL);
                }
                out.push(Action::Directory(Output::Hints { request: lookup.request, hints }));
            }
            Message::Placed { path, server, incarnation } => {
                self.record_placement(ctx, &path, &server, incarnation, out);
            }
            Message::PlacedByLookup { incarnation, number, server, server_incarnation } => {
                let question = (from.clone(), incarnation, number);
                if let Some(path) = self.received_lookups.remove(ctx.now, &question) {
                    self.record_placement(ctx, &path, &server, server_incarnation, out);
                }
            }
            Message::BlocksChanged { server, incarnation, stored, evicted } => {
                self.table.record_changes(ctx.now, &server, incarnation, &stored, &evicted);
            }
            Message::EventsLost { server, incarnation } => {
                self.table.record_event_loss(ctx.now, &server, incarnation);
            }
            Message::Cleared { server, incarnation } => {
                self.table.clear_server(&server, incarnation)
            }
            Message::Transfer(locations) => self.insert_transferred(ctx, locations, out),
        }
    }

    fn reply(&mut self, _ctx: &Context<'_>, _number: u64, _reply: Reply, _out: &mut Outbox<'_>) {}

    fn tick(&mut self, ctx: &Context<'_>, out: &mut Outbox<'_>) -> Time {
        self.expire_lookups(ctx.now, out);
        if self.generation != ctx.view.generation() && self.next_reassign <= ctx.now {
            self.generation = ctx.view.generation();
            self.next_reassign = ctx.now + MIN_REASSIGN_INTERVAL;
            self.queue_transfers(ctx);
            self.renew_watches(ctx, out);
        }
        let is_current = self.generation == ctx.view.generation();
        let reassign_at = if is_current { Time::MAX } else { self.next_reassign };
        if !self.transfers.is_empty() && self.next_transfer <= ctx.now {
            self.next_transfer = ctx.now + TRANSFER_INTERVAL;
            if let Some((to, locations)) = self.transfers.pop_front() {
                out.send(&to, Message::Transfer(locations), Delivery::Stream);
            }
        }
        let expires_at = self.pending.values().map(|it| it.until).min().unwrap_or(Time::MAX);
        let transfer_at = if self.transfers.is_empty() { Time::MAX } else { self.next_transfer };
        expires_at.min(transfer_at).min(reassign_at)
    }
}

impl Directory {
    fn look_up(&mut self, ctx: &Context<'_>, request: Request, path: Path, out: &mut Outbox<'_>) {
        let key = self.key(ctx.now, &path);
        let owner = key.and_then(|key| Some((key, owner(ctx, key)?)));
        let Some((key, owner)) = owner.filter(|(_, owner)| *owner != ctx.me) else {
            let hints = self.table.find(ctx.now, &path, MAX_HINTS);
            out.push(Action::Directory(Output::Hints { request, hints }));
            return;
        };
        let Some(incarnation) = ctx.incarnation() else { return };
        self.number = self.number.wrapping_add(1);
        let number = self.number;
        self.pending
            .insert(number, PendingLookup { request, key, until: ctx.now + LOOKUP_TIMEOUT });
        if let Some(last) = path.steps.last() {
            self.sent_lookups.push(ctx.now, (owner.clone(), last.block), number);
        }
        out.send(
            owner,
            Message::Lookup { incarnation, number, path: path.starting_at(key) },
            Delivery::Datagram,
        );
    }

    /// Reports a placement to `owner`, by the number of the lookup if there was one recently.
    fn report_placement(
        &mut self,
        ctx: &Context<'_>,
        owner: &name::Instance,
        path: Path,
        server: name::Server,
        server_incarnation: Incarnation,
        out: &mut Outbox<'_>,
    ) {
        let Some(last) = path.steps.last() else { return };
        let lookup_number = self.sent_lookups.remove(ctx.now, &(owner.clone(), last.block));
        let message = match (lookup_number, ctx.incarnation()) {
            (Some(number), Some(incarnation)) => {
                Message::PlacedByLookup { incarnation, number, server, server_incarnation }
            }
            _ => Message::Placed { path, server, incarnation: server_incarnation },
        };
        out.send(owner, message, Delivery::Datagram);
    }

    /// The block of `path` that decides its owner for this caller.
    fn key(&mut self, now: Time, path: &Path) -> Option<Block> {
        if !self.split_keys.is_empty() {
            self.split_keys.retain(|_, until| now < *until);
        }
        path.key(&|block| self.split_keys.contains_key(&block))
    }

    fn record_placement(
        &mut self,
        ctx: &Context<'_>,
        path: &Path,
        server: &name::Server,
        incarnation: Incarnation,
        out: &mut Outbox<'_>,
    ) {
        let Some(first) = path.steps.first() else { return };
        if let Some(row) = ctx.table.servers.get(server)
            && !self.keepers.contains_key(server)
            && let Some(keeper) = ctx.view.keeper(server, &row.centre)
        {
            self.keepers.insert(server.clone(), keeper.clone());
        }
        let key = first.block;
        let new = self.table.record_placement(ctx.now, path, key, server, incarnation);
        watch(ctx, server, incarnation, new, out);
    }

    fn expire_lookups(&mut self, now: Time, out: &mut Outbox<'_>) {
        let mut expired = Vec::new();
        self.pending.retain(|_, it| {
            let keep = now < it.until;
            if !keep {
                expired.push(it.request);
            }
            keep
        });
        expired.sort_unstable();
        for request in expired {
            out.push(Action::Directory(Output::Hints { request, hints: Vec::new() }));
        }
    }

    /// Removes the rows that this instance no longer owns, and queues the recently used ones for
    /// transfer.
    fn queue_transfers(&mut self, ctx: &Context<'_>) {
        let remote_owner = |key| owner(ctx, key).filter(|it| *it != ctx.me).cloned();
        let mut owners: Map<Block, Option<name::Instance>> = Map::default();
        let rows = self.table.remove_moved(ctx.now, TRANSFER_MAX_IDLE, MAX_TRANSFER_ROWS, |key| {
            owners.entry(key).or_insert_with(|| remote_owner(key)).is_some()
        });
        let mut by_owner: Map<name::Instance, Vec<Location>> = Map::default();
        for location in rows {
            if let Some(Some(owner)) = owners.get(&location.key) {
                by_owner.entry(owner.clone()).or_default().push(location);
            }
        }
        let mut by_owner = by_owner.into_iter().collect::<Vec<_>>();
        by_owner.sort_by(|a, b| a.0.cmp(&b.0));
        self.transfers.clear();
        for (owner, locations) in by_owner {
            let messages =
                locations.chunks(TRANSFER_CHUNK_ROWS).map(|it| (owner.clone(), it.to_vec()));
            self.transfers.extend(messages);
        }
    }

    /// Sends the watches again if a server's keeper has changed, as the new one has none of them.
    fn renew_watches(&mut self, ctx: &Context<'_>, out: &mut Outbox<'_>) {
        let mut changed = Vec::new();
        for (server, incarnation) in self.table.servers() {
            let Some(row) = ctx.table.servers.get(server) else { continue };
            let Some(keeper) = ctx.view.keeper(server, &row.centre) else { continue };
            let last = self.keepers.insert(server.clone(), keeper.clone());
            if last.is_some_and(|it| it != *keeper) {
                changed.push((server.clone(), incarnation));
            }
        }
        for (server, incarnation) in changed {
            for blocks in self.table.blocks_of(&server).chunks(MAX_WATCH_BLOCKS) {
                watch(ctx, &server, incarnation, blocks.to_vec(), out);
            }
        }
    }

    fn insert_transferred(
        &mut self,
        ctx: &Context<'_>,
        locations: Vec<Location>,
        out: &mut Outbox<'_>,
    ) {
        let mut by_server: Map<(name::Server, Incarnation), Vec<Block>> = Map::default();
        for location in locations {
            if self.table.insert(ctx.now, &location) {
                let key = (location.server, location.incarnation);
                by_server.entry(key).or_default().push(location.block);
            }
        }
        let mut by_server = by_server.into_iter().collect::<Vec<_>>();
        by_server.sort_by(|a, b| a.0.cmp(&b.0));
        for ((server, incarnation), blocks) in by_server {
            watch(ctx, &server, incarnation, blocks, out);
        }
    }
}

/// The owner of the prefixes with `key`.
fn owner<'a>(ctx: &'a Context<'_>, key: Block) -> Option<&'a name::Instance> {
    ctx.view.owner(hash::seeded(b"prefix", key.0))
}

/// Asks the server's keeper to report changes of `blocks`.
fn watch(
    ctx: &Context<'_>,
    server: &name::Server,
    incarnation: Incarnation,
    blocks: Vec<Block>,
    out: &mut Outbox<'_>,
) {
    let Some(row) = ctx.table.servers.get(server).filter(|_| !blocks.is_empty()) else { return };
    if let Some(keeper) = ctx.view.keeper(server, &row.centre) {
        let server = server.clone();
        let message = keeper::Message::Watch { server, incarnation, blocks };
        out.send(keeper, message, Delivery::Datagram);
    }
}
