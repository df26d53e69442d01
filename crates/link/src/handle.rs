//! The running link.

use std::{
    fmt,
    net::{SocketAddr, UdpSocket},
    sync::{Arc, PoisonError, RwLock, Weak},
    thread,
    time::Duration,
};

use quinn::{Endpoint, TokioRuntime};
use rustls::{
    crypto::{CryptoProvider, ring},
    pki_types::ServerName,
};
use shallotlead_base::name;
use tokio::{runtime::Builder, sync::mpsc};

use crate::{
    authority::Authority,
    error::Error,
    fingerprint::Fingerprint,
    gate::{self, Gate},
    identity::Identity,
    inbox::Inbox,
    reset,
    settings::{Settings, Source},
    stats::{Counters, Stats},
    task::{self, Command, Shared},
    tls::Configs,
    trust::Trust,
};

/// Whom to send to.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Peer {
    /// The name that its certificate must carry.
    pub name: name::Instance,
    /// Where it is reached.
    pub address: SocketAddr,
}

/// A running link. Clones share it; it ends when the last one is dropped.
#[derive(Clone)]
pub struct Handle {
    tx: mpsc::Sender<Command>,
    shared: Weak<Shared>,
    counters: Arc<Counters>,
    address: SocketAddr,
    name: name::Instance,
    authority: Option<Authority>,
    lifetime: Duration,
    versions: Arc<[u8]>,
    max_body: usize,
    provider: Arc<CryptoProvider>,
    fingerprint: Arc<RwLock<Fingerprint>>,
}

/// Binds the address and starts the link on a thread of its own.
///
/// # Errors
/// When a key or certificate can't be used, or the address can't be bound.
pub fn bind(settings: Settings) -> Result<(Handle, Inbox), Error> {
    let Settings { name, address, source, authorities, trust, versions, limits } = settings;
    let provider = Arc::new(ring::default_provider());
    let gate = Arc::new(Gate::new(&authorities, trust, &provider)?);
    let (identity, endpoint_config, authority) = match source {
        Source::Made(authority) => {
            let config = reset::endpoint_config(authority.key().as_bytes(), &name);
            (authority.issue(&name, limits.lifetime)?, config, Some(authority))
        }
        Source::Files(identity) => {
            let config = reset::endpoint_config(identity.key().secret_der(), &name);
            (identity, config, None)
        }
    };
    check_name(&identity, &name)?;
    gate.check_own(&identity)?;
    let configs = Configs::new(&identity, &gate, &provider, &versions, &limits)?;

    let unbound = |err: std::io::Error| Error::Bind(err.to_string());
    let socket = UdpSocket::bind(address).map_err(unbound)?;
    let address = socket.local_addr().map_err(unbound)?;
    let runtime = Builder::new_current_thread().enable_all().build().map_err(unbound)?;
    let endpoint = {
        let _entered = runtime.enter();
        let server = Some(configs.server);
        Endpoint::new(endpoint_config, server, socket, Arc::new(TokioRuntime)).map_err(unbound)?
    };

    let (tx, commands) = mpsc::channel(limits.outbox.max(1));
    let (inbox_tx, inbox_rx) = mpsc::channel(limits.inbox.max(1));
    let open_inbox = inbox_tx.clone();
    let shared = Arc::new(Shared::new(endpoint, configs.client, gate, inbox_tx, limits));
    let handle = Handle {
        tx,
        shared: Arc::downgrade(&shared),
        counters: Arc::clone(&shared.counters),
        address,
        name,
        authority,
        lifetime: limits.lifetime,
        versions: Arc::from(versions),
        max_body: limits.max_body,
        provider,
        fingerprint: Arc::new(RwLock::new(identity.fingerprint())),
    };
    let run = move || {
        runtime.block_on(task::run(shared, commands));
        drop(runtime);
        // Only now is the address free; whoever waits for the inbox's end may bind it again.
        drop(open_inbox);
    };
    thread::Builder::new().name("link".into()).spawn(run).map_err(unbound)?;
    Ok((handle, Inbox::new(inbox_rx)))
}

impl Handle {
    /// Sends `body` to `peer` without waiting: in a datagram, which may be lost, or on a stream when
    /// it is too large for one. Without a connection, one is made first; the message is dropped and
    /// counted when none comes about.
    ///
    /// # Errors
    /// When the body is too large, or too much waits to be sent.
    pub fn send(&self, peer: Peer, body: Vec<u8>) -> Result<(), Error> {
        if self.max_body < body.len() {
            return Err(Error::Invalid);
        }
        self.tx.try_send(Command::Send(peer, body)).map_err(|_| {
            Counters::add(&self.counters.dropped);
            Error::Busy
        })
    }

    /// Asks `peer`; `reply_to` hears the answer once, or [`Error::Timeout`] when `deadline` has
    /// passed. It runs on the link's thread and must not block.
    pub fn request(
        &self,
        peer: Peer,
        body: Vec<u8>,
        deadline: Duration,
        reply_to: impl FnOnce(Result<Vec<u8>, Error>) + Send + 'static,
    ) {
        if self.max_body < body.len() {
            reply_to(Err(Error::Invalid));
            return;
        }
        let command = Command::Request(peer, body, deadline, Box::new(reply_to));
        if let Err(err) = self.tx.try_send(command)
            && let Command::Request(.., reply_to) = err.into_inner()
        {
            reply_to(Err(Error::Busy));
        }
    }

    /// Follows what the platform's service publishes. Open connections whose peers are trusted no
    /// more are closed at once.
    pub fn set_trust(&self, trust: Trust) {
        if let Some(shared) = self.shared.upgrade() {
            shared.gate.set_trust(trust);
            shared.table.recheck(&shared.gate);
        }
    }

    /// How often a peer was refused although an authority signed its certificate: it may have started
    /// just now, and what is published should be read again.
    pub fn unpublished(&self) -> u64 {
        self.shared.upgrade().map_or(0, |it| it.gate.unpublished())
    }

    /// Uses `identity` for every connection from now on; open ones go on. Publish both fingerprints
    /// first, and withdraw the old one when peers have had the time to see the new one.
    ///
    /// # Errors
    /// When the certificate does not name this instance, or can't be used.
    pub fn rotate(&self, identity: &Identity) -> Result<(), Error> {
        check_name(identity, &self.name)?;
        let Some(shared) = self.shared.upgrade() else {
            return Err(Error::Busy);
        };
        shared.gate.check_own(identity)?;
        let configs =
            Configs::new(identity, &shared.gate, &self.provider, &self.versions, &shared.limits)?;
        shared.endpoint.set_server_config(Some(configs.server));
        *shared.client.write().unwrap_or_else(PoisonError::into_inner) = configs.client;
        *self.fingerprint.write().unwrap_or_else(PoisonError::into_inner) = identity.fingerprint();
        Ok(())
    }

    /// Makes another certificate for this instance, to be used with [`Handle::rotate`]; `None` when
    /// the certificate came from files.
    ///
    /// # Errors
    /// When no key can be made.
    pub fn issue(&self) -> Result<Option<Identity>, Error> {
        let authority = self.authority.as_ref();
        authority.map(|it| it.issue(&self.name, self.lifetime)).transpose()
    }

    /// Lifetime of a certificate made here.
    pub fn lifetime(&self) -> Duration {
        self.lifetime
    }

    /// The fingerprint of the certificate in use, to be published.
    pub fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// The address that is bound.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The protocol version agreed with `peer`, while a connection is open.
    pub fn version(&self, peer: &name::Instance) -> Option<u8> {
        self.shared.upgrade()?.table.version(peer)
    }

    /// What the link did so far.
    pub fn stats(&self) -> Stats {
        let traffic = self.shared.upgrade().map(|it| it.table.traffic()).unwrap_or_default();
        let counted = self.counters.read();
        Stats {
            open: traffic.open,
            sent_bytes: traffic.sent_bytes,
            received_bytes: traffic.received_bytes,
            sent_datagrams: traffic.sent_datagrams,
            received_datagrams: traffic.received_datagrams,
            ..counted
        }
    }
}

impl fmt::Debug for Handle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Handle")
            .field("name", &self.name)
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

fn check_name(identity: &Identity, name: &name::Instance) -> Result<(), Error> {
    // Peers address us by this name; a name that is no DNS name could never be reached.
    let is_dns = matches!(ServerName::try_from(name.as_str()), Ok(ServerName::DnsName(_)));
    if !is_dns {
        return Err(Error::Identity(format!("the name {name} cannot stand in a certificate")));
    }
    let subject = identity.chain().first().and_then(gate::subject);
    if subject.as_ref() == Some(name) {
        return Ok(());
    }
    Err(Error::Identity(format!("the certificate does not name {name} alone")))
}
