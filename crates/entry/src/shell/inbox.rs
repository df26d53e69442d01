//! The sending end of the router's thread.

use std::sync::{Arc, mpsc};

use shallotlead_base::{
    id::{Request, Weights},
    name,
    time::Time,
};
use shallotlead_fleet::{directory, intent};
use shallotlead_policy::input::{Input, State};

use crate::shell::message::Message;

/// Keeps the router's thread running as long as it exists.
#[derive(Clone, Debug)]
pub(crate) struct Inbox {
    sender: Arc<mpsc::Sender<Message>>,
}

impl Inbox {
    pub(crate) fn new(sender: Arc<mpsc::Sender<Message>>) -> Self {
        Self { sender }
    }

    /// Sends `message`; gives it back when the router's thread has ended.
    pub(crate) fn send(&self, message: Message) -> Result<(), Message> {
        self.sender.send(message).map_err(|it| it.0)
    }

    /// Tells the router. A router that has ended needs no inputs.
    pub(crate) fn input(&self, input: Input) {
        let _ = self.send(Message::Input(input));
    }

    /// Tells the router of a server's state as found from here, asked for at `asked`.
    pub(crate) fn found(&self, server: &name::Server, state: State, asked: Time) {
        let _ = self.send(Message::Found { server: server.clone(), state, asked });
    }

    /// Tells the router's thread which weights an engine has loaded.
    pub(crate) fn loaded(&self, server: &name::Server, weights: Weights) {
        let _ = self.send(Message::Loaded { server: server.clone(), weights });
    }

    /// A sending end that doesn't keep the thread running.
    pub(crate) fn downgrade(&self) -> WeakInbox {
        WeakInbox { sender: Arc::downgrade(&self.sender) }
    }
}

/// A sending end that doesn't keep the router's thread running.
#[derive(Clone, Debug)]
pub(crate) struct WeakInbox {
    sender: std::sync::Weak<mpsc::Sender<Message>>,
}

impl WeakInbox {
    /// The sending end, while the thread runs.
    pub(crate) fn upgrade(&self) -> Option<Inbox> {
        self.sender.upgrade().map(Inbox::new)
    }

    /// Tells the router what the fleet holds of a server's state.
    pub(crate) fn told(&self, server: name::Server, state: State) {
        if let Some(inbox) = self.upgrade() {
            let _ = inbox.send(Message::Told { server, state });
        }
    }

    /// Tells what became of a request's intent record.
    pub(crate) fn intent(&self, output: intent::Output) {
        if let Some(inbox) = self.upgrade() {
            let _ = inbox.send(Message::Intent(output));
        }
    }

    /// Tells what the home of a request's prefix believes.
    pub(crate) fn hints(&self, request: Request, hints: Vec<directory::Hint>) {
        if let Some(inbox) = self.upgrade() {
            let _ = inbox.send(Message::Hints { request, hints });
        }
    }

    /// Tells the router, if it runs.
    pub(crate) fn input(&self, input: Input) {
        if let Some(inbox) = self.upgrade() {
            inbox.input(input);
        }
    }
}
