//! Looks for seeds whose faults break a promise.

use crate::{fault::Fault, report::Report, scenario::Scenario};

/// A scenario that breaks a promise, with as few faults as still do.
#[derive(Clone, Debug)]
pub struct Finding {
    /// The scenario with the faults that are needed.
    pub scenario: Scenario,
    /// Its outcome.
    pub report: Report,
}

/// Drops faults of a scenario that has broken a promise while it still breaks that promise. `run` plays a scenario.
pub fn shrink(scenario: &Scenario, report: Report, run: impl Fn(&Scenario) -> Report) -> Finding {
    let mut finding = Finding { scenario: scenario.clone(), report };
    let Some(promise) = finding.report.violations.first().map(|it| it.promise) else {
        return finding;
    };
    let mut index = 0;
    while index < finding.scenario.faults.len() {
        let mut faults: Vec<Fault> = finding.scenario.faults.clone();
        faults.remove(index);
        let scenario = Scenario { faults, ..finding.scenario.clone() };
        let report = run(&scenario);
        match report.violations.iter().any(|it| it.promise == promise) {
            true => finding = Finding { scenario, report },
            false => index += 1,
        }
    }
    finding
}
