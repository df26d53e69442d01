use std::{
    net::{SocketAddr, TcpListener},
    rc::Rc,
    time::Duration,
};

use crate::{
    host::{network::Stream, system::network::Network},
    memory::{Account, Body},
};

use super::{Tolerance, output::Output};

/// When the kernel gives up an established connection with nothing unacknowledged, by its options.
struct Keepalive {
    first_probe: Duration,
    interval: Duration,
    user_timeout: Duration,
}

impl Keepalive {
    fn of(tolerance: Tolerance) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address: SocketAddr = listener.local_addr().expect("it is bound");
        let network = Network::open().expect("a poll");
        let mut stream = network.open_stream(address).expect("a connection");
        stream.register(0, tolerance.longest_silence()).expect("the options are known");
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

// A server that is silent for a moment in which a probe is sent: the connection, with all that waits on it, was given up
// half a second after the server had gone on.
#[test]
fn connection_outlasts_a_server_that_is_silent_for_a_second_and_a_half() {
    let keepalive = Keepalive::of(Tolerance::Server);
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
    let keepalive = Keepalive::of(Tolerance::Peer);
    assert!(keepalive.user_timeout <= Duration::from_secs(3));
    assert!(!keepalive.outlasts(Duration::ZERO, Duration::from_secs(60)));
    assert!(keepalive.first_probe + keepalive.interval * 2 <= Duration::from_secs(3));
}

// Each copy of a body counts towards the machine's memory: bodies within the limits took an instance over it.
#[test]
fn shared_bytes_are_sent_in_order_without_a_copy_and_let_go() {
    let mut account = Account::new(1 << 20);
    let hold = account.take(100_000).expect("it is left");
    let body = Rc::new(Body::new(vec![7; 100_000], hold));
    let empty = Rc::new(Body::new(Vec::new(), account.take(0).expect("it is left")));
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
                assert!(body.as_ptr_range().contains(&shared.start), "the body was copied");
            }
            let len = bytes.len().min(step);
            sent.extend_from_slice(&bytes[..len]);
            output.advance(len);
        }
        assert_eq!(sent, [b"head", &body[..], b"next"].concat());
        assert_eq!(Rc::strong_count(&body), 1, "sent bytes are kept");
        output.push(b"a");
        output.advance(1);
        output.push_shared(Rc::clone(&body));
        assert_eq!((output.next().len(), output.unsent_bytes()), (100_000, 100_000));
    }
}
