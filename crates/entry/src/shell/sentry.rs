//! What happens when a thread that everything depends on panics.

use std::{sync::Weak, thread};

use shallotlead_policy::input::Input;

use crate::{
    peers::message::Message,
    shell::{inbox::WeakInbox, shared::Shared},
};

/// Watches over the thread that holds it.
///
/// Guards against an instance that looks alive and serves nobody: a panic ends the router's or the
/// node's thread alone, connections are still taken, and peers still hand out the address. The
/// instance leaves as in a graceful shutdown instead: its health check fails, it is on no address
/// page, and what is open is finished as far as it can be.
#[derive(Debug)]
pub(crate) struct Sentry {
    pub(crate) shared: Weak<Shared>,
    pub(crate) router: WeakInbox,
}

impl Drop for Sentry {
    fn drop(&mut self) {
        if !thread::panicking() {
            return;
        }
        log::error!("thread {:?} panicked: this instance leaves", thread::current().name());
        if let Some(shared) = self.shared.upgrade() {
            shared.set_draining();
            shared.tell_peers(Message::Drain);
        }
        self.router.input(Input::Drain);
    }
}
