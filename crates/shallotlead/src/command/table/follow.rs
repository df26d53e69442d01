//! Following a change until it is in force everywhere and seen at work.

use std::{
    thread,
    time::{Duration, Instant},
};

use serde::Serialize;
use shallotlead_admin::client::Client;
use shallotlead_base::id::Version;

use crate::command::{Failure, operator::print_json};

const POLL: Duration = Duration::from_millis(50);
/// How long a change may take to be in force everywhere before the command gives up waiting.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(30);
/// How long to wait for the first decision under the change: there may be no traffic.
const SEEN_WITHIN: Duration = Duration::from_secs(3);
const DECISIONS: usize = 20;

/// What following a change showed.
#[derive(Debug, Serialize)]
struct Report {
    version: Version,
    in_force_ms: u128,
    instances: usize,
    first_decision: Option<String>,
}

/// What to wait for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Until {
    /// Nothing.
    Accepted,
    /// The change is in force at every live instance.
    InForce,
    /// A decision was taken under it, too.
    Seen,
}

/// Follows `version`.
pub(super) fn run(
    client: &Client,
    version: Version,
    until: Until,
    json: bool,
) -> Result<(), Failure> {
    if until == Until::Accepted {
        return Ok(());
    }
    let start = Instant::now();
    let instances = wait_in_force(client, version, start)?;
    let in_force_ms = start.elapsed().as_millis();
    if !json {
        println!("in force at all {instances} live instances after {in_force_ms} ms");
    }
    let first_decision = match until {
        Until::Seen => wait_seen(client, version)?,
        Until::Accepted | Until::InForce => None,
    };
    if json {
        return print_json(&Report { version, in_force_ms, instances, first_decision });
    }
    match first_decision {
        Some(request) => println!("first seen at work in the decision on request {request}"),
        None if until == Until::InForce => {}
        None => {
            println!("no request has been decided here since; `shallotlead explain` shows them")
        }
    }
    Ok(())
}

fn wait_in_force(client: &Client, version: Version, start: Instant) -> Result<usize, Failure> {
    loop {
        let status = client.status()?;
        if version <= status.oldest {
            let live = status.instances.iter().filter(|it| it.state == "alive").count();
            return Ok(live);
        }
        if IN_FORCE_WITHIN < start.elapsed() {
            let late = status.centres.iter().filter(|it| it.lowest < version);
            let late = late.map(|it| format!("{} (version {})", it.name, it.lowest));
            return Err(Failure::Failed(format!(
                "version {version} is accepted, but not yet in force everywhere in {}; `shallotlead \
                 status` shows when it is",
                late.collect::<Vec<_>>().join(", ")
            )));
        }
        thread::sleep(POLL);
    }
}

fn wait_seen(client: &Client, version: Version) -> Result<Option<String>, Failure> {
    let start = Instant::now();
    while start.elapsed() < SEEN_WITHIN {
        let latest = client.latest_decisions(DECISIONS)?;
        let seen = latest.decisions.iter().rfind(|it| version.0 <= it.table);
        if let Some(decision) = seen {
            return Ok(Some(decision.request.clone()));
        }
        thread::sleep(POLL);
    }
    Ok(None)
}
