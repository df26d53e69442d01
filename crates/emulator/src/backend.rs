//! Backend servers: model engines and plain servers.

mod cache;
pub(crate) mod registration;

use std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use shallotlead_base::time::Time;
use shallotlead_gateway::{
    adapter::{Incarnation, Load},
    http::write,
};

use crate::{
    format::{self, Order, Report, names},
    ledger::{Kind, Ledger},
    network::Handle,
    process::{Next, Process},
    server::{Call, Server},
    sockets::Id,
};

use cache::Cache;

/// How fast and how large a server is.
#[derive(Clone, Copy, Debug)]
pub struct Power {
    /// Requests that run at the same time.
    pub slots: usize,
    /// Requests that wait for a slot; further ones are declined.
    pub queue: usize,
    /// Time to prefill a token that isn't cached.
    pub prefill: Duration,
    /// Time for one event of a stream.
    pub decode: Duration,
    /// Tokens in the cache.
    pub capacity_tokens: u32,
    /// Mean time of a request that is no prompt.
    pub work: Duration,
    /// Time to load weights.
    pub load: Duration,
}

/// Fraction of answers without framing.
const UNFRAMED_FRACTION: f64 = 0.1;
/// Fraction of streams that are sent without regard to where events end, and bytes of an event that follow later.
const SPLIT_FRACTION: f64 = 0.3;
const SPLIT_BYTES: usize = 6;

/// What a server is.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    pub(crate) name: Arc<str>,
    pub(crate) service: Arc<str>,
    pub(crate) address: SocketAddr,
    pub(crate) incarnation: Incarnation,
    /// The model and its weights, of an engine.
    pub(crate) model: Option<(Arc<str>, u64)>,
}

/// A request that waits or runs.
struct Run {
    call: Call,
    id: Box<str>,
    request: (Kind, u64),
    /// Number of the next event.
    next_event: u64,
    last_event: u64,
    /// When the next event, or the answer, is due.
    due: Time,
    has_begun: bool,
    /// Whether its answer has neither a length nor chunks, and ends with the connection.
    is_unframed: bool,
    /// Whether the bytes of its events are sent without regard to where events end.
    is_split: bool,
    /// The end of the last event, which is sent with the next one.
    unsent: Vec<u8>,
}

/// A backend server's process.
pub(crate) struct Backend {
    /// Its name, for logs.
    name: Arc<str>,
    registration: registration::Shared,
    power: Power,
    server: Server,
    ledger: Ledger,
    rng: SmallRng,
    cache: Cache,
    queue: VecDeque<Run>,
    running: Vec<Run>,
    /// When the prefills so far are done; one follows the other.
    prefilled_at: Time,
    orders: u64,
    fence: u64,
    /// The weights that are being loaded, and until when.
    loading: Option<(u64, Time)>,
}

/// The text of an event of a request's stream: every run of it writes the same.
pub(crate) fn event_text(request: (Kind, u64), number: u64) -> String {
    format!("id: {number}\ndata: {}-{}-{number}\n\n", request.0.route(), request.1)
}

/// The body of the answer to a request that is no prompt.
pub(crate) fn body_text(request: (Kind, u64)) -> String {
    format!("the answer to {}-{}", request.0.route(), request.1)
}

impl Backend {
    pub(crate) fn listen(
        handle: Handle,
        registration: registration::Shared,
        power: Power,
        ledger: Ledger,
        seed: u64,
    ) -> Self {
        let (name, address) = {
            let identity = &registration.borrow().identity;
            (identity.name.clone(), identity.address)
        };
        Self {
            name,
            registration,
            server: Server::listen(handle, address),
            cache: Cache::new(power.capacity_tokens),
            power,
            ledger,
            rng: SmallRng::seed_from_u64(seed),
            queue: VecDeque::new(),
            running: Vec::new(),
            prefilled_at: Time::ZERO,
            orders: 0,
            fence: 0,
            loading: None,
        }
    }

    /// The version of its weights, of an engine.
    fn weights(&self) -> Option<u64> {
        self.registration.borrow().identity.model.as_ref().map(|it| it.1)
    }

    fn load(&self) -> Load {
        Load { running: self.running.len() as u32, waiting: self.queue.len() as u32 }
    }

    fn own_fields(&self) -> Vec<(&'static str, String)> {
        let Load { running, waiting } = self.load();
        let mut fields = vec![
            (names::SERVER, self.name.to_string()),
            (names::SIGNATURE, "1".to_owned()),
            (names::LOAD, format!("{running},{waiting}")),
        ];
        if let Some(version) = self.weights() {
            fields.push((names::WEIGHTS, version.to_string()));
        }
        fields
    }

    fn respond(&mut self, connection: Id, status: u16, body: &[u8], id: Option<&str>) {
        let mut fields = self.own_fields();
        fields.extend(id.map(|it| (names::REQUEST, it.to_owned())));
        self.server.send(connection, &write::response(status, "text/plain", body, &fields));
    }

    fn decline(&mut self, connection: Id, status: u16, id: &str) {
        self.ledger.records.borrow_mut().declined += 1;
        let mut fields = self.own_fields();
        fields.push((names::DECLINED, "1".to_owned()));
        fields.push((names::REQUEST, id.to_owned()));
        self.server.send(connection, &write::response(status, "text/plain", b"", &fields));
    }

    fn handle(&mut self, now: Time, call: Call) {
        match call.head.path() {
            names::REPORT => {
                let identity = self.registration.borrow().identity.clone();
                let report = Report {
                    models: identity.model.into_iter().collect(),
                    accepted_orders: self.orders,
                    load: self.load(),
                    incarnation: Some(identity.incarnation),
                };
                let body = serde_json::to_vec(&report).unwrap_or_default();
                self.respond(call.connection, 200, &body, None);
            }
            names::HEALTH => self.respond(call.connection, 200, b"", None),
            names::ORDER => self.handle_order(now, &call),
            _ => self.handle_request(now, call),
        }
    }

    fn handle_order(&mut self, now: Time, call: &Call) {
        let Ok(order) = serde_json::from_slice::<Order>(&call.body) else { return };
        let version = self.weights().unwrap_or(0);
        let status = match () {
            () if call.get(names::SERVER) != &*self.name => 421,
            () if order.fence < self.fence => 412,
            () if self.loading.is_some() || order.expected_orders != self.orders => 409,
            () if order.version == version => 200,
            () => 202,
        };
        if status == 202 {
            self.fence = order.fence;
            self.orders += 1;
            self.ledger.ordered(now, &self.name, order.fence);
            self.loading = Some((order.version, now + self.power.load));
        }
        self.ledger.journal.line(now, &self.name, format_args!("order {status}"));
        self.respond(call.connection, status, b"", None);
    }

    fn handle_request(&mut self, now: Time, call: Call) {
        let id: Box<str> = call.get(names::REQUEST).into();
        let Some(request) = Kind::of_path(call.head.path()) else { return };
        self.ledger.arrived(now, &self.name, &id, request.0);
        let expected = call.number(names::WEIGHTS);
        let version = self.weights();
        if call.get(names::SERVER) != &*self.name || (expected.is_some() && expected != version) {
            self.decline(call.connection, 421, &id);
            return;
        }
        if self.loading.is_some()
            || (self.power.slots <= self.running.len() && self.power.queue <= self.queue.len())
        {
            self.decline(call.connection, 503, &id);
            return;
        }
        let next_event = call.number(names::LAST_EVENT).unwrap_or(0) + 1;
        let last_event = call.number(names::EVENTS).unwrap_or(0);
        self.queue.push_back(Run {
            call,
            id,
            request,
            next_event,
            last_event,
            due: Time::MAX,
            has_begun: false,
            is_unframed: self.rng.random::<f64>() < UNFRAMED_FRACTION,
            is_split: self.rng.random::<f64>() < SPLIT_FRACTION,
            unsent: Vec::new(),
        });
    }

    fn start_queued(&mut self, now: Time) {
        while self.running.len() < self.power.slots {
            let Some(mut run) = self.queue.pop_front() else { return };
            self.ledger.ran(now, &self.name, &run.id, run.request);
            if let Some(version) = self.weights() {
                self.ledger.began_on(now, &self.name, &run.id, version);
            }
            run.due = match run.request.0.is_stream() {
                true => self.prefill(now, &run.call),
                false => now + self.power.work.mul_f64(-self.rng.random::<f64>().max(1e-9).ln()),
            };
            self.running.push(run);
        }
    }

    /// When the prompt of a request is prefilled.
    fn prefill(&mut self, now: Time, call: &Call) -> Time {
        let parts = format::parse_parts(call.get(names::PARTS));
        let total: u32 = parts.iter().map(|it| it.tokens).sum();
        let uncached = self.cache.insert(&parts);
        let mut records = self.ledger.records.borrow_mut();
        records.prompt_tokens += u64::from(total);
        records.prefilled_tokens += u64::from(uncached);
        self.prefilled_at = now.max(self.prefilled_at) + self.power.prefill * uncached;
        self.prefilled_at + self.power.decode
    }

    /// Sends what is due of the requests that run.
    fn send_due(&mut self, now: Time) {
        for mut run in std::mem::take(&mut self.running) {
            if now < run.due {
                self.running.push(run);
            } else if run.request.0.is_stream() {
                self.send_event(now, &mut run);
                if run.next_event <= run.last_event {
                    self.running.push(run);
                }
            } else {
                self.send_body(&run);
            }
        }
    }

    fn write_head(&self, run: &Run, content_type: &str) -> Vec<u8> {
        let mut head = Vec::new();
        write::status_line(&mut head, 200);
        write::field(&mut head, "Content-Type", content_type.as_bytes());
        write::field(&mut head, names::REQUEST, run.id.as_bytes());
        for (name, value) in self.own_fields() {
            write::field(&mut head, name, value.as_bytes());
        }
        if run.request.0.is_stream() && !run.is_unframed {
            write::field(&mut head, "Transfer-Encoding", b"chunked");
        }
        write::end_head(&mut head);
        head
    }

    fn send_body(&mut self, run: &Run) {
        let (connection, body) = (run.call.connection, body_text(run.request));
        if !run.is_unframed {
            self.respond(connection, 200, body.as_bytes(), Some(&run.id));
            return;
        }
        let head = self.write_head(run, "text/plain");
        self.server.send(connection, &[head, body.into_bytes()].concat());
        self.server.close(connection);
    }

    fn send_event(&mut self, now: Time, run: &mut Run) {
        let mut bytes = Vec::new();
        if !std::mem::replace(&mut run.has_begun, true) {
            bytes = self.write_head(run, "text/event-stream");
        }
        if run.next_event <= run.last_event {
            run.unsent.extend_from_slice(event_text(run.request, run.next_event).as_bytes());
        }
        let is_last = run.last_event <= run.next_event;
        let kept = if run.is_split && !is_last { SPLIT_BYTES } else { 0 };
        let unsent = run.unsent.split_off(run.unsent.len() - kept);
        let piece = std::mem::replace(&mut run.unsent, unsent);
        match run.is_unframed {
            true => bytes.extend_from_slice(&piece),
            false => write::chunk(&mut bytes, &piece),
        }
        run.next_event += 1;
        run.due = now + self.power.decode;
        let is_whole = run.last_event < run.next_event;
        if is_whole && !run.is_unframed {
            bytes.extend_from_slice(write::LAST_CHUNK);
        }
        self.server.send(run.call.connection, &bytes);
        if is_whole && run.is_unframed {
            self.server.close(run.call.connection);
        }
    }

    fn finish_loading(&mut self, now: Time) {
        if let Some((version, at)) = self.loading
            && at <= now
        {
            self.registration.borrow_mut().set_weights(version);
            self.loading = None;
            self.cache = Cache::new(self.power.capacity_tokens);
        }
    }
}

impl Process for Backend {
    fn turn(&mut self, now: Time) -> Next {
        self.finish_loading(now);
        let received = self.server.receive();
        self.queue.retain(|it| !received.ended.contains(&it.call.connection));
        self.running.retain(|it| !received.ended.contains(&it.call.connection));
        for call in received.calls {
            self.handle(now, call);
        }
        self.send_due(now);
        self.start_queued(now);
        let loaded = self.loading.map(|it| it.1);
        Next::or_at(self.running.iter().map(|it| it.due).chain(loaded).min())
    }
}
