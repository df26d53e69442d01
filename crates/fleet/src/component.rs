//! The common shape of the parts that a node is composed of.

use shallotlead_base::{name, store::Reply, time::Time};

use crate::{context::Context, outbox::Outbox};

/// One part of the node. Each is a pure state machine of its own.
pub(crate) trait Component {
    /// What the daemon tells it.
    type Input;
    /// What its peers tell it.
    type Message;

    /// Takes in what the daemon tells.
    fn handle(&mut self, ctx: &Context<'_>, input: Self::Input, out: &mut Outbox<'_>);

    /// Takes in a message of the same part at another instance.
    fn message(
        &mut self,
        ctx: &Context<'_>,
        from: &name::Instance,
        message: Self::Message,
        out: &mut Outbox<'_>,
    );

    /// Takes in the answer to the call with `number`, as [`Outbox::call`] gave it.
    fn reply(&mut self, ctx: &Context<'_>, number: u64, reply: Reply, out: &mut Outbox<'_>);

    /// Runs what is due. Returns when to call again even if nothing happens.
    fn tick(&mut self, ctx: &Context<'_>, out: &mut Outbox<'_>) -> Time;
}
