//! The platform's store: objects by kind and name, lists in pages, watches, and conditional writes.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Connection, decode},
    json,
};

/// Objects on one page of a list.
const PAGE: usize = 500;
/// How long an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
}

struct Event {
    revision: u64,
    kind: String,
    removed: bool,
    object: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    kinds: BTreeMap<String, BTreeMap<String, Object>>,
    events: Vec<Event>,
}

/// One change, made together with others.
pub enum Change {
    Put(&'static str, String, String),
    Remove(&'static str, String),
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn open(ip: &str) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let state = State { revision: 100, ..State::default() };
        let store = Self { address, shared: Arc::new((Mutex::new(state), Condvar::new())) };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(&mut Connection::new(stream)));
            }
        });
        store
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().expect("the state")
    }

    /// Makes these changes at the same moment, one revision after the other.
    pub fn apply(&self, changes: Vec<Change>) {
        let mut state = self.state();
        for change in changes {
            match change {
                Change::Put(kind, name, spec) => drop(state.put(kind, &name, spec)),
                Change::Remove(kind, name) => state.remove(kind, &name),
            }
        }
        self.shared.1.notify_all();
    }

    fn serve(&self, connection: &mut Connection) -> Option<()> {
        loop {
            let head = connection.read_head().ok()??;
            let body = connection.read_body(&head).ok()?;
            thread::sleep(ANSWER_TIME);
            let (status, body) =
                self.answer(head.word(0), head.word(1), &String::from_utf8_lossy(&body));
            connection
                .respond(status, "Content-Type: application/json\r\n", body.as_bytes())
                .ok()?;
        }
    }

    fn answer(&self, method: &str, target: &str, body: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            query
                .split('&')
                .filter_map(|it| it.split_once('='))
                .find(|it| it.0 == name)
                .map(|it| decode(&it.1.replace('+', " ")))
        };
        let Some(path) = path.strip_prefix("/objects/") else { return (404, "{}".into()) };
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let (kind, name) = (&*decode(kind), &*decode(name));
        let revision = || {
            let from_body = json::get(json::get(body, "metadata").unwrap_or("{}"), "revision");
            parameter("revision")
                .or(from_body.map(str::to_owned))
                .and_then(|it| it.parse::<u64>().ok())
        };
        match (method, name) {
            ("GET", "") => match parameter("watch").and_then(|it| it.parse().ok()) {
                Some(after) => {
                    let wait = parameter("waitMs").and_then(|it| it.parse().ok()).unwrap_or(0);
                    self.watch(kind, after, Duration::from_millis(wait))
                }
                None => self.list(kind, &parameter("after").unwrap_or_default()),
            },
            ("GET", name) => match self.state().find(kind, name) {
                Some(it) => (200, render(name, it)),
                None => (404, "{}".into()),
            },
            ("POST", "") => {
                let name = json::text(json::get(body, "metadata").unwrap_or("{}"), "name");
                let mut state = self.state();
                if let Some(it) = state.find(kind, &name) {
                    return (409, render(&name, it));
                }
                let object =
                    state.put(kind, &name, json::get(body, "spec").unwrap_or("null").to_owned());
                self.shared.1.notify_all();
                (200, object)
            }
            ("PUT", name) => {
                let mut state = self.state();
                match state.find(kind, name) {
                    None => return (404, "{}".into()),
                    Some(it) if revision().is_some_and(|wanted| wanted != it.revision) => {
                        return (409, render(name, it));
                    }
                    Some(_) => {}
                }
                let object =
                    state.put(kind, name, json::get(body, "spec").unwrap_or("null").to_owned());
                self.shared.1.notify_all();
                (200, object)
            }
            ("DELETE", name) => {
                let mut state = self.state();
                match state.find(kind, name) {
                    None => (404, "{}".into()),
                    Some(it) if revision().is_some_and(|wanted| wanted != it.revision) => {
                        (409, render(name, it))
                    }
                    Some(_) => {
                        state.remove(kind, name);
                        self.shared.1.notify_all();
                        (200, "{}".into())
                    }
                }
            }
            _ => (400, "{}".into()),
        }
    }

    fn list(&self, kind: &str, after: &str) -> (u16, String) {
        let state = self.state();
        let Some(objects) = state.kinds.get(kind) else {
            return (
                200,
                format!("{{\"items\":[],\"more\":false,\"storeRevision\":{}}}", state.revision),
            );
        };
        let rest: Vec<_> = objects.iter().filter(|it| after < it.0.as_str()).collect();
        let items: Vec<String> = rest.iter().take(PAGE).map(|it| render(it.0, it.1)).collect();
        let (items, more) = (items.join(","), PAGE < rest.len());
        (
            200,
            format!("{{\"items\":[{items}],\"more\":{more},\"storeRevision\":{}}}", state.revision),
        )
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut state = self.state();
        loop {
            let news: Vec<String> = state
                .events
                .iter()
                .filter(|it| it.kind == kind && after < it.revision)
                .map(|it| format!("{{\"removed\":{},\"object\":{}}}", it.removed, it.object))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !news.is_empty() || left.is_zero() {
                let news = news.join(",");
                return (
                    200,
                    format!("{{\"events\":[{news}],\"storeRevision\":{}}}", state.revision),
                );
            }
            state = self.shared.1.wait_timeout(state, left).expect("the state").0;
        }
    }
}

impl State {
    fn find(&self, kind: &str, name: &str) -> Option<&Object> {
        self.kinds.get(kind)?.get(name)
    }

    fn put(&mut self, kind: &str, name: &str, spec: String) -> String {
        let objects = self.kinds.entry(kind.to_owned()).or_default();
        let known = objects.get(name);
        if let Some(it) = known.filter(|it| it.spec == spec) {
            return render(name, it);
        }
        self.revision += 1;
        let object = Object {
            revision: self.revision,
            created: known.map_or(self.revision, |it| it.created),
            spec,
        };
        let text = render(name, &object);
        objects.insert(name.to_owned(), object);
        self.record(kind, false, &text);
        text
    }

    fn remove(&mut self, kind: &str, name: &str) {
        let Some(mut object) = self.kinds.get_mut(kind).and_then(|it| it.remove(name)) else {
            return;
        };
        self.revision += 1;
        object.revision = self.revision;
        let text = render(name, &object);
        self.record(kind, true, &text);
    }

    fn record(&mut self, kind: &str, removed: bool, object: &str) {
        let (kind, object) = (kind.to_owned(), object.to_owned());
        self.events.push(Event { revision: self.revision, kind, removed, object });
    }
}

fn render(name: &str, it: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"createRevision\":{},\"finalizers\":[],\"deleting\":false}},\
         \"spec\":{},\"status\":null}}",
        it.revision, it.created, it.spec
    )
}
