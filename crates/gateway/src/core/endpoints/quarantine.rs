//! The endpoint at which operators list the requests in quarantine and release one.

use super::{json, problem};
use crate::{
    core::Core,
    http::head::Request,
    quarantine::{
        Identity,
        endpoint::{Entry, PATH, Release},
    },
};

impl Core {
    /// Status and body of the answer; `None` if the request is for another endpoint.
    pub(super) fn answer_quarantine(&mut self, head: &Request) -> Option<(u16, Vec<u8>)> {
        let rest = head.path().strip_prefix(PATH)?;
        if rest.is_empty() {
            return Some(match &*head.method {
                "GET" => json(200, &self.quarantine_entries()),
                _ => problem(405, "expected GET, or DELETE of one identity"),
            });
        }
        let identity = rest.strip_prefix('/')?;
        Some(match (&*head.method, identity.parse::<Identity>()) {
            ("DELETE", Ok(identity)) => self.release_by_operator(identity),
            ("DELETE", Err(err)) => problem(400, &err.to_string()),
            _ => problem(405, "expected DELETE"),
        })
    }

    fn quarantine_entries(&self) -> Vec<Entry> {
        let records = self.quarantine.records(self.now).into_iter();
        let entries = records.map(|it| Entry {
            identity: it.identity.to_string(),
            part: it.identity.part_text(),
            crashes: it.incarnations.len(),
            last_seen_ms: it.age_ms,
        });
        entries.collect()
    }

    fn release_by_operator(&mut self, identity: Identity) -> (u16, Vec<u8>) {
        const REASON: &str = "operator";
        if !self.quarantine.is_tracked(&identity) {
            return problem(404, "no such request or part in quarantine");
        }
        if !self.release(identity, REASON) {
            // Suspected because of one crash at most, the request isn't in the log yet.
            self.log
                .line(self.now, "released")
                .text("identity", &identity.to_string())
                .text("reason", REASON);
        }
        json(200, &Release { released: true })
    }
}
