//! The interface of the components that a node is composed of.

use shallotlead_base::{name, store::Reply, time::Time};

use crate::{context::Context, outbox::Outbox};

/// One component of the node: a state machine of its own, free of I/O.
pub(crate) trait Component {
    /// Events from the process that drives the node.
    type Input;
    /// Messages from the same component of other instances.
    type Message;

    /// Processes an event.
    fn handle(&mut self, ctx: &Context<'_>, input: Self::Input, out: &mut Outbox<'_>);

    /// Processes a message from the same component of another instance.
    fn message(
        &mut self,
        ctx: &Context<'_>,
        from: &name::Instance,
        message: Self::Message,
        out: &mut Outbox<'_>,
    );

    /// Processes the reply to the call that [`Outbox::call`] numbered `number`.
    fn reply(&mut self, ctx: &Context<'_>, number: u64, reply: Reply, out: &mut Outbox<'_>);

    /// Runs the timers that are due. Returns when to call again if no input arrives before.
    fn tick(&mut self, ctx: &Context<'_>, out: &mut Outbox<'_>) -> Time;
}
