//! HTTP/1.1 servers with bounds on what a peer may use up, on small runtimes of their own.

mod floor;
mod server;
mod socket;

use std::{future::Future, pin::Pin, sync::Arc, time::Duration};

use hyper::{
    Request, Response,
    body::{Body, Bytes, Incoming},
};
use shallotlead_base::code::Code;

pub(crate) use self::server::{Bound, Server, Threads};

/// What a peer may use up.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    /// Connections that may be open at once.
    pub(crate) connections: usize,
    /// Connections that one IP address may hold open at once.
    pub(crate) connections_per_peer: usize,
    /// Largest request head, in bytes.
    pub(crate) head_bytes: usize,
    /// Most header fields in a request.
    pub(crate) headers: usize,
    /// Longest wait for a whole request head, idle time before it included.
    pub(crate) head_timeout: Duration,
    /// How long a peer may read nothing while an answer waits for it.
    pub(crate) stall_timeout: Duration,
}

/// A pending answer.
pub(crate) type Answer<B> = Pin<Box<dyn Future<Output = Response<B>> + Send>>;

/// Answers requests.
pub(crate) trait Serve: Send + Sync + 'static {
    /// Bodies of its answers.
    type Body: Body<Data = Bytes, Error: std::error::Error + Send + Sync> + Send + 'static;

    /// Answers one request. Dropped when the peer goes away.
    fn serve(self: Arc<Self>, request: Request<Incoming>) -> Answer<Self::Body>;

    /// The JSON body of a refusal that comes before any request was read.
    fn refuse(&self, code: Code) -> String;
}
