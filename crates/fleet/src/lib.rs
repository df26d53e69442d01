//! Coordination between entry instances as pure code: who is there, which table is in force, who
//! keeps what. No I/O, no clock, no threads; the same inputs, times and seed give the same actions.
//!
//! # Driving a node
//!
//! One thread owns the [`node::Node`]. It takes inputs from a channel and hands each to
//! [`node::Node::handle`] with the time on its monotonic clock, then calls [`node::Node::tick`] after
//! every batch and whenever the returned time has come, and carries the actions out:
//!
//! - [`node::Node::open`] wants this instance's record. Its incarnation must grow with each start:
//!   the wall clock in milliseconds will do, and a clock that was set back does no harm but a short
//!   delay. The seed should be random.
//! - [`node::Action::Send`]: encode with [`message::encode`], send over the link to that peer by the
//!   class it names. Drop it when there is no link or its queue is full; never block. What comes over
//!   a link goes in as [`node::Input::Message`] with the peer's name as the link authenticated it.
//! - [`node::Action::Call`]: make the call, hand the answer in as [`node::Input::Reply`]. Every call
//!   gets one answer at last, if only a failure.
//! - [`node::Action::List`]: read the platform's list of instances and hand it in as
//!   [`node::Input::Listed`]. The node asks often where it watches the platform, rarely elsewhere.
//! - [`node::Action::Members`]: open links to the live members of the view, close those to the dead.
//!   Keep them to suspected and leaving ones, and to lost regions (try again every few seconds).
//!   Answer callers with the live members only.
//! - [`node::Action::Apply`]: the table in force; versions only grow. After an operator's change was
//!   accepted through this instance, hand it in as [`node::Input::Accepted`], so that it is in force
//!   here at once and passed on without the platform's watch.
//! - Health checks: every second, check the servers that this instance keeps
//!   ([`view::View::keeper`]) and hand in each finding as [`node::Input::Server`], changed or not, and
//!   each load report as [`node::Input::Load`]. All instances get [`node::Action::Server`] on each
//!   change of state, and [`node::Action::Loads`] for the servers of their own data centre, which
//!   hold no reports that this instance handed in itself.
//! - Each attempt that is sent goes in as [`dispatch::Input::Sent`]; what the others sent comes as
//!   [`dispatch::Output::Placed`].
//! - On shutdown, hand in [`node::Input::Drain`] first, carry out the actions of the next tick, and go
//!   on driving the node until the last stream has ended.
//! - [`node::Action::Centres`] is what an operator sees of versions in force, by data centre.

pub mod allowance;
pub mod delivery;
pub mod config;
pub mod context;
pub mod credential;
pub mod directory;
pub mod dispatch;
pub mod duty;
pub mod intent;
pub mod keeper;
pub mod lease;
pub mod load;
pub mod membership;
pub mod message;
pub mod node;
pub mod outbox;
pub mod component;
pub mod view;

#[cfg(test)]
mod harness;
