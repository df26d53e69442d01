//! Mutually authenticated QUIC links between entry instances.
//!
//! [`handle::bind`] returns a running [`handle::Handle`] and the [`inbox::Inbox`] of received
//! messages. Bodies are opaque here. Connections are made on demand, bounded in number and closed
//! when idle; dropping the last handle ends every task. `docs/security.md` says who trusts whom.

pub mod authority;
pub mod error;
pub mod fingerprint;
pub mod frame;
pub mod handle;
pub mod identity;
pub mod inbox;
pub mod settings;
pub mod stats;
pub mod trust;

mod connection;
mod gate;
mod reset;
mod table;
mod task;
mod tls;
