//! Stand-ins for the systems around shallotlead, as `docs/interfaces.md` describes them. Each is a
//! server on a real socket: `bind` starts it, its `Handle` controls its faults, and dropping the
//! handle ends it. They keep what tests ask for afterwards: which requests ran and how often.

mod fault;
mod http;
mod rate;
mod report;

pub mod engine;
pub mod kv;
pub mod list;
pub mod platform;
pub mod port;
pub mod service;
pub mod weights;
