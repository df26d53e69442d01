//! The time for which a server wants no requests.

use std::time::Duration;

use shallotlead_base::time::Time;

/// Longest time for which a server may ask.
const MAX_TIME: Duration = Duration::from_secs(60);
/// How long requests return gradually afterwards, as a fraction of the time that was asked for, and its bounds.
const RAMP_FRACTION: f64 = 0.5;
const MIN_RAMP: Duration = Duration::from_millis(250);
const MAX_RAMP: Duration = Duration::from_secs(1);

/// The time for which a server wants no requests of this instance, or of others.
///
/// Guards against a herd at its end: all callers that waited for it, at all instances, would be sent there in the same
/// moment, and the server would turn them away once more.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    own: Option<Span>,
    /// What the server has said to another instance.
    told: Option<Span>,
}

#[derive(Clone, Copy, Debug)]
struct Span {
    asked: Time,
    until: Time,
}

impl Span {
    /// The one of `span` and of `time` from `now` on that ends later.
    fn later(span: Option<Self>, now: Time, time: Duration) -> Option<Self> {
        let until = now + time;
        let is_later = now < until && span.is_none_or(|it| it.until < until);
        if is_later { Some(Self { asked: now, until }) } else { span }
    }

    /// Whether it is over for a request, by `random`.
    fn is_over(self, now: Time, random: impl FnOnce() -> u64) -> bool {
        let ramp = self.until.since(self.asked).mul_f64(RAMP_FRACTION).clamp(MIN_RAMP, MAX_RAMP);
        let open = now.since(self.until).div_duration_f64(ramp);
        1.0 <= open || (random() as f64 / u64::MAX as f64) < open
    }
}

impl Backoff {
    /// Whether a server may ask for so long.
    pub fn is_valid(time: Duration) -> bool {
        time <= MAX_TIME
    }

    /// Records that the server wants no requests for `time`. Each statement holds until its own end.
    pub fn observe(&mut self, now: Time, time: Duration) {
        self.own = Span::later(self.own, now, time);
    }

    /// Records that it wants no requests of another instance for `time`.
    pub fn observe_peer(&mut self, now: Time, time: Duration) {
        self.told = Span::later(self.told, now, time);
    }

    /// Whether it wants no requests of another instance now.
    pub fn is_active_elsewhere(&self, now: Time) -> bool {
        self.told.is_some_and(|it| now < it.until)
    }

    /// Whether another server is to be preferred, as this one may turn requests of this instance away as well. `random`
    /// as for [`Backoff::admits`].
    pub fn is_last_choice(&self, now: Time, random: impl FnOnce() -> u64) -> bool {
        self.told.is_some_and(|it| !it.is_over(now, random))
    }

    /// When the time ends, if it hasn't ended.
    pub fn ends_at(&self, now: Time) -> Option<Time> {
        self.own.map(|it| it.until).filter(|it| now < *it)
    }

    /// Whether the server wants no requests now.
    pub fn is_active(&self, now: Time) -> bool {
        self.ends_at(now).is_some()
    }

    /// Whether a request may be sent there, by `random`, which is evenly distributed: the fraction of requests that may
    /// grows from 0 to 1 after the end of the time.
    pub fn admits(&self, now: Time, random: impl FnOnce() -> u64) -> bool {
        self.own.is_none_or(|it| it.is_over(now, random))
    }
}
