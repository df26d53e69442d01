//! The server side of the administration API.

use std::{
    io::Read,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use rouille::{Request, Response};
use serde::{Serialize, de::DeserializeOwned};
use sha2::{Digest, Sha256};
use shallotlead_base::{code::Code, hash, id, id::Version, store::MAX_VALUE};
use shallotlead_table::{
    cell::Cell,
    change::{Edit, Proposal},
    column::Column,
    commit::Committer,
    error::Error,
    row, sheet,
    snapshot::Snapshot,
};

use crate::{api, api::Problem, backend::Backend, key, key::Operator, preview, role::Role};

/// The API's description.
pub const OPENAPI: &str = include_str!("openapi.json");

const PAGE: &str = include_str!("page.html");
/// Largest body, in bytes: a sheet of all backend servers at 4,800 fits.
const MAX_BODY: usize = MAX_VALUE;
/// Longest wait of a long poll.
const MAX_WAIT: Duration = Duration::from_secs(30);
const MAX_DECISIONS: usize = 1_000;
const DEFAULT_DECISIONS: usize = 20;
const HIDDEN: &str = "(hidden)";

/// The API's state between requests.
#[derive(Debug, Default)]
pub struct Api {
    committer: Mutex<Committer>,
}

type Answer = Result<Response, Fault>;

/// Why a request is refused.
struct Fault(Box<Problem>);

impl Fault {
    fn new(code: Code, detail: impl Into<String>) -> Self {
        Self(Box::new(Problem::new(code, detail)))
    }
}

impl From<Error> for Fault {
    fn from(error: Error) -> Self {
        Self(Box::new(Problem::from(&error)))
    }
}

/// One authenticated request.
struct Context<'a> {
    request: &'a Request,
    backend: &'a dyn Backend,
    operator: &'a Operator,
}

impl Api {
    /// Answers `request`, or `None` when its path isn't one of the API's.
    pub fn answer(&self, request: &Request, backend: &dyn Backend) -> Option<Response> {
        let path = request.url();
        if path == "/" {
            return Some(Response::html(PAGE));
        }
        let path = path.strip_prefix("/admin/v1/")?;
        let parts = path.split('/').filter(|it| !it.is_empty()).collect::<Vec<_>>();
        Some(self.route(request, backend, &parts).unwrap_or_else(|it| refuse(&it.0)))
    }

    fn route(&self, request: &Request, backend: &dyn Backend, parts: &[&str]) -> Answer {
        if let ["openapi.json"] = parts {
            return Ok(Response::from_data("application/json", OPENAPI));
        }
        let operator = authenticate(request, backend)?;
        let ctx = Context { request, backend, operator };
        match (request.method(), parts) {
            ("GET", ["table"]) => ctx.table(&row::Kind::ALL),
            ("GET", ["table", kind]) => ctx.table(&[parse_kind(kind)?]),
            ("GET", ["table", kind, name]) => ctx.row(kind, name),
            ("GET", ["table", kind, name, column]) => ctx.cell(kind, name, column),
            ("PUT", ["table", kind, name, column]) => self.put_cell(&ctx, kind, name, column),
            ("GET", ["sheets", kind]) => ctx.sheet(kind),
            ("PUT", ["sheets", kind]) => self.put_sheet(&ctx, kind),
            ("GET", ["changes"]) => self.changes(&ctx),
            ("POST", ["changes"]) => self.post_change(&ctx),
            ("GET", ["status"]) => Ok(Response::json(&backend.status())),
            ("GET", ["figures"]) => Ok(Response::json(&backend.figures())),
            ("GET", ["decisions"]) => ctx.latest_decisions(),
            ("GET", ["decisions", request]) => ctx.decisions(request),
            (_, ["table" | "sheets" | "changes" | "status" | "figures" | "decisions", ..]) => {
                let detail = "see /admin/v1/openapi.json for the paths and their methods";
                Err(Fault::new(Code::MethodNotAllowed, detail))
            }
            _ => Err(Fault::new(Code::NotFound, "see /admin/v1/openapi.json for the paths")),
        }
    }

    fn put_cell(&self, ctx: &Context<'_>, kind: &str, name: &str, column: &str) -> Answer {
        let cell = parse_cell(kind, name, column)?;
        let body = ctx.read::<api::Value>()?;
        let Some(tag) = ctx.request.header("If-Match") else {
            let detail = "send If-Match with the cell's ETag, or * to overwrite any value";
            return Err(Fault::new(Code::RequestMalformed, detail));
        };
        let expected = self.expected(ctx, &cell, tag)?;
        let edits = vec![Edit::Set { cell, expected, value: body.value.into() }];
        self.change(ctx, edits, ctx.flag("dry_run"))
    }

    /// The value that `tag` stands for. The accepted value is looked up in the store, since the
    /// table in force at this instance may be a moment behind.
    fn expected(
        &self,
        ctx: &Context<'_>,
        cell: &Cell,
        tag: &str,
    ) -> Result<Option<Arc<str>>, Fault> {
        if tag == "*" {
            return Ok(None);
        }
        let mut store = ctx.backend.store();
        let table = self.committer().read(&mut *store)?;
        let found = table.get(cell)?;
        if cell_tag(&found) == tag {
            return Ok(Some(found.into()));
        }
        let detail = format!("{cell} was changed by someone else: it is `{found}` now");
        let problem = Problem::new(Code::CellConflict, detail);
        Err(Fault(Box::new(Problem { found: Some(found), ..problem })))
    }

    fn put_sheet(&self, ctx: &Context<'_>, kind: &str) -> Answer {
        let kind = parse_kind(kind)?;
        let text = String::from_utf8(ctx.body()?)
            .map_err(|it| Fault::new(Code::RequestMalformed, it.to_string()))?;
        let mut store = ctx.backend.store();
        let table = self.committer().read(&mut *store)?;
        let edits = sheet::import(&table, kind, &text, ctx.flag("prune"))?;
        drop(store);
        self.change(ctx, edits, ctx.flag("dry_run"))
    }

    fn post_change(&self, ctx: &Context<'_>) -> Answer {
        let body = ctx.read::<api::Request>()?;
        // Cells arrive from outside, so that a column may not be one of the row's.
        for edit in &body.edits {
            if let Edit::Set { cell, .. } = edit {
                Cell::new(cell.row.clone(), cell.column)?;
            }
        }
        self.change(ctx, body.edits, body.dry_run)
    }

    fn change(&self, ctx: &Context<'_>, edits: Vec<Edit>, dry_run: bool) -> Answer {
        let needed = edits.iter().map(Role::needed).max().unwrap_or(Role::Viewer);
        ctx.require(needed)?;
        let operator = ctx.operator.name.clone();
        let proposal = Proposal { id: ctx.change_id(), operator, at: now_millis(), edits };
        let mut store = ctx.backend.store();
        let mut committer = self.committer();
        let old = committer.read(&mut *store)?;
        let preview = old.propose(&proposal);
        if dry_run || proposal.edits.is_empty() {
            let new = preview?;
            return Ok(Response::json(&outcome(&old, &new, new.version, false)));
        }
        let accepted = committer.commit(&mut *store, &proposal)?;
        ctx.backend.accepted(&accepted.change);
        // Compaction only keeps the head short: whoever makes the next change tries again.
        if let Err(error) = committer.compact(&mut *store) {
            log::warn!("table compaction failed: {error}");
        }
        let version = accepted.change.version;
        log::info!(
            "table change accepted version={version} operator={} edits={}",
            ctx.operator.name,
            proposal.edits.len()
        );
        Ok(Response::json(&outcome(&old, &accepted.snapshot, version, true)))
    }

    fn changes(&self, ctx: &Context<'_>) -> Answer {
        let after = Version(ctx.number("after")?.unwrap_or(0));
        let wait = Duration::from_millis(ctx.number("wait_ms")?.unwrap_or(0)).min(MAX_WAIT);
        let version = match wait {
            Duration::ZERO => ctx.backend.table().version,
            wait => ctx.backend.wait(after, wait).version,
        };
        let mut store = ctx.backend.store();
        let mut changes = self.committer().history(&mut *store)?;
        changes.retain(|it| after < it.version);
        if ctx.operator.role < Role::Manager {
            changes.iter_mut().for_each(|it| hide_edits(&mut it.proposal.edits));
        }
        Ok(Response::json(&api::History { version, changes }))
    }

    fn committer(&self) -> std::sync::MutexGuard<'_, Committer> {
        // The committer holds only what it read, so a panic elsewhere leaves it usable.
        self.committer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Context<'_> {
    fn table(&self, kinds: &[row::Kind]) -> Answer {
        let table = self.backend.table();
        let tag = format!("\"v{}\"", table.version);
        if self.request.header("If-None-Match") == Some(&*tag) {
            return Ok(Response::empty_204().with_status_code(304).with_unique_header("ETag", tag));
        }
        let mut rows = Vec::new();
        for kind in kinds {
            for name in table.names(*kind) {
                rows.push(self.read_row(&table, *kind, name)?);
            }
        }
        let body = api::Table { version: table.version, rows };
        Ok(Response::json(&body).with_unique_header("ETag", tag))
    }

    fn row(&self, kind: &str, name: &str) -> Answer {
        let table = self.backend.table();
        Ok(Response::json(&self.read_row(&table, parse_kind(kind)?, name)?))
    }

    fn cell(&self, kind: &str, name: &str, column: &str) -> Answer {
        let cell = parse_cell(kind, name, column)?;
        let table = self.backend.table();
        let value = table.get(&cell)?;
        let tag = cell_tag(&value);
        let value = self.visible(cell.column, value);
        Ok(Response::json(&api::Value { value }).with_unique_header("ETag", tag))
    }

    fn read_row(&self, table: &Snapshot, kind: row::Kind, name: &str) -> Result<api::Row, Fault> {
        let row = row::Key::new(kind, name)?;
        let mut cells = std::collections::BTreeMap::new();
        for column in kind.columns() {
            let cell = Cell::new(row.clone(), *column)?;
            let value = table.get(&cell)?;
            cells.insert(*column, self.visible(*column, value));
        }
        Ok(api::Row { row, cells })
    }

    fn visible(&self, column: Column, value: String) -> String {
        let hidden = column == Column::KeyHashes && self.operator.role < Role::Manager;
        if hidden && !value.is_empty() { HIDDEN.to_owned() } else { value }
    }

    fn sheet(&self, kind: &str) -> Answer {
        let kind = parse_kind(kind)?;
        if kind == row::Kind::Organisation {
            self.require(Role::Manager)?;
        }
        let text = sheet::export(&self.backend.table(), kind)?;
        Ok(Response::from_data("text/csv; charset=utf-8", text))
    }

    fn latest_decisions(&self) -> Answer {
        let count = self.number("count")?.map_or(DEFAULT_DECISIONS, |it| it as usize);
        Ok(Response::json(&self.backend.latest_decisions(count.min(MAX_DECISIONS))))
    }

    fn decisions(&self, request: &str) -> Answer {
        let Ok(id) = request.parse::<id::Request>() else {
            let detail = "expected a request id of 32 hexadecimal digits";
            return Err(Fault::new(Code::RequestMalformed, detail));
        };
        let found = self.backend.decisions(id);
        if found.decisions.is_empty() {
            let detail = format!(
                "{} keeps no decision on {id}: it may be older than what is kept, or another \
                 instance took it",
                found.instance
            );
            return Err(Fault::new(Code::NotFound, detail));
        }
        Ok(Response::json(&found))
    }

    fn require(&self, needed: Role) -> Result<(), Fault> {
        let Operator { name, role, .. } = self.operator;
        if needed <= *role {
            return Ok(());
        }
        let detail = format!("{name} has the role {role}; this needs {needed}");
        Err(Fault::new(Code::Forbidden, detail))
    }

    fn body(&self) -> Result<Vec<u8>, Fault> {
        let mut bytes = Vec::new();
        let Some(data) = self.request.data() else { return Ok(bytes) };
        let mut bounded = data.take(MAX_BODY as u64 + 1);
        bounded
            .read_to_end(&mut bytes)
            .map_err(|it| Fault::new(Code::RequestMalformed, it.to_string()))?;
        if MAX_BODY < bytes.len() {
            let detail = format!("a body holds at most {MAX_BODY} bytes");
            return Err(Fault::new(Code::RequestTooLarge, detail));
        }
        Ok(bytes)
    }

    fn read<T: DeserializeOwned>(&self) -> Result<T, Fault> {
        serde_json::from_slice(&self.body()?)
            .map_err(|it| Fault::new(Code::RequestMalformed, it.to_string()))
    }

    fn number(&self, name: &str) -> Result<Option<u64>, Fault> {
        let Some(text) = self.request.get_param(name) else { return Ok(None) };
        let fault = |_| Fault::new(Code::RequestMalformed, format!("{name}: expected a number"));
        text.parse().map(Some).map_err(fault)
    }

    fn flag(&self, name: &str) -> bool {
        self.request.get_param(name).is_some_and(|it| it == "true" || it == "1")
    }

    /// With an `Idempotency-Key`, the same change sent again after a lost answer is the same change.
    fn change_id(&self) -> u128 {
        let Some(key) = self.request.header("Idempotency-Key") else {
            return self.backend.random();
        };
        let digest = Sha256::new()
            .chain_update(self.operator.name.as_bytes())
            .chain_update([0])
            .chain_update(key.as_bytes())
            .finalize();
        digest.iter().take(16).fold(0, |id, byte| id << 8 | u128::from(*byte))
    }
}

fn authenticate<'a>(request: &Request, backend: &'a dyn Backend) -> Result<&'a Operator, Fault> {
    let key = request.header("Authorization").and_then(|it| it.strip_prefix("Bearer "));
    key.and_then(|it| key::find(backend.operators(), it.trim())).ok_or_else(|| {
        let detail = "send an operator's key as `Authorization: Bearer KEY`";
        Fault::new(Code::KeyUnknown, detail)
    })
}

fn parse_kind(text: &str) -> Result<row::Kind, Fault> {
    Ok(text.parse::<row::Kind>()?)
}

fn parse_cell(kind: &str, name: &str, column: &str) -> Result<Cell, Fault> {
    let row = row::Key::new(parse_kind(kind)?, name)?;
    Ok(Cell::new(row, column.parse::<Column>()?)?)
}

fn cell_tag(value: &str) -> String {
    format!("\"{:016x}\"", hash::stable(value.as_bytes()))
}

fn outcome(old: &Snapshot, new: &Snapshot, version: Version, accepted: bool) -> api::Outcome {
    let touched = preview::touched(old, new);
    api::Outcome { version, accepted, touched, effects: preview::effects(old, new) }
}

fn hide_edits(edits: &mut [Edit]) {
    for edit in edits {
        match edit {
            Edit::Set { cell, expected, value } if cell.column == Column::KeyHashes => {
                *expected = None;
                *value = HIDDEN.into();
            }
            Edit::Add { cells, .. } => cells
                .iter_mut()
                .filter(|it| it.column == Column::KeyHashes)
                .for_each(|it| it.value = HIDDEN.into()),
            Edit::Set { .. } | Edit::Remove { .. } => {}
        }
    }
}

fn now_millis() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}

fn refuse(problem: &Problem) -> Response {
    let body = to_json(problem);
    let response = Response::from_data("application/problem+json", body);
    response.with_status_code(problem.status).with_unique_header("x-code", problem.code.to_string())
}

fn to_json(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}
