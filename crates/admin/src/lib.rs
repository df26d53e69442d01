//! The administration API: its types, the server side over a [`backend::Backend`], and a client.

pub mod api;
pub mod backend;
pub mod client;
pub mod key;
pub mod preview;
pub mod problem;
pub mod role;
pub mod server;
