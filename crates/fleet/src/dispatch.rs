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
pub const DIRECT: usize = 16;
/// How long attempts are gathered among few instances.
pub const GATHER: Duration = Duration::from_millis(25);
/// How long they are gathered on each of the two ways among many.
pub const GATHER_MANY: Duration = Duration::from_millis(100);

/// Most blocks that stand for a prompt among few instances.
pub const ANCHORS: usize = 4;

/// The same among many, where bytes count.
const ANCHORS_MANY: usize = 1;
/// Bytes of rows in one datagram.
const DATAGRAM: usize = 900;
/// Bytes of a row beside its server's name, at most.
const ROW: usize = 60;
/// Rows that may wait. Further ones are dropped.
const MAX_WAITING: usize = 2_048;
/// An attempt older than this shows in load reports.
const OLD: Duration = Duration::from_secs(2);

/// An attempt that was sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Sent {
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
pub struct Row {
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
    Own(Vec<Row>),
    /// Sent by the sender, to be passed on along the receiver's column.
    Row(Vec<Row>),
    /// Sent by members of the sender's row.
    Column(Vec<Row>),
}

/// What the daemon tells.
#[derive(Clone, Debug)]
pub enum Input {
    /// This instance sent an attempt.
    Sent(Sent),
}

/// What the daemon is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Other instances sent these.
    Placed(Vec<Sent>),
}

/// State of this part.
#[derive(Debug, Default)]
pub struct Dispatch {
    own: Vec<Waiting>,
    relayed: Vec<Waiting>,
    due: Time,
}

#[derive(Debug)]
struct Waiting {
    sent: Sent,
    /// When it was sent, on this process's clock.
    at: Time,
}

impl Part for Dispatch {
    type Input = Input;
    type Message = Message;

    fn handle(&mut self, ctx: &Context<'_>, input: Input, _out: &mut Outbox<'_>) {
        let Input::Sent(sent) = input;
        push(&mut self.own, ctx.now, sent);
    }

    fn message(
        &mut self,
        ctx: &Context<'_>,
        _from: &name::Instance,
        message: Message,
        out: &mut Outbox<'_>,
    ) {
        let (rows, pass_on) = match message {
            Message::Own(rows) | Message::Column(rows) => (rows, false),
            Message::Row(rows) => (rows, true),
        };
        let placed = rows.into_iter().map(Sent::from).collect::<Vec<_>>();
        if pass_on {
            for it in &placed {
                push(&mut self.relayed, ctx.now, it.clone());
            }
        }
        out.push(Action::Dispatch(Output::Placed(placed)));
    }

    fn reply(&mut self, _ctx: &Context<'_>, _number: u64, _reply: Reply, _out: &mut Outbox<'_>) {}

    fn tick(&mut self, ctx: &Context<'_>, out: &mut Outbox<'_>) -> Time {
        if self.own.is_empty() && self.relayed.is_empty() {
            return Time::MAX;
        }
        if ctx.now < self.due {
            return self.due;
        }
        let own = mem::take(&mut self.own);
        let relayed = mem::take(&mut self.relayed);
        let few = few(ctx);
        self.due = ctx.now + if few.is_some() { GATHER } else { GATHER_MANY };
        match few {
            Some(others) => tell(ctx, &own, &others, Message::Own, ANCHORS, out),
            None => {
                let Some(grid) = Grid::new(ctx) else { return Time::MAX };
                let column = grid.column().collect::<Vec<_>>();
                tell(ctx, &own, &grid.row().collect::<Vec<_>>(), Message::Row, ANCHORS_MANY, out);
                tell(ctx, &own, &column, Message::Column, ANCHORS_MANY, out);
                tell(ctx, &relayed, &column, Message::Column, ANCHORS_MANY, out);
            }
        }
        Time::MAX
    }
}

impl From<Row> for Sent {
    fn from(row: Row) -> Self {
        Self {
            server: row.server,
            incarnation: row.incarnation,
            uncached_tokens: row.uncached_tokens,
            anchors: row.anchors,
            age: Duration::from_millis(row.age_ms.into()),
        }
    }
}

fn push(waiting: &mut Vec<Waiting>, now: Time, sent: Sent) {
    if waiting.len() < MAX_WAITING {
        let at = now - sent.age;
        waiting.push(Waiting { sent, at });
    }
}

/// The others of the region, when they are few.
fn few<'a>(ctx: &Context<'a>) -> Option<Vec<&'a name::Instance>> {
    let region = &ctx.view.get(ctx.me)?.member.region;
    let others = ctx.view.live_in_region(region).map(|it| &it.name).filter(|it| *it != ctx.me);
    let others = others.take(DIRECT).collect::<Vec<_>>();
    (others.len() < DIRECT).then_some(others)
}

fn tell(
    ctx: &Context<'_>,
    waiting: &[Waiting],
    to: &[&name::Instance],
    message: fn(Vec<Row>) -> Message,
    anchors: usize,
    out: &mut Outbox<'_>,
) {
    let fresh = waiting.iter().filter(|it| ctx.now.since(it.at) < OLD).collect::<Vec<_>>();
    let mut rest = fresh.as_slice();
    while !rest.is_empty() {
        let mut room = DATAGRAM;
        let fits = |it: &&&Waiting| {
            let size = it.sent.server.as_str().len() + ROW;
            let is_ok = size <= room;
            room = room.saturating_sub(size);
            is_ok
        };
        // A name that is too long for a datagram can't stand in the table.
        let count = rest.iter().take_while(fits).count().max(1);
        let (now, later) = rest.split_at(count);
        rest = later;
        let rows = now.iter().map(|it| it.row(ctx.now, anchors)).collect::<Vec<_>>();
        for it in to {
            out.send(it, message(rows.clone()), Class::Datagram);
        }
    }
}

impl Waiting {
    /// The row with the deepest anchors, at most `max`.
    fn row(&self, now: Time, max: usize) -> Row {
        let anchors = &self.sent.anchors;
        let age = now.since(self.at).as_millis();
        Row {
            server: self.sent.server.clone(),
            incarnation: self.sent.incarnation,
            uncached_tokens: self.sent.uncached_tokens,
            anchors: anchors[anchors.len().saturating_sub(max)..].to_vec(),
            age_ms: u16::try_from(age).unwrap_or(u16::MAX),
        }
    }
}
