//! Rows of backend servers.

use shallotlead_base::time::Time;

use crate::{breaker::Breaker, input::State, load::Report, overview::Seen, window::Window};

/// One backend server, as far as admission knows it.
#[derive(Debug)]
pub(crate) struct Row {
    /// What is known of its life.
    pub(crate) state: State,
    /// How many requests may be there.
    pub(crate) window: Window,
    /// Its circuit.
    pub(crate) breaker: Breaker,
    /// Attempts there.
    pub(crate) inflight: u32,
    /// Those whose first token hasn't come.
    pub(crate) pending: u32,
    /// The most of those since the last load report.
    most_pending: u32,
    /// When its last report was taken, and what it said; kept for operators.
    last: Option<(Time, Seen)>,
}

impl Row {
    /// A server first heard of at `now`.
    pub(crate) fn new(now: Time, state: State) -> Self {
        let cold = !matches!(state, State::Up(_));
        let window = Window::open(now, cold);
        Self {
            state,
            window,
            breaker: Breaker::default(),
            inflight: 0,
            pending: 0,
            most_pending: 0,
            last: None,
        }
    }

    /// Its state is `state` now. True when it came back, with all that was learnt of it void.
    pub(crate) fn become_state(&mut self, now: Time, state: State) -> bool {
        let before = std::mem::replace(&mut self.state, state);
        let returns = matches!(state, State::Up(_)) && before != state;
        if returns {
            // Guards against swamping a server that comes back: with no queue and nothing in flight
            // it looks best to every instance at once, and its cache is empty. It shows as a spike
            // of waiting requests there and a second crash. Its window starts small everywhere.
            self.window = Window::open(now, true);
            self.breaker = Breaker::default();
        }
        returns
    }

    /// Keeps a load report for operators.
    pub(crate) fn reported(&mut self, now: Time, report: &Report) {
        let cache_used = f64::from(report.used_blocks) / f64::from(report.total_blocks.max(1));
        let Report { age, waiting, running, .. } = *report;
        self.last = Some((now - age, Seen { age, waiting, running, cache_used }));
    }

    /// The last load report, with its age at `now`.
    pub(crate) fn seen(&self, now: Time) -> Option<Seen> {
        self.last.map(|(taken, it)| Seen { age: now.since(taken), ..it })
    }

    /// An attempt is sent there.
    pub(crate) fn send(&mut self, now: Time) {
        self.inflight += 1;
        self.pending += 1;
        self.most_pending = self.most_pending.max(self.pending);
        self.breaker.sent(now);
    }

    /// An attempt's first token came.
    pub(crate) fn start(&mut self) {
        self.pending = self.pending.saturating_sub(1);
    }

    /// An attempt ended.
    pub(crate) fn end(&mut self, started: bool) {
        self.inflight = self.inflight.saturating_sub(1);
        if !started {
            self.start();
        }
    }

    /// A load report came.
    pub(crate) fn report(&mut self, waiting: u32) {
        self.window.report(waiting, self.most_pending);
        self.most_pending = self.pending;
    }

    /// Whether one more request may be sent there without building up a queue. Streams under way
    /// don't count: an engine runs many at once.
    pub(crate) fn has_room(&self, now: Time) -> bool {
        self.pending < self.window.size(now)
    }
}
