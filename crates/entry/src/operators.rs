//! The side towards operators: health checks, metrics and administration.

mod bridge;
mod health;
mod metrics;
mod route;

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, mpsc},
    thread,
    time::Duration,
};

use self::{metrics::Recorder, route::Pages};
use crate::{
    administration::Service,
    http::{Bound, Bounds, Server, Threads},
    shell::Handle,
};

/// How often metrics are tidied.
const TIDY: Duration = Duration::from_secs(1);
/// Connections open at once. Each may hold a thread, as in a long poll.
const CONNECTIONS: usize = 64;
/// Bounds on what an operator's connection may use up.
const BOUNDS: Bounds = Bounds {
    connections: CONNECTIONS,
    connections_per_peer: CONNECTIONS,
    head_bytes: 32 << 10,
    headers: 64,
    head_timeout: Duration::from_secs(15),
    stall_timeout: Duration::from_secs(15),
};
const THREADS: Threads = Threads { connections: 1, blocking: CONNECTIONS };

/// A listener that serves operators.
#[derive(Debug)]
pub(crate) struct Listener {
    server: Server,
    _tidying: mpsc::Sender<()>,
}

impl Listener {
    /// Binds `address` and serves operators there.
    pub(crate) fn bind(address: SocketAddr, shell: Handle, service: Service) -> io::Result<Self> {
        let recorder = metrics::open();
        let tidying = tidy(recorder.clone())?;
        let bound = Bound::bind("operators", address, THREADS)?;
        let pages = Arc::new(Pages { shell, recorder, service });
        Ok(Self { server: bound.serve(BOUNDS, pages), _tidying: tidying })
    }

    /// The address, with its real port.
    pub(crate) fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Stops listening. Pages under way are cut.
    pub(crate) fn close(self) {
        self.server.kill();
    }
}

/// Tidies metrics until the returned sender is dropped.
fn tidy(recorder: Recorder) -> io::Result<mpsc::Sender<()>> {
    let (tx, rx) = mpsc::channel();
    let run = move || {
        while rx.recv_timeout(TIDY) == Err(mpsc::RecvTimeoutError::Timeout) {
            recorder.tidy();
        }
    };
    thread::Builder::new().name("metrics".to_owned()).spawn(run)?;
    Ok(tx)
}
