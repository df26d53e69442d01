//! The API over real sockets, with a daemon that keeps everything in memory.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use shallotlead_admin::{
    api::{Decisions, Figures, Request, Status},
    backend::Backend,
    client::{Client, Error},
    key::{self, Operator},
    role::Role,
    server::{self, Api},
};
use shallotlead_base::{
    code::Code,
    id::{self, Version},
    store::{Call, Failure, Reply, Store, memory::Memory},
};
use shallotlead_table::{
    cell::Cell,
    change::{Change, Edit, Entry},
    column::Column,
    commit::Committer,
    row::{self, Kind},
    snapshot::Snapshot,
};

#[derive(Default)]
struct Objects {
    memory: Mutex<Memory>,
    down: Mutex<bool>,
    lose: Mutex<u32>,
}

/// A connection to [`Objects`].
struct Connection<'a>(&'a Objects);

impl Store for Connection<'_> {
    fn call(&mut self, call: Call) -> Reply {
        if *self.0.down.lock().unwrap() {
            let retry_after = Duration::from_secs(2);
            return Reply::Failed(Failure::NotApplied { retry_after });
        }
        let is_put = matches!(call, Call::Put { .. });
        let reply = self.0.memory.lock().unwrap().call(call);
        let mut lose = self.0.lose.lock().unwrap();
        if is_put && matches!(reply, Reply::Done(_)) && 0 < *lose {
            *lose -= 1;
            return Reply::Failed(Failure::Unknown);
        }
        reply
    }
}

struct Daemon {
    operators: Vec<Operator>,
    objects: Objects,
    ids: AtomicU64,
    accepted: Mutex<Vec<Version>>,
}

impl Backend for Daemon {
    fn operators(&self) -> &[Operator] {
        &self.operators
    }

    fn table(&self) -> Arc<Snapshot> {
        Committer::default().read(&mut Connection(&self.objects)).unwrap_or_default()
    }

    fn wait(&self, _version: Version, _wait: Duration) -> Arc<Snapshot> {
        self.table()
    }

    fn store(&self) -> Box<dyn Store + '_> {
        Box::new(Connection(&self.objects))
    }

    fn accepted(&self, change: &Change) {
        self.accepted.lock().unwrap().push(change.version);
    }

    fn status(&self) -> Status {
        Status { instance: "e1".to_owned(), ..Status::default() }
    }

    fn figures(&self) -> Figures {
        Figures::default()
    }

    fn decisions(&self, _request: id::Request) -> Decisions {
        Decisions { instance: "e1".to_owned(), decisions: Vec::new() }
    }

    fn latest_decisions(&self, _count: usize) -> Decisions {
        Decisions::default()
    }

    fn random(&self) -> u128 {
        self.ids.fetch_add(1, Ordering::SeqCst).into()
    }
}

struct Served {
    daemon: Arc<Daemon>,
    address: std::net::SocketAddr,
    stop: Option<std::sync::mpsc::Sender<()>>,
}

impl Served {
    fn client(&self, key: &str) -> Client {
        Client::new(self.address, key)
    }
}

impl Drop for Served {
    fn drop(&mut self) {
        self.stop.take();
    }
}

fn serve() -> Served {
    let operator =
        |name: &str, role| Operator { name: name.into(), role, key_hash: key::hash(name) };
    let daemon = Arc::new(Daemon {
        operators: vec![
            operator("vera", Role::Viewer),
            operator("tom", Role::Tuner),
            operator("mia", Role::Manager),
        ],
        objects: Objects::default(),
        ids: AtomicU64::new(1),
        accepted: Mutex::default(),
    });
    let api = Api::default();
    let shared = daemon.clone();
    let server = rouille::Server::new("127.0.0.1:0", move |request| {
        api.answer(request, &*shared).unwrap_or_else(rouille::Response::empty_404)
    })
    .unwrap();
    let address = server.server_addr();
    let (_thread, stop) = server.stoppable();
    let served = Served { daemon, address, stop: Some(stop) };
    let row = row::Key::new(Kind::Organisation, "umez").unwrap();
    let hash = "ab".repeat(32);
    let cells = vec![Entry { column: Column::KeyHashes, value: hash.into() }];
    served.client("mia").change(&request(vec![Edit::Add { row, cells }]), "first").unwrap();
    served
}

fn request(edits: Vec<Edit>) -> Request {
    Request { edits, dry_run: false }
}

fn weight(expected: Option<&str>, value: &str) -> Edit {
    let row = row::Key::new(Kind::Organisation, "umez").unwrap();
    let cell = Cell::new(row, Column::Weight).unwrap();
    Edit::Set { cell, expected: expected.map(Arc::from), value: value.into() }
}

fn code(error: &Error) -> Code {
    error.code().unwrap_or_else(|| panic!("{error}"))
}

fn read_weight(client: &Client) -> String {
    let table = client.table(Some(Kind::Organisation)).unwrap();
    table.rows[0].cells[&Column::Weight].clone()
}

#[test]
fn change_is_accepted_shown_and_recorded_with_its_operator() {
    let served = serve();
    let client = served.client("tom");
    let outcome = client.change(&request(vec![weight(Some("1"), "3")]), "a").unwrap();
    assert!(outcome.accepted);
    assert_eq!(outcome.touched.len(), 1);
    assert_eq!(outcome.touched[0].new.as_deref(), Some("3"));
    assert_eq!(read_weight(&client), "3");
    assert_eq!(*served.daemon.accepted.lock().unwrap(), [Version(1), Version(2)]);
    let history = client.changes(Version(1), Duration::ZERO).unwrap();
    assert_eq!(history.changes.len(), 1);
    assert_eq!(&*history.changes[0].proposal.operator, "tom");
}

#[test]
fn dry_run_changes_nothing() {
    let served = serve();
    let client = served.client("tom");
    let change = Request { edits: vec![weight(Some("1"), "3")], dry_run: true };
    let outcome = client.change(&change, "a").unwrap();
    assert!(!outcome.accepted);
    assert_eq!(outcome.touched.len(), 1);
    assert_eq!(read_weight(&client), "1");
}

// Two operators edit one cell. The second one's view was older, and the error must show what they
// expected and what is there, or they can't decide who is right.
#[test]
fn conflict_shows_both_values() {
    let served = serve();
    let client = served.client("tom");
    client.change(&request(vec![weight(Some("1"), "3")]), "a").unwrap();
    let error = client.change(&request(vec![weight(Some("1"), "4")]), "b").unwrap_err();
    let Error::Refused(problem) = &error else { panic!("{error}") };
    assert_eq!(problem.status, 409);
    assert_eq!(problem.expected.as_deref(), Some("1"));
    assert_eq!(problem.found.as_deref(), Some("3"));
}

// An operator's connection breaks after the change was accepted, and the tool sends it again. It
// must be the same change, not a second one.
#[test]
fn same_change_sent_again_is_accepted_once() {
    let served = serve();
    let client = served.client("tom");
    let change = request(vec![weight(Some("1"), "3")]);
    let first = client.change(&change, "a").unwrap();
    let error = client.change(&change, "other").unwrap_err();
    assert_eq!(code(&error), Code::CellConflict);
    let again = client.change(&change, "a").unwrap();
    assert_eq!(first.version, again.version);
    assert_eq!(client.changes(Version(0), Duration::ZERO).unwrap().changes.len(), 2);
}

// The platform's answer to the write is lost after it took effect. The operator sees the change
// accepted, once.
#[test]
fn lost_answer_of_the_platform_is_settled() {
    let served = serve();
    *served.daemon.objects.lose.lock().unwrap() = 1;
    let client = served.client("tom");
    let outcome = client.change(&request(vec![weight(Some("1"), "3")]), "a").unwrap();
    assert!(outcome.accepted);
    assert_eq!(client.changes(Version(0), Duration::ZERO).unwrap().changes.len(), 2);
}

#[test]
fn platform_outage_is_said_and_nothing_changes() {
    let served = serve();
    *served.daemon.objects.down.lock().unwrap() = true;
    let client = served.client("tom");
    let error = client.change(&request(vec![weight(Some("1"), "3")]), "a").unwrap_err();
    assert_eq!(code(&error), Code::PlatformUnavailable);
    assert!(error.to_string().contains("nothing was changed"), "{error}");
    *served.daemon.objects.down.lock().unwrap() = false;
    assert_eq!(read_weight(&client), "1");
}

#[test]
fn roles_hold() {
    let served = serve();
    let change = request(vec![weight(None, "3")]);
    assert_eq!(code(&served.client("vera").change(&change, "a").unwrap_err()), Code::Forbidden);
    assert_eq!(code(&served.client("nobody").table(None).unwrap_err()), Code::KeyUnknown);
    let row = row::Key::new(Kind::Organisation, "umez").unwrap();
    let remove = request(vec![Edit::Remove { row }]);
    assert_eq!(code(&served.client("tom").change(&remove, "a").unwrap_err()), Code::Forbidden);
    let hashes = |key: &str| {
        served.client(key).table(None).unwrap().rows[0].cells[&Column::KeyHashes].clone()
    };
    assert_eq!(hashes("vera"), "(hidden)");
    assert_eq!(hashes("mia"), "ab".repeat(32));
    let history = served.client("vera").changes(Version(0), Duration::ZERO).unwrap();
    assert!(!format!("{history:?}").contains("abab"));
    assert_eq!(
        code(&served.client("vera").export(Kind::Organisation).unwrap_err()),
        Code::Forbidden
    );
}

#[test]
fn sheet_round_trip_changes_only_what_differs() {
    let served = serve();
    let client = served.client("mia");
    let sheet = client.export(Kind::Organisation).unwrap().replace("umez,1,", "umez,6,");
    let preview = client.import(Kind::Organisation, &sheet, false, true).unwrap();
    assert!(!preview.accepted);
    let outcome = client.import(Kind::Organisation, &sheet, false, false).unwrap();
    assert_eq!(outcome.touched.len(), 1);
    assert_eq!(read_weight(&client), "6");
    let error = client.import(Kind::Organisation, "nonsense", false, false).unwrap_err();
    assert_eq!(code(&error), Code::CellInvalid);
}

#[test]
fn unknown_request_says_where_else_to_look() {
    let served = serve();
    let error = served.client("vera").decisions(id::Request(7)).unwrap_err();
    assert_eq!(code(&error), Code::NotFound);
    assert!(error.to_string().contains("another instance"), "{error}");
}

#[test]
fn description_names_every_column_and_path() {
    let description = serde_json::from_str::<serde_json::Value>(server::OPENAPI).unwrap();
    let columns = &description["components"]["schemas"]["Column"]["enum"];
    let columns = serde_json::from_value::<Vec<Column>>(columns.clone()).unwrap();
    assert_eq!(columns, Column::ALL);
    for path in ["table", "changes", "status", "figures", "decisions", "sheets/{kind}"] {
        assert!(description["paths"].get(format!("/admin/v1/{path}")).is_some(), "{path}");
    }
}
