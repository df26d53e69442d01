//! The emulated network: connections, datagrams and the links between machines.
//!
//! It is the emulation's event queue as well, since nearly all that happens is an arrival.

mod link;
mod socket;
mod handle;

use std::{
    cell::RefCell,
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    io::{self, ErrorKind},
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use shallotlead_base::{
    hash::{Map, Set},
    time::Time,
};
use shallotlead_gateway::host::network::Ready;

use crate::clock::Clock;

pub(crate) use handle::Handle;
pub(crate) use link::{Links, Quality};
use socket::{Socket, State};

/// Index of a machine. Each runs one process.
pub(crate) type Host = usize;
/// Number of a socket, never used again.
pub(crate) type Id = u64;

/// Bytes of a connection that its reader has not consumed before its writer has to wait.
const WINDOW_BYTES: usize = 256 * 1024;
/// Time until a lost segment is sent again, doubled for each further loss.
const RETRANSMISSION_TIMEOUT: Duration = Duration::from_millis(200);
/// Time until a lost request for a connection is sent again.
const CONNECT_RETRANSMISSION_TIMEOUT: Duration = Duration::from_secs(1);
/// How much later than the silence that ends a connection its end is noticed, if nothing waits to be acknowledged.
const KEEPALIVE_DELAY: Duration = Duration::from_millis(500);

/// What happens at a point in time.
pub(crate) enum Action {
    /// A process's next turn is due, unless it had one since this was scheduled.
    Turn(Host, u64),
    /// The fault with this index begins or ends.
    Fault(usize),
    /// A request for a connection arrives.
    Connect { from: Id, to: SocketAddr },
    /// The answer to it arrives, with the peer's socket if it was accepted.
    Connected { socket: Id, peer: Option<Id> },
    /// Bytes arrive.
    Bytes { from: Id, to: Id, bytes: Box<[u8]> },
    /// The peer's close arrives.
    Close { to: Id },
    /// A reset arrives.
    Reset { to: Id },
    /// The reader has made room.
    Room { to: Id },
    /// A connection may have been silent for too long.
    Silence { socket: Id },
    /// What a socket has sent was lost for too long.
    TimedOut { socket: Id },
    /// A datagram arrives.
    Datagram { to: SocketAddr, bytes: Box<[u8]> },
}

struct Scheduled {
    at: Time,
    serial: u64,
    action: Action,
}

impl Scheduled {
    fn key(&self) -> (Time, u64) {
        (self.at, self.serial)
    }
}

impl Eq for Scheduled {}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.key().cmp(&other.key())
    }
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// The sockets of one machine that are ready, and whether its process is to be called for them.
#[derive(Default)]
struct Machine {
    ready: Vec<Ready>,
    is_woken: bool,
}

struct Listener {
    host: Host,
    token: usize,
    /// Connections that were not accepted yet.
    backlog: VecDeque<Id>,
}

struct Datagrams {
    host: Host,
    token: usize,
    received: VecDeque<Box<[u8]>>,
}

/// The state of the network.
pub(crate) struct Network {
    clock: Clock,
    queue: BinaryHeap<Reverse<Scheduled>>,
    next_serial: u64,
    next_socket: Id,
    rng: SmallRng,
    machines: Vec<Machine>,
    hosts: Map<IpAddr, Host>,
    sockets: Map<Id, Socket>,
    listeners: Map<SocketAddr, Listener>,
    datagrams: Map<SocketAddr, Datagrams>,
    pub(crate) links: Links,
    /// Actions on links that are cut, with their ends, in order.
    held: Vec<(Host, Host, Action)>,
    woken: VecDeque<Host>,
}

/// The network, shared by its users.
pub(crate) type Shared = Rc<RefCell<Network>>;

impl Network {
    pub(crate) fn open(clock: Clock, seed: u64, links: Links) -> Shared {
        Rc::new(RefCell::new(Self {
            clock,
            queue: BinaryHeap::new(),
            next_serial: 0,
            next_socket: 0,
            rng: SmallRng::seed_from_u64(seed),
            machines: Vec::new(),
            hosts: Map::default(),
            sockets: Map::default(),
            listeners: Map::default(),
            datagrams: Map::default(),
            links,
            held: Vec::new(),
            woken: VecDeque::new(),
        }))
    }

    /// Adds a machine.
    pub(crate) fn add_host(&mut self, address: IpAddr) -> Host {
        let host = self.machines.len();
        self.machines.push(Machine::default());
        self.hosts.insert(address, host);
        host
    }

    fn now(&self) -> Time {
        self.clock.now()
    }

    pub(crate) fn schedule(&mut self, at: Time, action: Action) {
        self.next_serial += 1;
        self.queue.push(Reverse(Scheduled { at, serial: self.next_serial, action }));
    }

    /// Takes the next action, unless it is later than `end`.
    pub(crate) fn next(&mut self, end: Time) -> Option<(Time, Action)> {
        if end < self.queue.peek()?.0.at {
            return None;
        }
        self.queue.pop().map(|it| (it.0.at, it.0.action))
    }

    /// The next machine whose process is to be called for sockets that have become ready.
    pub(crate) fn next_woken(&mut self) -> Option<Host> {
        let host = self.woken.pop_front()?;
        self.machines[host].is_woken = false;
        Some(host)
    }

    /// Has the process of a machine called.
    pub(crate) fn wake(&mut self, host: Host) {
        let machine = &mut self.machines[host];
        if !std::mem::replace(&mut machine.is_woken, true) {
            self.woken.push_back(host);
        }
    }

    fn mark(&mut self, host: Host, ready: Ready) {
        let list = &mut self.machines[host].ready;
        match list.iter_mut().find(|it| it.token == ready.token) {
            Some(it) => {
                it.is_readable |= ready.is_readable;
                it.is_read_closed |= ready.is_read_closed;
                it.is_writable |= ready.is_writable;
            }
            None => list.push(ready),
        }
        self.wake(host);
    }

    fn mark_socket(&mut self, id: Id, ready: Ready) {
        let Some(socket) = self.sockets.get(&id) else { return };
        if let Some(token) = socket.token {
            let host = socket.host;
            self.mark(host, Ready { token, ..ready });
        }
    }

    fn mark_readable(&mut self, id: Id) {
        self.mark_socket(id, Ready { is_readable: true, ..Ready::default() });
    }

    fn mark_writable(&mut self, id: Id) {
        self.mark_socket(id, Ready { is_writable: true, ..Ready::default() });
    }

    /// Sends `action` from one machine to another. It arrives after `not_before`; returns when, or `None` if it was
    /// lost for longer than `patience`.
    fn send(
        &mut self,
        (from, to): (Host, Host),
        len: usize,
        (not_before, patience): (Time, Duration),
        action: Action,
    ) -> Option<Time> {
        if self.links.is_cut(from, to) {
            self.held.push((from, to, action));
            return Some(not_before);
        }
        let first_timeout = match action {
            Action::Connect { .. } => CONNECT_RETRANSMISSION_TIMEOUT,
            _ => RETRANSMISSION_TIMEOUT,
        };
        let departs = self.links.transmit(self.clock.now(), from, len);
        let mut late = Duration::ZERO;
        let mut timeout = first_timeout;
        while self.links.loses(&mut self.rng) {
            late += timeout;
            timeout *= 2;
            if patience < late {
                return None;
            }
        }
        let arrives = departs + self.links.delay(from, to, &mut self.rng) + late;
        let arrives = arrives.max(not_before);
        self.schedule(arrives, action);
        Some(arrives)
    }

    /// Sends an answer of the operating system, which is repeated until it arrives.
    fn send_reply(&mut self, ends: (Host, Host), action: Action) {
        self.send(ends, 0, (Time::ZERO, Duration::MAX), action);
    }

    /// Sends `action` from a socket to its peer, in order.
    fn send_to_peer(&mut self, id: Id, peer_host: Host, len: usize, action: Action) {
        let Some(socket) = self.sockets.get(&id) else { return };
        if socket.is_stuck {
            return;
        }
        let (ends, silence) = ((socket.host, peer_host), socket.longest_silence);
        let arrival = self.send(ends, len, (socket.last_arrival, silence), action);
        if arrival.is_none() {
            self.schedule(self.now() + silence, Action::TimedOut { socket: id });
        }
        if let Some(socket) = self.sockets.get_mut(&id) {
            socket.is_stuck = arrival.is_none();
            socket.last_arrival = arrival.unwrap_or(socket.last_arrival);
        }
        if self.links.is_cut(ends.0, ends.1) || self.links.is_cut(ends.1, ends.0) {
            self.watch_silence(id);
        }
    }

    /// Applies an action of the network.
    pub(crate) fn apply(&mut self, action: Action) {
        match action {
            Action::Turn(..) | Action::Fault(_) => {}
            Action::Connect { from, to } => self.handle_connect(from, to),
            Action::Connected { socket, peer } => self.handle_connected(socket, peer),
            Action::Bytes { from, to, bytes } => self.handle_bytes(from, to, &bytes),
            Action::Close { to } => {
                if let Some(socket) = self.sockets.get_mut(&to) {
                    socket.is_closed_by_peer = true;
                    self.mark_socket(
                        to,
                        Ready { is_readable: true, is_read_closed: true, ..Ready::default() },
                    );
                }
            }
            Action::Reset { to } => self.fail(to, ErrorKind::ConnectionReset),
            Action::Room { to } => self.mark_writable(to),
            Action::Silence { socket } => self.handle_silence(socket),
            Action::TimedOut { socket } => self.fail(socket, ErrorKind::TimedOut),
            Action::Datagram { to, bytes } => {
                if let Some(it) = self.datagrams.get_mut(&to) {
                    it.received.push_back(bytes);
                    let (host, token) = (it.host, it.token);
                    self.mark(host, Ready { token, is_readable: true, ..Ready::default() });
                }
            }
        }
    }

    fn handle_connect(&mut self, from: Id, to: SocketAddr) {
        let Some(&host) = self.hosts.get(&to.ip()) else { return };
        let Some(caller) = self.sockets.get(&from) else { return };
        let caller_host = caller.host;
        if !self.listeners.contains_key(&to) {
            let refusal = Action::Connected { socket: from, peer: None };
            self.send_reply((host, caller_host), refusal);
            return;
        }
        let id = self.new_socket(host, to);
        if let Some(socket) = self.sockets.get_mut(&id) {
            socket.state = State::Open;
            socket.peer = Some((from, caller_host));
            socket.other_host = Some(caller_host);
        }
        let acceptance = Action::Connected { socket: from, peer: Some(id) };
        self.send_to_peer(id, caller_host, 0, acceptance);
        if let Some(listener) = self.listeners.get_mut(&to) {
            listener.backlog.push_back(id);
            let token = listener.token;
            self.mark(host, Ready { token, is_readable: true, ..Ready::default() });
        }
    }

    fn handle_connected(&mut self, id: Id, peer: Option<Id>) {
        let peer_host = peer.and_then(|it| self.sockets.get(&it)).map(|it| it.host);
        let Some(socket) = self.sockets.get_mut(&id) else {
            // It was closed meanwhile.
            if let Some(peer) = peer {
                self.apply(Action::Reset { to: peer });
            }
            return;
        };
        match (peer, peer_host) {
            (Some(peer), Some(host)) => {
                socket.state = State::Open;
                socket.peer = Some((peer, host));
                self.mark_writable(id);
            }
            (Some(_), None) => self.fail(id, ErrorKind::ConnectionReset),
            (None, _) => self.fail(id, ErrorKind::ConnectionRefused),
        }
    }

    fn handle_bytes(&mut self, from: Id, to: Id, bytes: &[u8]) {
        if let Some(sender) = self.sockets.get_mut(&from) {
            sender.in_flight -= bytes.len();
        }
        match self.sockets.get_mut(&to) {
            Some(socket) if socket.error.is_none() => {
                socket.input.extend(bytes);
                self.mark_readable(to);
            }
            _ => self.schedule(self.now(), Action::Reset { to: from }),
        }
    }

    /// Ends a connection with an error.
    fn fail(&mut self, id: Id, kind: ErrorKind) {
        let Some(socket) = self.sockets.get_mut(&id) else { return };
        if socket.error.is_none() && socket.state != State::Failed {
            socket.error = Some(kind);
            socket.state = State::Failed;
            let ready = Ready {
                is_readable: true,
                is_read_closed: true,
                is_writable: true,
                ..Ready::default()
            };
            self.mark_socket(id, ready);
        }
    }

    /// Has a connection on a cut link end once its silence is over.
    fn watch_silence(&mut self, id: Id) {
        let now = self.now();
        let Some(socket) = self.sockets.get_mut(&id) else { return };
        if socket.silent_since.is_some() {
            return;
        }
        socket.silent_since = Some(now);
        let at = now + socket.longest_silence + KEEPALIVE_DELAY;
        self.schedule(at, Action::Silence { socket: id });
    }

    fn handle_silence(&mut self, id: Id) {
        let Some(socket) = self.sockets.get(&id) else { return };
        let Some(since) = socket.silent_since else { return };
        let due = since + socket.longest_silence + KEEPALIVE_DELAY;
        if self.now() < due {
            // The watched cut was over before, and another one has begun.
            self.schedule(due, Action::Silence { socket: id });
            return;
        }
        self.fail(id, ErrorKind::TimedOut);
    }

    /// Cuts the link from one machine to another: nothing arrives until it is restored.
    pub(crate) fn cut(&mut self, from: Host, to: Host) {
        self.links.cut(from, to);
        let between = |it: &Socket| {
            it.other_host.is_some_and(|other| [(from, to), (to, from)].contains(&(it.host, other)))
        };
        let mut ids: Vec<Id> =
            self.sockets.iter().filter(|it| between(it.1)).map(|it| *it.0).collect();
        ids.sort_unstable();
        for id in ids {
            self.watch_silence(id);
        }
    }

    /// Restores a link. What was sent meanwhile is sent again, except for datagrams.
    pub(crate) fn restore(&mut self, from: Host, to: Host) {
        self.links.restore(from, to);
        if !self.links.is_cut(to, from) {
            for socket in self.sockets.values_mut() {
                if let Some(other) = socket.other_host
                    && [(from, to), (to, from)].contains(&(socket.host, other))
                {
                    socket.silent_since = None;
                }
            }
        }
        let later = self.now() + RETRANSMISSION_TIMEOUT.mul_f64(self.rng.random::<f64>());
        // What is sent from now on must not overtake it.
        for socket in self.sockets.values_mut() {
            if (socket.host, socket.other_host) == (from, Some(to)) {
                socket.last_arrival = socket.last_arrival.max(later);
            }
        }
        let held = std::mem::take(&mut self.held);
        let (due, held) = held.into_iter().partition(|it| (it.0, it.1) == (from, to));
        self.held = held;
        for (_, _, action) in due {
            self.schedule(later, action);
        }
    }

    fn new_socket(&mut self, host: Host, address: SocketAddr) -> Id {
        self.next_socket += 1;
        self.sockets.insert(self.next_socket, Socket::new(host, address));
        self.next_socket
    }

    /// Ends all that the process of a machine has opened, as the kernel does after a crash.
    pub(crate) fn close_host(&mut self, host: Host) {
        let listeners: Map<SocketAddr, Listener> =
            self.listeners.extract_if(|_, it| it.host == host).collect();
        self.datagrams.retain(|_, it| it.host != host);
        let mut ids: Vec<Id> =
            self.sockets.iter().filter(|it| it.1.host == host).map(|it| *it.0).collect();
        ids.sort_unstable();
        let backlogs = listeners.into_values().flat_map(|it| it.backlog);
        let unaccepted: Set<Id> = backlogs.collect();
        for id in ids {
            self.close_socket(id, unaccepted.contains(&id));
        }
        self.machines[host].ready.clear();
    }

    fn close_socket(&mut self, id: Id, is_reset: bool) {
        let Some(socket) = self.sockets.get(&id) else { return };
        let is_reset = is_reset || socket.is_reset_on_close || !socket.input.is_empty();
        match (socket.peer, socket.state) {
            (Some((peer, host)), State::Open) if !socket.is_stuck => {
                let action = match is_reset {
                    true => Action::Reset { to: peer },
                    false => Action::Close { to: peer },
                };
                self.send_to_peer(id, host, 0, action);
            }
            // The answer to the peer's next probe, if the peer hasn't given up itself.
            (Some((peer, host)), State::Open | State::Failed) => {
                self.send_reply((socket.host, host), Action::Reset { to: peer });
            }
            (None, _) | (Some(_), State::Connecting) => {}
        }
        self.sockets.remove(&id);
    }

    fn connect(&mut self, host: Host, address: SocketAddr) -> Id {
        let id = self.new_socket(host, address);
        let other_host = self.hosts.get(&address.ip()).copied();
        if let Some(socket) = self.sockets.get_mut(&id) {
            socket.other_host = other_host;
        }
        match other_host {
            Some(other) => {
                self.send_to_peer(id, other, 0, Action::Connect { from: id, to: address });
            }
            // No such machine: nothing answers.
            None => self.watch_silence(id),
        }
        id
    }

    fn write(&mut self, id: Id, bytes: &[u8]) -> io::Result<usize> {
        let Some(socket) = self.sockets.get_mut(&id) else {
            return Err(ErrorKind::NotConnected.into());
        };
        if let Some(kind) = socket.error.take() {
            return Err(kind.into());
        }
        let (State::Open, Some((peer, host))) = (socket.state, socket.peer) else {
            return Err(match socket.state {
                State::Failed => ErrorKind::BrokenPipe.into(),
                State::Connecting | State::Open => ErrorKind::WouldBlock.into(),
            });
        };
        let unread = self.sockets.get(&peer).map_or(0, |it| it.input.len());
        let Some(socket) = self.sockets.get_mut(&id) else {
            return Err(ErrorKind::NotConnected.into());
        };
        let len = bytes.len().min(WINDOW_BYTES.saturating_sub(unread + socket.in_flight));
        if len == 0 {
            socket.waits_for_room = true;
            return Err(ErrorKind::WouldBlock.into());
        }
        socket.in_flight += len;
        let action = Action::Bytes { from: id, to: peer, bytes: bytes[..len].into() };
        self.send_to_peer(id, host, len, action);
        Ok(len)
    }

    fn read(&mut self, id: Id, buf: &mut [u8]) -> io::Result<usize> {
        let Some(socket) = self.sockets.get_mut(&id) else {
            return Err(ErrorKind::NotConnected.into());
        };
        let len = socket.take(buf)?;
        if let Some((peer, host)) = socket.peer
            && let Some(writer) = self.sockets.get_mut(&peer)
            && std::mem::take(&mut writer.waits_for_room)
        {
            let own = self.sockets.get(&id).map_or(host, |it| it.host);
            self.send_reply((own, host), Action::Room { to: peer });
        }
        Ok(len)
    }

    fn register(&mut self, id: Id, token: usize, silence: Duration) {
        let Some(socket) = self.sockets.get_mut(&id) else { return };
        (socket.token, socket.longest_silence) = (Some(token), silence);
        let ready = Ready {
            token,
            is_readable: socket.is_readable(),
            is_read_closed: socket.is_closed_by_peer,
            is_writable: socket.state != State::Connecting,
        };
        let host = socket.host;
        if ready.is_readable || ready.is_writable {
            self.mark(host, ready);
        }
    }

    /// Changes how long a connection may be silent, also while it is.
    fn set_silence(&mut self, id: Id, silence: Duration) {
        let now = self.now();
        let Some(socket) = self.sockets.get_mut(&id) else { return };
        let is_shorter = silence < socket.longest_silence;
        socket.longest_silence = silence;
        if let Some(since) = socket.silent_since.filter(|_| is_shorter) {
            let at = now.max(since + silence + KEEPALIVE_DELAY);
            self.schedule(at, Action::Silence { socket: id });
        }
    }

    fn send_datagram(&mut self, from: Host, to: SocketAddr, bytes: &[u8]) {
        let Some(&host) = self.hosts.get(&to.ip()) else { return };
        let departs = self.links.transmit(self.now(), from, bytes.len());
        if self.links.is_cut(from, host) || self.links.loses(&mut self.rng) {
            return;
        }
        let arrives = departs + self.links.delay(from, host, &mut self.rng);
        self.schedule(arrives, Action::Datagram { to, bytes: bytes.into() });
    }
}
