//! Reads backend servers' cache event streams: each stream is read by one instance, the server's
//! keeper, which reports to the owners of prefixes only what changes a decision.
//!
//! An event names a block, not its prompt, so a keeper can't tell which owner it concerns. When an
//! owner learns of a prefix at a server, it therefore asks the server's keeper to watch those
//! blocks. The keeper drops all other events, and reports to an owner once when a watched block was
//! first seen stored, and once when it was evicted.
//!
//! How to use it: on [`Output::OpenStream`] read the server's event stream, and on
//! [`Output::CloseStream`] stop. Pass all events as [`Input::Events`] in order; on
//! [`Output::Resync`] read the server's snapshot and pass it as [`Input::Snapshot`].
//!
//! Sequence numbers and incarnations are checked here: a gap makes all locations at the server
//! uncertain until a snapshot has corrected them; a new incarnation discards them.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use shallotlead_base::{
    hash::Map,
    id::{Block, Incarnation},
    name,
    store::Reply,
    time::Time,
};

use crate::{
    component::Component, context::Context, delivery::Delivery, directory, keeper::stream::Stream,
    node::Action, outbox::Outbox,
};

pub(crate) mod stream;

#[cfg(test)]
mod tests;

/// Most blocks that are watched at one server.
pub const MAX_WATCHED: usize = 8192;
/// How long updates are batched before they are sent.
pub const FLUSH_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time between two snapshots of one server.
pub const MIN_RESYNC_INTERVAL: Duration = Duration::from_secs(5);
/// Shortest time between two assignments of the servers: each costs some milliseconds at 4,800
/// servers, and while many instances restart the members change hundreds of times a second.
const MIN_ASSIGN_INTERVAL: Duration = Duration::from_millis(500);
/// Most blocks in one message.
const MAX_MESSAGE_BLOCKS: usize = 90;

/// Messages to a keeper from other instances.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// From an owner: report when these blocks are stored or evicted.
    Watch {
        /// The server.
        server: name::Server,
        /// Its incarnation as known to the owner.
        incarnation: Incarnation,
        /// The blocks.
        blocks: Vec<Block>,
    },
}

/// One cache event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The block is cached now.
    Stored(Block),
    /// The block was evicted.
    Evicted(Block),
    /// All blocks were evicted.
    Cleared,
}

/// Inputs from the daemon.
#[derive(Clone, Debug)]
pub enum Input {
    /// Events of a server that this instance keeps, in order.
    Events {
        /// The server.
        server: name::Server,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Sequence number of the first event.
        first: u64,
        /// The events.
        events: Vec<Event>,
    },
    /// All cached blocks of a server that this instance keeps.
    Snapshot {
        /// The server.
        server: name::Server,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Sequence number of the last event that the blocks include.
        seq: u64,
        /// The blocks.
        blocks: Vec<Block>,
    },
}

/// Outputs to the daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Output {
    /// Read this server's event stream.
    OpenStream(name::Server),
    /// Stop reading this server's event stream.
    CloseStream(name::Server),
    /// Read this server's snapshot.
    Resync(name::Server),
}

/// State of the keeper on this instance.
#[derive(Debug, Default)]
pub struct Keeper {
    streams: BTreeMap<name::Server, Stream>,
    generation: u64,
    table_version: u64,
    next_flush: Time,
    next_assign: Time,
    /// Events received and changes sent.
    pub(crate) counts: Counts,
}

/// Counters for metrics.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) events: u64,
    pub(crate) changes_sent: u64,
}

impl Component for Keeper {
    type Input = Input;
    type Message = Message;

    fn handle(&mut self, _ctx: &Context<'_>, input: Input, _out: &mut Outbox<'_>) {
        match input {
            Input::Events { server, incarnation, first, events } => {
                self.counts.events += events.len() as u64;
                if let Some(stream) = self.streams.get_mut(&server) {
                    stream.apply_events(incarnation, first, &events);
                }
            }
            Input::Snapshot { server, incarnation, seq, blocks } => {
                if let Some(stream) = self.streams.get_mut(&server) {
                    stream.apply_snapshot(incarnation, seq, &blocks);
                }
            }
        }
    }

    fn message(
        &mut self,
        ctx: &Context<'_>,
        from: &name::Instance,
        message: Message,
        _out: &mut Outbox<'_>,
    ) {
        let Message::Watch { server, incarnation, blocks } = message;
        if let Some(stream) = self.streams.get_mut(&server) {
            stream.watch(ctx.now, from, incarnation, &blocks);
        }
    }

    fn reply(&mut self, _ctx: &Context<'_>, _number: u64, _reply: Reply, _out: &mut Outbox<'_>) {}

    fn tick(&mut self, ctx: &Context<'_>, out: &mut Outbox<'_>) -> Time {
        let current = (ctx.view.generation(), ctx.table.version.0);
        let is_changed = (self.generation, self.table_version) != current;
        if is_changed && self.next_assign <= ctx.now {
            (self.generation, self.table_version) = current;
            self.next_assign = ctx.now + MIN_ASSIGN_INTERVAL;
            self.assign(ctx, out);
        }
        let assign_at = if (self.generation, self.table_version) == current {
            Time::MAX
        } else {
            self.next_assign
        };
        if self.next_flush <= ctx.now {
            self.next_flush = ctx.now + FLUSH_INTERVAL;
            for (server, stream) in &mut self.streams {
                self.counts.changes_sent += flush(ctx, server, stream, out);
            }
        }
        let is_busy = self.streams.values().any(Stream::is_busy);
        assign_at.min(if is_busy { self.next_flush } else { Time::MAX })
    }
}

impl Keeper {
    /// Starts and stops keeping servers after a change of the members or the table.
    fn assign(&mut self, ctx: &Context<'_>, out: &mut Outbox<'_>) {
        let is_mine = |server: &name::Server, centre| {
            ctx.view.keeper(server, centre).is_some_and(|it| it == ctx.me)
        };
        let rows = ctx.table.servers.values().filter(|it| is_mine(&it.name, &it.centre));
        let mine = rows.map(|it| it.name.clone()).collect::<std::collections::BTreeSet<_>>();
        self.streams.retain(|server, _| {
            let keep = mine.contains(server);
            if !keep {
                out.push(Action::Keeper(Output::CloseStream(server.clone())));
            }
            keep
        });
        for server in mine {
            self.streams.entry(server.clone()).or_insert_with(|| {
                out.push(Action::Keeper(Output::OpenStream(server)));
                Stream::default()
            });
        }
    }
}

/// Reports to the owners what changed at `server`. Returns the number of changes sent.
fn flush(
    ctx: &Context<'_>,
    server: &name::Server,
    stream: &mut Stream,
    out: &mut Outbox<'_>,
) -> u64 {
    if stream.start_resync(ctx.now) {
        out.push(Action::Keeper(Output::Resync(server.clone())));
    }
    let Some(incarnation) = stream.incarnation() else { return 0 };
    let updates = stream.take_updates();
    let report = |to: &name::Instance, message, out: &mut Outbox<'_>| {
        out.send(to, message, Delivery::Datagram);
    };
    for owner in &updates.cleared {
        let server = server.clone();
        report(owner, directory::Message::Cleared { server, incarnation }, out);
    }
    for owner in &updates.event_losses {
        let server = server.clone();
        report(owner, directory::Message::EventsLost { server, incarnation }, out);
    }
    let mut by_owner: Map<&name::Instance, (Vec<Block>, Vec<Block>)> = Map::default();
    for change in &updates.changes {
        let (stored, evicted) = by_owner.entry(&change.owner).or_default();
        let blocks = if change.is_stored { stored } else { evicted };
        blocks.push(change.block);
    }
    let mut by_owner = by_owner.into_iter().collect::<Vec<_>>();
    by_owner.sort_unstable();
    for (owner, (stored, evicted)) in by_owner {
        for chunk in stored.chunks(MAX_MESSAGE_BLOCKS) {
            let (server, stored) = (server.clone(), chunk.to_vec());
            let evicted = Vec::new();
            report(
                owner,
                directory::Message::BlocksChanged { server, incarnation, stored, evicted },
                out,
            );
        }
        for chunk in evicted.chunks(MAX_MESSAGE_BLOCKS) {
            let (server, evicted) = (server.clone(), chunk.to_vec());
            let stored = Vec::new();
            report(
                owner,
                directory::Message::BlocksChanged { server, incarnation, stored, evicted },
                out,
            );
        }
    }
    updates.changes.len() as u64
}
