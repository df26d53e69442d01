//! Runs a scenario.

mod deployment;

use std::time::Duration;

use shallotlead_base::time::Time;
use shallotlead_gateway::clock::ORIGIN;

use crate::{
    budget,
    clock::Clock,
    fault::{Fault, Harm, Target},
    ledger::Ledger,
    network::{Action, Host, Shared},
    process::{Next, Process},
    report::{self, Report},
    scenario::Scenario,
};

use deployment::Deployment;

/// Longest time that the deployment runs after the callers' last requests.
const DRAIN_TIME: Duration = Duration::from_secs(60);
/// Shortest time that it does.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// A machine's process.
#[derive(Default)]
struct Slot {
    process: Option<Box<dyn Process>>,
    /// Number of turns, which tells a due turn from an outdated one.
    turns: u64,
    is_frozen: bool,
    /// Whether it had a turn while it was frozen.
    is_behind: bool,
}

/// A deployment in virtual time.
struct World {
    clock: Clock,
    network: Shared,
    slots: Vec<Slot>,
    deployment: Deployment,
    faults: Vec<Fault>,
    /// Whether the fault with the same index has begun.
    has_begun: Vec<bool>,
    ledger: Ledger,
}

/// Runs a scenario to its end.
pub fn run(scenario: &Scenario) -> Report {
    let mut world = World::open(scenario);
    world.play(ORIGIN + scenario.duration);
    budget::check(&world.ledger, scenario.retries);
    if scenario.is_usual() {
        world.ledger.check_broken_off_streams();
    }
    report::of(scenario, world.clock.now().since(ORIGIN), &world.ledger)
}

impl World {
    fn open(scenario: &Scenario) -> Self {
        let clock = Clock::new();
        let (deployment, ledger) = Deployment::open(scenario, clock.clone());
        let network = deployment.network.clone();
        let slots = std::iter::repeat_with(Slot::default).take(deployment.hosts()).collect();
        let faults = scenario.faults.clone();
        let has_begun = vec![false; faults.len()];
        let mut world = Self { clock, network, slots, deployment, faults, has_begun, ledger };
        for host in 0..world.slots.len() {
            world.start(host);
        }
        for (index, fault) in world.faults.iter().enumerate() {
            let mut network = world.network.borrow_mut();
            network.schedule(ORIGIN + fault.at, Action::Fault(index));
            network.schedule(ORIGIN + fault.at + fault.lasts, Action::Fault(index));
        }
        world
    }

    /// Plays until callers that send no more requests from `end` on have all been answered.
    fn play(&mut self, end: Time) {
        while self.clock.now() < end + SETTLE_TIME || 0 < self.ledger.records.borrow().open() {
            loop {
                let woken = self.network.borrow_mut().next_woken();
                let Some(host) = woken else { break };
                self.turn(host);
            }
            let next = self.network.borrow_mut().next(end + DRAIN_TIME);
            let Some((at, action)) = next else { return };
            self.clock.set(at);
            match action {
                Action::Turn(host, turn) if self.slots[host].turns == turn => self.turn(host),
                Action::Turn(..) => {}
                Action::Fault(index) => self.handle_fault(index),
                action => self.network.borrow_mut().apply(action),
            }
        }
    }

    fn turn(&mut self, host: Host) {
        let slot = &mut self.slots[host];
        if slot.is_frozen {
            slot.is_behind = true;
            return;
        }
        let Some(process) = &mut slot.process else { return };
        slot.turns += 1;
        match process.turn(self.clock.now()) {
            Next::At(time) => {
                let time = time.max(self.clock.now());
                self.network.borrow_mut().schedule(time, Action::Turn(host, slot.turns));
            }
            Next::Event => {}
            Next::Ended => self.end(host),
        }
    }

    fn start(&mut self, host: Host) {
        if self.slots[host].process.is_some() {
            return;
        }
        let process = self.deployment.spawn(host, self.clock.now());
        self.slots[host].process = Some(process);
        self.network.borrow_mut().wake(host);
    }

    /// Ends a process.
    fn end(&mut self, host: Host) {
        self.network.borrow_mut().close_host(host);
        let slot = &mut self.slots[host];
        slot.process = None;
        slot.turns += 1;
        slot.is_frozen = false;
    }

    fn handle_fault(&mut self, index: usize) {
        let Fault { harm, lasts, .. } = self.faults[index];
        let now = self.clock.now();
        let begins = !std::mem::replace(&mut self.has_begun[index], true);
        let word = if begins { "begins" } else { "ends" };
        self.ledger.journal.line(now, "fault", format_args!("{index} {word}: {harm:?}"));
        if begins {
            self.record_disturbance(harm, now, lasts);
            self.record_outage(harm, now, lasts);
        }
        match harm {
            Harm::Kill(target) => self.kill(target, begins),
            Harm::Restart(target) => self.restart(target, begins),
            Harm::Freeze(target) => self.freeze(self.deployment.host(target), begins),
            Harm::Cut(from, to) => {
                let (from, to) = (self.deployment.host(from), self.deployment.host(to));
                let mut network = self.network.borrow_mut();
                match begins {
                    true => network.cut(from, to),
                    false => network.restore(from, to),
                }
            }
            Harm::Loss(loss) => {
                let loss = if begins { loss } else { self.deployment.loss };
                self.network.borrow_mut().links.loss = loss;
            }
            Harm::SlowStore(latency) => self.deployment.slow_store(begins.then_some(latency)),
            Harm::ClockStep(target, by_ms) => {
                let by_ms = if begins { by_ms } else { -by_ms };
                self.deployment.step_clock(self.deployment.host(target), by_ms);
            }
            Harm::DamagedEntry(target) => {
                self.deployment.damage_entry(self.deployment.host(target), begins);
            }
            Harm::Configuration if begins => self.deployment.publish_configuration(),
            Harm::Weights if begins => self.deployment.publish_weights(),
            Harm::Configuration | Harm::Weights => {}
        }
    }

    fn record_disturbance(&mut self, harm: Harm, now: Time, lasts: Duration) {
        let targets = match harm {
            Harm::Kill(it) | Harm::Restart(it) | Harm::Freeze(it) => vec![it],
            Harm::Cut(from, to) => vec![from, to],
            Harm::Loss(_)
            | Harm::SlowStore(_)
            | Harm::ClockStep(..)
            | Harm::DamagedEntry(_)
            | Harm::Configuration
            | Harm::Weights => Vec::new(),
        };
        let is_central = |it: &Target| matches!(it, Target::Instance(_) | Target::Store);
        for target in targets.into_iter().filter(is_central) {
            let ip = self.deployment.ip(self.deployment.host(target));
            self.ledger.records.borrow_mut().disturbances.push((ip, now, now + lasts));
        }
    }

    /// Records from when to when servers are killed or cut off. A silent one lives.
    fn record_outage(&mut self, harm: Harm, now: Time, lasts: Duration) {
        let targets = match harm {
            Harm::Kill(it) | Harm::Restart(it) => vec![it],
            Harm::Cut(from, to) => vec![from, to],
            _ => Vec::new(),
        };
        for server in targets.into_iter().filter_map(Target::server_name) {
            self.ledger.records.borrow_mut().outages.push((server, now, now + lasts));
        }
    }

    fn kill(&mut self, target: Target, begins: bool) {
        let host = self.deployment.host(target);
        match begins {
            true => self.end(host),
            false => self.start(host),
        }
    }

    fn restart(&mut self, target: Target, begins: bool) {
        let host = self.deployment.host(target);
        if !begins {
            // What hasn't ended by itself is killed.
            self.end(host);
            self.start(host);
            return;
        }
        self.deployment.drain(host);
        if let Some(process) = &mut self.slots[host].process {
            process.begin_shutdown();
            self.network.borrow_mut().wake(host);
        }
    }

    fn freeze(&mut self, host: Host, begins: bool) {
        let slot = &mut self.slots[host];
        slot.is_frozen = begins && slot.process.is_some();
        if !begins && std::mem::take(&mut slot.is_behind) {
            self.network.borrow_mut().wake(host);
        }
    }
}
