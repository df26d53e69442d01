//! Load reports of backend servers: by server within a data centre, as summaries between the data
//! centres of a region.
//!
//! The instances of a data centre form a grid. Each sends its servers' reports to its row, then the
//! reports received from its row to its column. All instances have all reports within about a
//! second, while each sends to about twice the square root of their number.

use std::{collections::BTreeMap, mem, sync::Arc, time::Duration};

use grid::Grid;
use message::{Message, PackedReport, PackedSummary};
use numbers::Numbers;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use report::{Report, Summary, Total};
use serde::Serialize;
use shallotlead_base::{
    hash::{self, Map},
    name,
    time::Time,
};
use shallotlead_table::snapshot::Snapshot;

use crate::{context::Context, delivery::Delivery, membership::status_key, outbox::Outbox};

pub(crate) mod grid;
pub mod message;
pub(crate) mod numbers;
pub mod report;

/// Time between reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Most bytes of reports and summaries in one datagram.
const DATAGRAM_BUDGET: usize = 1_000;
/// A report older than this is neither summarized nor sent.
const MAX_REPORT_AGE: Duration = Duration::from_secs(4);

/// A report and the time that it describes.
#[derive(Clone, Debug)]
struct TimedReport {
    report: Report,
    at: Time,
}

/// The load reports and summaries of one instance.
#[derive(Debug)]
pub(crate) struct Load {
    /// Reports of servers that this instance keeps, not yet sent to its row.
    own: BTreeMap<name::Server, TimedReport>,
    /// Reports of the row, including this instance's own, not yet sent to its column.
    row: BTreeMap<name::Server, TimedReport>,
    /// The latest report of each server of the data centre.
    latest: Map<name::Server, TimedReport>,
    /// Summaries of other data centres, not yet sent to its row.
    summaries: BTreeMap<name::Centre, Summary>,
    /// Summaries not yet sent to its column.
    row_summaries: BTreeMap<name::Centre, Summary>,
    table: Arc<Snapshot>,
    /// Numbers of servers and models under the table in force and the one before.
    numbers: Vec<Numbers>,
    row_due: Time,
    column_due: Time,
}

/// The sender of a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Sender {
    Row,
    Column,
    Centre,
}

/// Received reports and summaries, for the daemon.
#[derive(Debug, Default)]
pub(crate) struct Received {
    pub(crate) reports: Vec<Report>,
    pub(crate) summaries: Vec<Summary>,
}

impl Load {
    pub(crate) fn new(now: Time, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let phase = REPORT_INTERVAL.mul_f64(rng.random_range(0.0..1.0));
        Self {
            own: BTreeMap::new(),
            row: BTreeMap::new(),
            latest: Map::default(),
            summaries: BTreeMap::new(),
            row_summaries: BTreeMap::new(),
            table: Arc::default(),
            numbers: Vec::new(),
            row_due: now + phase,
            column_due: now + phase + REPORT_INTERVAL / 2,
        }
    }

    /// Adds the report of a server that this instance keeps.
    pub(crate) fn add_report(&mut self, now: Time, report: Report) {
        let at = now - report.age;
        let name = report.server.clone();
        let timed = TimedReport { report, at };
        self.latest.insert(name.clone(), timed.clone());
        self.own.insert(name, timed);
    }

    /// Processes a message of a peer of this data centre, or of the instance that summarizes another.
    pub(crate) fn handle_message(&mut self, ctx: &Context<'_>, message: Message) -> Received {
        self.update_numbers(ctx);
        let mut received = Received::default();
        let (digest, reports, summaries, from) = match message {
            Message::Row { digest, reports, summaries } => {
                (digest, reports, summaries, Sender::Row)
            }
            Message::Column { digest, reports, summaries } => {
                (digest, reports, summaries, Sender::Column)
            }
            Message::Centre { digest, summary } => {
                (digest, Vec::new(), vec![summary], Sender::Centre)
            }
        };
        // Under another table, numbers stand for other servers. A message with another digest is
        // dropped; the next one follows within a second.
        let Some(numbers) = self.numbers.iter().find(|it| it.digest == digest) else {
            return received;
        };
        let mut previous = 0;
        for packed in reports {
            let Some((number, report)) = packed.unpack(previous, numbers) else { break };
            previous = number;
            let at = ctx.now - report.age;
            let name = report.server.clone();
            if self.latest.get(&name).is_some_and(|it| at <= it.at) {
                continue;
            }
            let timed = TimedReport { report: report.clone(), at };
            if from == Sender::Row {
                self.row.insert(name.clone(), timed.clone());
            }
            self.latest.insert(name, timed);
            received.reports.push(report);
        }
        for packed in summaries {
            let summary = packed.unpack(numbers);
            let centre = summary.centre.clone();
            match from {
                Sender::Centre => self.summaries.insert(centre, summary.clone()),
                Sender::Row => self.row_summaries.insert(centre, summary.clone()),
                Sender::Column => None,
            };
            received.summaries.push(summary);
        }
        received
    }

    /// Sends what is due. Returns when to call again.
    pub(crate) fn tick(&mut self, ctx: &Context<'_>, out: &mut Outbox<'_>) -> Time {
        let now = ctx.now;
        if self.row_due <= now {
            self.row_due = now + REPORT_INTERVAL;
            self.update_numbers(ctx);
            self.send_row(ctx, out);
            self.send_summary(ctx, out);
        }
        if self.column_due <= now {
            self.column_due = now + REPORT_INTERVAL;
            self.send_column(ctx, out);
        }
        self.row_due.min(self.column_due)
    }

    fn send_row(&mut self, ctx: &Context<'_>, out: &mut Outbox<'_>) {
        let own = mem::take(&mut self.own);
        let summaries = mem::take(&mut self.summaries);
        self.row.extend(own.iter().map(|(name, it)| (name.clone(), it.clone())));
        self.row_summaries.extend(summaries.iter().map(|(name, it)| (name.clone(), it.clone())));
        let Some(grid) = Grid::new(ctx) else { return };
        let Some(numbers) = self.numbers.first() else { return };
        for Datagram { digest, reports, summaries } in
            pack_datagrams(ctx.now, own.values(), numbers, &summaries)
        {
            for to in grid.row() {
                let (reports, summaries) = (reports.clone(), summaries.clone());
                out.send(to, Message::Row { digest, reports, summaries }, Delivery::Datagram);
            }
        }
    }

    fn send_column(&mut self, ctx: &Context<'_>, out: &mut Outbox<'_>) {
        let row = mem::take(&mut self.row);
        let summaries = mem::take(&mut self.row_summaries);
        let Some(grid) = Grid::new(ctx) else { return };
        let Some(numbers) = self.numbers.first() else { return };
        for Datagram { digest, reports, summaries } in
            pack_datagrams(ctx.now, row.values(), numbers, &summaries)
        {
            for to in grid.column() {
                let (reports, summaries) = (reports.clone(), summaries.clone());
                out.send(to, Message::Column { digest, reports, summaries }, Delivery::Datagram);
            }
        }
    }

    /// Sends this data centre's summary to the instances that summarize the others of the region.
    fn send_summary(&mut self, ctx: &Context<'_>, out: &mut Outbox<'_>) {
        let Some(me) = ctx.view.get(ctx.me) else { return };
        let (centre, region) = (&me.member.centre, &me.member.region);
        if summary_owner(ctx, centre) != Some(ctx.me) || self.latest.is_empty() {
            return;
        }
        let summary = self.summarize(ctx, centre);
        let Some(numbers) = self.numbers.first() else { return };
        let packed = PackedSummary::pack(&summary, numbers);
        let mut others = ctx.view.live_in_region(region).map(|it| &it.centre).collect::<Vec<_>>();
        others.sort_unstable();
        others.dedup();
        for other in others.into_iter().filter(|it| *it != centre) {
            if let Some(to) = summary_owner(ctx, other) {
                let message = Message::Centre { digest: numbers.digest, summary: packed.clone() };
                out.send(to, message, Delivery::Datagram);
            }
        }
    }

    fn summarize(&self, ctx: &Context<'_>, centre: &name::Centre) -> Summary {
        let mut totals = BTreeMap::<name::Model, Total>::new();
        for it in self.latest.values().filter(|it| ctx.now.since(it.at) < MAX_REPORT_AGE) {
            let Some(server) = ctx.table.servers.get(&it.report.server) else { continue };
            totals.entry(server.model.clone()).or_default().add(&it.report);
        }
        Summary { centre: centre.clone(), totals }
    }

    fn update_numbers(&mut self, ctx: &Context<'_>) {
        if Arc::ptr_eq(&self.table, ctx.table) && !self.numbers.is_empty() {
            return;
        }
        let Some(me) = ctx.view.get(ctx.me) else { return };
        self.table = ctx.table.clone();
        let numbers = Numbers::new(ctx.table, &me.member.centre);
        if self.numbers.first().is_none_or(|it| it.digest != numbers.digest) {
            self.numbers.insert(0, numbers);
            self.numbers.truncate(2);
        }
        let table = &self.table;
        self.latest.retain(|name, _| table.servers.contains_key(name));
    }
}

/// The instance that summarizes the load of `centre`.
fn summary_owner<'a>(ctx: &Context<'a>, centre: &name::Centre) -> Option<&'a name::Instance> {
    ctx.view.owners_in_centre(centre, status_key(centre), 1).into_iter().next()
}

/// The contents of one datagram.
struct Datagram {
    digest: u32,
    reports: Vec<PackedReport>,
    summaries: Vec<PackedSummary>,
}

/// Packs reports and summaries into datagrams of bounded size, the first of which has the summaries.
fn pack_datagrams<'a>(
    now: Time,
    reports: impl Iterator<Item = &'a TimedReport>,
    numbers: &Numbers,
    summaries: &BTreeMap<name::Centre, Summary>,
) -> Vec<Datagram> {
    let digest = numbers.digest;
    let mut summaries =
        summaries.values().map(|it| PackedSummary::pack(it, numbers)).collect::<Vec<_>>();
    let fresh = reports.filter(|it| now.since(it.at) < MAX_REPORT_AGE);
    let numbered = fresh.filter_map(|it| Some((numbers.server_number(&it.report.server)?, it)));
    let mut numbered = numbered.collect::<Vec<_>>();
    numbered.sort_unstable_by_key(|(number, _)| *number);
    let mut datagrams = Vec::new();
    let mut reports = Vec::new();
    let mut previous = 0;
    let mut room = DATAGRAM_BUDGET.saturating_sub(summaries.iter().map(size).sum());
    for (number, timed) in numbered {
        let age = now.since(timed.at);
        let mut packed = PackedReport::pack(&timed.report, age, number, previous);
        if room < size(&packed) {
            let (reports, summaries) = (mem::take(&mut reports), mem::take(&mut summaries));
            datagrams.push(Datagram { digest, reports, summaries });
            room = DATAGRAM_BUDGET;
            packed = PackedReport::pack(&timed.report, age, number, 0);
        }
        room -= size(&packed);
        previous = number;
        reports.push(packed);
    }
    if !reports.is_empty() || !summaries.is_empty() {
        datagrams.push(Datagram { digest, reports, summaries });
    }
    datagrams
}

fn size<T: Serialize>(it: &T) -> usize {
    postcard::experimental::serialized_size(it).unwrap_or(DATAGRAM_BUDGET)
}

/// Stable digest of `names` in their order.
fn digest<'a>(names: impl Iterator<Item = &'a str>) -> u64 {
    names.fold(0, |digest, it| hash::seeded(it.as_bytes(), digest))
}
