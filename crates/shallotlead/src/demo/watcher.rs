//! Watches which version of the table each instance has in force.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use serde::Deserialize;
use ureq::Agent;

/// A running watcher.
#[derive(Debug)]
pub(crate) struct Handle {
    shared: Arc<Shared>,
    thread: JoinHandle<()>,
}

/// What was seen of the table's versions.
#[derive(Clone, Debug, Default)]
pub(crate) struct Versions {
    /// Answers read.
    pub(crate) seen: u64,
    /// Instances that went back to an older version in one life.
    pub(crate) reverts: Vec<String>,
    highest: HashMap<(String, u64), u64>,
}

#[derive(Debug, Default)]
struct Shared {
    is_over: AtomicBool,
    operators: Mutex<Vec<SocketAddr>>,
    versions: Mutex<Versions>,
}

/// An instance's health.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Health {
    pub(crate) instance: String,
    pub(crate) incarnation: u64,
    pub(crate) table: u64,
    pub(crate) open_requests: u64,
}

const PERIOD: Duration = Duration::from_millis(50);
const TIMEOUT: Duration = Duration::from_secs(2);

/// Starts a watcher that watches nothing yet.
pub(crate) fn spawn() -> Handle {
    let shared = Arc::new(Shared::default());
    let thread = {
        let shared = Arc::clone(&shared);
        thread::spawn(move || {
            while !shared.is_over.load(Ordering::SeqCst) {
                shared.look();
                thread::sleep(PERIOD);
            }
        })
    };
    Handle { shared, thread }
}

impl Handle {
    /// Watches the instances with these operators' addresses from now on.
    pub(crate) fn watch(&self, operators: Vec<SocketAddr>) {
        *lock(&self.shared.operators) = operators;
    }

    /// Ends watching.
    pub(crate) fn finish(self) -> Versions {
        self.shared.is_over.store(true, Ordering::SeqCst);
        // A panic would leave what was seen before it.
        let _ = self.thread.join();
        lock(&self.shared.versions).clone()
    }
}

impl Shared {
    fn look(&self) {
        let operators = lock(&self.operators).clone();
        for address in operators {
            if let Some(health) = health(address) {
                lock(&self.versions).take(health);
            }
        }
    }
}

impl Versions {
    pub(crate) fn take(&mut self, health: Health) {
        self.seen += 1;
        let Health { instance, incarnation, table, .. } = health;
        let highest = self.highest.entry((instance.clone(), incarnation)).or_default();
        if table < *highest {
            self.reverts.push(format!("{instance} went from {highest} back to {table}"));
        }
        *highest = (*highest).max(table);
    }
}

/// Health of the instance with this operators' address, if it answers.
pub(crate) fn health(operators: SocketAddr) -> Option<Health> {
    let config = Agent::config_builder().http_status_as_error(false).timeout_global(Some(TIMEOUT));
    let agent: Agent = config.build().into();
    let mut response = agent.get(format!("http://{operators}/healthz")).call().ok()?;
    serde_json::from_str(&response.body_mut().read_to_string().ok()?).ok()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
