//! The platform's store.

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use shallotlead_base::{store::Key, time::Time};
use shallotlead_gateway::http::write;

use crate::{
    format::{
        names,
        store::{self as wire, Answer, Event, Item, Query},
    },
    journal::Journal,
    network::{Handle, Host, Shared},
    process::{Next, Process},
    server::Server,
    sockets::Id,
};

/// What is stored.
#[derive(Debug, Default)]
struct Content {
    objects: BTreeMap<Key, (u64, Vec<u8>)>,
    changes: Vec<Event>,
    revision: u64,
}

/// Access to what is stored, for those that write it directly.
#[derive(Clone)]
pub(crate) struct Objects {
    content: Rc<RefCell<Content>>,
    network: Shared,
    /// The machine of the store.
    host: Host,
}

impl Objects {
    pub(crate) fn new(network: Shared, host: Host) -> Self {
        Self { content: Rc::default(), network, host }
    }

    /// Writes an object.
    pub(crate) fn put(&self, kind: &str, name: &str, value: Vec<u8>) {
        self.content.borrow_mut().put(Key::new(kind, name), value);
        self.network.borrow_mut().wake(self.host);
    }
}

impl Content {
    fn put(&mut self, key: Key, value: Vec<u8>) -> u64 {
        self.revision += 1;
        let event = Event { key: key.clone(), revision: self.revision, value: Some(value.clone()) };
        self.changes.push(event);
        self.objects.insert(key, (self.revision, value));
        self.revision
    }

    fn remove(&mut self, key: Key) {
        if self.objects.remove(&key).is_some() {
            self.revision += 1;
            self.changes.push(Event { key, revision: self.revision, value: None });
        }
    }

    fn get(&self, key: &Key) -> Option<Item> {
        let (revision, value) = self.objects.get(key)?;
        Some(Item { key: key.clone(), revision: *revision, value: value.clone() })
    }

    /// Carries out a call. A watch without changes has no answer yet.
    fn call(&mut self, query: &Query) -> Option<Answer> {
        Some(match query {
            Query::Get(key) => Answer::Got(self.get(key)),
            Query::Put { key, expected, value } => {
                let found = self.get(key);
                match found.as_ref().map_or(0, |it| it.revision) == *expected {
                    true => Answer::Done(self.put(key.clone(), value.clone())),
                    false => Answer::Conflict(found),
                }
            }
            Query::Delete { key, expected } => match self.get(key) {
                Some(it) if it.revision == *expected => {
                    self.remove(key.clone());
                    Answer::Done(0)
                }
                found => Answer::Conflict(found),
            },
            Query::List { kind } => {
                let keys = self.objects.keys().filter(|it| *it.kind == **kind);
                let items = keys.filter_map(|it| self.get(it)).collect();
                Answer::Listed { items, revision: self.revision }
            }
            Query::Watch { kind, after, .. } => {
                let first = self.changes.partition_point(|it| it.revision <= *after);
                let later = self.changes[first..].iter().filter(|it| *it.key.kind == **kind);
                let events: Vec<Event> = later.cloned().collect();
                if events.is_empty() {
                    return None;
                }
                Answer::Changed { events, revision: self.revision }
            }
        })
    }
}

/// A call whose answer is not due yet.
struct Pending {
    connection: Id,
    query: Query,
    /// When a watch without changes is answered, or when any other call is carried out.
    due: Time,
}

/// The store's process.
pub(crate) struct Store {
    server: Server,
    objects: Objects,
    pending: Vec<Pending>,
    /// How long a call takes.
    latency: Rc<std::cell::Cell<Duration>>,
    journal: Journal,
}

impl Store {
    pub(crate) fn listen(
        handle: Handle,
        address: SocketAddr,
        objects: Objects,
        latency: Rc<std::cell::Cell<Duration>>,
        journal: Journal,
    ) -> Self {
        let server = Server::listen(handle, address);
        Self { server, objects, pending: Vec::new(), latency, journal }
    }

    fn answer(&mut self, connection: Id, answer: &Answer) {
        let body = postcard::to_stdvec(answer).unwrap_or_default();
        let era = [(names::ERA, "0".to_owned())];
        let bytes = write::response(200, "application/octet-stream", &body, &era);
        self.server.send(connection, &bytes);
    }

    fn answer_due(&mut self, now: Time) {
        for it in std::mem::take(&mut self.pending) {
            let is_watch = matches!(it.query, Query::Watch { .. });
            let is_due = it.due <= now;
            if !is_watch && !is_due {
                self.pending.push(it);
                continue;
            }
            if let Query::List { kind } = &it.query {
                self.journal.line(now, "list", format_args!("{kind}"));
            }
            let answer = self.objects.content.borrow_mut().call(&it.query);
            let revision = self.objects.content.borrow().revision;
            match answer {
                Some(answer) => self.answer(it.connection, &answer),
                None if is_due => {
                    let answer = Answer::Changed { events: Vec::new(), revision };
                    self.answer(it.connection, &answer);
                }
                None => self.pending.push(it),
            }
        }
    }
}

impl Process for Store {
    fn turn(&mut self, now: Time) -> Next {
        let received = self.server.receive();
        self.pending.retain(|it| !received.ended.contains(&it.connection));
        for call in received.calls {
            let Ok(query) = postcard::from_bytes::<Query>(&call.body) else { continue };
            let due = now + self.latency.get() + wire::wait(&query);
            self.pending.push(Pending { connection: call.connection, query, due });
        }
        self.answer_due(now);
        Next::or_at(self.pending.iter().map(|it| it.due).min())
    }
}
