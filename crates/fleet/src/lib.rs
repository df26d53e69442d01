//! Coordination between entry instances, free of I/O: membership, the configuration table in force,
//! the directory of cached prefixes, limits and duties. It reads no clock and starts no threads;
//! equal inputs, times and seeds give equal actions.
//!
//! # Driving a node
//!
//! One thread owns the [`node::Node`]. It receives inputs from a channel, passes each to
//! [`node::Node::handle`] with the time of its monotonic clock, calls [`node::Node::tick`] after every
//! batch and at the time that the last call returned, and carries out the actions:
//!
//! - [`node::Node::new`] takes this instance's member record. Its incarnation must grow with each
//!   start: the wall clock in milliseconds is sufficient, and a clock that was set back only causes a
//!   short delay. The seed should be random.
//! - [`node::Action::Send`]: encode the message with [`message::encode`] and send it over the link to
//!   the peer, by the delivery mode of the action. Drop it if there is no link or its queue is full;
//!   never block. Hand in what a link receives as [`node::Input::Message`], with the peer's name as
//!   the link authenticated it.
//! - [`node::Action::Call`]: make the call and hand the reply in as [`node::Input::Reply`]. Every call
//!   must get exactly one reply, even if only a failure.
//! - [`node::Action::ReadInstanceList`]: read the platform's instance list and hand it in as
//!   [`node::Input::InstanceList`]. The node asks for it often if it watches the platform, otherwise
//!   rarely.
//! - [`node::Action::Members`]: open links to the live members of the view and close links to the
//!   dead. Keep links to suspected and leaving members, and to unreachable regions (retry every few
//!   seconds). Return only live members to callers.
//! - [`node::Action::Apply`]: the table in force; its versions only increase. When an operator's
//!   change was accepted through this instance, hand it in as [`node::Input::ChangeAccepted`]. It is
//!   then applied here at once and spread without waiting for the watch of the platform.
//! - Health checks: every second, check the servers that this instance keeps
//!   ([`view::View::keeper`]). Hand in each result as [`node::Input::Server`], changed or not, and
//!   each load report as [`node::Input::Load`]. All instances get a [`node::Action::Server`] on each
//!   change of state, and [`node::Action::LoadReports`] for the servers of their own data centre
//!   except the reports that they handed in themselves.
//! - Hand in each attempt that is sent as [`dispatch::Input::Sent`]; attempts of other instances
//!   arrive as [`dispatch::Output::Placed`].
//! - On shutdown, hand in [`node::Input::Drain`] first, carry out the actions of the next tick, and
//!   continue to drive the node until the last stream has ended.
//! - [`node::Action::CentreStatuses`] shows an operator the versions in force, by data centre.

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
