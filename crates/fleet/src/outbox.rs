//! Collects the actions of a component.

use shallotlead_base::{name, store::Call};

use crate::{
    delivery::Delivery,
    message::Message,
    node::{Action, CallId, Source},
};

/// Collects the actions of one component and numbers its calls to the platform.
#[derive(Debug)]
pub struct Outbox<'a> {
    source: Source,
    last_call: &'a mut u64,
    actions: &'a mut Vec<Action>,
}

impl<'a> Outbox<'a> {
    /// Creates an outbox of `source` that appends to `actions`. `last_call` is the number of the
    /// process's last call and is advanced with each call.
    pub fn new(source: Source, last_call: &'a mut u64, actions: &'a mut Vec<Action>) -> Self {
        Self { source, last_call, actions }
    }

    /// Sends `message` to `to`.
    pub fn send(&mut self, to: &name::Instance, message: impl Into<Message>, delivery: Delivery) {
        let message = message.into();
        self.actions.push(Action::Send { to: to.clone(), message, delivery });
    }

    /// Calls the platform. The reply is passed to the same component with the returned number.
    pub fn call(&mut self, call: Call) -> u64 {
        *self.last_call += 1;
        let id = CallId { source: self.source, number: *self.last_call };
        self.actions.push(Action::Call { id, call });
        *self.last_call
    }

    /// Appends any other action.
    pub fn push(&mut self, action: Action) {
        self.actions.push(action);
    }
}
