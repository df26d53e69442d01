//! A request's way to the router: its key is recorded, the home of its prefix asked.

use std::{sync::Arc, time::Duration};

use shallotlead_base::{
    code::{Code, Refusal},
    id::Request,
};
use shallotlead_fleet::{
    directory,
    intent::{self, entry::StoredResponse},
};
use shallotlead_policy::{explain::Decision, input::Input};

use crate::{
    peers::message::Message,
    shell::{
        driver::{Drain, Driver},
        open::Open,
        record,
        stage::Stage,
        submission::Submission,
    },
};

/// Longest wait for the home of a prefix: the node gives up after its own patience of 5 ms; this
/// is for a node that is busy.
const LOOK_UP: Duration = Duration::from_millis(8);
/// Reason of refusals for the sake of an idempotency key.
const KEY: &str = "idempotency-key";
/// When to come back to a request that still runs.
const RUNNING_RETRY: Duration = Duration::from_secs(1);

impl Driver {
    /// Takes in a caller's request.
    pub(super) fn submit(&mut self, submission: Submission) {
        let request = submission.exchange.id;
        if self.drain != Drain::No {
            self.open.insert(request, Open::new(submission, self.clock.now()));
            return self.turn_away(request, Code::ShuttingDown, Some(Duration::ZERO), "draining");
        }
        let open = Open::new(submission, self.clock.now());
        let intent = open.intent();
        self.open.insert(request, open);
        record::arrived(self.open.len());
        let Some(intent) = intent else { return self.look_up(request) };
        if !self.shared.joined() {
            return self.turn_away(request, Code::IntentUnrecorded, None, KEY);
        }
        self.settling.insert(request);
        self.count_settling();
        self.shared.tell_peers(Message::Intent(intent));
    }

    /// Asks the home of the request's prefix, and goes on without an answer after a short while.
    fn look_up(&mut self, request: Request) {
        let Some(open) = self.open.get_mut(&request) else { return };
        match open.question() {
            Some(question) if self.shared.joined() => {
                self.shared.tell_peers(Message::Directory(question));
                self.asking.push_back((self.clock.now() + LOOK_UP, request));
            }
            _ => self.arrive(request, Vec::new()),
        }
    }

    /// Lets a request go on with what the home of its prefix believes.
    pub(super) fn hints(&mut self, request: Request, hints: Vec<directory::Hint>) {
        if self.open.get(&request).is_some_and(|it| it.stage() == Stage::Asking) {
            record::hinted(hints.len());
            self.arrive(request, hints);
        }
    }

    /// Lets requests go on whose prefix's home didn't answer.
    pub(super) fn stop_asking(&mut self) {
        let now = self.clock.now();
        while let Some(&(due, request)) = self.asking.front()
            && due <= now
        {
            self.asking.pop_front();
            self.hints(request, Vec::new());
        }
    }

    fn arrive(&mut self, request: Request, hints: Vec<directory::Hint>) {
        let now = self.clock.now();
        if let Some(open) = self.open.get_mut(&request) {
            let arrival = open.arrive(now, hints);
            self.router.handle(now, Input::Arrive(Box::new(arrival)));
        }
    }

    /// Notes that a request's caller went away.
    pub(super) fn abandon(&mut self, request: Request) {
        let Some(open) = self.open.get_mut(&request) else { return };
        record::abandoned();
        if !open.abandon() {
            self.close(request, None);
            self.router.handle(self.clock.now(), Input::Abandoned(request));
        }
    }

    /// Takes in what became of a request's intent record.
    pub(super) fn intent(&mut self, output: intent::Output) {
        match output {
            intent::Output::Began { request, outcome: answer } => self.began(request, answer),
            intent::Output::Finished { request } => self.settled(request),
        }
    }

    fn began(&mut self, request: Request, answer: intent::Outcome) {
        if answer != intent::Outcome::Recorded {
            self.settled(request);
        }
        let Some(open) = self.open.get_mut(&request) else { return };
        match answer {
            intent::Outcome::Recorded => {
                open.recorded();
                if open.abandoned() {
                    self.close(request, None);
                } else {
                    self.look_up(request);
                }
            }
            intent::Outcome::Ran(StoredResponse { status, content_type, body: Some(body) }) => {
                open.delivery().replay(request, status, content_type, body);
                self.close(request, None);
            }
            intent::Outcome::Unrecorded { retry_after_ms, .. } => {
                let retry_after = Some(Duration::from_millis(retry_after_ms.into()));
                self.turn_away(request, Code::IntentUnrecorded, retry_after, KEY);
            }
            intent::Outcome::Running => {
                self.turn_away(request, Code::StillRunning, Some(RUNNING_RETRY), KEY);
            }
            other => {
                self.turn_away(request, other.code().unwrap_or(Code::AlreadyRan), None, KEY);
            }
        }
    }

    fn settled(&mut self, request: Request) {
        self.settling.remove(&request);
        self.count_settling();
    }

    fn count_settling(&self) {
        self.shared.set_unsettled(self.settling.len());
    }

    /// Tells the router to drain once it has decided on all requests that came before.
    ///
    /// Guards against requests that are let in and then refused as "shutting down": one that came
    /// in the same batch of messages, whose key is being recorded, or whose prefix's home is asked,
    /// would reach a router that takes nothing new.
    pub(super) fn drain(&mut self) {
        let staged = |it: &Open| it.stage() != Stage::Arrived;
        if self.drain == Drain::Wanted && !self.open.values().any(staged) {
            self.decide();
            self.drain = Drain::Told;
            self.router.handle(self.clock.now(), Input::Drain);
        }
    }

    /// Refuses a request that the router has not seen.
    fn turn_away(
        &mut self,
        request: Request,
        code: Code,
        retry_after: Option<Duration>,
        reason: &'static str,
    ) {
        let decision = Arc::new(Decision {
            request,
            table: self.shared.table().version.0,
            chosen: None,
            reason,
            candidates: Vec::new(),
            queued: Duration::ZERO,
        });
        self.refuse(request, Refusal { code, retry_after }, decision);
    }
}
