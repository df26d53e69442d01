//! The daemon: binds the instance's addresses and runs its parts.

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use shallotlead_base::{code::Code, id::Incarnation};
use shallotlead_fleet::view::Member;
use shallotlead_link::{
    self as link,
    authority::Authority,
    settings::{Limits, Source},
    trust::Trust,
};
use shallotlead_platform::{
    budget::{Rates, Sharers},
    client, http,
};
use thiserror::Error;

use crate::{
    administration,
    backend::{Backend, http::Http},
    caller, operators, peers,
    settings::{Credentials, Instance, Platform, Settings},
    shell::{self, Config, Identity},
};

/// Decisions kept for explanations.
const EXPLAINED: usize = 1_024;

/// Longest wait for results to be recorded, as during an outage of the platform.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(10);
/// How often the end of that is looked for.
const SETTLE_PAUSE: Duration = Duration::from_millis(10);

/// The daemon can't start.
#[derive(Debug, Error)]
pub enum Error {
    /// An address can't be bound.
    #[error("{} [{section}] address: cannot bind {address}: {cause}", Code::BindFailed.number())]
    Bind {
        /// The settings' section.
        section: &'static str,
        /// The address.
        address: SocketAddr,
        /// Why not.
        cause: io::Error,
    },
    /// The link to other instances can't be opened.
    #[error("{} [peers]: {cause}", cause.code().number())]
    Link {
        /// Why not.
        #[from]
        cause: link::error::Error,
    },
    /// A thread can't be started.
    #[error("cannot start a thread: {0}")]
    Thread(#[from] io::Error),
}

/// A running instance. Dropping it ends the instance as [`Handle::kill`] does.
#[derive(Debug)]
pub struct Handle {
    callers: caller::Listener,
    operators: operators::Listener,
    peers: peers::Handle,
    shell: shell::Handle,
}

/// Binds the addresses in `settings` and starts the instance.
pub fn bind(settings: Settings) -> Result<Handle, Error> {
    let address = settings.callers.address;
    let callers = caller::Bound::bind(&settings.callers).map_err(|cause| Error::Bind {
        section: "callers",
        address,
        cause,
    })?;
    let backend: Arc<dyn Backend> = Arc::new(Http::new());
    let shell = shell::spawn(Config {
        identity: identity(&settings.instance, callers.address()),
        seed: rand::random(),
        explained: EXPLAINED,
        backend: backend.clone(),
    })?;
    let platform = client::open(client_settings(&settings.platform), objects(&settings.platform))?;
    let peers = peers(&settings, &shell, backend, platform.clone())?;
    let service = administration::Service::new(&settings, shell.clone(), &peers, platform);
    let address = settings.operators.address;
    let operators = operators::Listener::bind(address, shell.clone(), service)
        .map_err(|cause| Error::Bind { section: "operators", address, cause })?;
    let callers = callers.serve(settings, shell.clone());
    Ok(Handle { callers, operators, peers, shell })
}

impl Handle {
    /// Where callers connect.
    pub fn address(&self) -> SocketAddr {
        self.shell.identity().address
    }

    /// Where operators connect.
    pub fn operators_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Leaves gracefully: refuses new work, finishes the open work, then ends.
    pub fn shutdown(self) {
        log::info!("shutting down");
        let Self { callers, operators, peers, shell } = self;
        callers.shutdown();
        settle(&shell);
        // The peers were told when the drain began; the node ran on for the open work.
        peers.leave();
        shell.stop();
        operators.close();
        log::info!("shut down");
    }

    /// Ends at once and without a word to anyone, as a crash would.
    pub fn kill(self) {
        let Self { callers, operators, peers, shell } = self;
        shell.stop();
        callers.kill();
        peers.close();
        operators.close();
    }
}

/// Waits until the results of idempotency keys are recorded. A repeat through another instance would
/// be told "unknown" for what certainly ran.
fn settle(shell: &shell::Handle) {
    let end = Instant::now() + SETTLE_TIMEOUT;
    while 0 < shell.unsettled() && Instant::now() < end {
        thread::sleep(SETTLE_PAUSE);
    }
}

fn peers(
    settings: &Settings,
    shell: &shell::Handle,
    backend: Arc<dyn Backend>,
    platform: client::Handle,
) -> Result<peers::Handle, Error> {
    let identity = shell.identity();
    let link = open_link(settings)?;
    let peer = link.as_ref().map_or(settings.peers.address, |(link, _)| link.address());
    let config = peers::Config {
        member: Member {
            name: identity.instance.clone(),
            centre: identity.centre.clone(),
            region: identity.region.clone(),
            address: identity.address,
            peer,
            incarnation: identity.incarnation,
        },
        seed: rand::random(),
        platform,
        list: http::Http::new(&base(settings.platform.list), settings.platform.timeout),
        seeds: settings.peers.seeds.clone(),
        max_instances: settings.peers.max_instances,
        link,
        backend,
    };
    Ok(peers::spawn(config, shell)?)
}

type Link = (link::handle::Handle, link::inbox::Inbox);

fn open_link(settings: &Settings) -> Result<Option<Link>, Error> {
    let name = settings.instance.name.clone();
    let address = settings.peers.address;
    let Some(credentials) = &settings.peers.credentials else { return Ok(None) };
    let link = match credentials {
        Credentials::Made { authority, authority_key } => {
            let authority = Authority::from_pem(authority, authority_key)?;
            link::settings::Settings::new(name, address, authority)
        }
        Credentials::Signed { authority, certificate, private_key } => link::settings::Settings {
            name,
            address,
            source: Source::Files(link::identity::Identity::from_pem(certificate, private_key)?),
            authorities: authority.to_string(),
            trust: Trust::default(),
            versions: vec![link::settings::VERSION],
            limits: Limits::default(),
        },
    };
    Ok(Some(link::handle::bind(link)?))
}

fn client_settings(platform: &Platform) -> client::Settings {
    client::Settings {
        rates: Rates {
            reads: platform.reads_per_second.into(),
            writes: platform.writes_per_second.into(),
            watches: platform.watches,
        },
        sharers: Sharers { instances: platform.instances, watchers: platform.instances },
        seed: rand::random(),
    }
}

fn objects(platform: &Platform) -> http::Http {
    http::Http::new(&base(platform.objects), platform.timeout)
}

fn base(address: SocketAddr) -> String {
    format!("http://{address}")
}

fn identity(instance: &Instance, address: SocketAddr) -> Identity {
    Identity {
        instance: instance.name.clone(),
        incarnation: incarnation(),
        centre: instance.centre.clone(),
        region: instance.region.clone(),
        address,
    }
}

fn incarnation() -> Incarnation {
    // An instance keeps nothing, so that only the wall clock can order its lives.
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(u64::try_from(now.as_micros()).unwrap_or(u64::MAX))
}
