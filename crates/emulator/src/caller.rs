//! Callers: they send requests, check the answers, and retry what may be retried.

mod flight;
mod traffic;

use std::{cmp::Reverse, collections::BinaryHeap, io::ErrorKind, net::SocketAddr, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use shallotlead_base::{hash::Map, time::Time};

use crate::{
    ledger::{End, Ledger},
    network::Handle,
    process::{Next, Process},
    sockets::{Event, Id, Sockets},
};

use flight::{Flight, Progress};
use traffic::Request;
pub(crate) use traffic::Traffic;

/// Silence after which a caller gives a connection up.
const LONGEST_SILENCE: Duration = Duration::from_millis(1_500);
/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How often a caller sends a request.
const MAX_ATTEMPTS: u32 = 4;
/// Pause before a request is sent again that wasn't refused with a time.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// How long an instance is avoided that accepts no connections.
const AVOIDANCE: Duration = Duration::from_millis(1_000);
/// How long idle connections are kept.
const IDLE_TIME: Duration = Duration::from_secs(5);
/// Time beyond a request's deadline after which an attempt counts as unanswered.
const SILENCE_MARGIN: Duration = Duration::from_millis(1_000);

/// All callers of a deployment.
pub(crate) struct Callers {
    sockets: Sockets,
    ledger: Ledger,
    rng: SmallRng,
    traffic: Traffic,
    /// After which time without a byte a stream is left.
    patience: Option<Duration>,
    instances: Vec<SocketAddr>,
    /// Until when instances are avoided.
    avoided: Map<SocketAddr, Time>,
    flights: Map<Id, Flight>,
    /// Connections without a request, oldest first.
    idle: Vec<(Time, SocketAddr, Id)>,
    /// Requests that are sent again, by time and serial number.
    waiting: BinaryHeap<Reverse<(Time, u64)>>,
    requests: Map<u64, Request>,
    next_attempt: u64,
}

impl Callers {
    pub(crate) fn open(
        handle: Handle,
        instances: Vec<SocketAddr>,
        traffic: Traffic,
        patience: Option<Duration>,
        ledger: Ledger,
        seed: u64,
    ) -> Self {
        Self {
            sockets: Sockets::new(handle, LONGEST_SILENCE),
            ledger,
            rng: SmallRng::seed_from_u64(seed),
            traffic,
            patience,
            instances,
            avoided: Map::default(),
            flights: Map::default(),
            idle: Vec::new(),
            waiting: BinaryHeap::new(),
            requests: Map::default(),
            next_attempt: 0,
        }
    }

    fn choose_instance(&mut self, now: Time) -> Option<SocketAddr> {
        let is_usable = |it: &&SocketAddr| self.avoided.get(*it).is_none_or(|it| *it <= now);
        let usable: Vec<SocketAddr> = self.instances.iter().filter(is_usable).copied().collect();
        usable.choose(&mut self.rng).or_else(|| self.instances.choose(&mut self.rng)).copied()
    }

    fn send(&mut self, now: Time, mut request: Request) {
        let Some(instance) = self.choose_instance(now) else { return };
        let idle = self.idle.iter().rposition(|it| it.1 == instance);
        let connection = match idle {
            Some(position) => Some(self.idle.remove(position).2),
            None => self.sockets.connect(instance),
        };
        let Some(connection) = connection else { return };
        self.next_attempt += 1;
        request.attempts += 1;
        let flight = Flight::new(request, self.next_attempt, instance, now);
        self.ledger.journal.line(
            now,
            "callers",
            format_args!("{} sent to {}", flight.id, instance.ip()),
        );
        self.ledger.records.borrow_mut().sent.push((now, flight.request.kind));
        self.sockets.send(connection, &flight.to_bytes());
        self.flights.insert(connection, flight);
    }

    fn read(&mut self, now: Time, connection: Id) {
        let Some(input) = self.sockets.input(connection) else { return };
        let Some(flight) = self.flights.get_mut(&connection) else {
            let seen = format!("{} bytes on an idle connection", input.len());
            self.ledger.violation(now, "a request is answered once", seen);
            self.drop_idle(connection);
            return;
        };
        match flight.read(now, input) {
            Progress::Partial => {}
            Progress::Violation(promise, seen) => {
                self.ledger.violation(now, promise, seen);
                self.end(now, connection, End::Broken);
            }
            Progress::Whole(end) => self.end(now, connection, end),
        }
    }

    fn drop_idle(&mut self, connection: Id) {
        self.idle.retain(|it| it.2 != connection);
        self.sockets.close(connection);
    }

    /// Ends an attempt.
    fn end(&mut self, now: Time, connection: Id, end: End) {
        let Some(flight) = self.flights.remove(&connection) else {
            self.drop_idle(connection);
            return;
        };
        let is_whole = matches!(end, End::Answered | End::Refused(_) | End::Failed(_));
        if is_whole && flight.keeps_connection() {
            self.idle.push((now, flight.instance, connection));
        } else {
            self.sockets.close(connection);
        }
        self.ledger.ended(now, &flight.id, end);
        match end {
            End::Unconnected => {
                self.avoided.insert(flight.instance, now + AVOIDANCE);
            }
            End::Left => self.ledger.records.borrow_mut().left += 1,
            End::Silent => self.ledger.unanswered(now, &flight.id, flight.instance, flight.sent),
            _ => {}
        }
        if end == End::Answered {
            self.ledger.answered(flight.request.kind, flight.first_event);
        } else {
            self.retry(now, flight, end);
        }
    }

    /// Ends an attempt whose connection was closed by its instance.
    fn end_closed(&mut self, now: Time, connection: Id) {
        if let Some(it) = self.flights.get(&connection).filter(|it| it.is_running(now)) {
            self.ledger.broken_off(now, &it.id, it.instance, it.sent);
        }
        self.end(now, connection, End::Broken);
    }

    fn retry(&mut self, now: Time, flight: Flight, end: End) {
        let is_safe = matches!(end, End::Refused(_) | End::Unconnected)
            || flight.request.kind.is_repeatable();
        let pause = flight.retry_after().unwrap_or(RETRY_PAUSE).max(RETRY_PAUSE);
        let pause = pause.mul_f64(1.0 + self.rng.random::<f64>() / 2.0);
        let request = flight.into_request();
        if !is_safe || request.attempts == MAX_ATTEMPTS {
            self.ledger.records.borrow_mut().failed += 1;
            return;
        }
        self.waiting.push(Reverse((now + pause, request.number)));
        self.requests.insert(request.number, request);
    }

    fn send_due(&mut self, now: Time) {
        while let Some(request) = self.traffic.next(now) {
            self.ledger.records.borrow_mut().requests += 1;
            self.send(now, request);
        }
        while let Some(Reverse((at, number))) = self.waiting.peek().copied()
            && at <= now
        {
            self.waiting.pop();
            if let Some(request) = self.requests.remove(&number) {
                self.send(now, request);
            }
        }
    }

    fn leaves_at(&self, flight: &Flight) -> Option<Time> {
        flight.leaves_at(self.patience?)
    }

    /// Ends attempts that take too long.
    fn end_overdue(&mut self, now: Time) {
        let is_unopened =
            |id: Id, it: &Flight| it.sent + CONNECT_TIMEOUT <= now && !self.sockets.is_open(id);
        let end = |id: Id, it: &Flight| match () {
            () if is_unopened(id, it) => Some((id, End::Unconnected)),
            () if it.gives_up_at() <= now => Some((id, End::Silent)),
            () if self.leaves_at(it).is_some_and(|it| it <= now) => Some((id, End::Left)),
            () => None,
        };
        let overdue = self.flights.iter().filter_map(|it| end(*it.0, it.1));
        let mut overdue: Vec<(Id, End)> = overdue.collect();
        overdue.sort_unstable_by_key(|it| it.0);
        for (connection, end) in overdue {
            self.end(now, connection, end);
        }
        while let Some((since, _, connection)) = self.idle.first().copied()
            && since + IDLE_TIME <= now
        {
            self.drop_idle(connection);
        }
    }
}

impl Process for Callers {
    fn turn(&mut self, now: Time) -> Next {
        for event in self.sockets.poll() {
            match event {
                Event::Input(id) => self.read(now, id),
                Event::Closed(id) => self.end_closed(now, id),
                Event::Failed(id, ErrorKind::ConnectionRefused) => {
                    self.end(now, id, End::Unconnected);
                }
                Event::Failed(id, ErrorKind::TimedOut) => self.end(now, id, End::Broken),
                Event::Failed(id, _) => self.end_closed(now, id),
            }
        }
        self.end_overdue(now);
        self.send_due(now);
        let opening = self.flights.iter().filter(|it| !self.sockets.is_open(*it.0));
        let opening = opening.map(|it| it.1.sent + CONNECT_TIMEOUT).min();
        let overdue = self.flights.values().map(Flight::gives_up_at).min();
        let leaving = self.flights.values().filter_map(|it| self.leaves_at(it)).min();
        let retry = self.waiting.peek().map(|it| it.0.0);
        let idle = self.idle.first().map(|it| it.0 + IDLE_TIME);
        let due = [opening, overdue, leaving, retry, idle, self.traffic.due()];
        Next::or_at(due.into_iter().flatten().min())
    }
}
