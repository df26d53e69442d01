//! Workers: they run requests, report their state, and carry out orders.

use std::{
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Connection, Head},
    json,
    record::Record,
    store::{Change, Store},
};

/// Time that new weights take.
const LOAD_TIME: Duration = Duration::from_millis(570);

#[derive(Clone)]
pub struct Spec {
    pub id: String,
    pub service: &'static str,
    pub model: Option<&'static str>,
    /// How long a request takes.
    pub work: Duration,
    /// Length of an answer's body.
    pub answer_bytes: usize,
    /// Whether an answer has no length and ends with its connection. Half of it is sent at the start of the work.
    pub is_unframed: bool,
}

struct State {
    version: u64,
    orders: u64,
    entries: u64,
    loading: Option<(u64, Instant)>,
    running: u32,
}

#[derive(Clone)]
pub struct Worker {
    pub spec: Spec,
    /// Where it listens.
    pub address: SocketAddr,
    /// What its entry says: its own address, or that of a proxy before it.
    pub shown: SocketAddr,
    state: Arc<Mutex<State>>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    has_ended: Arc<AtomicBool>,
    /// It leaves, and says so in its answers.
    is_leaving: Arc<AtomicBool>,
    record: Record,
    store: Store,
}

impl Worker {
    pub fn open(spec: Spec, ip: &str, record: &Record, store: &Store) -> Self {
        Self::open_at(spec, SocketAddr::new(ip.parse().expect("an address"), 0), record, store)
    }

    /// Starts again at the same address, as another incarnation.
    pub fn restart(&self, id: &str) -> Self {
        self.record.line(&format!("{} starts again as {id}", self.spec.id));
        let spec = Spec { id: id.to_owned(), ..self.spec.clone() };
        Self::open_at(spec, self.address, &self.record, &self.store)
    }

    fn open_at(spec: Spec, address: SocketAddr, record: &Record, store: &Store) -> Self {
        let listener = TcpListener::bind(address).expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let state = State { version: 1, orders: 0, entries: 0, loading: None, running: 0 };
        let worker = Self {
            spec,
            address,
            shown: address,
            state: Arc::new(Mutex::new(state)),
            streams: Arc::default(),
            has_ended: Arc::default(),
            is_leaving: Arc::default(),
            record: record.clone(),
            store: store.clone(),
        };
        let served = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if served.has_ended.load(Ordering::SeqCst) {
                    return;
                }
                let copy = stream.try_clone().expect("a copy of the socket");
                served.streams.lock().expect("the sockets").push(copy);
                let worker = served.clone();
                thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    worker.serve(&mut connection);
                    let _ = connection.stream.shutdown(Shutdown::Both);
                });
            }
        });
        worker
    }

    /// The change that registers it, or shows its new state.
    pub fn entry(&self, state: &str) -> Change {
        let mut own = self.state.lock().expect("the state");
        own.entries += 1;
        let models = match self.spec.model {
            Some(it) => {
                format!("{{\"name\":\"{it}\",\"version\":{},\"adapters\":[]}}", own.version)
            }
            None => String::new(),
        };
        let spec = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":16,\"state\":\"{state}\",\
             \"coldLeftMs\":0,\"stage\":\"both\",\"models\":[{models}],\"seq\":{}}}",
            self.spec.service, self.shown, own.entries
        );
        Change::Put("servers", self.spec.id.clone(), spec)
    }

    /// The change that removes its entry.
    pub fn removal(&self) -> Change {
        Change::Remove("servers", self.spec.id.clone())
    }

    /// Has it close each connection after the next answer, as a worker that leaves does.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
    }

    /// Ends the process: all its connections are closed, and new ones are refused.
    pub fn end(&self) {
        self.record.line(&format!("{} ends", self.spec.id));
        self.has_ended.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().expect("the sockets").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the listener, which closes its socket.
        let _ = TcpStream::connect(self.address);
    }

    fn serve(&self, connection: &mut Connection) -> Option<()> {
        loop {
            let head = connection.read_head().ok()??;
            let body = connection.read_body(&head).ok()?;
            if self.has_ended.load(Ordering::SeqCst) {
                return None;
            }
            match (head.word(0), head.word(1)) {
                ("GET", "/report") => {
                    let report = self.report();
                    connection
                        .respond(200, "Content-Type: application/json\r\n", report.as_bytes())
                        .ok()?;
                }
                ("GET", "/health") => {
                    let fields = format!("Instance-Id: {}\r\n", self.spec.id);
                    connection.respond(200, &fields, b"").ok()?;
                }
                ("POST", "/order") => {
                    let status = self.take_order(&head, &String::from_utf8_lossy(&body));
                    connection.respond(status, "", b"").ok()?;
                }
                _ => self.run(connection, &head)?,
            }
        }
    }

    fn answer_unframed(&self, connection: &mut Connection, id: &str) -> Option<()> {
        let seal = format!(
            "Request-Id: {id}\r\nResponse-Seal: 1.{id}\r\nInstance-Id: {}\r\n",
            self.spec.id
        );
        let head = format!("HTTP/1.1 200 OK\r\n{seal}Connection: close\r\n\r\n");
        let half = vec![b'x'; self.spec.answer_bytes / 2];
        connection.write(&[head.as_bytes(), &half].concat()).ok()?;
        thread::sleep(self.spec.work);
        if !self.has_ended.load(Ordering::SeqCst) {
            connection.write(&half).ok()?;
        }
        self.state.lock().expect("the state").running -= 1;
        None
    }

    fn report(&self) -> String {
        let mut state = self.state.lock().expect("the state");
        state.finish_loading();
        let models = match self.spec.model {
            Some(it) => {
                format!("{{\"name\":\"{it}\",\"version\":{},\"adapters\":[]}}", state.version)
            }
            None => String::new(),
        };
        format!(
            "{{\"stage\":\"both\",\"models\":[{models}],\"busy\":{},\"seq\":{},\"waiting\":0,\"running\":{},\"kvUsed\":0,\
             \"kvTotal\":90000,\"handles\":0,\"state\":\"ready\"}}",
            state.loading.is_some(),
            state.orders,
            state.running
        )
    }

    fn take_order(&self, head: &Head, body: &str) -> u16 {
        let version = json::number(body, "version");
        let status = {
            let mut state = self.state.lock().expect("the state");
            state.finish_loading();
            let is_other = head.get("expect-instance").is_some_and(|it| it != self.spec.id);
            let expected = json::get(body, "expect").and_then(|it| it.parse::<u64>().ok());
            match () {
                () if is_other => 421,
                () if json::get(body, "holder").is_none() || json::get(body, "fence").is_none() => {
                    400
                }
                () if state.version == version => 200,
                () if state.loading.is_some() || expected.is_some_and(|it| it != state.orders) => {
                    409
                }
                () => {
                    state.orders += 1;
                    state.loading = Some((version, Instant::now() + LOAD_TIME));
                    202
                }
            }
        };
        self.record.order(
            &self.spec.id,
            &json::text(body, "holder"),
            json::number(body, "fence"),
            version,
            status,
        );
        if status == 202 {
            let worker = self.clone();
            thread::spawn(move || {
                thread::sleep(LOAD_TIME + Duration::from_millis(1));
                worker.state.lock().expect("the state").finish_loading();
                let entry = worker.entry("ready");
                worker.store.apply(vec![entry]);
            });
        }
        status
    }

    fn run(&self, connection: &mut Connection, head: &Head) -> Option<()> {
        let id = head.get("request-id").unwrap_or_default().to_owned();
        self.record.arrival(&self.spec.id, &id);
        if head.get("expect-instance").is_some_and(|it| it != self.spec.id) {
            let fields = format!("Request-Id: {id}\r\nInstance-Id: {}\r\n", self.spec.id);
            return connection.respond(421, &fields, b"").ok();
        }
        self.record.run(&self.spec.id, &id);
        self.state.lock().expect("the state").running += 1;
        if self.spec.is_unframed {
            return self.answer_unframed(connection, &id);
        }
        thread::sleep(self.spec.work);
        self.state.lock().expect("the state").running -= 1;
        if self.has_ended.load(Ordering::SeqCst) {
            return None;
        }
        let is_leaving = self.is_leaving.load(Ordering::SeqCst);
        let close = if is_leaving { "Connection: close\r\n" } else { "" };
        let fields = format!(
            "Request-Id: {id}\r\nResponse-Seal: 1.{id}\r\nInstance-Id: {}\r\n{close}",
            self.spec.id
        );
        connection.respond(200, &fields, &vec![b'x'; self.spec.answer_bytes]).ok()?;
        (!is_leaving).then_some(())
    }
}

impl State {
    fn finish_loading(&mut self) {
        if let Some((version, until)) = self.loading
            && until <= Instant::now()
        {
            (self.version, self.loading) = (version, None);
        }
    }
}
