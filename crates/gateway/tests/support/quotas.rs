//! Simulates in virtual time instances that receive the requests of one organisation, and sums up what they admit.

use std::{net::SocketAddr, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use shallotlead_base::{hash, time::Time};
use shallotlead_gateway::quota::{
    Account, Limit, MAX_QUESTIONS, Permission, Reply, SETTLING_TIME, Share, Unit,
};

use super::{
    at,
    fleet::{Fleet, index_at},
};

/// The rule under test: the window over which the quota is checked, and what is tolerated beyond it.
const WINDOW_MS: u64 = 8_000;
const OVERAGE: f64 = 0.1;
/// Time after which a change by the operator is known to all instances in touch.
const APPLY_MS: u64 = 3_000;
/// Step of virtual time in ms, that of [`Fleet`].
const STEP_MS: u64 = 20;
/// Interval at which instances look who owns the quota, in ms.
const OWNERS_INTERVAL_MS: u64 = 600;
const NAME: &str = "organisation";

/// Instances, and what the organisation uses through them.
pub(crate) struct Quotas {
    pub(crate) fleet: Fleet,
    accounts: Vec<Account>,
    /// The operator's changes: when, and to what.
    changes: Vec<(u64, Limit)>,
    /// When each instance applies the last change.
    applied_at: Vec<u64>,
    /// Units that are asked for in a second.
    pub(crate) demand: f64,
    /// The only instance that receives requests, if it isn't all of them.
    pub(crate) entry: Option<usize>,
    /// Tolerated beyond the limit, besides [`OVERAGE`].
    slack: f64,
    /// What was admitted: when, and how many units.
    used: Vec<(u64, f64)>,
    pub(crate) denied: usize,
    /// Questions to other instances.
    pub(crate) asked: usize,
    /// Until when owners' replies are held back on their way, and those that are.
    pub(crate) replies_held_until: u64,
    held: Vec<HeldReply>,
    pub(crate) rng: SmallRng,
}

/// An owner's reply to `index` that is held back.
struct HeldReply {
    index: usize,
    owner: SocketAddr,
    cost: f64,
    asked: Time,
    reply: Reply,
}

impl Quotas {
    /// `count` instances that have run for ten seconds without requests.
    pub(crate) fn open(count: usize, limit: Limit, slack: f64, seed: u64) -> Self {
        let account = || Account::new(limit, Duration::from_millis(WINDOW_MS));
        let mut quotas = Self {
            fleet: Fleet::open(count, 0.01, seed),
            accounts: (0..count).map(|_| account()).collect(),
            changes: vec![(0, limit)],
            applied_at: vec![0; count],
            demand: 0.0,
            entry: None,
            slack,
            used: Vec::new(),
            denied: 0,
            asked: 0,
            replies_held_until: 0,
            held: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
        };
        quotas.run(10_000);
        quotas
    }

    pub(crate) fn limit(&self) -> Limit {
        self.changes.last().expect("the first limit").1
    }

    /// Kills the instance and starts it again.
    pub(crate) fn restart(&mut self, index: usize) {
        self.fleet.end(index);
        self.fleet.start(index);
        self.accounts[index] = Account::new(self.limit(), Duration::from_millis(WINDOW_MS));
    }

    /// The operator changes the limit. Instances learn of it one after the other.
    pub(crate) fn change(&mut self, per_second: f64) {
        let limit = Limit { per_second, burst: per_second, ..self.limit() };
        let now = self.fleet.now_ms;
        self.changes.push((now, limit));
        for it in &mut self.applied_at {
            *it = now + self.rng.random_range(0..APPLY_MS);
        }
    }

    pub(crate) fn run(&mut self, ms: u64) {
        let mean = self.mean_cost();
        for _ in 0..ms / STEP_MS {
            self.fleet.run(STEP_MS, |_| {});
            self.update_owners();
            self.deliver_held();
            let per_step = self.demand / mean * STEP_MS as f64 / 1e3;
            let extra = self.rng.random_bool(per_step.fract());
            for _ in 0..per_step as usize + usize::from(extra) {
                self.receive_request();
            }
        }
    }

    fn update_owners(&mut self) {
        let now = self.fleet.now_ms;
        for index in 0..self.accounts.len() {
            let is_due = (now + 37 * index as u64) % OWNERS_INTERVAL_MS < STEP_MS;
            let is_change = self.applied_at[index].abs_diff(now) < STEP_MS;
            let is_needed = is_due || is_change || !self.accounts[index].has_owners();
            if !self.fleet.is_running(index) || !is_needed {
                continue;
            }
            let limit = self.limit();
            let (members, account) = (self.fleet.members(index), &mut self.accounts[index]);
            if self.applied_at[index] <= now {
                account.set_limit(limit);
            }
            let key = hash::stable(NAME.as_bytes());
            let owners = members.owners(at(now), key, account.limit().owners());
            let own = members.me().peers;
            let is_owner = owners.iter().any(|it| it.peers == own);
            let reachable = members.presumed_fraction(at(now)).filter(|_| is_owner);
            let share = reachable.map(|it| Share::of(owners.len(), it));
            let others = owners.iter().map(|it| it.peers).filter(|it| *it != own).collect();
            let settling = if members.is_new(at(now)) { Duration::ZERO } else { SETTLING_TIME };
            account.set_owners(at(now), others, share, settling);
        }
    }

    /// Instances that own a share by their own view.
    pub(crate) fn owners(&self) -> Vec<usize> {
        (0..self.accounts.len()).filter(|it| self.accounts[*it].held().is_some()).collect()
    }

    fn mean_cost(&self) -> f64 {
        match self.limit().unit {
            Unit::Requests => 1.0,
            Unit::Tokens { .. } => 5_000.0,
        }
    }

    /// Few prompts are much larger than most.
    fn random_cost(&mut self) -> f64 {
        let mean = self.mean_cost();
        match self.limit().unit {
            Unit::Requests => 1.0,
            Unit::Tokens { .. } => {
                (-mean * f64::ln(1.0 - self.rng.random::<f64>())).clamp(200.0, 10.0 * mean)
            }
        }
    }

    fn receive_request(&mut self) {
        let running = (0..self.fleet.len()).filter(|it| self.fleet.is_running(*it));
        let running: Vec<usize> =
            running.filter(|it| self.entry.is_none_or(|entry| entry == *it)).collect();
        if running.is_empty() {
            return;
        }
        let index = running[self.rng.random_range(0..running.len())];
        let cost = self.random_cost();
        let now = self.fleet.now_ms;
        for questions in 0..=MAX_QUESTIONS {
            match self.accounts[index].acquire(at(now), cost, self.rng.random()) {
                Permission::Granted => {
                    self.used.push((now + self.rng.random_range(0..25), cost));
                    return;
                }
                Permission::Ask(owner) if questions < MAX_QUESTIONS => self.ask(index, owner, cost),
                Permission::Ask(_) | Permission::Denied(_) => break,
            }
        }
        self.denied += 1;
    }

    fn deliver_held(&mut self) {
        let now = self.fleet.now_ms;
        if now < self.replies_held_until {
            return;
        }
        for HeldReply { index, owner, cost, asked, reply } in self.held.drain(..) {
            self.accounts[index].apply_reply(at(now), asked, owner, cost, reply);
        }
    }

    fn ask(&mut self, index: usize, owner: SocketAddr, cost: f64) {
        let now = at(self.fleet.now_ms);
        self.asked += 1;
        let other = index_at(owner);
        if !self.fleet.delivers(index, other) {
            self.accounts[index].record_timeout(now, owner);
            return;
        }
        let reply = self.accounts[other].grant(now, cost);
        if self.fleet.now_ms < self.replies_held_until {
            self.held.push(HeldReply { index, owner, cost, asked: now, reply });
            self.accounts[index].record_timeout(now, owner);
        } else if self.fleet.delivers(other, index) {
            self.accounts[index].apply_reply(now, now, owner, cost, reply);
        } else {
            self.accounts[index].record_timeout(now, owner);
        }
    }

    /// Units used within the window that begins at `from`.
    fn used_within(&self, from: u64, ms: u64) -> f64 {
        let within = self.used.iter().filter(|it| (from..from + ms).contains(&it.0));
        within.map(|it| it.1).sum()
    }

    /// Compares each window with what is allowed. A lower limit binds a window after it is known.
    pub(crate) fn check(&mut self) -> Result<(), String> {
        self.used.sort_unstable_by_key(|it| it.0);
        let window_s = WINDOW_MS as f64 / 1e3;
        let (mut first, mut sum) = (0, 0.0);
        for (last, (to, cost)) in self.used.iter().enumerate() {
            sum += cost;
            while self.used[first].0 + WINDOW_MS <= *to {
                sum -= self.used[first].1;
                first += 1;
            }
            let binding = to.saturating_sub(2 * WINDOW_MS + APPLY_MS);
            let in_force = self.changes.iter().enumerate().filter(|(index, it)| {
                let until = self.changes.get(index + 1).map_or(u64::MAX, |it| it.0);
                it.0 <= *to && binding <= until
            });
            let allowed = in_force.map(|(_, it)| it.1.per_second * window_s + it.1.burst);
            let allowed = allowed.fold(0.0, f64::max) * (1.0 + OVERAGE) + self.slack;
            if allowed < sum {
                return Err(format!(
                    "{sum:.0} units by {} requests in the window to {to} ms, {allowed:.0} allowed",
                    last + 1 - first
                ));
            }
        }
        Ok(())
    }

    /// Share of the limit that was used in the last `ms`.
    pub(crate) fn used(&self, ms: u64) -> f64 {
        let used = self.used_within(self.fleet.now_ms - ms, ms);
        used / (self.limit().per_second * ms as f64 / 1e3)
    }
}
