//! A second attempt of a request beside its first one, which stays open until either brings something for the caller.

use std::time::Duration;

use shallotlead_base::time::Time;

use crate::{
    core::{Core, Timer, attempt::Attempt, exchange::Exchange},
    net::Key,
    pool,
};

/// For how long a stream that has begun may be open at two servers. Past it, both could generate the same events.
const MAX_STREAM_OVERLAP: Duration = Duration::from_millis(250);
/// Delay until the checks of an attempt that is the only one again.
const CHECK_DELAY: Duration = Duration::from_millis(100);

/// An earlier attempt that is still open while a second one is under way.
pub(crate) struct Standby {
    attempt: Attempt,
    /// Received bytes of its answer that aren't sent to the caller.
    pending: Vec<u8>,
    /// When it is withdrawn, even if the second attempt hasn't brought anything.
    until: Time,
}

impl Core {
    /// Keeps the current attempt open beside the next one.
    pub(crate) fn set_aside(&mut self, index: usize) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get_mut(index) else { return };
        let Some(attempt) = exchange.attempt.take() else { return };
        exchange.excluded.push(attempt.server);
        let pending = std::mem::take(&mut exchange.delivery.pending);
        let (has_begun, serial) = (exchange.delivery.has_begun, exchange.serial);
        let until = if has_begun { now + MAX_STREAM_OVERLAP } else { Time::MAX };
        let server = self.pool.get(attempt.server);
        let silence = server.health.unresponsive_for(now).unwrap_or_default();
        self.log
            .line(now, "hedged")
            .text("request", exchange.id())
            .text("server", &server.name)
            .number("has_begun", has_begun)
            .number("last_event", exchange.delivery.last_event.unwrap_or(0))
            .ms("silent_ms", silence)
            .ms("sent_ms", now.since(attempt.sent));
        self.stats.count_hedge("sent");
        exchange.standby = Some(Standby { attempt, pending, until });
        if has_begun {
            self.set_timer(until, Timer::Exchange(index, serial));
        }
    }

    /// Makes the attempt on this connection the current one, if it is a standby of its exchange.
    pub(crate) fn focus_connection(&mut self, index: usize, connection: Key) {
        self.focus_where(index, |it| it.connection == connection);
    }

    /// The same for the attempt at `server`.
    pub(crate) fn focus_server(&mut self, index: usize, server: pool::Id) {
        self.focus_where(index, |it| it.server == server);
    }

    fn focus_where(&mut self, index: usize, is_wanted: impl Fn(&Attempt) -> bool) {
        let Some(exchange) = self.exchanges.get_mut(index) else { return };
        let standby = exchange.standby.take_if(|it| is_wanted(&it.attempt));
        let Some(Standby { attempt, pending, until }) = standby else { return };
        let before = exchange.attempt.replace(attempt);
        let pending = std::mem::replace(&mut exchange.delivery.pending, pending);
        exchange.standby = before.map(|attempt| Standby { attempt, pending, until });
    }

    /// Returns to an earlier attempt after the current one has failed. Returns false if there is none.
    pub(crate) fn resume_standby(&mut self, index: usize) -> bool {
        let Some(exchange) = self.exchanges.get_mut(index) else { return false };
        let Some(Standby { attempt, pending, .. }) = exchange.standby.take() else { return false };
        exchange.attempt = Some(attempt);
        exchange.delivery.pending = pending;
        let serial = exchange.serial;
        self.stats.count_hedge("returned");
        self.set_timer(self.now + CHECK_DELAY, Timer::Exchange(index, serial));
        true
    }

    /// Withdraws the attempt other than the current one, whose answer is used.
    pub(crate) fn settle_hedge(&mut self, index: usize) {
        let Some(exchange) = self.exchanges.get(index) else { return };
        let (Some(attempt), Some(standby)) = (&exchange.attempt, &exchange.standby) else {
            return;
        };
        let result = match attempt.sent < standby.attempt.sent {
            true => "first",
            false => "second",
        };
        self.stats.count_hedge(result);
        self.log
            .line(self.now, "hedge_settled")
            .text("request", exchange.id())
            .text("server", &self.pool.get(attempt.server).name)
            .text("result", result)
            .ms("sent_ms", self.now.since(attempt.sent));
        self.release_standby(index);
    }

    /// Ends all attempts of the exchange.
    pub(crate) fn release_attempts(&mut self, index: usize) {
        self.release_standby(index);
        self.release_attempt(index, true);
    }

    /// Withdraws the earlier attempt of a stream that has begun once its time is over, and one that would begin too late
    /// on replaced weights.
    pub(crate) fn expire_standby(&mut self, index: usize) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get(index) else { return };
        let Some(standby) = &exchange.standby else { return };
        let begin_by = self.begin_by(exchange, &standby.attempt);
        if standby.until <= now || begin_by.is_some_and(|it| it <= now) {
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
