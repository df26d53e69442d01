//! The endpoints at which operators list the servers that limit their request rate, and those at risk from rejections.

use super::json;
use crate::{
    core::Core,
    http::head::Request,
    rate_limit::endpoint::{Entry, PATH, TOLERANCES_PATH, Tolerance},
};

impl Core {
    /// Status and body of the answer; `None` if the request is for another endpoint.
    pub(super) fn answer_limits(&self, head: &Request) -> Option<(u16, Vec<u8>)> {
        Some(match (head.path(), &*head.method) {
            (PATH, "GET") => json(200, &self.limit_entries()),
            (TOLERANCES_PATH, "GET") => json(200, &self.tolerance_entries()),
            (PATH | TOLERANCES_PATH, _) => super::problem(405, "expected GET"),
            _ => return None,
        })
    }

    fn limit_entries(&self) -> Vec<Entry> {
        let entries = self.pool.listed().filter_map(|(_, server)| {
            Some(Entry {
                server: server.name.to_string(),
                service: server.service.to_string(),
                per_second: server.limit.per_second()?,
                age_ms: server.limit.age(self.now).as_millis() as u64,
                home: self.limit_owner(server).name.to_string(),
                closed_ms: server.limit.opens_at().since(self.now).as_millis() as u64,
            })
        });
        entries.collect()
    }

    fn tolerance_entries(&self) -> Vec<Tolerance> {
        let entries = self.pool.listed().filter_map(|(_, server)| {
            Some(Tolerance {
                server: server.name.to_string(),
                service: server.service.to_string(),
                rejections_per_second: server.limit.tolerance()?,
                age_ms: server.limit.tolerance_age(self.now).as_millis() as u64,
                home: self.limit_owner(server).name.to_string(),
                closed_ms: server.limit.opens_at().since(self.now).as_millis() as u64,
            })
        });
        entries.collect()
    }
}
