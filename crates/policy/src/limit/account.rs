//! One limit's account.

use std::time::Duration;

use shallotlead_base::{code::Code, time::Time};
use shallotlead_table::{column::Column, limit::Limits};

use super::{Demand, FALLBACK, window::Window};
use crate::{
    input::{Allowance, Scope},
    overview,
};

const SECOND: Duration = Duration::from_secs(1);
const MINUTE: Duration = Duration::from_secs(60);
/// Time over which demand is averaged: short, because unused shares should move within a second.
const DEMAND_SPAN: f64 = 1.0;
/// Demand below this counts as none.
const NO_DEMAND: f64 = 1e-2;

/// Whether a request fits a limit.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Verdict {
    /// It fits.
    Fits,
    /// It doesn't fit now.
    Later {
        /// The limit's code.
        code: Code,
        /// The limit, in words.
        reason: &'static str,
        /// When it would fit this instance's share; `None` when it never will.
        retry_after: Option<Duration>,
        /// The whole limit could take it: a larger allowance would help.
        shared: bool,
    },
}

impl Verdict {
    /// The one that keeps a request away longer.
    pub(crate) fn worse(self, other: Verdict) -> Verdict {
        if self.rank() < other.rank() { other } else { self }
    }

    fn rank(&self) -> Duration {
        match self {
            Verdict::Fits => Duration::ZERO,
            Verdict::Later { retry_after, .. } => {
                retry_after.unwrap_or(Duration::MAX).max(Duration::from_nanos(1))
            }
        }
    }
}

/// What is allowed and used of one row's limits.
#[derive(Debug)]
pub(crate) struct Account {
    limits: Limits,
    allowance: Option<Allowance>,
    requests: Option<Window>,
    tokens: Option<Window>,
    concurrency: Option<u32>,
    /// Requests that run.
    pub(crate) running: u32,
    /// Requests that wait.
    pub(crate) waiting: u32,
    demand: Rates,
}

/// Decaying averages of what came.
#[derive(Clone, Copy, Debug, Default)]
struct Rates {
    at: Time,
    requests: f64,
    tokens: f64,
}

impl Account {
    /// An account of `limits` on one of `instances` instances.
    pub(crate) fn open(now: Time, limits: Limits, instances: u32) -> Self {
        let mut account = Self {
            limits: Limits::default(),
            allowance: None,
            requests: None,
            tokens: None,
            concurrency: None,
            running: 0,
            waiting: 0,
            demand: Rates::default(),
        };
        account.limit(now, limits, instances);
        account
    }

    /// The row's limits are `limits` now.
    pub(crate) fn limit(&mut self, now: Time, limits: Limits, instances: u32) {
        if limits == self.limits {
            return;
        }
        let old = std::mem::replace(&mut self.limits, limits);
        let share = self.effective(now, instances);
        if old.requests_per_second != limits.requests_per_second {
            rebuild(&mut self.requests, share.requests_per_second, SECOND);
        }
        if old.tokens_per_minute != limits.tokens_per_minute {
            rebuild(&mut self.tokens, share.tokens_per_minute.map(|it| it / 60.0), MINUTE);
        }
        self.concurrency = share.concurrency;
    }

    /// Takes an allowance.
    pub(crate) fn allow(&mut self, now: Time, allowance: Allowance, instances: u32) {
        self.allowance = Some(allowance);
        self.share(now, instances);
    }

    /// Reckons this instance's share anew.
    pub(crate) fn share(&mut self, now: Time, instances: u32) {
        let share = self.effective(now, instances);
        if let (Some(window), Some(rate)) = (&mut self.requests, share.requests_per_second) {
            window.set(now, rate);
        }
        if let (Some(window), Some(rate)) = (&mut self.tokens, share.tokens_per_minute) {
            window.set(now, rate / 60.0);
        }
        self.concurrency = share.concurrency;
    }

    /// The limit is divided between more or fewer instances. A share that falls counts as if it had
    /// always been so small: an instance that starts doesn't know of the others yet, and the whole
    /// limit that it took for its own was theirs.
    pub(crate) fn divide(&mut self, now: Time, instances: u32) {
        let share = self.effective(now, instances);
        if let (Some(window), Some(rate)) = (&mut self.requests, share.requests_per_second)
            && rate < window.rate()
        {
            window.rescale(rate);
        }
        if let (Some(window), Some(rate)) = (&mut self.tokens, share.tokens_per_minute)
            && rate / 60.0 < window.rate()
        {
            window.rescale(rate / 60.0);
        }
        self.share(now, instances);
    }

    /// Drops an allowance that ended.
    pub(crate) fn refresh(&mut self, now: Time, instances: u32) {
        let Some(until) = self.allowance.as_ref().map(|it| it.until) else { return };
        if now < until {
            return;
        }
        // The share fell when the allowance ended, not when somebody looked.
        self.allowance = None;
        self.share(until, instances);
    }

    /// Whether one request with `tokens` tokens fits.
    pub(crate) fn check(&mut self, now: Time, tokens: f64, scope: &Scope) -> Verdict {
        let code = code(scope);
        let limits = self.limits;
        let mut worst = Verdict::Fits;
        if let Some(window) = &mut self.requests
            && !window.fits(now, 1.0)
        {
            let whole = limits.requests_per_second.unwrap_or(f64::MAX);
            let shared = window.rate() < whole;
            let reason = requests_reason(scope);
            let retry_after = window.wait(now, 1.0);
            worst = worst.worse(Verdict::Later { code, reason, retry_after, shared });
        }
        if let Some(window) = &mut self.tokens
            && !window.fits(now, tokens)
        {
            let whole = limits.tokens_per_minute.unwrap_or(f64::MAX);
            let shared = window.rate() * 60.0 < whole && tokens <= whole;
            let reason = tokens_reason(scope);
            let retry_after = window.wait(now, tokens);
            worst = worst.worse(Verdict::Later { code, reason, retry_after, shared });
        }
        worst
    }

    /// Counts one request with `tokens` tokens.
    pub(crate) fn charge(&mut self, now: Time, tokens: f64) {
        if let Some(window) = &mut self.requests {
            window.take(now, 1.0);
        }
        if let Some(window) = &mut self.tokens {
            window.take(now, tokens);
        }
    }

    /// Gives back tokens that were charged at `at`.
    pub(crate) fn give_back(&mut self, now: Time, at: Time, tokens: f64) {
        if let Some(window) = &mut self.tokens {
            window.give_back(now, at, tokens);
        }
    }

    /// Gives back a request that was charged at `at`.
    pub(crate) fn give_back_request(&mut self, now: Time, at: Time) {
        if let Some(window) = &mut self.requests {
            window.give_back(now, at, 1.0);
        }
    }

    /// Whether one more request may run.
    pub(crate) fn has_slot(&self) -> bool {
        self.concurrency.is_none_or(|it| self.running < it)
    }

    /// Whether anything is in use.
    pub(crate) fn busy(&self) -> bool {
        0 < self.running || 0 < self.waiting
    }

    /// Notes a request that came.
    pub(crate) fn wanted(&mut self, now: Time, tokens: f64) {
        self.demand = self.demand.faded(now);
        self.demand.requests += 1.0 / DEMAND_SPAN;
        self.demand.tokens += tokens * 60.0 / DEMAND_SPAN;
    }

    /// What is wanted, when anything is.
    pub(crate) fn demand(&self, now: Time, scope: &Scope) -> Option<Demand> {
        let rates = self.demand.faded(now);
        let concurrency = self.running + self.waiting;
        if rates.requests < NO_DEMAND && concurrency == 0 {
            return None;
        }
        Some(Demand {
            scope: scope.clone(),
            requests_per_second: rates.requests,
            tokens_per_minute: rates.tokens,
            concurrency,
            allowed_until: self.allowance.as_ref().map(|it| it.until).filter(|it| now < *it),
        })
    }

    /// The limits, for operators, when any of them was asked for lately.
    pub(crate) fn limits(&mut self, now: Time, scope: &Scope) -> Vec<overview::Limit> {
        if self.demand(now, scope).is_none() {
            return Vec::new();
        }
        let mut limits = Vec::new();
        let mut push = |column, total: Option<f64>, share, used| {
            if let Some(total) = total {
                limits.push(overview::Limit { scope: scope.clone(), column, total, share, used });
            }
        };
        if let Some(window) = &mut self.requests {
            let (share, used) = (window.rate(), window.used(now));
            push(Column::RequestsPerSecond, self.limits.requests_per_second, share, used);
        }
        if let Some(window) = &mut self.tokens {
            let (share, used) = (window.rate() * 60.0, window.used(now));
            push(Column::TokensPerMinute, self.limits.tokens_per_minute, share, used);
        }
        let share = self.concurrency.map_or(0.0, f64::from);
        let total = self.limits.concurrency.map(f64::from);
        push(Column::Concurrency, total, share, f64::from(self.running));
        limits
    }

    /// This instance's share: all when it is alone, an allowance while it lasts, else the fallback.
    fn effective(&self, now: Time, instances: u32) -> Limits {
        if instances <= 1 {
            return self.limits;
        }
        let part = FALLBACK / f64::from(instances);
        let fallback = Limits {
            requests_per_second: self.limits.requests_per_second.map(|it| it * part),
            tokens_per_minute: self.limits.tokens_per_minute.map(|it| it * part),
            concurrency: self.limits.concurrency.map(|it| (f64::from(it) * part) as u32),
        };
        let Some(allowance) = self.allowance.as_ref().filter(|it| now < it.until) else {
            return fallback;
        };
        Limits {
            requests_per_second: lower(
                self.limits.requests_per_second,
                allowance.requests_per_second.or(fallback.requests_per_second),
            ),
            tokens_per_minute: lower(
                self.limits.tokens_per_minute,
                allowance.tokens_per_minute.or(fallback.tokens_per_minute),
            ),
            concurrency: self
                .limits
                .concurrency
                .map(|it| allowance.concurrency.or(fallback.concurrency).unwrap_or(0).min(it)),
        }
    }
}

impl Rates {
    fn faded(self, now: Time) -> Self {
        let part = (-now.since(self.at).as_secs_f64() / DEMAND_SPAN).exp();
        Self { at: now, requests: self.requests * part, tokens: self.tokens * part }
    }
}

fn lower(limit: Option<f64>, share: Option<f64>) -> Option<f64> {
    limit.map(|it| share.unwrap_or(0.0).min(it))
}

fn rebuild(window: &mut Option<Window>, rate: Option<f64>, base: Duration) {
    match (window.as_mut(), rate) {
        (_, None) => *window = None,
        (Some(it), Some(rate)) => it.rescale(rate),
        (None, Some(rate)) => *window = Some(Window::open(base, rate)),
    }
}

fn code(scope: &Scope) -> Code {
    match scope {
        Scope::Organisation(_) => Code::OrganisationLimit,
        Scope::Model(_) => Code::ModelLimit,
        Scope::Server(_) => Code::NoServer,
    }
}

fn requests_reason(scope: &Scope) -> &'static str {
    match scope {
        Scope::Organisation(_) => "limit organisation requests_per_second",
        Scope::Model(_) => "limit model requests_per_second",
        Scope::Server(_) => "limit server requests_per_second",
    }
}

fn tokens_reason(scope: &Scope) -> &'static str {
    match scope {
        Scope::Organisation(_) => "limit organisation tokens_per_minute",
        Scope::Model(_) => "limit model tokens_per_minute",
        Scope::Server(_) => "limit server tokens_per_minute",
    }
}
