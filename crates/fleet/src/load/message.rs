//! Messages with load reports, and their compact encoding.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use shallotlead_base::{id::Incarnation, name};

use crate::load::{
    numbers::Numbers,
    report::{Report, Summary, Total},
};

/// Unit of ages, in milliseconds.
const AGE_UNIT_MILLIS: u128 = 20;
/// Unit of tokens.
const TOKEN_UNIT: u32 = 512;
/// Unit of cache blocks.
const BLOCK_UNIT: u32 = 1_024;
/// Denominator of the share of used blocks.
const USED_SHARES: u32 = 255;

/// A load report, encoded in about 9 bytes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PackedReport {
    /// Difference between the server's number and that of the preceding report, which is lower.
    gap: u16,
    incarnation: Incarnation,
    age: u8,
    waiting: u16,
    running: u16,
    tokens: u16,
    used: u8,
    total: u16,
}

/// The summary of one data centre, encoded in about 7 bytes per model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PackedSummary {
    centre: name::Centre,
    totals: Vec<PackedTotal>,
}

/// The total of one model.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PackedTotal {
    model: u16,
    servers: u32,
    waiting: u32,
    running: u32,
    tokens: u32,
}

/// A message with load reports or summaries. `digest` identifies the numbering of servers and models.
/// The order of the variants is the wire format: append only.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// Reports of the sender's servers, for its row of the grid.
    Row {
        /// Digest of the numbering.
        digest: u32,
        /// The reports.
        reports: Vec<PackedReport>,
        /// Summaries of other data centres.
        summaries: Vec<PackedSummary>,
    },
    /// Reports of the sender's row, for its column.
    Column {
        /// Digest of the numbering.
        digest: u32,
        /// The reports.
        reports: Vec<PackedReport>,
        /// Summaries of other data centres.
        summaries: Vec<PackedSummary>,
    },
    /// The summary of the sender's data centre, for another one.
    Centre {
        /// Digest of the numbering.
        digest: u32,
        /// The summary.
        summary: PackedSummary,
    },
}

impl PackedReport {
    /// Packs the report of the server `number`, which follows that of the server `previous`.
    pub(crate) fn pack(report: &Report, age: Duration, number: u16, previous: u16) -> Self {
        let total = report.total_blocks.max(1);
        let used =
            u64::from(report.used_blocks.min(total)) * u64::from(USED_SHARES) / u64::from(total);
        Self {
            gap: number - previous,
            incarnation: report.incarnation,
            age: u8::try_from(age.as_millis().div_ceil(AGE_UNIT_MILLIS)).unwrap_or(u8::MAX),
            waiting: clamp(report.waiting),
            running: clamp(report.running),
            tokens: clamp(report.waiting_tokens.div_ceil(TOKEN_UNIT)),
            used: used as u8,
            total: clamp(report.total_blocks.div_ceil(BLOCK_UNIT)),
        }
    }

    /// Unpacks the report and the server's number, which is `previous` for the next report. Returns
    /// none if the number stands for no server.
    pub(crate) fn unpack(&self, previous: u16, numbers: &Numbers) -> Option<(u16, Report)> {
        let number = previous.checked_add(self.gap)?;
        let total_blocks = u32::from(self.total) * BLOCK_UNIT;
        let used = u64::from(total_blocks) * u64::from(self.used) / u64::from(USED_SHARES);
        let report = Report {
            server: numbers.server(number)?.clone(),
            incarnation: self.incarnation,
            age: Duration::from_millis(u64::from(self.age) * AGE_UNIT_MILLIS as u64),
            waiting: self.waiting.into(),
            running: self.running.into(),
            waiting_tokens: u32::from(self.tokens) * TOKEN_UNIT,
            used_blocks: used as u32,
            total_blocks,
        };
        Some((number, report))
    }
}

impl PackedSummary {
    pub(crate) fn pack(summary: &Summary, numbers: &Numbers) -> Self {
        let pack = |(model, it): (&name::Model, &Total)| {
            Some(PackedTotal {
                model: numbers.model_number(model)?,
                servers: it.servers,
                waiting: it.waiting,
                running: it.running,
                tokens: it.waiting_tokens.div_ceil(TOKEN_UNIT),
            })
        };
        let totals = summary.totals.iter().filter_map(pack).collect();
        Self { centre: summary.centre.clone(), totals }
    }

    pub(crate) fn unpack(&self, numbers: &Numbers) -> Summary {
        let unpack = |it: &PackedTotal| {
            let total = Total {
                servers: it.servers,
                waiting: it.waiting,
                running: it.running,
                waiting_tokens: it.tokens.saturating_mul(TOKEN_UNIT),
            };
            Some((numbers.model(it.model)?.clone(), total))
        };
        let totals = self.totals.iter().filter_map(unpack).collect();
        Summary { centre: self.centre.clone(), totals }
    }
}

fn clamp(value: u32) -> u16 {
    u16::try_from(value).unwrap_or(u16::MAX)
}
