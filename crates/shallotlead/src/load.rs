//! Load: callers that send a deployment's traffic at a rate, and what became of it.

pub mod report;

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
        mpsc,
    },
    thread::{self, JoinHandle},
    time::Instant,
};

use serde_json::Value;
use shallotlead_standin::{
    engine::{self, Endpoint},
    service,
};

use crate::{
    caller::{
        Caller,
        ask::{Ask, Kind},
        outcome::{End, Outcome},
    },
    traffic::{Mix, deployment::Deployment},
};

/// How to load.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Whose traffic.
    pub deployment: &'static Deployment,
    /// Seed of the traffic.
    pub seed: u64,
    /// Requests a second.
    pub rate: f64,
    /// Callers; each has one request open at most.
    pub callers: usize,
    /// Entry instances that callers know from their settings.
    pub seeds: Vec<SocketAddr>,
    /// Whether callers stay with the instance that they know instead of asking which to use.
    pub fixed: bool,
    /// Whether all requests are completions.
    pub completions: bool,
}

/// One finished request.
#[derive(Clone, Debug)]
pub struct Record {
    /// What was asked.
    pub ask: Arc<Ask>,
    /// When.
    pub at: Instant,
    /// What became of it.
    pub outcome: Outcome,
}

impl Record {
    /// Whether the answer is the one that stand-ins give to this request.
    pub fn is_own_answer(&self) -> bool {
        match &self.ask.kind {
            Kind::Service { path, .. } => {
                let answer = serde_json::from_slice::<service::Answer>(&self.outcome.body);
                answer.is_ok_and(|it| it == service::answer("POST", path, self.ask.body.as_bytes()))
            }
            Kind::Chat { .. } => self.expected(Endpoint::Chat) == self.outcome.tokens.concat(),
            Kind::Completion { .. } => {
                self.expected(Endpoint::Completion) == self.outcome.tokens.concat()
            }
        }
    }

    /// Whether the caller was left without an answer or a truthful word.
    pub fn is_lost(&self) -> bool {
        match self.outcome.end {
            End::Answered | End::Refused => false,
            // Without an idempotency key, a broken call's outcome can't be learnt.
            End::Unknown => self.ask.may_repeat(),
            End::GaveUp | End::Malformed => true,
        }
    }

    fn expected(&self, endpoint: Endpoint) -> String {
        let body: Value = serde_json::from_str(&self.ask.body).unwrap_or_default();
        engine::answer(endpoint, &body).unwrap_or_default().concat()
    }
}

/// Running load. Dropping it stops it.
#[derive(Debug)]
pub struct Handle {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

#[derive(Debug, Default)]
struct Shared {
    is_over: AtomicBool,
    sent: AtomicU64,
    records: Mutex<Vec<Record>>,
}

/// Starts the callers and the traffic.
pub fn spawn(settings: Settings) -> Handle {
    let shared = Arc::new(Shared::default());
    let (tx, rx) = mpsc::sync_channel::<Ask>(settings.callers);
    let rx = Arc::new(Mutex::new(rx));
    let mut threads: Vec<JoinHandle<()>> = (0..settings.callers)
        .map(|index| {
            let centre = settings.deployment.centres[index % settings.deployment.centres.len()];
            let mut seeds = settings.seeds.clone();
            let first = index % seeds.len().max(1);
            seeds.rotate_left(first);
            let mut caller = match seeds.first() {
                Some(seed) if settings.fixed => Caller::fixed(*seed),
                _ => Caller::new(centre, seeds),
            };
            let (shared, rx) = (Arc::clone(&shared), Arc::clone(&rx));
            thread::spawn(move || {
                while let Some(ask) = next(&rx) {
                    shared.carry(&mut caller, ask);
                }
            })
        })
        .collect();
    let pace = Arc::clone(&shared);
    threads.push(thread::spawn(move || arrive(&pace, &settings, &tx)));
    Handle { shared, threads }
}

impl Handle {
    /// Requests sent so far.
    pub fn sent(&self) -> u64 {
        self.shared.sent.load(Ordering::SeqCst)
    }

    /// Requests that are over, without what became of them.
    pub fn finished(&self) -> usize {
        self.shared.records().len()
    }

    /// Ends the traffic, waits for all open requests and returns what became of all.
    pub fn finish(mut self) -> Vec<Record> {
        self.stop();
        std::mem::take(&mut *self.shared.records())
    }

    fn stop(&mut self) {
        self.shared.is_over.store(true, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            // A panic of a caller shows as a missing record.
            let _ = thread.join();
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Shared {
    fn carry(&self, caller: &mut Caller, ask: Ask) {
        let at = Instant::now();
        let outcome = caller.call(&ask);
        self.records().push(Record { ask: Arc::new(ask), at, outcome });
    }

    fn records(&self) -> MutexGuard<'_, Vec<Record>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends requests to the callers as they come due. When all callers are busy, the traffic waits.
fn arrive(shared: &Shared, settings: &Settings, tx: &mpsc::SyncSender<Ask>) {
    let mut mix = Mix::new(settings.deployment, settings.seed);
    let mut due = Instant::now();
    while !shared.is_over.load(Ordering::SeqCst) {
        due = due.max(Instant::now()) + mix.pause(settings.rate);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        shared.sent.fetch_add(1, Ordering::SeqCst);
        let ask = if settings.completions { mix.next_completion() } else { mix.next_ask() };
        if tx.send(ask).is_err() {
            return;
        }
    }
}

fn next(rx: &Mutex<mpsc::Receiver<Ask>>) -> Option<Ask> {
    rx.lock().unwrap_or_else(PoisonError::into_inner).recv().ok()
}
