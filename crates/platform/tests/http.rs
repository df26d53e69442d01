//! Tests of the running client and the HTTP adapter with the platform's stand-in.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, mpsc},
    thread,
    time::{Duration, Instant},
};

use shallotlead_base::{
    id::Version,
    store::{Call, Change, Failure, Key, MAX_VALUE, Object, Reply},
};
use shallotlead_platform::{
    budget::{Rates, Sharers},
    client::{self, Handle},
    http::Http,
    list::{List, State},
    outcome::Outcome,
    store::Store,
};
use shallotlead_standin::{
    list,
    platform::{self, Mode, Operation},
};

/// Time limit of a wait in a test, far longer than any correct one.
const WAIT_LIMIT: Duration = Duration::from_secs(30);
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

fn settings() -> client::Settings {
    let sharers = Sharers { instances: 1, watchers: 1 };
    client::Settings { rates: Rates::default(), sharers, seed: 7 }
}

fn open(platform: &platform::Handle, timeout: Duration) -> Handle {
    let http = Http::new(&format!("http://{}", platform.address()), timeout);
    client::open(settings(), http).expect("a client")
}

fn platform() -> platform::Handle {
    platform::bind(platform::Settings::default()).expect("a platform")
}

fn put(name: &str, expected: u64, value: &[u8]) -> Call {
    Call::Put { key: Key::new("lease", name), expected: Version(expected), value: value.into() }
}

fn get(name: &str) -> Call {
    Call::Get(Key::new("lease", name))
}

fn object(name: &str, version: u64, value: &[u8]) -> Object {
    let key = Key::new("lease", name);
    Object { key, version: Version(version), value: Arc::from(value) }
}

fn list() -> Call {
    Call::List { kind: "lease".into() }
}

/// Repeats a call until it succeeds. A failed call must have had no effect.
fn call_until_answered(client: &Handle, call: &Call) -> Reply {
    let start = Instant::now();
    loop {
        match client.call(call.clone()) {
            Reply::Failed(_) => assert!(start.elapsed() < WAIT_LIMIT, "no reply to {call:?}"),
            reply => return reply,
        }
    }
}

fn accepted_calls(platform: &platform::Handle, operation: Operation) -> u64 {
    let calls = platform.calls();
    calls.iter().filter(|it| it.operation == operation).map(|it| it.taken).sum()
}

#[test]
fn every_call_and_reply() {
    let platform = platform();
    let client = open(&platform, CALL_TIMEOUT);
    assert_eq!(client.call(get("a")), Reply::Got(None));
    assert_eq!(client.call(put("a", 0, b"one")), Reply::Done(Version(1)));
    assert_eq!(client.call(get("a")), Reply::Got(Some(object("a", 1, b"one"))));
    assert_eq!(client.call(put("a", 0, b"x")), Reply::Conflict(Some(object("a", 1, b"one"))));
    assert_eq!(client.call(put("b", 9, b"x")), Reply::Conflict(None));
    let largest = vec![5; MAX_VALUE];
    assert_eq!(client.call(put("b", 0, &largest)), Reply::Done(Version(2)));
    assert_eq!(client.call(get("b")), Reply::Got(Some(object("b", 2, &largest))));
    let objects = vec![object("a", 1, b"one"), object("b", 2, &largest)];
    assert_eq!(client.call(list()), Reply::Listed { objects, version: Version(2) });

    let delete = Call::Delete { key: Key::new("lease", "b"), expected: Version(2) };
    assert_eq!(client.call(delete), Reply::Done(Version(3)));
    client.call(put("c", 0, b"three"));
    let wait = Duration::from_millis(10);
    let watch = Call::Watch { kind: "lease".into(), after: Version(2), wait };
    let changes = vec![
        Change::Delete(Key::new("lease", "b"), Version(3)),
        Change::Put(object("c", 4, b"three")),
    ];
    assert_eq!(client.call(watch), Reply::Changed { changes, version: Version(4) });
}

// A name with `/`, `?` or `%` made a call one for another object.
#[test]
fn names_are_encoded_in_targets() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let store = Http::new(&format!("http://{address}"), CALL_TIMEOUT);
    let server = thread::spawn(move || {
        let receive = |stream: std::io::Result<TcpStream>| {
            let mut stream = stream.expect("a connection");
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                let mut byte = [0];
                stream.read_exact(&mut byte).expect("a head");
                head.extend(byte);
            }
            let answer =
                b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
            stream.write_all(answer).expect("it is open");
            String::from_utf8_lossy(&head).split(' ').nth(1).unwrap_or_default().to_owned()
        };
        listener.incoming().take(3).map(receive).collect::<Vec<_>>()
    });
    let kind = "a/b?";
    store.call(&Call::Get(Key::new(kind, "c#%41 \r\né")));
    store.call(&Call::List { kind: kind.into() });
    store.call(&Call::Watch { kind: kind.into(), after: Version(3), wait: Duration::ZERO });
    let expected = [
        "/objects/a%2Fb%3F/c%23%2541%20%0D%0A%C3%A9",
        "/objects/a%2Fb%3F",
        "/watch/a%2Fb%3F?after=3&wait_ms=0",
    ];
    assert_eq!(server.join().expect("no failure"), expected);
}

// A watcher's last version is older than the changes that the platform keeps, so it must be told to
// list again.
#[test]
fn compacted_watch_is_reported() {
    let settings = platform::Settings { history: 2, ..Default::default() };
    let platform = platform::bind(settings).expect("a platform");
    for value in 0..5 {
        platform.write("lease", "a", &[value]);
    }
    let client = open(&platform, CALL_TIMEOUT);
    let wait = Duration::from_millis(10);
    let watch = Call::Watch { kind: "lease".into(), after: Version(1), wait };
    assert_eq!(client.call(watch), Reply::Failed(Failure::Compacted));
}

// The connection breaks after each write took effect, but before its response. Each write must be
// done once and reported as done.
#[test]
fn lost_responses_are_settled_by_reading_back() {
    let platform = platform();
    let client = open(&platform, CALL_TIMEOUT);
    for round in 0..5 {
        platform.lose_answers(1);
        let reply = client.call(put(&format!("r{round}"), 0, &[round]));
        assert_eq!(reply, Reply::Done(Version(u64::from(round) + 1)));
    }
    assert_eq!(accepted_calls(&platform, Operation::Put), 5);
    assert_eq!(accepted_calls(&platform, Operation::Get), 5);
}

// The platform's process ends and is restarted. Submitters must be told at once that their calls
// had no effect, and calls must succeed again soon after the restart.
#[test]
fn outage_and_recovery() {
    let platform = platform();
    let client = open(&platform, CALL_TIMEOUT);
    client.call(put("a", 0, b"one"));
    platform.kill();
    let reply = client.call(put("b", 0, b"two"));
    assert!(matches!(reply, Reply::Failed(Failure::NotApplied { .. })), "{reply:?}");
    platform.restart().expect("the same address");
    assert_eq!(call_until_answered(&client, &put("b", 0, b"two")), Reply::Done(Version(2)));
}

#[test]
fn refused_calls_are_retried_or_fail_as_not_applied() {
    let settings = platform::Settings { writes_per_second: 1.0, ..Default::default() };
    let platform = platform::bind(settings).expect("a platform");
    let client = open(&platform, CALL_TIMEOUT);
    for round in 0..3 {
        let call = put(&format!("r{round}"), 0, &[round]);
        assert!(matches!(call_until_answered(&client, &call), Reply::Done(_)));
    }
    platform.set_mode(Mode::Down);
    let reply = client.call(get("r0"));
    assert!(matches!(reply, Reply::Failed(Failure::NotApplied { .. })), "{reply:?}");
    platform.set_mode(Mode::Up);
    assert!(matches!(call_until_answered(&client, &get("r0")), Reply::Got(Some(_))));
}

// The platform accepts calls and never answers. A write must not wait for ever, and must not be
// reported as having had no effect.
#[test]
fn unresponsive_platform_leaves_a_write_unknown() {
    let platform = platform();
    let client = open(&platform, Duration::from_millis(100));
    platform.set_mode(Mode::Silent);
    assert_eq!(client.call(put("a", 0, b"one")), Reply::Failed(Failure::Unknown));
}

#[test]
fn oversized_value_is_not_sent() {
    let platform = platform();
    let client = open(&platform, CALL_TIMEOUT);
    let reply = client.call(put("a", 0, &vec![0; MAX_VALUE + 1]));
    assert!(matches!(reply, Reply::Failed(Failure::NotApplied { .. })), "{reply:?}");
    assert_eq!(accepted_calls(&platform, Operation::Put), 0);
}

#[test]
fn list_of_instances() {
    let address = "127.0.0.1:7001".parse().expect("an address");
    let instance = list::Instance {
        name: "e1".into(),
        centre: "cluj-a".into(),
        region: "ro-nord".into(),
        address,
        peer: address,
        state: list::State::Leaving,
    };
    let settings = list::Settings { instances: vec![instance], ..Default::default() };
    let list = list::bind(settings).expect("a list");
    let http = Http::new(&format!("http://{}", list.address()), CALL_TIMEOUT);
    let members = http.members().expect("read");
    assert_eq!(members.len(), 1);
    assert_eq!((members[0].name.as_str(), members[0].centre.as_str()), ("e1", "cluj-a"));
    assert_eq!((members[0].address, members[0].state), (address, State::Leaving));
    list.kill();
    assert!(http.members().is_err());
}

// A long list on a slow link takes longer than the timeout of a call. If it timed out while its
// data still arrived, it would be read again from the start and time out again, and the instance
// would never start up.
#[test]
fn long_list_on_a_slow_link_is_read() {
    const PIECES: usize = 10;
    const PAUSE: Duration = Duration::from_millis(100);
    let platform = platform();
    let direct = open(&platform, CALL_TIMEOUT);
    direct.call(put("a", 0, &[7; 4_000]));
    let Reply::Listed { objects, .. } = direct.call(list()) else { panic!("not listed") };
    let slow = slow_link(platform.address(), PIECES, PAUSE);
    let http = Http::new(&format!("http://{slow}"), PAUSE * 3);
    let Outcome::Answered(Reply::Listed { objects: read, .. }) = http.call(&list()) else {
        panic!("the list timed out");
    };
    assert_eq!(read, objects);
}

/// Starts a proxy to `target` that forwards one response in `pieces`, with a pause before each.
/// Returns its address.
fn slow_link(target: SocketAddr, pieces: usize, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free address");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        let (mut client, _) = listener.accept().expect("a connection");
        let mut server = TcpStream::connect(target).expect("the platform");
        let mut request = [0; 4_096];
        let len = client.read(&mut request).expect("a request");
        server.write_all(&request[..len]).expect("the platform");
        let mut response = Vec::new();
        let mut piece = [0; 65_536];
        server.set_read_timeout(Some(pause)).expect("a pause");
        while let Ok(len) = server.read(&mut piece)
            && 0 < len
        {
            response.extend_from_slice(&piece[..len]);
        }
        for piece in response.chunks(response.len().div_ceil(pieces).max(1)) {
            thread::sleep(pause);
            if client.write_all(piece).is_err() {
                return;
            }
        }
    });
    address
}

/// A store whose drop disconnects the channel.
struct DropSignal(#[allow(dead_code)] mpsc::Sender<()>);

impl Store for DropSignal {
    fn call(&self, _call: &Call) -> Outcome {
        Outcome::Answered(Reply::Got(None))
    }
}

#[test]
fn dropping_the_last_handle_ends_the_client() {
    let (tx, ended) = mpsc::channel();
    let client = client::open(settings(), DropSignal(tx)).expect("a client");
    assert_eq!(client.clone().call(get("a")), Reply::Got(None));
    assert_eq!(ended.try_recv(), Err(mpsc::TryRecvError::Empty));
    drop(client);
    assert_eq!(ended.recv_timeout(WAIT_LIMIT), Err(mpsc::RecvTimeoutError::Disconnected));
}
