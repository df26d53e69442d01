//! What was sent, answered and run, with times since the start.

use std::{
    fs::File,
    io::{self, Write},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// A request that reached a worker.
#[derive(Clone)]
pub struct Arrival {
    pub at: Duration,
    pub worker: String,
    pub request: String,
}

/// An order that reached a worker.
#[derive(Clone)]
pub struct Order {
    pub at: Duration,
    pub worker: String,
    pub holder: String,
    pub fence: u64,
}

/// What a client got for one request.
#[derive(Clone)]
pub struct Answer {
    pub sent: Duration,
    pub request: String,
    /// Whether it was sent on a connection that had carried others.
    pub is_kept: bool,
    /// `None` if the connection ended without a complete answer.
    pub status: Option<u16>,
    pub body_bytes: usize,
}

/// A complete answer.
pub struct Received {
    pub status: u16,
    pub body_bytes: usize,
    /// The instance closes the connection after it.
    pub closes: bool,
}

#[derive(Default)]
pub struct Log {
    pub arrivals: Vec<Arrival>,
    pub runs: Vec<(Duration, String, String)>,
    pub orders: Vec<Order>,
    pub answers: Vec<Answer>,
}

#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
    pub log: Arc<Mutex<Log>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record's file");
        Self { began: Instant::now(), file: Arc::new(Mutex::new(file)), log: Arc::default() }
    }

    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("the file");
        let _ = writeln!(file, "{:9.3} {text}", self.now().as_secs_f64());
    }

    pub fn arrival(&self, worker: &str, request: &str) {
        let (worker, request) = (worker.to_owned(), request.to_owned());
        self.line(&format!("reached {worker}: {request}"));
        self.log.lock().expect("the log").arrivals.push(Arrival {
            at: self.now(),
            worker,
            request,
        });
    }

    pub fn run(&self, worker: &str, request: &str) {
        self.line(&format!("run by {worker}: {request}"));
        let run = (self.now(), worker.to_owned(), request.to_owned());
        self.log.lock().expect("the log").runs.push(run);
    }

    pub fn order(&self, worker: &str, holder: &str, fence: u64, version: u64, status: u16) {
        self.line(&format!(
            "order to {worker} from {holder}, fence {fence}, version {version}: {status}"
        ));
        let (worker, holder) = (worker.to_owned(), holder.to_owned());
        self.log.lock().expect("the log").orders.push(Order {
            at: self.now(),
            worker,
            holder,
            fence,
        });
    }

    pub fn answer(
        &self,
        sent: Duration,
        instance: &str,
        request: &str,
        is_kept: bool,
        outcome: &io::Result<Received>,
    ) {
        let shown = match outcome {
            Ok(it) => format!("{} with {} bytes", it.status, it.body_bytes),
            Err(err) => format!("no complete answer ({err})"),
        };
        let took = (self.now() - sent).as_millis();
        self.line(&format!("client: {request} to {instance}: {shown} after {took} ms"));
        let received = outcome.as_ref().ok();
        let answer = Answer {
            sent,
            request: request.to_owned(),
            is_kept,
            status: received.map(|it| it.status),
            body_bytes: received.map_or(0, |it| it.body_bytes),
        };
        self.log.lock().expect("the log").answers.push(answer);
    }
}
