//! Informs the other instances of each attempt sent to a backend server, within about 25 ms.
//!
//! Load reports lag by a second or more. Without these messages an instance would know only of its
//! own attempts since the last report, and a server that looks idle to all instances would get the
//! next request of each of them.
//!
//! Up to [`MAX_DIRECT_PEERS`] instances of a region send to each other directly. Larger fleets use a
//! grid of the data centre's instances: each sends along its row, and the receivers relay along their
//! columns, so that the traffic of an instance grows with the square root of their number. Longer
//! batches then save datagrams. A lost message reduces accuracy until the next load report and has no
//! other effect.

use std::{mem, time::Duration};

use serde::{Deserialize, Serialize};
use shallotlead_base::{
    id::{Block, Incarnation},
    name,
    store::Reply,
    time::Time,
};

use crate::{
    component::Component, context::Context, delivery::Delivery, load::grid::Grid, node::Action,
    outbox::Outbox,
};

#[cfg(test)]
mod tests;

/// Up to this many instances of a region send to each other directly.
pub const MAX_DIRECT_PEERS: usize = 16;
/// How long attempts are collected into a batch that is sent directly.
pub const BATCH_INTERVAL: Duration = Duration::from_millis(25);
/// How long attempts are collected before each of the two hops when they are relayed.
pub const RELAYED_BATCH_INTERVAL: Duration = Duration::from_millis(100);

/// The most blocks that identify a prompt when records are sent directly.
pub const MAX_ANCHORS: usize = 4;

/// The most blocks that identify a prompt when records are relayed: fewer, to save bytes.
const MAX_RELAYED_ANCHORS: usize = 1;
/// The most bytes of records in one datagram.
const MAX_RECORDS_BYTES: usize = 900;
/// The most bytes of a record besides its server's name.
const RECORD_OVERHEAD_BYTES: usize = 60;
/// The most records in a queue; any beyond that are dropped.
const MAX_QUEUED: usize = 2_048;
/// Older attempts are dropped: load reports include them.
const MAX_AGE: Duration = Duration::from_secs(2);

/// An attempt that was sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Assignment {
    /// The backend server that it was sent to.
    pub server: name::Server,
    /// The incarnation of the server that it was sent to.
    pub incarnation: Incarnation,
    /// Prompt tokens that the server is expected to prefill.
    pub uncached_tokens: u32,
    /// Some blocks of the prompt, deepest last, at most [`MAX_ANCHORS`].
    pub anchors: Vec<Block>,
    /// How long ago it was sent.
    pub age: Duration,
}

/// An attempt as encoded in messages between instances.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    server: name::Server,
    incarnation: Incarnation,
    uncached_tokens: u32,
    anchors: Vec<Block>,
    age_ms: u16,
}

/// A message between instances.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// Attempts of the message's sender, which are not relayed.
    Direct(Vec<Record>),
    /// Attempts of the message's sender, which the receiver relays along its column of the grid.
    Row(Vec<Record>),
    /// Attempts of members of the sender's row of the grid, itself included.
    Column(Vec<Record>),
}

/// An input from the daemon.
#[derive(Clone, Debug)]
pub enum Input {
    /// This instance sent an attempt.
    Sent(Assignment),
}

/// An output to the daemon.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Attempts that other instances sent.
    Placed(Vec<Assignment>),
}

/// The attempts that are queued for sending.
#[derive(Debug, Default)]
pub struct Dispatch {
    own: Vec<Queued>,
    relayed: Vec<Queued>,
    next_send: Time,
}

#[derive(Debug)]
struct Queued {
    assignment: Assignment,
    /// When it was sent, on this process's clock.
    sent_at: Time,
}

impl Component for Dispatch {
    type Input = Input;
    type Message = Message;

    fn handle(&mut self, ctx: &Context<'_>, input: Input, _out: &mut Outbox<'_>) {
        let Input::Sent(sent) = input;
        enqueue(&mut self.own, ctx.now, sent);
    }

    fn message(
        &mut self,
        ctx: &Context<'_>,
        _from: &name::Instance,
        message: Message,
        out: &mut Outbox<'_>,
    ) {
        let (records, relay) = match message {
            Message::Direct(records) | Message::Column(records) => (records, false),
            Message::Row(records) => (records, true),
        };
        let assignments = records.into_iter().map(Assignment::from).collect::<Vec<_>>();
        if relay {
            for it in &assignments {
                enqueue(&mut self.relayed, ctx.now, it.clone());
            }
        }
        out.push(Action::Dispatch(Output::Placed(assignments)));
    }

    fn reply(&mut self, _ctx: &Context<'_>, _number: u64, _reply: Reply, _out: &mut Outbox<'_>) {}

    fn tick(&mut self, ctx: &Context<'_>, out: &mut Outbox<'_>) -> Time {
        if self.own.is_empty() && self.relayed.is_empty() {
            return Time::MAX;
        }
        if ctx.now < self.next_send {
            return self.next_send;
        }
        let own = mem::take(&mut self.own);
        let relayed = mem::take(&mut self.relayed);
        let direct = direct_peers(ctx);
        self.next_send =
            ctx.now + if direct.is_some() { BATCH_INTERVAL } else { RELAYED_BATCH_INTERVAL };
        match direct {
            Some(others) => send_records(ctx, &own, &others, Message::Direct, MAX_ANCHORS, out),
            None => {
                let Some(grid) = Grid::new(ctx) else { return Time::MAX };
                let column = grid.column().collect::<Vec<_>>();
                send_records(
                    ctx,
                    &own,
                    &grid.row().collect::<Vec<_>>(),
                    Message::Row,
                    MAX_RELAYED_ANCHORS,
                    out,
                );
                send_records(ctx, &own, &column, Message::Column, MAX_RELAYED_ANCHORS, out);
                send_records(ctx, &relayed, &column, Message::Column, MAX_RELAYED_ANCHORS, out);
            }
        }
        Time::MAX
    }
}

impl From<Record> for Assignment {
    fn from(record: Record) -> Self {
        Self {
            server: record.server,
            incarnation: record.incarnation,
            uncached_tokens: record.uncached_tokens,
            anchors: record.anchors,
            age: Duration::from_millis(record.age_ms.into()),
        }
    }
}

fn enqueue(queue: &mut Vec<Queued>, now: Time, assignment: Assignment) {
    if queue.len() < MAX_QUEUED {
        let sent_at = now - assignment.age;
        queue.push(Queued { assignment, sent_at });
    }
}

/// The other instances of the region, when they are few enough to send to them directly.
fn direct_peers<'a>(ctx: &Context<'a>) -> Option<Vec<&'a name::Instance>> {
    let region = &ctx.view.get(ctx.me)?.member.region;
    let others = ctx.view.live_in_region(region).map(|it| &it.name).filter(|it| *it != ctx.me);
    let others = others.take(MAX_DIRECT_PEERS).collect::<Vec<_>>();
    (others.len() < MAX_DIRECT_PEERS).then_some(others)
}

fn send_records(
    ctx: &Context<'_>,
    queue: &[Queued],
    to: &[&name::Instance],
    message: fn(Vec<Record>) -> Message,
    anchors: usize,
    out: &mut Outbox<'_>,
) {
    let recent = queue.iter().filter(|it| ctx.now.since(it.sent_at) < MAX_AGE).collect::<Vec<_>>();
    let mut rest = recent.as_slice();
    while !rest.is_empty() {
        let mut room = MAX_RECORDS_BYTES;
        let fits = |it: &&&Queued| {
            let size = it.assignment.server.as_str().len() + RECORD_OVERHEAD_BYTES;
            let is_ok = size <= room;
            room = room.saturating_sub(size);
            is_ok
        };
        // At least one record always fits: the table allows no server name longer than a datagram.
        let count = rest.iter().take_while(fits).count().max(1);
        let (batch, later) = rest.split_at(count);
        rest = later;
        let records = batch.iter().map(|it| it.record(ctx.now, anchors)).collect::<Vec<_>>();
        for it in to {
            out.send(it, message(records.clone()), Delivery::Datagram);
        }
    }
}

impl Queued {
    /// The record to send, with the deepest `max` anchors.
    fn record(&self, now: Time, max: usize) -> Record {
        let anchors = &self.assignment.anchors;
        let age = now.since(self.sent_at).as_millis();
        Record {
            server: self.assignment.server.clone(),
            incarnation: self.assignment.incarnation,
            uncached_tokens: self.assignment.uncached_tokens,
            anchors: anchors[anchors.len().saturating_sub(max)..].to_vec(),
            age_ms: u16::try_from(age).unwrap_or(u16::MAX),
        }
    }
}
