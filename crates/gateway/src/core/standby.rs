//! A second attempt of a request beside its first one, which stays open until either brings something for the caller.

use std::{io::ErrorKind, time::Duration};

use shallotlead_base::time::Time;

use crate::{
    core::{Core, Timer, attempt::Attempt, exchange::Exchange},
    net::Key,
    pool,
};

/// Delay until the checks of an attempt that is the only one again.
const CHECK_DELAY: Duration = Duration::from_millis(100);

/// An earlier attempt that is still open while a second one is under way.
pub(crate) struct Standby {
    attempt: Attempt,
    /// Received bytes of its answer that aren't sent to the caller.
    pending: Vec<u8>,
    cause: Cause,
}

/// Why there is a second attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Cause {
    /// The first server doesn't respond. If it does, its attempt is the current one again.
    Unresponsive,
    /// The stream migrates. What the first server sends until then is held back, as the second one continues after the
    /// last event that was sent before.
    Migration { until: Time },
}

impl Standby {
    /// Bytes that its buffer takes.
    pub(crate) fn buffered_bytes(&self) -> usize {
        self.pending.capacity()
    }
}

impl Core {
    /// Keeps the current attempt open beside the next one.
    pub(crate) fn set_aside(&mut self, index: usize, cause: Cause) {
        let Some(exchange) = self.exchanges.get_mut(index) else { return };
        let Some(attempt) = exchange.attempt.take() else { return };
        exchange.excluded.push(attempt.server);
        let pending = std::mem::take(&mut exchange.delivery.pending);
        exchange.standby = Some(Standby { attempt, pending, cause });
        if let Cause::Migration { until } = cause {
            let serial = exchange.serial;
            self.set_timer(until, Timer::Exchange(index, serial));
        }
    }

    /// Makes the attempt on this connection the current one, if it is a standby of its exchange that isn't held back.
    pub(crate) fn focus_connection(&mut self, index: usize, connection: Key) {
        self.focus_where(index, |it| it.attempt.connection == connection && !it.is_held_back());
    }

    /// Makes the attempt at `server` the current one, if it is a standby.
    pub(crate) fn focus_server(&mut self, index: usize, server: pool::Id) {
        self.focus_where(index, |it| it.attempt.server == server);
    }

    fn focus_where(&mut self, index: usize, is_wanted: impl Fn(&Standby) -> bool) {
        let Some(exchange) = self.exchanges.get_mut(index) else { return };
        let standby = exchange.standby.take_if(|it| is_wanted(it));
        let Some(Standby { attempt, pending, .. }) = standby else { return };
        let before = exchange.attempt.replace(attempt);
        let pending = std::mem::replace(&mut exchange.delivery.pending, pending);
        let cause = Cause::Unresponsive;
        exchange.standby = before.map(|attempt| Standby { attempt, pending, cause });
    }

    /// Whether what arrives on the connection is held back while another server may take over the stream.
    pub(crate) fn is_held_back(&self, index: usize, connection: Key) -> bool {
        let standby = self.exchanges.get(index).and_then(|it| it.standby.as_ref());
        standby.is_some_and(|it| it.attempt.connection == connection && it.is_held_back())
    }

    /// Records the end of a connection that is held back, to be handled if its attempt becomes the current one again.
    pub(crate) fn hold_back_end(&mut self, index: usize, kind: Option<ErrorKind>) {
        let standby = self.exchanges.get_mut(index).and_then(|it| it.standby.as_mut());
        if let Some(standby) = standby {
            standby.attempt.held_end = Some(kind);
        }
    }

    /// Returns to an earlier attempt after the current one has failed. Returns false if there is none.
    pub(crate) fn resume_standby(&mut self, index: usize) -> bool {
        let Some(exchange) = self.exchanges.get_mut(index) else { return false };
        let Some(Standby { attempt, pending, cause, .. }) = exchange.standby.take() else {
            return false;
        };
        let attempt = exchange.attempt.insert(attempt);
        attempt.is_held_back |= cause != Cause::Unresponsive;
        exchange.delivery.pending = pending;
        let serial = exchange.serial;
        let delay = match cause {
            Cause::Unresponsive => CHECK_DELAY,
            Cause::Migration { .. } => Duration::ZERO,
        };
        self.count_standby(cause, "returned");
        self.set_timer(self.now + delay, Timer::Exchange(index, serial));
        true
    }

    /// Handles what arrived on the current attempt's connection while it was held back. Returns whether anything was.
    pub(crate) fn release_held_back(&mut self, index: usize) -> bool {
        let Some(exchange) = self.exchanges.get_mut(index) else { return false };
        let attempt = exchange.attempt.as_mut().filter(|it| it.is_held_back);
        let Some(attempt) = attempt else { return false };
        attempt.is_held_back = false;
        let key = attempt.connection;
        match attempt.held_end.take() {
            Some(kind) => self.handle_backend_end(key, kind),
            None => self.read_backend(key),
        }
        true
    }

    /// Withdraws the attempt other than the current one, whose answer is used.
    pub(crate) fn settle_standby(&mut self, index: usize) {
        let Some(exchange) = self.exchanges.get(index) else { return };
        let (Some(attempt), Some(standby)) = (&exchange.attempt, &exchange.standby) else {
            return;
        };
        let cause = standby.cause;
        let result = match attempt.sent < standby.attempt.sent {
            true => "first",
            false => "second",
        };
        let line = match cause {
            Cause::Unresponsive => "hedge_settled",
            Cause::Migration { .. } => "move_settled",
        };
        self.log
            .line(self.now, line)
            .text("request", exchange.id())
            .text("server", &self.pool.get(attempt.server).name)
            .text("result", result)
            .ms("sent_ms", self.now.since(attempt.sent));
        self.count_standby(cause, result);
        self.release_standby(index);
    }

    fn count_standby(&mut self, cause: Cause, step: &'static str) {
        match cause {
            Cause::Unresponsive => self.stats.count_hedge(step),
            Cause::Migration { .. } => self.stats.count_migration(step),
        }
    }

    /// Ends all attempts of the exchange.
    pub(crate) fn release_attempts(&mut self, index: usize) {
        self.release_standby(index);
        self.release_attempt(index, true);
    }

    /// Returns to the first server of a stream whose next one hasn't sent an event in time, and withdraws an earlier
    /// attempt that would begin too late on replaced weights.
    pub(crate) fn expire_standby(&mut self, index: usize) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get(index) else { return };
        let Some(standby) = &exchange.standby else { return };
        if matches!(standby.cause, Cause::Migration { until } if until <= now) {
            self.release_attempt(index, true);
            self.resume_standby(index);
        } else if self.begin_by(exchange, &standby.attempt).is_some_and(|it| it <= now) {
            self.release_standby(index);
        }
    }

    fn release_standby(&mut self, index: usize) {
        let Some(exchange) = self.exchanges.get_mut(index) else { return };
        if let Some(Standby { attempt, .. }) = exchange.standby.take() {
            self.close_attempt(&attempt);
        }
    }
}

impl Standby {
    /// Whether what its server sends is held back.
    fn is_held_back(&self) -> bool {
        self.cause != Cause::Unresponsive
    }
}

impl Exchange {
    /// All open attempts.
    pub(crate) fn open_attempts(&self) -> impl Iterator<Item = &Attempt> {
        self.attempt.iter().chain(self.standby.iter().map(|it| &it.attempt))
    }

    /// Whether one of its open attempts is at the server.
    pub(crate) fn is_open_at(&self, server: pool::Id) -> bool {
        self.open_attempts().any(|it| it.server == server)
    }
}
