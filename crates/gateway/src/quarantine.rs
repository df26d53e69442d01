//! Requests that crash the servers that run them.

mod identity;

pub use identity::Identity;
