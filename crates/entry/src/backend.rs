//! Backend servers: the calls that shallotlead makes to engines and plain services.
//!
//! [`Backend`] is the one interface; [`http::Http`] is its adapter for the protocol of
//! `docs/interfaces.md`. Another protocol needs another adapter and nothing else.

pub(crate) mod answer;
pub(crate) mod call;
pub(crate) mod chunk;
pub(crate) mod control;
pub(crate) mod event;
pub(crate) mod failure;
pub(crate) mod feed;
pub(crate) mod health;
pub(crate) mod http;
pub(crate) mod order;

use std::{fmt, net::SocketAddr, time::Duration};

use shallotlead_base::{
    id::{Attempt, Incarnation},
    name,
};
use shallotlead_policy::{chain::Block, load::Report};

use self::{
    answer::Answer,
    call::Call,
    control::Control,
    failure::Failure,
    feed::{Contents, Feed},
    health::Health,
    order::Order,
};

/// Calls to one backend server. All block; all are bounded in time.
pub(crate) trait Backend: fmt::Debug + Send + Sync {
    /// Sends one attempt and waits for the answer's head. `control` ends it from another thread.
    fn attempt(&self, call: &Call, control: &Control) -> Result<Answer, Failure>;

    /// Ends an attempt at its server. Succeeds also when the server doesn't know it.
    fn cancel(&self, address: SocketAddr, attempt: Attempt) -> Result<(), Failure>;

    /// Asks for the server's life and state.
    fn health(&self, address: SocketAddr) -> Result<Health, Failure>;

    /// Asks for the server's load.
    fn load(&self, server: &name::Server, address: SocketAddr) -> Result<Report, Failure>;

    /// Waits for cache events after `after` of life `incarnation`, for at most `wait`.
    fn events(
        &self,
        address: SocketAddr,
        incarnation: Incarnation,
        after: u64,
        wait: Duration,
    ) -> Result<Feed, Failure>;

    /// All cached blocks and the event number that they stand for.
    fn contents(&self, address: SocketAddr) -> Result<Contents, Failure>;

    /// Writes a prefix's KV cache to the KV store.
    fn export(&self, address: SocketAddr, block: Block) -> Result<(), Failure>;

    /// Gives the server an order.
    fn order(&self, address: SocketAddr, order: &Order) -> Result<(), Failure>;
}
