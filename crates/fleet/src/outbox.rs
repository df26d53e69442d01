//! Where a part puts what it wants done.

use shallotlead_base::{name, store::Call};

use crate::{
    delivery::Delivery,
    message::Message,
    node::{Action, CallId, Source},
};

/// Where a part puts what it wants done.
#[derive(Debug)]
pub struct Outbox<'a> {
    source: Source,
    number: &'a mut u64,
    actions: &'a mut Vec<Action>,
}

impl<'a> Outbox<'a> {
    /// An outbox of `source`; calls are numbered on from `number`.
    pub fn new(source: Source, number: &'a mut u64, actions: &'a mut Vec<Action>) -> Self {
        Self { source, number, actions }
    }

    /// Sends `message` to `to`.
    pub fn send(&mut self, to: &name::Instance, message: impl Into<Message>, delivery: Delivery) {
        let message = message.into();
        self.actions.push(Action::Send { to: to.clone(), message, delivery });
    }

    /// Calls the platform; the answer comes to the same part with the returned number.
    pub fn call(&mut self, call: Call) -> u64 {
        *self.number += 1;
        let id = CallId { source: self.source, number: *self.number };
        self.actions.push(Action::Call { id, call });
        *self.number
    }

    /// Tells the daemon something.
    pub fn push(&mut self, action: Action) {
        self.actions.push(action);
    }
}
