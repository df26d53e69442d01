//! The router's thread: takes messages, runs the router's tick, carries out its actions.

mod entrance;
mod launch;

use std::{
    collections::VecDeque,
    io,
    sync::{Arc, mpsc},
    thread,
    time::Duration,
};

use shallotlead_base::{
    code::Refusal,
    hash::{Map, Set},
    id::{Attempt as Id, Request, Weights},
    name,
    time::Time,
};
use shallotlead_fleet::{allowance, intent::entry::StoredResponse};
use shallotlead_policy::{
    action::Action,
    explain::Decision,
    input::{self, Input, Outcome, State},
    limit,
    router::Router,
};
use shallotlead_table::server::Server;

use crate::{
    backend::{Backend, control::Control},
    peers,
    shell::{
        clock::Clock, errand::Errand, inbox::WeakInbox, lives::Lives, message::Message, open::Open,
        record, sentry::Sentry, shared::Shared,
    },
};

/// Messages taken before the next tick.
const BATCH: usize = 256;
/// How often attempts' deadlines are checked.
const SWEEP: Duration = Duration::from_millis(50);
/// Time between two words to the node on this instance's demand.
const DEMAND_PERIOD: Duration = Duration::from_millis(250);

/// State of the router's thread.
#[derive(Debug)]
pub(crate) struct Driver {
    pub(crate) router: Router,
    pub(crate) clock: Clock,
    pub(crate) shared: Arc<Shared>,
    pub(crate) backend: Arc<dyn Backend>,
    pub(crate) errands: mpsc::SyncSender<Errand>,
    pub(crate) inbox: WeakInbox,
    pub(crate) lives: Lives,
    /// Weights that engines were last found to have loaded, where others were meant.
    pub(crate) loaded: Map<name::Server, Weights>,
    pub(crate) open: Map<Request, Open>,
    pub(crate) drain: Drain,
    /// When the node is told of the demand next.
    pub(crate) demand_due: Time,
    /// Whether the last word on it held any.
    pub(crate) demanded: bool,
    pub(crate) running: Map<Id, Running>,
    /// Requests whose prefix's home is asked, and when they go on without an answer.
    pub(crate) asking: VecDeque<(Time, Request)>,
    /// Requests whose idempotency keys are recorded and not settled.
    pub(crate) settling: Set<Request>,
}

/// How far a graceful shutdown has come.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Drain {
    /// There is none.
    #[default]
    No,
    /// Nothing new is taken.
    Wanted,
    /// The router has all requests that came before, and knows.
    Told,
}

/// An attempt under way.
#[derive(Debug)]
pub(crate) struct Running {
    server: name::Server,
    control: Arc<Control>,
    started: Time,
}

impl Driver {
    /// Starts the thread. It ends when all inboxes are dropped.
    pub(crate) fn spawn(self, messages: mpsc::Receiver<Message>) -> io::Result<()> {
        let sentry = Sentry { shared: Arc::downgrade(&self.shared), router: self.inbox.clone() };
        let run = move || {
            let _sentry = sentry;
            self.run(&messages);
        };
        thread::Builder::new().name("router".to_owned()).spawn(run)?;
        Ok(())
    }

    fn run(mut self, messages: &mpsc::Receiver<Message>) {
        let mut next = self.clock.now();
        loop {
            let now = self.clock.now();
            let sweep = if self.running.is_empty() { Time::MAX } else { now + SWEEP };
            let sweep = sweep.min(self.lives.next_due());
            let sweep = self.asking.front().map_or(sweep, |it| sweep.min(it.0));
            let first = match messages.recv_timeout(next.min(sweep).since(now)) {
                Ok(message) => Some(message),
                Err(mpsc::RecvTimeoutError::Timeout) => None,
                Err(mpsc::RecvTimeoutError::Disconnected) => return self.stop(),
            };
            for message in first.into_iter().chain(messages.try_iter()).take(BATCH) {
                if matches!(message, Message::Stop) {
                    return self.stop();
                }
                self.handle(message);
            }
            self.stop_asking();
            self.drain();
            next = self.decide().min(self.tell_demand());
            self.sweep();
        }
    }

    /// Runs the router's tick; returns when to run it again even if nothing happens.
    fn decide(&mut self) -> Time {
        let mut actions = Vec::new();
        let next = self.router.tick(self.clock.now(), &mut actions);
        for action in actions {
            self.carry_out(action);
        }
        next
    }

    /// Tells the node what this instance could use of each limit. Returns when to tell again.
    fn tell_demand(&mut self) -> Time {
        let now = self.clock.now();
        if self.demand_due <= now && self.shared.joined() {
            self.demand_due = now + DEMAND_PERIOD;
            let demands = self.router.demands(now);
            // A word without demand ends the one before.
            if !demands.is_empty() || std::mem::take(&mut self.demanded) {
                self.demanded = !demands.is_empty();
                let demands = demands.into_iter().map(demand).collect();
                let input = allowance::Input::Demand(demands);
                self.shared.tell_peers(peers::message::Message::Allowance(input));
            }
        }
        if self.demanded { self.demand_due } else { Time::MAX }
    }

    /// Ends all attempts without a word to anyone.
    fn stop(self) {
        for running in self.running.values() {
            running.control.cancel();
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Submit(submission) => self.submit(*submission),
            Message::Abandon(request) => self.abandon(request),
            Message::Found { server, state, asked } => self.found(server, state, asked),
            Message::Loaded { server, weights } => {
                self.loaded.insert(server, weights);
            }
            Message::Told { server, state } => self.told(server, state),
            Message::Input(Input::Drain) => self.drain = self.drain.max(Drain::Wanted),
            Message::Input(input) => self.input(input),
            Message::Stop => {}
            // Nobody waits any more only if the asking thread is gone.
            Message::Overview(tx) => drop(tx.send(self.router.overview(self.clock.now()))),
            Message::Ended { attempt, outcome, kept } => self.ended(attempt, outcome, kept),
            Message::Intent(output) => self.intent(output),
            Message::Hints { request, hints } => self.hints(request, hints),
        }
    }

    fn found(&mut self, server: name::Server, state: State, asked: Time) {
        if let Some(state) = self.lives.found(&server, state, asked) {
            self.router.handle(self.clock.now(), Input::Server { server, state });
        }
    }

    fn told(&mut self, server: name::Server, state: State) {
        let now = self.clock.now();
        self.lives.told(&server, state);
        self.router.handle(now, Input::Server { server, state });
    }

    fn input(&mut self, input: Input) {
        if let Input::FirstToken { attempt, cached_tokens } = &input
            && let Some(open) = self.open.get_mut(&attempt.request)
            && let Some(waited) = open.first_token(self.clock.now())
        {
            record::first_token(waited, open.prompt_tokens(), *cached_tokens);
            let prompt_tokens = open.prompt_tokens();
            self.shared.tally().first_token(waited, prompt_tokens, *cached_tokens);
        }
        if let Input::Table(table) = &input {
            if table.version <= self.shared.table().version {
                return;
            }
            metrics::gauge!("shallotlead_table_version").set(table.version.0 as f64);
            self.shared.set_table(table.clone());
            self.lives.retain(table);
            self.loaded.retain(|it, _| table.servers.contains_key(it));
        }
        self.router.handle(self.clock.now(), input);
    }

    fn ended(&mut self, attempt: Id, outcome: Outcome, kept: Option<StoredResponse>) {
        let now = self.clock.now();
        if let Some(running) = self.running.remove(&attempt) {
            record::ended(attempt, &running.server, outcome, now.since(running.started));
        }
        if let Some(open) = self.open.get_mut(&attempt.request) {
            match outcome {
                Outcome::NotRun(_) => open.not_run(),
                _ => open.may_have_run(),
            }
        }
        if matches!(outcome, Outcome::Complete { .. }) {
            self.shared.tally().answered();
            self.close(attempt.request, kept);
        }
        self.router.handle(now, Input::Ended { attempt, outcome });
        // A request that goes on without its caller is not sent again.
        let request = attempt.request;
        if matches!(outcome, Outcome::NotRun(_))
            && self.open.get(&request).is_some_and(Open::abandoned)
        {
            self.close(request, None);
            self.router.handle(now, Input::Abandoned(request));
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send(dispatch) => self.send(&dispatch),
            Action::Refuse { request, code, retry_after, decision } => {
                self.refuse(request, Refusal { code, retry_after }, decision);
            }
            Action::Cancel { attempt, server } => self.cancel(attempt, &server),
            Action::Export { server, block } => {
                record::exported(&server, block);
                if let Some(address) = self.server(&server).map(|it| it.address) {
                    self.run_errand(Errand::Export { address, block });
                }
            }
        }
    }

    fn refuse(&mut self, request: Request, refusal: Refusal, decision: Arc<Decision>) {
        record::refused(&decision, refusal);
        self.shared.tally().refused();
        self.shared.trail().push(decision);
        if let Some(open) = self.open.get(&request) {
            open.delivery().refuse(refusal);
            self.close(request, None);
        }
    }

    fn cancel(&mut self, attempt: Id, server: &name::Server) {
        record::cancelled(attempt, server);
        if let Some(running) = self.running.get(&attempt) {
            running.control.cancel();
        }
        if let Some(address) = self.server(server).map(|it| it.address) {
            self.run_errand(Errand::Cancel { address, attempt });
        }
    }

    fn close(&mut self, request: Request, kept: Option<StoredResponse>) {
        let Some(open) = self.open.remove(&request) else { return };
        record::requests_open(self.open.len());
        if let Some(settlement) = open.settlement(kept) {
            self.shared.tell_peers(peers::message::Message::Intent(settlement));
        }
    }

    /// Ends attempts that overran their bounds, so that none outlives a server that hangs. Tries
    /// servers again that are due.
    fn sweep(&mut self) {
        let now = self.clock.now();
        for running in self.running.values() {
            running.control.check(now);
        }
        for (server, state) in self.lives.due(now) {
            self.router.handle(now, Input::Server { server, state });
        }
    }

    fn server(&self, server: &name::Server) -> Option<Server> {
        self.shared.table().servers.get(server).cloned()
    }

    fn run_errand(&self, errand: Errand) {
        if self.errands.try_send(errand).is_err() {
            log::warn!("errand dropped: {errand:?}");
        }
    }
}

fn demand(it: limit::Demand) -> allowance::Demand {
    let scope = match it.scope {
        input::Scope::Organisation(it) => allowance::Scope::Organisation(it),
        input::Scope::Model(it) => allowance::Scope::Model(it),
        input::Scope::Server(it) => allowance::Scope::Server(it),
    };
    allowance::Demand {
        scope,
        requests_per_second: it.requests_per_second,
        tokens_per_minute: it.tokens_per_minute,
        concurrency: it.concurrency,
    }
}
