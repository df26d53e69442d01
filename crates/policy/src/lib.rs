//! Routing decisions as pure code: tables of entities, systems that run over them each tick, typed
//! actions with their reasons as output. No I/O, no clock, no threads; the same inputs, times and
//! seed give the same actions.

pub mod action;
mod admission;
pub mod belief;
pub mod breaker;
pub mod budget;
pub mod chain;
pub mod explain;
mod heat;
pub mod input;
pub mod limit;
pub mod load;
pub mod overview;
pub mod placement;
mod queue;
pub mod request;
pub mod router;
mod window;
