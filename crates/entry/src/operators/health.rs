//! The instance's health.

use rouille::Response;
use serde::Serialize;

use crate::shell::Handle;

/// Answers 200 while the instance takes new work and 503 while it leaves.
pub(crate) fn page(shell: &Handle) -> Response {
    let draining = shell.draining();
    let identity = shell.identity();
    let page = Page {
        instance: identity.instance.as_str(),
        incarnation: identity.incarnation.0,
        state: if draining { "draining" } else { "up" },
        table: shell.table().version.0,
        open_requests: shell.open_requests(),
    };
    Response::json(&page).with_status_code(if draining { 503 } else { 200 })
}

#[derive(Serialize)]
struct Page<'a> {
    instance: &'a str,
    incarnation: u64,
    state: &'a str,
    table: u64,
    open_requests: usize,
}
