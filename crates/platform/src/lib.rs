//! Client of the platform's object API and instance list.
//!
//! [`client::open`] returns a running [`client::Handle`]; calls are handed in with
//! [`client::Handle::submit`]. All decisions (which call goes out when, what a lost answer means,
//! whether the platform is out) are taken by the pure [`scheduler::Scheduler`], which tests drive in
//! virtual time. [`store::Store`] and [`list::List`] are what another deployment's adapter
//! implements; [`http::Http`] is the one for the API of `docs/interfaces.md`.

pub mod backoff;
pub mod bucket;
pub mod budget;
pub mod breaker;
pub mod priority;
pub mod client;
pub mod counts;
pub mod http;
pub mod list;
pub mod outcome;
pub mod scheduler;
pub mod store;
