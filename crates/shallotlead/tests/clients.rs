//! The real binary beside clients that don't keep to the limits: it lives, stays within the memory and descriptors that
//! its settings name, and answers ordinary requests.

#[path = "../../../platform/tests/support/mod.rs"]
mod support;

mod hostile;

use std::{
    env, fs,
    io::Write,
    net::{IpAddr, SocketAddr, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use hostile::{Crowd, Play, Script, Usage};
use serde_json::json;
use shallotlead_gateway::http::write;
use support::{
    TestNet,
    caller::{self, Request},
    configuration,
    server::{Behaviour, Server},
    store::Store,
    wait_until,
};

/// Memory and descriptors of the machine that the settings name.
const MEMORY_MB: usize = 48;
const MEMORY_BYTES: usize = MEMORY_MB * 1_000_000;
const DESCRIPTORS: usize = 4_100;
/// Descriptors where a crowd takes them all.
const FEW_DESCRIPTORS: usize = 500;
const MAX_HEAD_BYTES: usize = 16_384;
const MAX_BODY_BYTES: usize = 1 << 20;
const IDLE_TIMEOUT_MS: u64 = 6_000;
/// Clients of a crowd.
const CLIENTS: usize = 300;
/// How long a crowd is there before the ordinary requests.
const PLAY: Duration = Duration::from_secs(3);
/// How long a crowd whose requests are refused is there at most.
const MAX_PLAY: Duration = Duration::from_secs(60);
/// Decoded bytes of the part of a body that is repeated.
const UNIT_BYTES: usize = 65_536;
/// Length of an answer that is buffered whole.
const ANSWER_BYTES: usize = 400_000;
/// Most bytes that a client can send on a connection on which a request was refused: what is dropped of one body, and
/// what both kernels hold.
const MAX_REFUSED_BYTES: usize = 16 * MAX_BODY_BYTES;

/// The instance's process, in front of one server.
struct Site {
    ip: IpAddr,
    descriptors: usize,
    child: Child,
    settings: PathBuf,
    server: Server,
    _store: Store,
    _lock: MutexGuard<'static, ()>,
}

impl Site {
    fn open() -> Self {
        Self::with_descriptors(DESCRIPTORS)
    }

    fn with_descriptors(descriptors: usize) -> Self {
        // One crowd at a time: they share the machine.
        static PLAYS: Mutex<()> = Mutex::new(());
        let lock = PLAYS.lock().unwrap_or_else(PoisonError::into_inner);
        let mut net = TestNet::new();
        let store = net.store();
        let mut limited = configuration(1);
        limited["limits"] = json!({
            "maxHeaderBytes": MAX_HEAD_BYTES, "maxBodyBytes": MAX_BODY_BYTES,
            "headerTimeoutMs": IDLE_TIMEOUT_MS, "idleTimeoutMs": IDLE_TIMEOUT_MS,
        });
        store.put("config", "main", limited);
        let server = net.plain_server(&store, "s1");
        let ip = net.new_ip();
        let settings = env::temp_dir().join(format!("clients-{}-{ip}.ini", std::process::id()));
        let text = support::settings_text(ip, store.address, &[])
            + &format!("[memory]\nlimit_mb = {MEMORY_MB}\n")
            + &format!("[descriptors]\nlimit = {descriptors}\n");
        fs::write(&settings, text).expect("a temporary file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_shallotlead"));
        command.arg("gateway").arg("--settings").arg(&settings);
        let child = command.stdout(Stdio::null()).spawn().expect("the program starts");
        let site = Self { ip, descriptors, child, settings, server, _store: store, _lock: lock };
        wait_until("it serves", || site.is_served("GET", "/safe/x", ""));
        site
    }

    fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip, port)
    }

    fn callers(&self) -> SocketAddr {
        self.at(18_081)
    }

    /// A crowd that sends `script` to callers' port and reads what it is sent.
    fn crowd(&self, clients: usize, script: Script) -> Crowd {
        let address = self.callers();
        Crowd { address, clients, script, reads: true, reopens: false, drips: None }
    }

    /// Whether an ordinary request is answered with success.
    fn is_served(&self, method: &str, path: &str, body: &str) -> bool {
        self.status(method, path, body) == Some(200)
    }

    /// Status of the answer to an ordinary request, if there is one.
    fn status(&self, method: &str, path: &str, body: &str) -> Option<u16> {
        let mut request = Request::new(method, path, "ordinary");
        if !body.is_empty() {
            request = request.body(body);
        }
        caller::try_send(&request, self.callers()).map(|it| it.status)
    }

    /// Plays the crowd. Checks what must hold while it is there and once it has gone.
    fn play(&mut self, crowd: Crowd) -> Outcome {
        self.play_by(crowd, |play| play.run(PLAY))
    }

    /// The same with a crowd whose requests are refused, until all of its connections are closed.
    fn play_until_closed(&mut self, crowd: Crowd) {
        let Outcome { most_sent, left_open } = self.play_by(crowd, |play| {
            play.run_while(MAX_PLAY, |it| 0 < it.open_count() && it.most_sent <= MAX_REFUSED_BYTES);
        });
        assert!(most_sent <= MAX_REFUSED_BYTES, "{most_sent} bytes were taken");
        assert_eq!(left_open, 0, "connections are left open");
    }

    fn play_by(&mut self, crowd: Crowd, run: impl FnOnce(&mut Play)) -> Outcome {
        let (mut outcome, mut beside) = (Outcome::default(), None);
        let usage = Usage::during(&self.child, self.ip, || {
            let mut play = Play::open(crowd);
            run(&mut play);
            beside = self.status("GET", "/safe/x", "");
            outcome = Outcome { most_sent: play.most_sent, left_open: play.open_count() };
        });
        println!("{usage:?}, {outcome:?}");
        let ended = self.child.try_wait().expect("a child of this process");
        assert!(ended.is_none(), "it ended: {ended:?}");
        assert!(usage.memory <= MEMORY_BYTES, "over {MEMORY_BYTES}: {usage:?}");
        let descriptors = self.descriptors;
        assert!(usage.descriptors <= descriptors, "over {descriptors}: {usage:?}");
        assert!(beside.is_some(), "an ordinary request beside the crowd isn't answered");
        self.assert_serves();
        outcome
    }

    /// No request of the crowd reached the server: all were incomplete or refused.
    fn assert_none_ran(&self) {
        let received = self.server.received_requests();
        assert!(received.iter().all(|it| it.get("Request-Id") != Some("crowd")), "one ran");
    }

    /// The longest request within the limits isn't refused.
    fn assert_has_room(&self) {
        assert_eq!(self.status("POST", "/once/x", &"x".repeat(MAX_BODY_BYTES)), Some(200));
    }

    /// One ordinary request of each kind is served. It may be refused as not run until what the crowd has sent is gone.
    fn assert_serves(&self) {
        let body = "x".repeat(MAX_BODY_BYTES);
        for (method, path, body) in [("GET", "/safe/x", ""), ("POST", "/once/x", &body)] {
            wait_until("an ordinary request is served", || match self.status(method, path, body) {
                Some(503) => false,
                status => {
                    assert_eq!(status, Some(200), "{method} {path}");
                    true
                }
            });
        }
        assert!(caller::get(self.at(18_082), "/ready").is_some_and(|it| it.status == 200));
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

/// What became of a crowd.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    /// The most bytes that any client could send on one connection.
    most_sent: usize,
    /// Connections that were still open.
    left_open: usize,
}

fn post(field: &str, value: &str) -> Vec<u8> {
    Request::new("POST", "/once/x", "crowd").field(field, value).to_bytes()
}

fn chunked_head() -> Vec<u8> {
    post("Transfer-Encoding", "chunked")
}

/// A chunk of this many bytes.
fn chunk(len: usize) -> Vec<u8> {
    let mut bytes = Vec::new();
    write::chunk(&mut bytes, &vec![b'x'; len]);
    bytes
}

/// A body in chunks of `len` bytes that stops ten bytes before its end, which would be the longest that is allowed.
fn stalled_chunks(len: usize) -> Script {
    let unit = chunk(len).repeat(UNIT_BYTES / len);
    let mut tail = unit.clone();
    tail.truncate(tail.len() - 10);
    Script { head: chunked_head(), unit, repeats: MAX_BODY_BYTES / UNIT_BYTES - 1, tail }
}

/// A head, and after it as many bytes as are taken.
fn endless(head: Vec<u8>) -> Script {
    Script { head, unit: vec![b'x'; UNIT_BYTES], repeats: usize::MAX, tail: Vec::new() }
}

// Chunked bodies that stop short of their end together took more than the machine's memory.
#[test]
fn memory_is_bounded_by_stalled_bodies_in_large_chunks() {
    let mut site = Site::open();
    site.play(site.crowd(CLIENTS, stalled_chunks(UNIT_BYTES)));
    site.assert_none_ran();
}

// The same in chunks of one byte, which are six times as much on the way.
#[test]
fn memory_is_bounded_by_stalled_bodies_in_tiny_chunks() {
    let mut site = Site::open();
    site.play(site.crowd(CLIENTS, stalled_chunks(1)));
    site.assert_none_ran();
}

// What many clients sent at once was read whole before any of it was counted.
#[test]
fn memory_is_bounded_by_whole_bodies_at_once() {
    let mut site = Site::open();
    let tail = write::LAST_CHUNK.to_vec();
    let script = Script { head: chunked_head(), unit: chunk(UNIT_BYTES), repeats: 8, tail };
    site.play(site.crowd(CLIENTS, script));
}

// Connections that are closed and opened again at once left their buffers behind faster than they were given back.
#[test]
fn memory_is_bounded_by_clients_that_reconnect() {
    let mut site = Site::open();
    let crowd = site.crowd(CLIENTS / 3, stalled_chunks(UNIT_BYTES));
    site.play(Crowd { reopens: true, ..crowd });
    site.assert_none_ran();
}

// A second crowd, after the first one has gone, needs no more memory than that.
#[test]
fn memory_is_bounded_by_a_second_crowd() {
    let mut site = Site::open();
    for length in [UNIT_BYTES, 1_024] {
        site.play(site.crowd(CLIENTS, stalled_chunks(length)));
    }
}

// One chunk that is said to be long is over the limit from the start.
#[test]
fn memory_is_bounded_by_one_endless_chunk() {
    let mut site = Site::open();
    let mut head = chunked_head();
    head.extend_from_slice(b"7fffffff\r\n");
    site.play_until_closed(site.crowd(CLIENTS, endless(head)));
}

// Uploads within the limit that stop short of their stated length.
#[test]
fn memory_is_bounded_by_stalled_bodies_of_stated_length() {
    let mut site = Site::open();
    let head = post("Content-Length", &MAX_BODY_BYTES.to_string());
    let script = Script { repeats: MAX_BODY_BYTES / UNIT_BYTES - 1, ..endless(head) };
    site.play(site.crowd(CLIENTS, script));
    site.assert_none_ran();
}

// Requests that are refused at their head were read on in large pieces.
#[test]
fn memory_is_bounded_by_bodies_far_over_the_limit() {
    let mut site = Site::open();
    let head = post("Content-Length", &(1_000 * MAX_BODY_BYTES).to_string());
    site.play_until_closed(site.crowd(CLIENTS, endless(head)));
}

// Only the decoded bytes of a refused body counted, so that one of extensions was read without end.
#[test]
fn refused_body_of_chunk_extensions_is_cut_off() {
    let mut site = Site::open();
    let unit = format!("1;{}\r\nx\r\n", "e".repeat(200)).repeat(100).into_bytes();
    let script = Script { head: chunked_head(), unit, repeats: usize::MAX, tail: Vec::new() };
    site.play_until_closed(site.crowd(CLIENTS / 5, script));
}

// Heads that are never complete were not counted.
#[test]
fn memory_is_bounded_by_incomplete_heads() {
    let mut site = Site::open();
    let mut head = Request::new("GET", "/safe/x", "crowd").to_bytes();
    head.truncate(head.len() - 2);
    head.extend_from_slice(b"Filler: ");
    head.resize(MAX_HEAD_BYTES - 10, b'x');
    site.play(site.crowd(5 * CLIENTS, Script { head, ..Script::default() }));
}

// Clients that send request after request and read no answer.
#[test]
fn memory_is_bounded_by_answers_that_nobody_reads() {
    let mut site = Site::open();
    let unit = Request::new("GET", "/none/x", "crowd").to_bytes();
    let script = Script { unit, repeats: usize::MAX, ..Script::default() };
    let crowd = site.crowd(CLIENTS, script);
    site.play(Crowd { reads: false, ..crowd });
}

// Answers that are complete wait in the instance for clients that don't read them.
#[test]
fn memory_is_bounded_by_long_answers_that_nobody_reads() {
    let mut site = Site::open();
    site.server.set_default(Behaviour::Answer(200, "x".repeat(ANSWER_BYTES).leak()));
    let head = Request::new("GET", "/safe/x", "crowd").to_bytes();
    let crowd = site.crowd(CLIENTS, Script { head, ..Script::default() });
    site.play(Crowd { reads: false, ..crowd });
}

// Requests behind one that still runs.
#[test]
fn memory_is_bounded_by_pipelined_requests() {
    let mut site = Site::open();
    let unit = Request::new("POST", "/once/x", "crowd").body(&"x".repeat(10_000)).to_bytes();
    let script = Script { unit, repeats: usize::MAX, ..Script::default() };
    site.play(site.crowd(CLIENTS, script));
}

// Uploads that go on with a byte now and then held their stated lengths for ever, and everybody else's were refused.
#[test]
fn dripping_uploads_leave_memory_for_others() {
    let site = Site::open();
    let head = post("Content-Length", &MAX_BODY_BYTES.to_string());
    let script = Script { head, unit: b"x".to_vec(), repeats: MAX_BODY_BYTES - 1, tail: vec![] };
    let crowd = site.crowd(CLIENTS / 5, script);
    let mut play = Play::open(Crowd { drips: Some(Duration::from_millis(100)), ..crowd });
    play.run(PLAY);
    site.assert_has_room();
}

// Connections that send nothing took all descriptors, and nobody else was accepted.
#[test]
fn silent_connections_leave_descriptors_for_others() {
    let mut site = Site::with_descriptors(FEW_DESCRIPTORS);
    let outcome = site.play(site.crowd(2 * FEW_DESCRIPTORS, Script::default()));
    assert!(outcome.left_open <= FEW_DESCRIPTORS, "{} connections are held", outcome.left_open);
}

// The same with connections that are idle after an answer, or in the middle of a head.
#[test]
fn half_sent_heads_leave_descriptors_for_others() {
    let mut site = Site::with_descriptors(FEW_DESCRIPTORS);
    let mut head = Request::new("GET", "/safe/x", "whole").to_bytes();
    head.extend_from_slice(b"GET /safe/x HTTP/1.1\r\nHost:");
    site.play(site.crowd(2 * FEW_DESCRIPTORS, Script { head, ..Script::default() }));
}

/// Ports of the endpoints beside that of callers: readiness, directory, other instances, metrics.
const ENDPOINT_PORTS: [u16; 4] = [18_082, 18_083, 18_084, 18_085];

// The same crowds at the instance's own endpoints.
#[test]
fn memory_and_descriptors_are_bounded_by_clients_of_endpoints() {
    let mut site = Site::with_descriptors(FEW_DESCRIPTORS);
    for port in ENDPOINT_PORTS {
        let address = site.at(port);
        let incomplete = [b"GET /ready HTTP/1.1\r\nFiller: ".to_vec(), vec![b'x'; 16_000]].concat();
        let half = Script { head: incomplete, ..Script::default() };
        let unit = b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n".to_vec();
        let endless = Script { unit, repeats: usize::MAX, ..Script::default() };
        for (script, clients) in [(half, 2 * FEW_DESCRIPTORS), (endless, CLIENTS)] {
            println!("port {port}");
            let crowd = site.crowd(clients, script);
            site.play(Crowd { address, reads: false, ..crowd });
        }
    }
}

// Clients that wait for `100 Continue` and send nothing more.
#[test]
fn memory_is_bounded_by_expected_bodies_that_never_come() {
    let site = Site::open();
    let head = Request::new("POST", "/once/x", "crowd")
        .field("Content-Length", &MAX_BODY_BYTES.to_string())
        .field("Expect", "100-continue");
    let script = Script { head: head.to_bytes(), ..Script::default() };
    let crowd = site.crowd(CLIENTS, script);
    let mut play = Play::open(crowd);
    play.run(PLAY);
    site.assert_has_room();
}

// A single request inside the limits is served in calm, however it is sent.
#[test]
fn request_within_the_limits_is_served_however_it_is_sent() {
    let site = Site::open();
    let send = |bytes: &[&[u8]]| {
        let mut stream = TcpStream::connect(site.callers()).expect("the instance listens");
        for part in bytes {
            stream.write_all(part).expect("the connection is open");
        }
        caller::read(&mut stream).map(|it| it.status)
    };
    let last = write::LAST_CHUNK;
    let tiny = chunk(1).repeat(MAX_BODY_BYTES);
    assert_eq!(send(&[&chunked_head(), &tiny, last]), Some(200));
    let large = chunk(MAX_BODY_BYTES);
    assert_eq!(send(&[&chunked_head(), &large, last]), Some(200));
    let extended = b"1;name=value\r\nx\r\n".repeat(1_000);
    assert_eq!(send(&[&chunked_head(), &extended, last]), Some(200));
}
