//! The endpoint at which operators list quotas of organisations.

use std::sync::Arc;

use super::json;
use crate::{
    core::Core,
    http::head::Request,
    quota::{
        Account,
        endpoint::{Entry, PATH},
    },
};

impl Core {
    /// Status and body of the answer; `None` if the request is for another endpoint.
    pub(super) fn answer_quotas(&self, head: &Request) -> Option<(u16, Vec<u8>)> {
        Some(match (head.path(), &*head.method) {
            (PATH, "GET") => json(200, &self.quota_entries()),
            (PATH, _) => super::problem(405, "expected GET"),
            _ => return None,
        })
    }

    fn quota_entries(&self) -> Vec<Entry> {
        let entry = |(name, account): (&Arc<str>, &Account)| {
            let limit = account.limit();
            let (share, left) = account.held().unwrap_or_default();
            let (admitted, denied) = account.counts();
            Entry {
                organisation: name.to_string(),
                unit: limit.unit_name().to_owned(),
                per_second: limit.per_second,
                burst: limit.burst,
                share,
                left,
                owners: account.others().iter().map(ToString::to_string).collect(),
                admitted,
                denied,
            }
        };
        let mut entries: Vec<Entry> = self.quotas.iter().map(entry).collect();
        entries.sort_by(|a, b| a.organisation.cmp(&b.organisation));
        entries
    }
}
