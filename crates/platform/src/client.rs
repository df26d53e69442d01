//! The running client: one thread decides, a few carry out the blocking calls.

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

/// Longest sleep of the deciding thread, so that the rate in the metrics falls back to zero.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// What the client starts with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// What the whole fleet may ask of the platform.
    pub rates: Rates,
    /// Who shares it, until [`Handle::set_sharers`] knows better. Guess high: a herd that starts
    /// together knows nothing of each other yet.
    pub sharers: Sharers,
    /// Seed of all jitter; differs between instances.
    pub seed: u64,
}

/// A running client. Clones share it; it ends when the last one is dropped.
#[derive(Clone, Debug)]
pub struct Handle {
    tx: Arc<Sender<Event>>,
    health: Arc<Mutex<Health>>,
}

/// How the platform is, as the client sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Health {
    /// Whether calls are answered.
    pub available: bool,
    /// Calls in the last second.
    pub calls_per_second: f64,
}

impl Default for Health {
    fn default() -> Self {
        Self { available: true, calls_per_second: 0.0 }
    }
}

enum Event {
    Submit(Call, Box<dyn FnOnce(Reply) + Send>),
    Answered(CallId, Outcome),
    Sharers(Sharers),
}

/// Starts a client of `store`.
pub fn open(settings: Settings, store: impl Store) -> io::Result<Handle> {
    let (tx, rx) = mpsc::channel();
    let tx = Arc::new(tx);
    let health = Arc::new(Mutex::new(Health::default()));
    let meter = Meter::new(Arc::clone(&health));
    // The threads hold no sender of their own while idle, so that the channel closes with the last
    // handle.
    let own = Arc::downgrade(&tx);
    let pool = Pool::new(Arc::new(store));
    thread::Builder::new()
        .name("platform".into())
        .spawn(move || Driver::new(settings, own, pool, meter).run(&rx))?;
    Ok(Handle { tx, health })
}

impl Handle {
    /// Hands in a call; `reply_to` hears the answer once, on the client's thread, and must not
    /// block. A call that can't be sent in its class's time comes back as not applied.
    pub fn submit(&self, call: Call, reply_to: impl FnOnce(Reply) + Send + 'static) {
        // The receiver lives as long as a handle does; see `Task::run`.
        let _ = self.tx.send(Event::Submit(call, Box::new(reply_to)));
    }

    /// Hands in a call and waits for the answer.
    pub fn call(&self, call: Call) -> Reply {
        let (tx, rx) = mpsc::channel();
        self.submit(call, move |reply| {
            // Nobody waits any more only if the caller's thread is gone.
            let _ = tx.send(reply);
        });
        rx.recv().unwrap_or(Reply::Failed(Failure::Unknown))
    }

    /// How the platform is.
    pub fn health(&self) -> Health {
        *self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells how many live instances share the fleet's rates.
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
    next_ticket: u64,
    meter: Meter,
}

impl Driver {
    fn new(settings: Settings, own: Weak<Sender<Event>>, pool: Pool, meter: Meter) -> Self {
        let Settings { rates, sharers, seed } = settings;
        Self {
            scheduler: Scheduler::new(rates, sharers, seed, Time::ZERO),
            start: Instant::now(),
            pool,
            events: own,
            pending: Map::default(),
            next_ticket: 0,
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
                Ok(event) => self.take(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            for event in rx.try_iter() {
                self.take(event);
            }
        }
    }

    fn take(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Submit(call, reply_to) => {
                self.next_ticket += 1;
                let ticket = Ticket(self.next_ticket);
                self.pending.insert(ticket, reply_to);
                self.scheduler.submit(ticket, call, now);
            }
            Event::Answered(sent, outcome) => self.scheduler.handle_outcome(sent, outcome, now),
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
            Action::Send(sent, call) => {
                // Without a handle nobody waits for answers, and the task is about to end.
                let Some(tx) = self.events.upgrade() else {
                    return;
                };
                self.pool.run(Job { sent, call, tx: Sender::clone(&tx) });
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
