//! The handle by which callers' connections reach the shell.

use std::{
    sync::{Arc, Weak, mpsc},
    time::Duration,
};

use shallotlead_base::{
    code::{Code, Refusal},
    id::Request,
};
use shallotlead_policy::{explain::Decision, input::Input, overview::Overview};
use shallotlead_table::snapshot::Snapshot;

use crate::{
    exchange::{Exchange, Piece},
    peers,
    shell::{
        clock::Clock,
        identity::Identity,
        inbox::{Inbox, WeakInbox},
        listing::Listing,
        message::Message,
        shared::Shared,
        submission::Submission,
        tally::Counts,
    },
};

/// Longest wait for the router's thread to say what it knows.
const OVERVIEW_TIMEOUT: Duration = Duration::from_secs(1);

/// A running shell. Its threads end when the last handle is dropped and the open requests are done.
#[derive(Clone, Debug)]
pub(crate) struct Handle {
    identity: Arc<Identity>,
    inbox: Inbox,
    shared: Arc<Shared>,
}

impl Handle {
    pub(crate) fn new(identity: Arc<Identity>, inbox: Inbox, shared: Arc<Shared>) -> Self {
        Self { identity, inbox, shared }
    }

    /// This instance.
    pub(crate) fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Takes in a request. The answer, or the refusal, comes over the exchange's channel.
    pub(crate) fn submit(&self, exchange: Exchange) {
        let mut submission = Box::new(Submission::new(exchange, &self.shared.table()));
        let sent = self.shared.before_drain(|| {
            submission.counted = Some(self.shared.count());
            self.inbox.send(Message::Submit(submission))
        });
        if let Err(Message::Submit(submission)) = sent {
            let refusal = Refusal { code: Code::ShuttingDown, retry_after: None };
            // A full or closed channel means that nobody waits for this refusal.
            let _ = submission.exchange.pieces.try_send(Piece::Refused(refusal));
        }
    }

    /// The caller of `request` went away: its attempts are cancelled.
    pub(crate) fn abandon(&self, request: Request) {
        // A closed inbox has no attempts left to cancel.
        let _ = self.inbox.send(Message::Abandon(request));
    }

    /// The table in force.
    pub(crate) fn table(&self) -> Arc<Snapshot> {
        self.shared.table()
    }

    /// Puts a table in force, unless it is older than the one that is.
    #[cfg(test)]
    pub(crate) fn set_table(&self, table: Arc<Snapshot>) {
        self.input(Input::Table(table));
    }

    /// Tells the router something.
    pub(crate) fn input(&self, input: Input) {
        self.inbox.input(input);
    }

    /// Entry instances that take new work, this one included unless it drains.
    pub(crate) fn addresses(&self) -> Arc<[Listing]> {
        let addresses = self.shared.addresses();
        if !self.draining() {
            return addresses;
        }
        // The members' view may take a moment to say that this instance leaves.
        let own = &self.identity.instance;
        addresses.iter().filter(|it| it.instance != *own).cloned().collect()
    }

    /// Stops taking new work: this instance leaves its own address page at once, tells its peers,
    /// and refuses new requests. Open ones go on.
    pub(crate) fn drain(&self) {
        self.shared.set_draining();
        self.shared.tell_peers(peers::message::Message::Drain);
        // A closed inbox has nothing to drain.
        self.shared.drain(|| self.input(Input::Drain));
    }

    /// Ends the router's thread and all attempts at once, whoever still holds a handle.
    pub(crate) fn stop(&self) {
        // A closed inbox has ended already.
        let _ = self.inbox.send(Message::Stop);
    }

    /// Whether [`Handle::drain`] was called.
    pub(crate) fn draining(&self) -> bool {
        self.shared.draining()
    }

    /// Requests that were submitted and are not done.
    pub(crate) fn open_requests(&self) -> usize {
        self.shared.open()
    }

    /// Idempotency keys whose results are yet to be recorded.
    pub(crate) fn unsettled(&self) -> usize {
        self.shared.unsettled()
    }

    /// What the router knows now, or nothing when it doesn't answer in time.
    pub(crate) fn overview(&self) -> Overview {
        let (tx, rx) = mpsc::channel();
        if self.inbox.send(Message::Overview(tx)).is_err() {
            return Overview::default();
        }
        rx.recv_timeout(OVERVIEW_TIMEOUT).unwrap_or_default()
    }

    /// Counts and recent figures of requests.
    pub(crate) fn counts(&self) -> Counts {
        self.shared.tally().counts()
    }

    /// Decisions kept for `request`, oldest first.
    pub(crate) fn decisions(&self, request: Request) -> Vec<Arc<Decision>> {
        self.shared.trail().of(request)
    }

    /// Up to `count` of the latest decisions, newest first.
    pub(crate) fn latest_decisions(&self, count: usize) -> Vec<Arc<Decision>> {
        self.shared.trail().latest(count)
    }

    /// Joins the shell with the node's thread.
    pub(crate) fn join(&self, peers: &peers::inbox::Inbox) {
        self.shared.join(peers.clone());
    }

    /// The clock of the shell's threads.
    pub(crate) fn clock(&self) -> Clock {
        self.shared.clock()
    }

    /// The sending end of the router's thread.
    pub(crate) fn inbox(&self) -> WeakInbox {
        self.inbox.downgrade()
    }

    /// What the shell publishes.
    pub(crate) fn shared(&self) -> Weak<Shared> {
        Arc::downgrade(&self.shared)
    }
}
