//! The daemon behind the administration API.

mod connection;
mod figures;

use std::{
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

use rouille::{Request, Response};
use shallotlead_admin::{
    api::{Centre, Decisions, Duty, Figures, Instance, Platform, Status},
    backend::Backend,
    key::Operator,
    server::Api,
};
use shallotlead_base::{
    id::{self, Version},
    store::{Call, Reply, Store},
};
use shallotlead_fleet::{
    lease::summary::{self, Summary},
    view::{Entry, State},
};
use shallotlead_platform::client;
use shallotlead_policy::explain::Decision;
use shallotlead_table::{change::Change, snapshot::Snapshot};

use self::connection::Connection;
use crate::{
    peers::{self, board::Board, inbox::WeakInbox, message::Message},
    settings::Settings,
    shell,
};

/// How often a long poll looks for a newer table.
const POLL: Duration = Duration::from_millis(20);
/// How old the shown holders of leases may be.
const DUTIES_AGE: Duration = Duration::from_secs(2);

/// Answers the administration API.
#[derive(Debug)]
pub(crate) struct Service {
    api: Api,
    daemon: Daemon,
}

/// What the API sees of this instance.
#[derive(Debug)]
struct Daemon {
    operators: Vec<Operator>,
    shell: shell::Handle,
    node: WeakInbox,
    board: Arc<Board>,
    platform: client::Handle,
    budget: f64,
    duties: Mutex<Option<Cached>>,
}

/// Duties as read a moment ago.
#[derive(Debug)]
struct Cached {
    read: Instant,
    duties: Vec<Duty>,
}

impl Service {
    pub(crate) fn new(
        settings: &Settings,
        shell: shell::Handle,
        peers: &peers::Handle,
        platform: client::Handle,
    ) -> Self {
        let rates = &settings.platform;
        let daemon = Daemon {
            operators: settings.operators.keys.clone(),
            shell,
            node: peers.inbox().downgrade(),
            board: Arc::clone(peers.board()),
            platform,
            duties: Mutex::default(),
            budget: f64::from(rates.reads_per_second) + f64::from(rates.writes_per_second),
        };
        Self { api: Api::default(), daemon }
    }

    /// Answers `request`, or `None` when its path isn't one of the API's.
    pub(crate) fn answer(&self, request: &Request) -> Option<Response> {
        self.api.answer(request, &self.daemon)
    }
}

impl Daemon {
    fn instance(&self) -> String {
        self.shell.identity().instance.to_string()
    }

    fn explain(&self, decisions: &[Arc<Decision>]) -> Decisions {
        let decisions = decisions.iter().map(|it| (&**it).into()).collect();
        Decisions { instance: self.instance(), decisions }
    }

    fn centres(&self) -> Vec<Centre> {
        let centres = self.board.centres().into_iter();
        let mut centres = centres
            .map(|it| Centre {
                name: it.centre.to_string(),
                live: it.live,
                lowest: it.lowest,
                highest: it.highest,
            })
            .collect::<Vec<_>>();
        centres.sort_by(|a, b| a.name.cmp(&b.name));
        centres
    }

    fn instances(&self) -> Vec<Instance> {
        let Some(view) = self.board.view() else { return Vec::new() };
        let instance = |it: &Entry| Instance {
            name: it.member.name.to_string(),
            centre: it.member.centre.to_string(),
            state: state(it).to_owned(),
        };
        view.entries().iter().map(instance).collect()
    }

    /// Who holds which lease. Read from the platform at most once in a while, however often the
    /// status is asked for: an operator's polling must not use up this instance's calls.
    fn duties(&self) -> Vec<Duty> {
        let mut cached = self.duties.lock().unwrap_or_else(PoisonError::into_inner);
        let is_old = cached.as_ref().is_none_or(|it| DUTIES_AGE <= it.read.elapsed());
        if is_old
            && let Reply::Listed { objects, .. } =
                self.platform.call(Call::List { kind: summary::KIND.into() })
        {
            let duties = objects.iter().filter_map(Summary::from_object).map(duty).collect();
            *cached = Some(Cached { read: Instant::now(), duties });
        }
        cached.as_ref().map(|it| it.duties.clone()).unwrap_or_default()
    }

    fn platform(&self) -> Platform {
        let health = self.platform.health();
        let live = self.board.view().map_or(1, |it| it.live_members().count().max(1));
        Platform {
            available: health.available,
            calls_per_second: health.calls_per_second,
            budget_per_second: self.budget / live as f64,
        }
    }
}

impl Backend for Daemon {
    fn operators(&self) -> &[Operator] {
        &self.operators
    }

    fn table(&self) -> Arc<Snapshot> {
        self.shell.table()
    }

    fn wait(&self, version: Version, wait: Duration) -> Arc<Snapshot> {
        let end = Instant::now() + wait;
        loop {
            let table = self.shell.table();
            if version < table.version || end <= Instant::now() || self.shell.draining() {
                return table;
            }
            thread::sleep(POLL);
        }
    }

    fn store(&self) -> Box<dyn Store + '_> {
        Box::new(Connection(&self.platform))
    }

    fn accepted(&self, change: &Change) {
        self.node.send(Message::Accepted(change.clone()));
    }

    fn status(&self) -> Status {
        let version = self.shell.table().version;
        let centres = self.centres();
        let lowest = centres.iter().filter(|it| 0 < it.live).map(|it| it.lowest).min();
        Status {
            instance: self.instance(),
            version,
            instances: self.instances(),
            oldest: lowest.map_or(version, |it| it.min(version)),
            centres,
            platform: self.platform(),
            duties: self.duties(),
        }
    }

    fn figures(&self) -> Figures {
        figures::read(&self.shell)
    }

    fn decisions(&self, request: id::Request) -> Decisions {
        self.explain(&self.shell.decisions(request))
    }

    fn latest_decisions(&self, count: usize) -> Decisions {
        self.explain(&self.shell.latest_decisions(count))
    }

    fn random(&self) -> u128 {
        rand::random()
    }
}

fn duty(it: Summary) -> Duty {
    Duty {
        name: it.name.to_string(),
        holder: it.holder.map(|it| it.to_string()),
        fence: it.fence.0,
    }
}

fn state(entry: &Entry) -> &'static str {
    if !entry.is_reachable {
        return "unreachable";
    }
    match entry.state {
        State::Alive => "alive",
        State::Suspect => "suspect",
        State::Leaving => "leaving",
        State::Dead => "dead",
    }
}
