//! A whole deployment in one process on loopback: the stand-ins, the table, and entry instances.

mod table;

use std::{
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::Path,
    sync::Arc,
    thread,
    time::Duration,
};

use shallotlead_admin::key;
use shallotlead_base::id::Version;
use shallotlead_entry::{
    daemon, keys,
    settings::{self, Credentials},
};
use shallotlead_link::{authority::Authority, error::Error as LinkError};
use shallotlead_standin::{
    engine, kv,
    list::{self, State},
    platform, port, service, weights,
};
use shallotlead_table::{
    cell::Cell,
    change::{Edit, Entry},
    column::Column,
    row,
};
use thiserror::Error;

use crate::{
    traffic::deployment::{self, Deployment},
    world::table::Table,
};

/// How to build a world.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Which deployment.
    pub deployment: &'static Deployment,
    /// Number of entry instances.
    pub instances: usize,
    /// How engines start; address, name, model, seed and the stores' addresses are filled in.
    pub engine: engine::Settings,
    /// How long the instance list lags.
    pub list_lag: Duration,
    /// Seed of the engines' losses and the table's change ids.
    pub seed: u64,
}

impl Settings {
    /// A deployment with three entry instances and engines as they come.
    pub fn new(deployment: &'static Deployment) -> Self {
        Self {
            deployment,
            instances: 3,
            engine: engine::Settings::default(),
            list_lag: Duration::from_secs(10),
            seed: 1,
        }
    }
}

/// A world can't be built or changed.
#[derive(Debug, Error)]
pub enum Error {
    /// A stand-in can't be started.
    #[error("a stand-in cannot be started: {0}")]
    Standin(#[from] io::Error),
    /// An entry instance can't be started.
    #[error("an entry instance cannot be started: {0}")]
    Daemon(#[from] daemon::Error),
    /// The settings of an entry instance aren't valid.
    #[error("{0}")]
    Settings(#[from] settings::error::Errors),
    /// The instances' authority can't be made.
    #[error("the instances' authority cannot be made: {0}")]
    Authority(#[from] LinkError),
    /// A change of the table wasn't accepted.
    #[error("the table's change was not accepted: {0}")]
    Table(#[from] shallotlead_table::error::Error),
}

/// A running world. Dropping it ends all of it.
#[derive(Debug)]
pub struct World {
    /// The platform's object API.
    pub platform: platform::Handle,
    /// The platform's list of instances.
    pub list: list::Handle,
    /// The store for kept KV cache.
    pub kv: kv::Handle,
    /// The weight store.
    pub weights: weights::Handle,
    /// The model engines.
    pub engines: Vec<engine::Handle>,
    /// Servers of the plain service.
    pub services: Vec<service::Handle>,
    entries: Vec<Place>,
    table: Table,
    authority: Authority,
    deployment: &'static Deployment,
}

/// An entry instance's place: its addresses outlive it.
#[derive(Debug)]
struct Place {
    name: String,
    centre: &'static str,
    region: &'static str,
    callers: SocketAddr,
    operators: SocketAddr,
    peer: SocketAddr,
    running: Option<daemon::Handle>,
}

/// Key of the operator `demo`, who may do everything at the entry instances.
pub const OPERATOR_KEY: &str = "demo-key";
/// Signs event ids in worlds; a secret of nobody.
const EVENT_ID_KEY: &str = "5a1107000000000000000000000000000000000000000000000000000000005a";

/// Starts the stand-ins, writes the table and starts the entry instances.
///
/// # Errors
/// A part can't be started, or the table isn't accepted.
pub fn bind(settings: Settings) -> Result<World, Error> {
    let Settings { deployment, seed, .. } = settings;
    let platform = platform::bind(platform::Settings { seed, ..platform::Settings::default() })?;
    let list = list::bind(list::Settings { lag: settings.list_lag, ..list::Settings::default() })?;
    let kv = kv::bind(kv::Settings::default())?;
    let weights = weights::bind(weights::Settings {
        concurrency: deployment.load_concurrency,
        ..weights::Settings::default()
    })?;
    let engines = (1..=deployment.engines)
        .map(|number| {
            engine::bind(engine::Settings {
                name: engine_name(number),
                model: deployment.model.to_owned(),
                kv: Some(kv.address()),
                weight_store: Some(weights.address()),
                seed: seed.wrapping_add(number as u64),
                ..settings.engine.clone()
            })
        })
        .collect::<io::Result<Vec<_>>>()?;
    let services = (0..deployment.service_servers)
        .map(|_| {
            let name = deployment.service.to_owned();
            service::bind(service::Settings { name, ..service::Settings::default() })
        })
        .collect::<io::Result<Vec<_>>>()?;
    let table = Table::open(platform.address(), seed)?;
    let authority = Authority::generate("demo")?;
    let entries = Vec::new();
    let mut world = World {
        platform,
        list,
        kv,
        weights,
        engines,
        services,
        entries,
        table,
        authority,
        deployment,
    };
    world.table.commit(world.rows()?)?;
    for number in 0..settings.instances {
        world.add_entry(number)?;
    }
    world.list.catch_up();
    Ok(world)
}

impl World {
    /// Which deployment it is.
    pub fn deployment(&self) -> &'static Deployment {
        self.deployment
    }

    /// Callers' addresses of all entry instances, running or not.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|it| it.callers).collect()
    }

    /// Operators' addresses of the running entry instances.
    pub fn operators(&self) -> Vec<SocketAddr> {
        let running = self.entries.iter().filter(|it| it.running.is_some());
        running.map(|it| it.operators).collect()
    }

    /// Operators' address of an entry instance.
    pub fn operators_of(&self, index: usize) -> SocketAddr {
        self.entries[index].operators
    }

    /// Callers' address of an entry instance.
    pub fn entry(&self, index: usize) -> SocketAddr {
        self.entries[index].callers
    }

    /// Ends an entry instance as a crash does.
    pub fn kill_entry(&mut self, index: usize) {
        if let Some(entry) = self.entries[index].running.take() {
            entry.kill();
        }
    }

    /// Takes an entry instance out to shut it down, and lists it as leaving.
    pub fn leave_entry(&mut self, index: usize) -> Option<daemon::Handle> {
        let place = &mut self.entries[index];
        let entry = place.running.take()?;
        self.list.put(place.listed(State::Leaving));
        Some(entry)
    }

    /// Starts an entry instance on its former addresses.
    ///
    /// # Errors
    /// It can't be started.
    pub fn start_entry(&mut self, index: usize) -> Result<(), Error> {
        let settings = self.entry_settings(index)?;
        let place = &mut self.entries[index];
        place.running = Some(bind_again(&settings)?);
        self.list.put(place.listed(State::Live));
        Ok(())
    }

    /// Changes a cell; returns the table's new version.
    ///
    /// # Errors
    /// The change isn't accepted.
    pub fn set_cell(
        &mut self,
        kind: row::Kind,
        row: &str,
        column: Column,
        value: &str,
    ) -> Result<Version, Error> {
        let cell = Cell::new(row::Key::new(kind, row)?, column)?;
        let edit = Edit::Set { cell, expected: None, value: Arc::from(value) };
        Ok(self.table.commit(vec![edit])?)
    }

    fn add_entry(&mut self, number: usize) -> Result<(), Error> {
        let centres = self.deployment.centres;
        self.entries.push(Place {
            name: format!("e{}", number + 1),
            centre: centres[number % centres.len()],
            region: self.deployment.region,
            callers: free()?,
            operators: free()?,
            peer: free()?,
            running: None,
        });
        let entry = self.bind_new(number)?;
        let place = &mut self.entries[number];
        place.callers = entry.address();
        place.operators = entry.operators_address();
        place.running = Some(entry);
        self.list.put(place.listed(State::Live));
        Ok(())
    }

    /// Binds an instance for the first time. Its ports were free when they were picked; another process may have taken
    /// one since, and others help.
    fn bind_new(&mut self, number: usize) -> Result<daemon::Handle, Error> {
        for _ in 1..PORT_TRIES {
            match daemon::bind(self.entry_settings(number)?) {
                Err(daemon::Error::Bind { .. } | daemon::Error::Link { .. }) => {
                    let place = &mut self.entries[number];
                    (place.callers, place.operators, place.peer) = (free()?, free()?, free()?);
                }
                result => return Ok(result?),
            }
        }
        Ok(daemon::bind(self.entry_settings(number)?)?)
    }

    fn entry_settings(&self, index: usize) -> Result<settings::Settings, Error> {
        let place = &self.entries[index];
        let others = self.entries.iter().filter(|it| it.name != place.name);
        let seeds: Vec<String> = others.map(|it| format!("{}@{}", it.name, it.peer)).collect();
        let seeds = if seeds.is_empty() {
            String::new()
        } else {
            format!("seeds = {}\n", seeds.join(", "))
        };
        let text = format!(
            "[instance]\nname = {}\ncentre = {}\nregion = {}\n\
             [callers]\naddress = {}\naddress_ttl_ms = 1000\n\
             [operators]\naddress = {}\nkeys = demo:manager:{}\n\
             [peers]\naddress = {}\n{seeds}\
             [platform]\nobjects = {}\nlist = {}\n\
             [keys]\nevent_id = {EVENT_ID_KEY}\n",
            place.name,
            place.centre,
            place.region,
            place.callers,
            place.operators,
            hex(&key::hash(OPERATOR_KEY)),
            place.peer,
            self.platform.address(),
            self.list.address(),
        );
        let mut settings = settings::parse(Path::new("world.ini"), &text)?;
        settings.peers.credentials = Some(Credentials::Made {
            authority: Arc::from(self.authority.certificate()),
            authority_key: Arc::from(self.authority.key()),
        });
        Ok(settings)
    }

    /// The table's first rows.
    fn rows(&self) -> Result<Vec<Edit>, shallotlead_table::error::Error> {
        let deployment = self.deployment;
        let mut edits = vec![
            add(
                row::Kind::Model,
                deployment.model,
                &[
                    (Column::Kind, "engine".to_owned()),
                    (Column::Weights, "1".to_owned()),
                    (Column::RecomputePrice, deployment.recompute_price.to_string()),
                    (Column::FirstTokenTargetMs, deployment.first_token_target_ms.to_string()),
                    (Column::LoadConcurrency, deployment.load_concurrency.to_string()),
                ],
            )?,
            add(row::Kind::Model, deployment.service, &[(Column::Kind, "service".to_owned())])?,
        ];
        for organisation in deployment.organisations {
            let hash = keys::hash(&deployment::key(organisation.name));
            edits.push(add(
                row::Kind::Organisation,
                organisation.name,
                &[
                    (Column::Weight, "1".to_owned()),
                    (Column::MaxPriority, "9".to_owned()),
                    (Column::KeyHashes, hash),
                ],
            )?);
        }
        for (index, engine) in self.engines.iter().enumerate() {
            let name = engine_name(index + 1);
            edits.push(self.server(&name, index, engine.address(), deployment.model)?);
        }
        for (index, service) in self.services.iter().enumerate() {
            let name = format!("s{}", index + 1);
            edits.push(self.server(&name, index, service.address(), deployment.service)?);
        }
        Ok(edits)
    }

    fn server(
        &self,
        name: &str,
        index: usize,
        address: SocketAddr,
        model: &str,
    ) -> Result<Edit, shallotlead_table::error::Error> {
        let centre = self.deployment.centres[index % self.deployment.centres.len()];
        add(
            row::Kind::Server,
            name,
            &[
                (Column::Address, address.to_string()),
                (Column::Centre, centre.to_owned()),
                (Column::Model, model.to_owned()),
                (Column::Weight, "1".to_owned()),
                (Column::ChecksFence, "true".to_owned()),
            ],
        )
    }
}

impl Place {
    fn listed(&self, state: State) -> list::Instance {
        list::Instance {
            name: self.name.clone(),
            centre: self.centre.to_owned(),
            region: self.region.to_owned(),
            address: self.callers,
            peer: self.peer,
            state,
        }
    }
}

fn add(
    kind: row::Kind,
    name: &str,
    cells: &[(Column, String)],
) -> Result<Edit, shallotlead_table::error::Error> {
    let entry = |(column, value): &(Column, String)| Entry {
        column: *column,
        value: Arc::from(value.as_str()),
    };
    Ok(Edit::Add { row: row::Key::new(kind, name)?, cells: cells.iter().map(entry).collect() })
}

fn engine_name(number: usize) -> String {
    format!("w{number}")
}

/// Binds an instance to addresses that a former life used. A process that ended has closed its
/// sockets; one that ended inside this process may still be about to, which shows as an address in
/// use for a moment.
fn bind_again(settings: &settings::Settings) -> Result<daemon::Handle, daemon::Error> {
    for _ in 1..BIND_TRIES {
        match daemon::bind(settings.clone()) {
            Err(daemon::Error::Bind { cause, .. }) if cause.kind() == io::ErrorKind::AddrInUse => {
                thread::sleep(BIND_PAUSE);
            }
            Err(daemon::Error::Link { .. }) => thread::sleep(BIND_PAUSE),
            result => return result,
        }
    }
    daemon::bind(settings.clone())
}

const PORT_TRIES: u32 = 20;
const BIND_TRIES: u32 = 200;
const BIND_PAUSE: Duration = Duration::from_millis(25);

/// An address that nobody else has now. Instances must know each other's before they start, and come back to theirs.
fn free() -> io::Result<SocketAddr> {
    port::free(IpAddr::V4(Ipv4Addr::LOCALHOST))
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|it| format!("{it:02x}")).collect()
}
