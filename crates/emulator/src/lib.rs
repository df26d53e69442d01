//! Whole deployments in virtual time: any number of instances that run the gateway's own core, and models of all that
//! is around them: the network, the platform's store, backend servers and callers.
//!
//! A run depends on its [`scenario::Scenario`] alone: the same one gives the same bytes of log.

pub mod backend;
mod budget;
mod caller;
mod clock;
pub mod fault;
mod format;
mod instance;
mod journal;
pub mod ledger;
mod network;
mod process;
pub mod report;
pub mod scenario;
mod server;
mod sockets;
mod store;
pub mod hunt;
pub mod world;
