//! The running client: one thread drives the scheduler, others carry out the blocking calls.

mod meter;
mod worker;

use std::{
    io,
    sync::{
        Arc, Mutex, PoisonError, Weak,
        mpsc::{self, Receiver, RecvTimeoutError, Sender},
    },
    thread,
    time::{Duration, Instant},
};

use shallotlead_base::{
    hash::Map,
    store::{Call, Failure, Reply},
    time::Time,
};

use crate::{
    budget::{Rates, Sharers},
    client::{
        meter::Meter,
        worker::{Job, Pool},
    },
    outcome::Outcome,
    scheduler::{Action, CallId, Scheduler, Ticket},
    store::Store,
};

/// Longest sleep of the driver thread, so that the call rate in the metrics falls to zero when no
/// calls are sent.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// Settings of a client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Limits of the whole fleet's calls to the platform.
    pub rates: Rates,
    /// Numbers of instances that share the limits, until [`Handle::set_sharers`] is called. Should
    /// be an upper bound, as instances that start together don't know of each other yet.
    pub sharers: Sharers,
    /// Seed of all jitter; must differ between instances.
    pub seed: u64,
}

/// Handle of a running client. Clones share the client, which ends when the last one is dropped.
#[derive(Clone, Debug)]
pub struct Handle {
    tx: Arc<Sender<Event>>,
    health: Arc<Mutex<Health>>,
}

/// State of the platform as observed by the client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Health {
    /// Whether the platform answers calls.
    pub available: bool,
    /// Calls per second, averaged over the last second or longer.
    pub calls_per_second: f64,
}

impl Default for Health {
    fn default() -> Self {
        Self { available: true, calls_per_second: 0.0 }
    }
}

enum Event {
    Submit(Call, Box<dyn FnOnce(Reply) + Send>),
    Finished(CallId, Outcome),
    Sharers(Sharers),
}

/// Starts a client of `store` with its driver thread.
pub fn open(settings: Settings, store: impl Store) -> io::Result<Handle> {
    let (tx, rx) = mpsc::channel();
    let tx = Arc::new(tx);
    let health = Arc::new(Mutex::new(Health::default()));
    let meter = Meter::new(Arc::clone(&health));
    // Idle threads hold no sender, so that the channel closes when the last handle is dropped.
    let events = Arc::downgrade(&tx);
    let pool = Pool::new(Arc::new(store));
    thread::Builder::new()
        .name("platform".into())
        .spawn(move || Driver::new(settings, events, pool, meter).run(&rx))?;
    Ok(Handle { tx, health })
}

impl Handle {
    /// Submits a call. `reply_to` is called once with the reply, on the client's thread, and must
    /// not block. A call that can't be sent within the maximum wait of its priority fails as not
    /// applied.
    pub fn submit(&self, call: Call, reply_to: impl FnOnce(Reply) + Send + 'static) {
        // The receiver exists as long as any handle does; see `Driver::run`.
        let _ = self.tx.send(Event::Submit(call, Box::new(reply_to)));
    }

    /// Submits a call and waits for the reply.
    pub fn call(&self, call: Call) -> Reply {
        let (tx, rx) = mpsc::channel();
        self.submit(call, move |reply| {
            // Fails only if the caller's thread has ended.
            let _ = tx.send(reply);
        });
        rx.recv().unwrap_or(Reply::Failed(Failure::Unknown))
    }

    /// Returns the state of the platform.
    pub fn health(&self) -> Health {
        *self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets how many live instances share the fleet's limits.
    pub fn set_sharers(&self, sharers: Sharers) {
        let _ = self.tx.send(Event::Sharers(sharers));
    }
}

struct Driver {
    scheduler: Scheduler,
    start: Instant,
    pool: Pool,
    events: Weak<Sender<Event>>,
    pending: Map<Ticket, Box<dyn FnOnce(Reply) + Send>>,
    last_ticket: u64,
    meter: Meter,
}

impl Driver {
    fn new(settings: Settings, events: Weak<Sender<Event>>, pool: Pool, meter: Meter) -> Self {
        let Settings { rates, sharers, seed } = settings;
        Self {
            scheduler: Scheduler::new(rates, sharers, seed, Time::ZERO),
            start: Instant::now(),
            pool,
            events,
            pending: Map::default(),
            last_ticket: 0,
            meter,
        }
    }

    fn run(mut self, rx: &Receiver<Event>) {
        loop {
            let now = self.now();
            for action in self.scheduler.tick(now) {
                self.execute(action);
            }
            self.meter.record(&self.scheduler, now);
            match rx.recv_timeout(self.time_to_next_tick()) {
                Ok(event) => self.handle(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            for event in rx.try_iter() {
                self.handle(event);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Submit(call, reply_to) => {
                self.last_ticket += 1;
                let ticket = Ticket(self.last_ticket);
                self.pending.insert(ticket, reply_to);
                self.scheduler.submit(ticket, call, now);
            }
            Event::Finished(id, outcome) => self.scheduler.handle_outcome(id, outcome, now),
            Event::Sharers(sharers) => self.scheduler.set_sharers(sharers, now),
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Reply(ticket, reply) => {
                if let Some(reply_to) = self.pending.remove(&ticket) {
                    reply_to(reply);
                }
            }
            Action::Send(id, call) => {
                // Without a handle no one waits for replies, and the driver is about to end.
                let Some(tx) = self.events.upgrade() else {
                    return;
                };
                self.pool.run(Job { id, call, tx: Sender::clone(&tx) });
            }
        }
    }

    fn time_to_next_tick(&mut self) -> Duration {
        let now = self.now();
        let due = self.scheduler.next_due(now).unwrap_or(Time::MAX);
        due.since(now).min(MAX_SLEEP)
    }

    fn now(&self) -> Time {
        Time::ZERO + self.start.elapsed()
    }
}
