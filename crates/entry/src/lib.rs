//! The entry daemon: callers, backend servers, peers and operators around the pure decisions.

pub(crate) mod administration;
pub(crate) mod backend;
pub(crate) mod caller;
pub(crate) mod cursor;
pub mod daemon;
pub(crate) mod exchange;
pub(crate) mod http;
pub mod keys;
pub mod logs;
pub(crate) mod operators;
pub(crate) mod peers;
pub mod settings;
pub(crate) mod shell;
