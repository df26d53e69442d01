//! Threads that carry out blocking calls.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
        mpsc::{self, Receiver, Sender},
    },
    thread,
};

use shallotlead_base::store::Call;

use crate::{client::Event, outcome::Outcome, scheduler::CallId, store::Store};

/// One attempt to carry out, and where to send its outcome.
pub(super) struct Job {
    pub(super) id: CallId,
    pub(super) call: Call,
    pub(super) tx: Sender<Event>,
}

/// Threads for jobs; a new one is started when all others are busy. The scheduler limits the calls
/// in flight, and thereby the threads.
pub(super) struct Pool {
    store: Arc<dyn Store>,
    tx: Sender<Job>,
    rx: Arc<Mutex<Receiver<Job>>>,
    /// Jobs that were accepted and aren't finished.
    busy: Arc<AtomicUsize>,
    threads: usize,
}

impl Pool {
    pub(super) fn new(store: Arc<dyn Store>) -> Self {
        let (tx, rx) = mpsc::channel();
        let rx = Arc::new(Mutex::new(rx));
        Self { store, tx, rx, busy: Arc::default(), threads: 0 }
    }

    pub(super) fn run(&mut self, job: Job) {
        let busy = self.busy.fetch_add(1, Ordering::AcqRel) + 1;
        if self.threads < busy {
            self.spawn();
        }
        if self.threads == 0 {
            self.busy.fetch_sub(1, Ordering::AcqRel);
            let outcome = Outcome::Unavailable { retry_after: None };
            // The channel is closed only if the client has ended.
            let _ = job.tx.send(Event::Finished(job.id, outcome));
            return;
        }
        // The pool holds the receiver, so that the channel is open.
        let _ = self.tx.send(job);
    }

    fn spawn(&mut self) {
        let rx = Arc::clone(&self.rx);
        let store = Arc::clone(&self.store);
        let busy = Arc::clone(&self.busy);
        let run = move || {
            while let Some(job) = next_job(&rx) {
                let outcome = store.call(&job.call);
                busy.fetch_sub(1, Ordering::AcqRel);
                let _ = job.tx.send(Event::Finished(job.id, outcome));
            }
        };
        match thread::Builder::new().name("platform-call".into()).spawn(run) {
            Ok(_) => self.threads += 1,
            Err(err) => log::error!("failed to start a thread for platform calls: {err}"),
        }
    }
}

/// Waits for the next job; returns `None` once the pool was dropped.
fn next_job(rx: &Mutex<Receiver<Job>>) -> Option<Job> {
    rx.lock().unwrap_or_else(PoisonError::into_inner).recv().ok()
}
