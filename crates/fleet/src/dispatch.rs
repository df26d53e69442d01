//! Attempts that instances sent, told to each other within some 25 ms.
//!
//! Load reports lag by a second or more. Without this each instance knows only its own part of what
//! was sent since, and a server that looks idle to all of them gets everybody's next request.
//!
//! Up to [`DIRECT`] instances of a region tell each other directly. Beyond, each tells those of its
//! data centre, over rows and columns, so that what an instance sends grows with the square root of
//! their number; what is gathered for longer then costs fewer datagrams. A lost message costs
//! accuracy until the next load report, nothing else.

use std::{mem, time::Duration};

use serde::{Deserialize, Serialize};
use shallotlead_base::{
    id::{Block, Incarnation},
    name,
    store::Reply,
    time::Time,
};

use crate::{
    class::Class, context::Context, load::grid::Grid, node::Action, outbox::Outbox, part::Part,
};

#[cfg(test)]
mod tests;

/// Up to this many instances of a region tell each other directly.
pub const MAX_DIRECT_PEERS: usize = 16;
/// How long attempts are gathered among few instances.
pub const BATCH_INTERVAL: Duration = Duration::from_millis(25);
/// How long they are gathered on each of the two ways among many.
pub const RELAYED_BATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Most blocks that stand for a prompt among few instances.
pub const MAX_ANCHORS: usize = 4;

/// The same among many, where bytes count.
const MAX_RELAYED_ANCHORS: usize = 1;
/// Bytes of rows in one datagram.
const MAX_RECORDS_BYTES: usize = 900;
/// Bytes of a row beside its server's name, at most.
const RECORD_OVERHEAD_BYTES: usize = 60;
/// Rows that may wait. Further ones are dropped.
const MAX_QUEUED: usize = 2_048;
/// An attempt older than this shows in load reports.
const MAX_AGE: Duration = Duration::from_secs(2);

/// An attempt that was sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Assignment {
    /// Where it was sent.
    pub server: name::Server,
    /// The life that was meant.
    pub incarnation: Incarnation,
    /// Prompt tokens that the server is expected to compute.
    pub uncached_tokens: u32,
    /// Some blocks of the prompt, deepest last, at most [`ANCHORS`].
    pub anchors: Vec<Block>,
    /// How long ago it was sent.
    pub age: Duration,
}

/// An attempt on its way between instances.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    server: name::Server,
    incarnation: Incarnation,
    uncached_tokens: u32,
    anchors: Vec<Block>,
    age_ms: u16,
}

/// What peers tell each other.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// Sent by the sender.
    Direct(Vec<Record>),
    /// Sent by the sender, to be passed on along the receiver's column.
    Row(Vec<Record>),
    /// Sent by members of the sender's row.
    Column(Vec<Record>),
}

/// What the daemon tells.
#[derive(Clone, Debug)]
pub enum Input {
    /// This instance sent an attempt.
    Sent(Assignment),
}

/// What the daemon is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Other instances sent these.
    Placed(Vec<Assignment>),
}

/// State of this part.
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

impl Part for Dispatch {
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
        let (rows, pass_on) = match message {
            Message::Direct(rows) | Message::Column(rows) => (rows, false),
            Message::Row(rows) => (rows, true),
        };
        let placed = rows.into_iter().map(Assignment::from).collect::<Vec<_>>();
        if pass_on {
            for it in &placed {
                enqueue(&mut self.relayed, ctx.now, it.clone());
            }
        }
        out.push(Action::Dispatch(Output::Placed(placed)));
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
        let few = direct_peers(ctx);
        self.next_send =
            ctx.now + if few.is_some() { BATCH_INTERVAL } else { RELAYED_BATCH_INTERVAL };
        match few {
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
    fn from(row: Record) -> Self {
        Self {
            server: row.server,
            incarnation: row.incarnation,
            uncached_tokens: row.uncached_tokens,
            anchors: row.anchors,
            age: Duration::from_millis(row.age_ms.into()),
        }
    }
}

fn enqueue(waiting: &mut Vec<Queued>, now: Time, sent: Assignment) {
    if waiting.len() < MAX_QUEUED {
        let at = now - sent.age;
        waiting.push(Queued { assignment: sent, sent_at: at });
    }
}

/// The others of the region, when they are few.
fn direct_peers<'a>(ctx: &Context<'a>) -> Option<Vec<&'a name::Instance>> {
    let region = &ctx.view.get(ctx.me)?.member.region;
    let others = ctx.view.region(region).map(|it| &it.name).filter(|it| *it != ctx.me);
    let others = others.take(MAX_DIRECT_PEERS).collect::<Vec<_>>();
    (others.len() < MAX_DIRECT_PEERS).then_some(others)
}

fn send_records(
    ctx: &Context<'_>,
    waiting: &[Queued],
    to: &[&name::Instance],
    message: fn(Vec<Record>) -> Message,
    anchors: usize,
    out: &mut Outbox<'_>,
) {
    let fresh = waiting.iter().filter(|it| ctx.now.since(it.sent_at) < MAX_AGE).collect::<Vec<_>>();
    let mut rest = fresh.as_slice();
    while !rest.is_empty() {
        let mut room = MAX_RECORDS_BYTES;
        let fits = |it: &&&Queued| {
            let size = it.assignment.server.as_str().len() + RECORD_OVERHEAD_BYTES;
            let is_ok = size <= room;
            room = room.saturating_sub(size);
            is_ok
        };
        // A name that is too long for a datagram can't stand in the table.
        let count = rest.iter().take_while(fits).count().max(1);
        let (now, later) = rest.split_at(count);
        rest = later;
        let rows = now.iter().map(|it| it.record(ctx.now, anchors)).collect::<Vec<_>>();
        for it in to {
            out.send(it, message(rows.clone()), Class::Datagram);
        }
    }
}

impl Queued {
    /// The row with the deepest anchors, at most `max`.
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
