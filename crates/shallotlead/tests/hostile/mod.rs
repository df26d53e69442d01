//! Crowds of clients that don't keep to the limits, and what a process uses beside them.

use std::{
    fs,
    io::{ErrorKind, Read, Write},
    net::{IpAddr, SocketAddr, TcpStream},
    process::Child,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

/// Most bytes that a client sends or reads in a row.
const TURN_BYTES: usize = 256 * 1024;
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// State of a listening socket in `/proc/net/tcp`.
const LISTENING: &str = "0A";
const PAGE_BYTES: usize = 4_096;

/// What a client sends on one connection.
#[derive(Clone, Debug, Default)]
pub(crate) struct Script {
    pub(crate) head: Vec<u8>,
    /// Sent `repeats` times after the head.
    pub(crate) unit: Vec<u8>,
    pub(crate) repeats: usize,
    /// Sent last.
    pub(crate) tail: Vec<u8>,
}

impl Script {
    /// The bytes that follow the first `sent` ones; empty at the end.
    fn rest(&self, sent: usize) -> &[u8] {
        let Some(after_head) = sent.checked_sub(self.head.len()) else { return &self.head[sent..] };
        let units = self.unit.len().saturating_mul(self.repeats);
        match after_head.checked_sub(units) {
            None => &self.unit[after_head % self.unit.len()..],
            Some(after_units) => &self.tail[after_units.min(self.tail.len())..],
        }
    }
}

/// Clients on one thread, each with one connection at a time.
#[derive(Clone, Debug)]
pub(crate) struct Crowd {
    pub(crate) address: SocketAddr,
    pub(crate) clients: usize,
    pub(crate) script: Script,
    /// Whether they read what they are sent.
    pub(crate) reads: bool,
    /// Whether they close the connection at the end of their script, and open another one.
    pub(crate) reopens: bool,
    /// How long a client pauses after each byte that it sends past its head, if it does.
    pub(crate) drips: Option<Duration>,
}

/// One client of a crowd.
struct Client {
    stream: Option<TcpStream>,
    sent: usize,
    last_sent: Instant,
}

/// A crowd's open connections. Dropping it closes them.
pub(crate) struct Play {
    crowd: Crowd,
    clients: Vec<Client>,
    /// The most bytes that any client could send on one connection.
    pub(crate) most_sent: usize,
    chunk: Vec<u8>,
}

impl Play {
    pub(crate) fn open(crowd: Crowd) -> Self {
        let clients = (0..crowd.clients).map(|_| Client::open(crowd.address)).collect();
        Self { crowd, clients, most_sent: 0, chunk: vec![0; TURN_BYTES] }
    }

    /// Has the clients send for this long.
    pub(crate) fn run(&mut self, time: Duration) {
        self.run_while(time, |_| true);
    }

    /// Has the clients send while `goes_on`, for `time` at most.
    pub(crate) fn run_while(&mut self, time: Duration, goes_on: impl Fn(&Self) -> bool) {
        let begin = Instant::now();
        while begin.elapsed() < time && goes_on(self) {
            let mut has_moved = false;
            for client in &mut self.clients {
                has_moved |= client.turn(&self.crowd, &mut self.chunk);
                self.most_sent = self.most_sent.max(client.sent);
            }
            if !has_moved {
                thread::sleep(Duration::from_millis(1));
            }
        }
    }

    /// Number of connections that are still open.
    pub(crate) fn open_count(&self) -> usize {
        self.clients.iter().filter(|it| it.stream.is_some()).count()
    }
}

impl Client {
    fn open(address: SocketAddr) -> Self {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2)).ok();
        let stream = stream.filter(|it| it.set_nonblocking(true).is_ok());
        Self { stream, sent: 0, last_sent: Instant::now() }
    }

    /// Sends and reads what it can. Returns whether anything was sent.
    fn turn(&mut self, crowd: &Crowd, chunk: &mut [u8]) -> bool {
        let Some(mut stream) = self.stream.take() else {
            if crowd.reopens {
                *self = Self::open(crowd.address);
            }
            return false;
        };
        let sent = match self.send(crowd, &mut stream) {
            Some(it) => it,
            None => return false,
        };
        let is_open = !crowd.reads || drain(&mut stream, chunk);
        let is_done = crowd.reopens && crowd.script.rest(self.sent).is_empty();
        if is_open && !is_done {
            self.stream = Some(stream);
        }
        0 < sent
    }

    /// Number of bytes sent; `None` if the connection has ended.
    fn send(&mut self, crowd: &Crowd, stream: &mut TcpStream) -> Option<usize> {
        let before = self.sent;
        while self.sent - before < TURN_BYTES {
            let mut bytes = crowd.script.rest(self.sent);
            if let Some(pause) = crowd.drips.filter(|_| crowd.script.head.len() <= self.sent) {
                if self.last_sent.elapsed() < pause {
                    break;
                }
                bytes = &bytes[..bytes.len().min(1)];
            }
            if bytes.is_empty() {
                break;
            }
            match stream.write(bytes) {
                Ok(len) => {
                    self.sent += len;
                    self.last_sent = Instant::now();
                }
                Err(err) if err.kind() == ErrorKind::WouldBlock => break,
                Err(_) => return None,
            }
        }
        Some(self.sent - before)
    }
}

/// Reads what has arrived. Returns whether the connection is open.
fn drain(stream: &mut TcpStream, chunk: &mut [u8]) -> bool {
    loop {
        match stream.read(chunk) {
            Ok(0) => return false,
            Ok(_) => {}
            Err(err) => return err.kind() == ErrorKind::WouldBlock,
        }
    }
}

/// The most that a process has used.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    /// Resident memory and what it has received and not read, bytes.
    pub(crate) memory: usize,
    pub(crate) resident: usize,
    pub(crate) unread: usize,
    pub(crate) descriptors: usize,
}

impl Usage {
    /// What the process uses now that listens at `ip`; `None` if it has ended.
    fn now(pid: u32, ip: IpAddr) -> Option<Self> {
        let pages = fs::read_to_string(format!("/proc/{pid}/statm")).ok()?;
        let resident = pages.split(' ').nth(1)?.parse::<usize>().ok()? * PAGE_BYTES;
        let descriptors = fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count();
        let unread = unread_bytes(ip);
        Some(Self { memory: resident + unread, resident, unread, descriptors })
    }

    fn max(self, other: Self) -> Self {
        Self {
            memory: self.memory.max(other.memory),
            resident: self.resident.max(other.resident),
            unread: self.unread.max(other.unread),
            descriptors: self.descriptors.max(other.descriptors),
        }
    }

    /// The most that the process uses while `play` runs.
    pub(crate) fn during(child: &Child, ip: IpAddr, play: impl FnOnce()) -> Self {
        let is_over = AtomicBool::new(false);
        thread::scope(|scope| {
            let sampler = scope.spawn(|| {
                let mut most = Self::default();
                while !is_over.load(Ordering::Relaxed) {
                    most = Self::now(child.id(), ip).map_or(most, |it| most.max(it));
                    thread::sleep(SAMPLE_INTERVAL);
                }
                most
            });
            play();
            is_over.store(true, Ordering::Relaxed);
            sampler.join().expect("the sampler doesn't panic")
        })
    }
}

/// Bytes that have arrived at `ip` and were not read.
fn unread_bytes(ip: IpAddr) -> usize {
    let IpAddr::V4(ip) = ip else { return 0 };
    let ip = format!("{:08X}", u32::from_le_bytes(ip.octets()));
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let unread = table.lines().filter_map(|line| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        let (local, state, queues) = (columns.get(1)?, columns.get(3)?, columns.get(4)?);
        if !local.starts_with(&ip) || *state == LISTENING {
            return None;
        }
        usize::from_str_radix(queues.split(':').nth(1)?, 16).ok()
    });
    unread.sum()
}
