//! Client of the platform's object API and instance list.
//!
//! [`client::open`] returns a running [`client::Handle`], and [`client::Handle::submit`] submits
//! calls. The [`scheduler::Scheduler`] takes all decisions: when each call is sent, whether a write
//! with a lost response took effect, and whether the platform is unavailable. It does no I/O and
//! reads no clock, so that tests can run it in virtual time. Adapters for a platform implement
//! [`store::Store`] and [`list::List`]; [`http::Http`] is the adapter for the API of
//! `docs/interfaces.md`.

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
pub mod target;
