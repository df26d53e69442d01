//! Attempts that are started, each on a thread of its own.

use std::{
    sync::{Arc, OnceLock},
    thread,
    time::Duration,
};

use shallotlead_base::{
    code::Code,
    id::{Attempt as Id, Block},
    time::Time,
};
use shallotlead_fleet::{dispatch::Assignment, intent::entry::StoredResponse};
use shallotlead_policy::{action::Dispatch, input::Outcome};

use crate::{
    backend::control::Control,
    peers,
    shell::{
        attempt::{Attempt, Context, Ready},
        driver::{Driver, Running},
        inbox::Inbox,
        message::Message,
        record,
    },
};

/// Attempts under way at once. Each takes a thread.
const MAX_ATTEMPTS: usize = 4_096;
/// Stack of an attempt's thread, in bytes.
const STACK: usize = 512 << 10;

impl Driver {
    /// Starts an attempt. One that can't be started has ended as not run.
    pub(super) fn send(&mut self, dispatch: &Dispatch) {
        record::sent(dispatch);
        self.shared.trail().push(dispatch.decision.clone());
        if let Err(outcome) = self.start(dispatch) {
            self.ended(dispatch.attempt, outcome, None);
        }
    }

    fn start(&mut self, dispatch: &Dispatch) -> Result<(), Outcome> {
        let attempt = dispatch.attempt;
        let server = self.server(&dispatch.server);
        let server = server.ok_or(Outcome::NotRun(Code::NoServer))?;
        let inbox = self.inbox.upgrade().ok_or(Outcome::NotRun(Code::ShuttingDown))?;
        let open = self.open.get_mut(&attempt.request);
        let open = open.ok_or(Outcome::NotRun(Code::ServerUnreachable))?;
        if !open.may_send() {
            log::error!("a request that may run once was to be sent again: attempt={attempt}");
            return Err(Outcome::Failed(Code::OutcomeUnknown));
        }
        if MAX_ATTEMPTS <= self.running.len() {
            return Err(Outcome::NotRun(Code::Overloaded));
        }
        let started = self.clock.now();
        let control = Arc::new(Control::new(Time::MAX));
        let context = Context {
            server: dispatch.server.clone(),
            call: open.call(dispatch, &server),
            exchange: open.exchange().clone(),
            loaded: self.loaded.get(&dispatch.server).copied(),
            first_token_timeout: dispatch.first_token_timeout,
            control: control.clone(),
            delivery: open.delivery().clone(),
            backend: self.backend.clone(),
            inbox: inbox.clone(),
            clock: self.clock,
            kept: Arc::default(),
        };
        let ending = Ending::new(attempt, inbox, context.kept.clone());
        spawn(Attempt::new(context), ending)?;
        open.sent();
        self.shared.tell_peers(peers::message::Message::Sent(sent(dispatch, open.anchors())));
        if let Some(placement) = open.placement(dispatch) {
            self.shared.tell_peers(peers::message::Message::Directory(placement));
        }
        let server = dispatch.server.clone();
        self.running.insert(attempt, Running { server, control, started });
        Ok(())
    }
}

/// What the other instances should know of an attempt.
fn sent(dispatch: &Dispatch, anchors: Vec<Block>) -> Assignment {
    let candidates = &dispatch.decision.candidates;
    let chosen = candidates.iter().find(|it| it.server == dispatch.server);
    Assignment {
        server: dispatch.server.clone(),
        incarnation: dispatch.incarnation,
        uncached_tokens: chosen.map_or(0, |it| it.uncached_tokens),
        anchors,
        age: Duration::ZERO,
    }
}

fn spawn(attempt: Attempt<Ready>, ending: Ending) -> Result<(), Outcome> {
    let run = move || {
        let mut ending = ending;
        ending.outcome = attempt.run();
    };
    match thread::Builder::new().name("attempt".to_owned()).stack_size(STACK).spawn(run) {
        Ok(_) => Ok(()),
        Err(error) => {
            log::warn!("no thread for an attempt: {error}");
            Err(Outcome::NotRun(Code::Overloaded))
        }
    }
}

/// Reports an attempt's end when dropped, also when its thread panics: a request whose attempt
/// vanished would otherwise stay open for ever.
#[derive(Debug)]
struct Ending {
    attempt: Id,
    outcome: Outcome,
    inbox: Inbox,
    kept: Arc<OnceLock<StoredResponse>>,
}

impl Ending {
    fn new(attempt: Id, inbox: Inbox, kept: Arc<OnceLock<StoredResponse>>) -> Self {
        Self { attempt, outcome: Outcome::Broken { delivered: 0 }, inbox, kept }
    }
}

impl Drop for Ending {
    fn drop(&mut self) {
        let Self { attempt, outcome, .. } = *self;
        let kept = self.kept.get().cloned();
        // A router's thread that has ended has no requests left.
        let _ = self.inbox.send(Message::Ended { attempt, outcome, kept });
    }
}
