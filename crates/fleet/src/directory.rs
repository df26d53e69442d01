//! Homes of prefixes: which servers are believed to hold which prompt prefixes, divided over the
//! region's instances.
//!
//! A prompt is described by its [`path::Path`], the hashes of some of its blocks. The first of them
//! decides the home. One short question to the home gives hints; a placement is told to it and
//! needs no answer. Everything here is advisory: a wrong or missing belief costs time, never
//! correctness, and a belief speaks of one incarnation of a server only.
//!
//! How to use it: hand [`Input::Ask`] over when a request arrives; [`Output::Hints`] follows within
//! [`PATIENCE`], empty where nobody answered. Hand [`Input::Placed`] over for each attempt that was
//! sent. The keepers of event streams correct the beliefs by themselves.
//!
//! A home forgets what was least recently used once it holds [`table::MAX_ROWS`] prefixes. When a
//! prefix's home changes while both live, the old home hands over what was used in the last
//! [`HOT`], within a byte budget; the rest, and everything after a crash, is learnt anew.

use std::{collections::VecDeque, time::Duration};

use shallotlead_base::{
    hash::{self, Map},
    id::{Block, Incarnation, Request},
    name,
    store::Reply,
    time::Time,
};

use crate::{
    class::Class,
    context::Context,
    directory::{path::Path, recent::Recent, table::Table},
    keeper,
    node::Action,
    outbox::Outbox,
    part::Part,
};

pub(crate) mod message;
pub mod path;
pub(crate) mod recent;
pub mod table;

#[cfg(test)]
mod tests;

pub use message::{Hint, Location, Message};

/// How long a question may take. Past it, the request goes on without hints.
pub const LOOKUP_TIMEOUT: Duration = Duration::from_millis(5);
/// Most hints in one answer.
pub const MAX_HINTS: usize = 8;
/// Most questions that one home answers a second; more go without hints.
pub const MAX_ANSWERS_PER_SECOND: u32 = 200;
/// Questions a second about one key from which on askers look for a home by a deeper block.
pub const SPLIT_LOOKUPS_PER_SECOND: u32 = 50;
/// How recently a prefix must have been used to be handed over.
pub const TRANSFER_MAX_IDLE: Duration = Duration::from_secs(10);

/// How long an asker uses the deeper block.
const SPLIT_LIFE: Duration = Duration::from_secs(60);
/// Most keys that an asker remembers as split.
const MAX_SPLIT: usize = 1024;
/// Rows in one message of a hand-over: about 4 KB.
const MOVE_ROWS: usize = 64;
/// Time between two messages of a hand-over: 8 KB/s.
const MOVE_PERIOD: Duration = Duration::from_millis(500);
/// Most rows in one hand-over.
const MAX_MOVED: usize = 1280;
/// Shortest time between two looks at who is the home or keeper of what: each goes over all rows.
const LOOK_PERIOD: Duration = Duration::from_millis(500);
/// Blocks in one message to a keeper.
const WATCH_BLOCKS: usize = 90;
/// Time in which questions are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// What the daemon tells.
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
        /// The prompt.
        path: Path,
        /// Where it was sent.
        server: name::Server,
        /// The life that was meant.
        incarnation: Incarnation,
    },
}

/// What the daemon is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// The answer to [`Input::Ask`].
    Hints {
        /// The request.
        request: Request,
        /// Deepest first; empty where nothing is known or nobody answered in time.
        hints: Vec<Hint>,
    },
}

/// State of this part.
#[derive(Debug, Default)]
pub struct Directory {
    table: Table,
    number: u32,
    open: Map<u32, Open>,
    /// Questions that this instance asked lately: of which home, about which last block.
    asked: Recent<(name::Instance, Block), u32>,
    /// Questions that it was asked lately: by which life of whom, with which number.
    heard: Recent<(name::Instance, Incarnation, u32), Path>,
    /// Keys with so many questions that a deeper block decides the home.
    split: Map<Block, Time>,
    counter: Counter,
    generation: u64,
    /// The keeper of each server that beliefs are about.
    keepers: Map<name::Server, name::Instance>,
    moving: VecDeque<(name::Instance, Vec<Location>)>,
    next_move: Time,
    next_look: Time,
}

#[derive(Debug)]
struct Open {
    request: Request,
    key: Block,
    until: Time,
}

/// Counts the questions of one window.
#[derive(Debug, Default)]
struct Counter {
    start: Time,
    all: u32,
    keys: Map<Block, u32>,
}

impl Counter {
    /// Counts a question about `key`. Returns the questions in this window: all, and about the key.
    fn count(&mut self, now: Time, key: Block) -> (u32, u32) {
        if self.start + WINDOW <= now {
            self.start = now;
            self.all = 0;
            self.keys.clear();
        }
        self.all += 1;
        let of_key = self.keys.entry(key).or_default();
        *of_key += 1;
        (self.all, *of_key)
    }
}

impl Part for Directory {
    type Input = Input;
    type Message = Message;

    fn handle(&mut self, ctx: &Context<'_>, input: Input, out: &mut Outbox<'_>) {
        match input {
            Input::Lookup { request, path } => self.ask(ctx, request, path, out),
            Input::Placed { path, server, incarnation } => {
                let Some(key) = self.key(ctx.now, &path) else { return };
                match home(ctx, key) {
                    Some(home) if home != ctx.me => {
                        self.tell(ctx, home, path.from(key), server, incarnation, out);
                    }
                    _ => self.placed(ctx, &path.from(key), &server, incarnation, out),
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
                self.heard.push(ctx.now, (from.clone(), incarnation, number), path.clone());
                let (all, of_key) = self.counter.count(ctx.now, key);
                if MAX_ANSWERS_PER_SECOND < all {
                    return;
                }
                let hints = self.table.find(ctx.now, &path, MAX_HINTS);
                let split = SPLIT_LOOKUPS_PER_SECOND <= of_key;
                let message = Message::Hints { incarnation, number, hints, split };
                out.send(from, message, Class::Datagram);
            }
            Message::Hints { incarnation, number, hints, split } => {
                // Guards against an answer to this instance's earlier life, which counted its
                // questions from the same start. It shows as hints about another prompt. The life
                // in the answer holds.
                if ctx.incarnation() != Some(incarnation) {
                    return;
                }
                let Some(open) = self.open.remove(&number) else { return };
                if split && self.split.len() < MAX_SPLIT {
                    self.split.insert(open.key, ctx.now + SPLIT_LIFE);
                }
                out.push(Action::Directory(Output::Hints { request: open.request, hints }));
            }
            Message::Placed { path, server, incarnation } => {
                self.placed(ctx, &path, &server, incarnation, out);
            }
            Message::PlacedByLookup { incarnation, number, server, server_incarnation: life } => {
                let question = (from.clone(), incarnation, number);
                if let Some(path) = self.heard.take(ctx.now, &question) {
                    self.placed(ctx, &path, &server, life, out);
                }
            }
            Message::BlocksChanged { server, incarnation, stored, evicted } => {
                self.table.changed(ctx.now, &server, incarnation, &stored, &evicted);
            }
            Message::EventsLost { server, incarnation } => {
                self.table.doubt(ctx.now, &server, incarnation);
            }
            Message::Cleared { server, incarnation } => self.table.clear(&server, incarnation),
            Message::Transfer(beliefs) => self.moved(ctx, beliefs, out),
        }
    }

    fn reply(&mut self, _ctx: &Context<'_>, _number: u64, _reply: Reply, _out: &mut Outbox<'_>) {}

    fn tick(&mut self, ctx: &Context<'_>, out: &mut Outbox<'_>) -> Time {
        self.expire(ctx.now, out);
        if self.generation != ctx.view.generation() && self.next_look <= ctx.now {
            self.generation = ctx.view.generation();
            self.next_look = ctx.now + LOOK_PERIOD;
            self.hand_over(ctx);
            self.watch_again(ctx, out);
        }
        let is_seen = self.generation == ctx.view.generation();
        let look = if is_seen { Time::MAX } else { self.next_look };
        if !self.moving.is_empty() && self.next_move <= ctx.now {
            self.next_move = ctx.now + MOVE_PERIOD;
            if let Some((to, beliefs)) = self.moving.pop_front() {
                out.send(&to, Message::Transfer(beliefs), Class::Stream);
            }
        }
        let until = self.open.values().map(|it| it.until).min().unwrap_or(Time::MAX);
        let next = if self.moving.is_empty() { Time::MAX } else { self.next_move };
        until.min(next).min(look)
    }
}

impl Directory {
    fn ask(&mut self, ctx: &Context<'_>, request: Request, path: Path, out: &mut Outbox<'_>) {
        let key = self.key(ctx.now, &path);
        let home = key.and_then(|key| Some((key, home(ctx, key)?)));
        let Some((key, home)) = home.filter(|(_, home)| *home != ctx.me) else {
            let hints = self.table.find(ctx.now, &path, MAX_HINTS);
            out.push(Action::Directory(Output::Hints { request, hints }));
            return;
        };
        let Some(incarnation) = ctx.incarnation() else { return };
        self.number = self.number.wrapping_add(1);
        let number = self.number;
        self.open.insert(number, Open { request, key, until: ctx.now + LOOKUP_TIMEOUT });
        if let Some(last) = path.steps.last() {
            self.asked.push(ctx.now, (home.clone(), last.block), number);
        }
        out.send(
            home,
            Message::Lookup { incarnation, number, path: path.from(key) },
            Class::Datagram,
        );
    }

    /// Tells `home` of a placement: by the number of the question, when it was asked just now.
    fn tell(
        &mut self,
        ctx: &Context<'_>,
        home: &name::Instance,
        path: Path,
        server: name::Server,
        life: Incarnation,
        out: &mut Outbox<'_>,
    ) {
        let Some(last) = path.steps.last() else { return };
        let asked = self.asked.take(ctx.now, &(home.clone(), last.block));
        let message = match (asked, ctx.incarnation()) {
            (Some(number), Some(incarnation)) => {
                Message::PlacedByLookup { incarnation, number, server, server_incarnation: life }
            }
            _ => Message::Placed { path, server, incarnation: life },
        };
        out.send(home, message, Class::Datagram);
    }

    /// The block of `path` that decides its home for this asker.
    fn key(&mut self, now: Time, path: &Path) -> Option<Block> {
        if !self.split.is_empty() {
            self.split.retain(|_, until| now < *until);
        }
        path.key(&|block| self.split.contains_key(&block))
    }

    fn placed(
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
        let new = self.table.placed(ctx.now, path, key, server, incarnation);
        watch(ctx, server, incarnation, new, out);
    }

    fn expire(&mut self, now: Time, out: &mut Outbox<'_>) {
        let mut late = Vec::new();
        self.open.retain(|_, it| {
            let keep = now < it.until;
            if !keep {
                late.push(it.request);
            }
            keep
        });
        late.sort_unstable();
        for request in late {
            out.push(Action::Directory(Output::Hints { request, hints: Vec::new() }));
        }
    }

    /// Takes out what this instance is no longer the home of, and queues what is worth telling.
    fn hand_over(&mut self, ctx: &Context<'_>) {
        let home_of = |key| home(ctx, key).filter(|it| *it != ctx.me).cloned();
        let mut homes: Map<Block, Option<name::Instance>> = Map::default();
        let rows = self.table.take(ctx.now, TRANSFER_MAX_IDLE, MAX_MOVED, |key| {
            homes.entry(key).or_insert_with(|| home_of(key)).is_some()
        });
        let mut by_home: Map<name::Instance, Vec<Location>> = Map::default();
        for belief in rows {
            if let Some(Some(home)) = homes.get(&belief.key) {
                by_home.entry(home.clone()).or_default().push(belief);
            }
        }
        let mut by_home = by_home.into_iter().collect::<Vec<_>>();
        by_home.sort_by(|a, b| a.0.cmp(&b.0));
        self.moving.clear();
        for (home, beliefs) in by_home {
            let messages = beliefs.chunks(MOVE_ROWS).map(|it| (home.clone(), it.to_vec()));
            self.moving.extend(messages);
        }
    }

    /// Asks again where a server's keeper has changed, as the new one knows of no watched blocks.
    fn watch_again(&mut self, ctx: &Context<'_>, out: &mut Outbox<'_>) {
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
            for blocks in self.table.held_by(&server).chunks(WATCH_BLOCKS) {
                watch(ctx, &server, incarnation, blocks.to_vec(), out);
            }
        }
    }

    fn moved(&mut self, ctx: &Context<'_>, beliefs: Vec<Location>, out: &mut Outbox<'_>) {
        let mut by_server: Map<(name::Server, Incarnation), Vec<Block>> = Map::default();
        for belief in beliefs {
            if self.table.insert(ctx.now, &belief) {
                let key = (belief.server, belief.incarnation);
                by_server.entry(key).or_default().push(belief.block);
            }
        }
        let mut by_server = by_server.into_iter().collect::<Vec<_>>();
        by_server.sort_by(|a, b| a.0.cmp(&b.0));
        for ((server, incarnation), blocks) in by_server {
            watch(ctx, &server, incarnation, blocks, out);
        }
    }
}

/// The home of the prefixes that `key` decides.
fn home<'a>(ctx: &'a Context<'_>, key: Block) -> Option<&'a name::Instance> {
    ctx.view.home(hash::seeded(b"prefix", key.0))
}

/// Asks the server's keeper for news of `blocks`.
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
        out.send(keeper, message, Class::Datagram);
    }
}
