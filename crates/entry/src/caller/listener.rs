//! Serves callers until the instance leaves.

use std::{io, net::SocketAddr, sync::Arc, thread, time::Duration};

use hyper::{Request, body::Incoming};
use shallotlead_base::code::Code;

use crate::{
    caller::{body::Body, context::Context, failure::Failure, route},
    http::{self, Answer, Bounds, Serve, Threads},
    settings::{Callers, Settings},
    shell::Handle,
};

/// How often the end of open work is looked for.
const DRAIN_PAUSE: Duration = Duration::from_millis(10);
/// Nothing blocks here.
const BLOCKING_THREADS: usize = 1;

/// An address that is bound but not yet served.
#[derive(Debug)]
pub(crate) struct Bound(http::Bound);

/// A listener that serves callers.
#[derive(Debug)]
pub(crate) struct Listener {
    server: http::Server,
    shell: Handle,
}

impl Bound {
    /// Binds the callers' address.
    pub(crate) fn bind(settings: &Callers) -> io::Result<Self> {
        let threads = Threads { connections: settings.threads, blocking: BLOCKING_THREADS };
        http::Bound::bind("callers", settings.address, threads).map(Self)
    }

    /// The address, with its real port.
    pub(crate) fn address(&self) -> SocketAddr {
        self.0.address()
    }

    /// Starts to serve callers.
    pub(crate) fn serve(self, settings: Settings, shell: Handle) -> Listener {
        let bounds = bounds(&settings.callers);
        let ctx = Arc::new(Context::new(settings, shell.clone()));
        Listener { server: self.0.serve(bounds, ctx), shell }
    }
}

impl Listener {
    /// Serves until the open work is done, then closes every connection. New work is refused
    /// meanwhile; the address page is still answered, so that callers learn where to go.
    pub(crate) fn shutdown(self) {
        self.shell.drain();
        while 0 < self.shell.open_requests() {
            thread::sleep(DRAIN_PAUSE);
        }
        self.server.finish();
    }

    /// Ends at once, as a crash would.
    pub(crate) fn kill(self) {
        self.server.kill();
    }
}

fn bounds(settings: &Callers) -> Bounds {
    Bounds {
        connections: settings.max_connections,
        connections_per_peer: settings.max_connections_per_peer,
        head_bytes: settings.max_head_bytes,
        headers: settings.max_headers,
        head_timeout: settings.head_timeout,
        stall_timeout: settings.stall_timeout,
    }
}

impl Serve for Context {
    type Body = Body;

    fn serve(self: Arc<Self>, request: Request<Incoming>) -> Answer<Body> {
        Box::pin(route::serve(self, request))
    }

    fn refuse(&self, code: Code) -> String {
        Failure::from(code).json(self.request())
    }
}
