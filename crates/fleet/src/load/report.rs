//! Load of servers and of data centres.
//!
//! Reports lose precision between instances: ages are rounded up to 20 ms and limited to 5 s, counts
//! of requests are limited to 65,535, waiting tokens are rounded up to multiples of 512, used blocks
//! are a share in units of 1/255 of all blocks, and total blocks are rounded up to multiples of 1,024.

use std::collections::BTreeMap;

pub use shallotlead_base::load::Report;
use shallotlead_base::name;

/// Load of a data centre's servers, summarized by model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Summary {
    /// The data centre.
    pub centre: name::Centre,
    /// Totals by model or plain service.
    pub totals: BTreeMap<name::Model, Total>,
}

/// Total load of the servers of one model in one data centre.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Total {
    /// Servers with a recent report.
    pub servers: u32,
    /// Requests waiting for prefill.
    pub waiting: u32,
    /// Requests in running batches.
    pub running: u32,
    /// Prompt tokens waiting for prefill, rounded up to multiples of 512.
    pub waiting_tokens: u32,
}

impl Total {
    pub(crate) fn add(&mut self, report: &Report) {
        self.servers += 1;
        self.waiting += report.waiting;
        self.running += report.running;
        self.waiting_tokens = self.waiting_tokens.saturating_add(report.waiting_tokens);
    }
}
