use std::{
    cell::RefCell,
    io::{self, ErrorKind, Read, Write},
    net::{SocketAddr, TcpListener},
    rc::Rc,
    time::Duration,
};

use crate::{
    host::{network::Stream, system::network::Network},
    memory::{Account, Body},
};

use super::{
    DELIVERY_TIMEOUT, Event, Key, LONG_ANSWER_BYTES, PEER_TIMEOUT, READ_CHUNK_BYTES, Socket,
    Timeout, output::Output,
};

/// What a caller sends, and what it is sent in vain, bytes.
const READ_BYTES: usize = 100_000;
const SENT_BYTES: usize = 20_000;

/// When the kernel gives up an established connection with nothing unacknowledged, by its options.
struct Keepalive {
    first_probe: Duration,
    interval: Duration,
    user_timeout: Duration,
}

impl Keepalive {
    fn of(timeout: Timeout) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address: SocketAddr = listener.local_addr().expect("it is bound");
        let network = Network::open().expect("a poll");
        let mut stream = network.open_stream(address).expect("a connection");
        stream.register(0, timeout.duration()).expect("the options are known");
        let raw = stream.raw();
        Self {
            first_probe: raw.tcp_keepalive_time().expect("it is set"),
            interval: raw.tcp_keepalive_interval().expect("it is set"),
            user_timeout: raw.tcp_user_timeout().expect("it can be read").expect("it is set"),
        }
    }

    /// Whether the connection lives on if its peer sends nothing and loses what it is sent from `from` until `until`,
    /// both since its last sign of life. With a user timeout set, Linux doesn't count probes: at each probe's time it
    /// gives the connection up if one is unanswered and the timeout has passed.
    fn outlasts(&self, from: Duration, until: Duration) -> bool {
        let mut at = self.first_probe;
        let mut is_unanswered = false;
        while at <= until + self.interval {
            if is_unanswered && self.user_timeout <= at {
                return false;
            }
            if !(from..until).contains(&at) {
                return true;
            }
            is_unanswered = true;
            at += self.interval;
        }
        true
    }
}

// A server that is silent for a moment in which a probe is sent: the connection, with all that waits on it, was given
// up half a second after the server had gone on.
#[test]
fn connection_outlasts_a_server_that_is_silent_for_a_second_and_a_half() {
    let keepalive = Keepalive::of(Timeout::Server);
    for from in (0..3_000).step_by(50) {
        for length in [10, 500, 1_000, 1_500] {
            let from_ms = Duration::from_millis(from);
            let until = from_ms + Duration::from_millis(length);
            assert!(keepalive.outlasts(from_ms, until), "silent for {length} ms from {from} ms on");
        }
    }
}

// Connections to other instances and to the store that are silent for good must be noticed soon.
#[test]
fn connection_to_a_lost_instance_is_given_up_within_three_seconds() {
    let keepalive = Keepalive::of(Timeout::Peer);
    assert!(keepalive.user_timeout <= Duration::from_secs(3));
    assert!(!keepalive.outlasts(Duration::ZERO, Duration::from_secs(60)));
    assert!(keepalive.first_probe + keepalive.interval * 2 <= Duration::from_secs(3));
}

// Each copy of a body counts towards the machine's memory: bodies within the limits took an instance over it.
#[test]
fn shared_bytes_are_sent_in_order_without_a_copy_and_let_go() {
    let mut account = Account::new(1 << 20);
    let hold = account.take(100_000).expect("it is left");
    let body = Rc::new(Body::new(vec![7; 100_000].into(), hold));
    let empty = Rc::new(Body::new(Vec::new().into(), account.take(0).expect("it is left")));
    for step in [1_000, 30_000, 70_000, 1 << 20] {
        let mut output = Output::default();
        output.push(b"head");
        output.push_shared(Rc::clone(&body));
        output.push_shared(Rc::clone(&empty));
        output.push(b"next");
        let mut sent = Vec::new();
        while 0 < output.unsent_bytes() {
            let bytes = output.next();
            let shared = bytes.as_ptr_range();
            if bytes.first() == Some(&7) {
                assert!(body.get(0).as_ptr_range().contains(&shared.start), "the body was copied");
            }
            let len = bytes.len().min(step);
            sent.extend_from_slice(&bytes[..len]);
            output.advance(len);
        }
        assert_eq!(sent, [b"head", body.get(0), b"next"].concat());
        assert_eq!(Rc::strong_count(&body), 1, "sent bytes are kept");
        output.push(b"a");
        output.advance(1);
        output.push_shared(Rc::clone(&body));
        assert_eq!((output.next().len(), output.unsent_bytes()), (100_000, 100_000));
    }
}

/// What a peer takes and sends, and how long it may acknowledge nothing.
#[derive(Default)]
struct Peer {
    /// Whether it has reset the connection and closed it. The kernel tells of a reset once, to whoever reads or writes first.
    reset: Option<ErrorKind>,
    is_closed: bool,
    room: usize,
    sends: usize,
    timeout: Duration,
    changes: usize,
}

/// A connection to such a peer.
struct Slow(Rc<RefCell<Peer>>);

impl Read for Slow {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let mut peer = self.0.borrow_mut();
        let len = buf.len().min(peer.sends);
        peer.sends -= len;
        if len == 0 && peer.is_closed {
            return peer.reset.take().map_or(Ok(0), |it| Err(it.into()));
        }
        if len == 0 { Err(ErrorKind::WouldBlock.into()) } else { Ok(len) }
    }
}

impl Write for Slow {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let mut peer = self.0.borrow_mut();
        if let Some(kind) = peer.reset.take() {
            return Err(kind.into());
        }
        let len = buf.len().min(peer.room);
        peer.room -= len;
        if len == 0 { Err(ErrorKind::WouldBlock.into()) } else { Ok(len) }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Stream for Slow {
    fn register(&mut self, _: usize, timeout: Duration) -> io::Result<()> {
        self.0.borrow_mut().timeout = timeout;
        Ok(())
    }

    fn set_timeout(&mut self, timeout: Duration) -> io::Result<()> {
        let mut peer = self.0.borrow_mut();
        (peer.timeout, peer.changes) = (timeout, peer.changes + 1);
        Ok(())
    }

    fn peek(&self, _: &mut [u8]) -> io::Result<usize> {
        Err(ErrorKind::WouldBlock.into())
    }

    fn take_error(&self) -> io::Result<Option<io::Error>> {
        Ok(None)
    }

    fn peer_address(&self) -> io::Result<SocketAddr> {
        Ok(SocketAddr::from(([127, 0, 0, 1], 1)))
    }

    fn reset_on_close(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A connection to a caller that takes `room` bytes.
fn slow_caller(room: usize) -> (Socket, Rc<RefCell<Peer>>) {
    slow_caller_in(&Account::new(1 << 20), room)
}

/// The same, whose buffers are recorded in `account`.
fn slow_caller_in(account: &Account, room: usize) -> (Socket, Rc<RefCell<Peer>>) {
    let peer = Rc::new(RefCell::new(Peer { room, ..Peer::default() }));
    let mut stream = Slow(peer.clone());
    stream.register(0, PEER_TIMEOUT).expect("it never fails");
    (Socket::new(Box::new(stream), PEER_TIMEOUT, None, account), peer)
}

// A peer that takes nothing for now was taken for one that has vanished. Once it has taken all, it is waited for as
// before: one that vanishes while a server works for it must be noticed.
#[test]
fn peer_that_takes_nothing_is_waited_for_until_it_has_taken_all() {
    let (mut socket, peer) = slow_caller(100);
    socket.push(&[0; 100]);
    assert_eq!(peer.borrow().timeout, PEER_TIMEOUT);
    socket.push(&[0; 100]);
    assert_eq!(peer.borrow().timeout, DELIVERY_TIMEOUT);
    for (room, timeout) in [(50, DELIVERY_TIMEOUT), (50, PEER_TIMEOUT)] {
        peer.borrow_mut().room = room;
        assert!(socket.handle_writable(Key { index: 0, serial: 1 }, &mut Vec::new()));
        assert_eq!(peer.borrow().timeout, timeout);
    }
}

// A write took the error of a reset connection from the socket, and the next read said that the peer had closed it
// properly: a part of an answer without a length passed for the whole.
#[test]
fn reset_that_a_write_has_met_is_no_proper_end() {
    let key = Key { index: 0, serial: 1 };
    for writes in [false, true] {
        let (mut socket, peer) = slow_caller(usize::MAX);
        *peer.borrow_mut() = Peer {
            sends: READ_BYTES,
            reset: Some(ErrorKind::ConnectionReset),
            is_closed: true,
            ..Peer::default()
        };
        if writes {
            socket.push(&[0; SENT_BYTES]);
        }
        let mut events = Vec::new();
        while socket.read(key, &mut [0; READ_CHUNK_BYTES], &mut events) {}
        socket.read(key, &mut [0; READ_CHUNK_BYTES], &mut events);
        let end = events.last();
        let is_reset = matches!(end, Some(Event::Failed(_, ErrorKind::ConnectionReset)));
        assert!(is_reset, "{writes}: {end:?}");
    }
}

// A long answer that is complete may be in the kernel's buffers as a whole.
#[test]
fn caller_is_waited_for_after_a_long_answer_until_its_next_request() {
    let (mut socket, peer) = slow_caller(usize::MAX);
    socket.begin_answer();
    socket.push(&[0; LONG_ANSWER_BYTES]);
    assert_eq!(peer.borrow().timeout, PEER_TIMEOUT);
    socket.end_answer();
    assert_eq!(peer.borrow().timeout, DELIVERY_TIMEOUT);
    socket.begin_answer();
    assert_eq!(peer.borrow().timeout, PEER_TIMEOUT);
}

// Short answers must not cost system calls.
#[test]
fn timeout_is_left_alone_for_short_answers() {
    let (mut socket, peer) = slow_caller(usize::MAX);
    for _ in 0..3 {
        socket.begin_answer();
        socket.push(&[0; LONG_ANSWER_BYTES - 1]);
        socket.end_answer();
    }
    assert_eq!(peer.borrow().changes, 0);
}

// What was read and queued between two sweeps was not counted: many callers at once were given what others had filled.
#[test]
fn buffers_are_counted_when_they_grow() {
    let account = Account::new(1 << 20);
    let (mut socket, peer) = slow_caller_in(&account, 0);
    peer.borrow_mut().sends = READ_BYTES;
    let mut chunk = [0; READ_CHUNK_BYTES];
    while socket.read(Key { index: 0, serial: 1 }, &mut chunk, &mut Vec::new()) {}
    assert_eq!(socket.input.len(), READ_BYTES);
    assert!(READ_BYTES <= account.held());
    socket.push(&[0; SENT_BYTES]);
    assert!(READ_BYTES + SENT_BYTES <= account.held());
    socket.input.clear();
    socket.measure();
    assert!((SENT_BYTES..READ_BYTES).contains(&account.held()));
    drop(socket);
    assert_eq!(account.held(), 0);
}

// An order that was lost went on being sent for a second and a half, longer than the next holder waits for it.
#[test]
fn kernel_gives_up_bytes_that_must_not_be_late() {
    let limit = Duration::from_millis(300);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    let network = Network::open().expect("a poll");
    let mut stream = network.open_stream(address).expect("a connection");
    stream.register(0, Timeout::Peer.duration()).expect("the options are known");
    for timeout in [Timeout::Exactly(limit), Timeout::Peer] {
        stream.set_timeout(timeout.duration()).expect("the option is known");
        let set = stream.raw().tcp_user_timeout().expect("it can be read");
        assert_eq!(set, Some(timeout.duration()));
    }
}
