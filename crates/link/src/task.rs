//! The link's task: accepts and makes connections and sends.

use std::{
    fmt,
    sync::{Arc, PoisonError, RwLock},
    time::Duration,
};

use quinn::{ClientConfig, Connection, Endpoint, Incoming, VarInt};
use shallotlead_base::code::Code;
use tokio::{
    sync::{Semaphore, mpsc},
    time,
};

use crate::{
    connection,
    error::Error,
    frame::{Frame, Kind},
    gate::{self, Gate},
    handle::Peer,
    inbox::Received,
    settings::Limits,
    stats::Counters,
    table::{Link, Table},
    tls,
};

/// How often silent connections are looked for.
const SWEEP: Duration = Duration::from_millis(500);
/// How long the end of a link waits until peers know.
const GOODBYE: Duration = Duration::from_secs(1);
/// Connections that peers may be setting up at once.
const HANDSHAKES: usize = 64;
/// With fewer free places than this, a peer must first prove that it receives at its address.
const RETRY_BELOW: usize = HANDSHAKES / 2;
/// Bytes of bodies that may wait to be taken.
const MEMORY: usize = 8 << 20;

/// What the handle asks for.
pub(crate) enum Command {
    Send(Peer, Vec<u8>),
    Request(Peer, Vec<u8>, Duration, ReplyTo),
}

/// Where the answer of a request goes.
pub(crate) type ReplyTo = Box<dyn FnOnce(Result<Vec<u8>, Error>) + Send>;

/// What the tasks of a link share.
pub(crate) struct Shared {
    pub(crate) endpoint: Endpoint,
    pub(crate) client: RwLock<ClientConfig>,
    pub(crate) gate: Arc<Gate>,
    pub(crate) table: Table,
    pub(crate) counters: Arc<Counters>,
    pub(crate) inbox: mpsc::Sender<Received>,
    pub(crate) limits: Limits,
    pub(crate) memory: Arc<Semaphore>,
    handshakes: Arc<Semaphore>,
}

impl Shared {
    pub(crate) fn new(
        endpoint: Endpoint,
        client: ClientConfig,
        gate: Arc<Gate>,
        inbox: mpsc::Sender<Received>,
        limits: Limits,
    ) -> Self {
        Self {
            endpoint,
            client: RwLock::new(client),
            gate,
            table: Table::new(limits.max_connections),
            counters: Arc::default(),
            inbox,
            limits,
            memory: Arc::new(Semaphore::new(MEMORY.max(limits.max_body))),
            handshakes: Arc::new(Semaphore::new(HANDSHAKES)),
        }
    }

    /// Counts and logs something refused.
    pub(crate) fn refuse(&self, err: &Error, peer: &dyn fmt::Display) {
        let code = err.code();
        self.counters.refuse(code);
        if code == Code::PeerUnreachable {
            log::info!("{} {peer}: {err}", code.number());
        } else {
            log::warn!("{} {peer}: {err}", code.number());
        }
    }
}

/// Runs until the last handle is dropped.
pub(crate) async fn run(shared: Arc<Shared>, mut commands: mpsc::Receiver<Command>) {
    let mut sweep = time::interval(SWEEP);
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                Some(command) => take(&shared, command),
                None => break,
            },
            incoming = shared.endpoint.accept() => match incoming {
                Some(incoming) => accept(&shared, incoming),
                None => break,
            },
            _ = sweep.tick() => shared.table.sweep(shared.limits.silence),
        }
    }
    shared.endpoint.close(VarInt::from_u32(0), b"closing");
    // After the bound, peers find out by a stateless reset or by silence.
    let _ = time::timeout(GOODBYE, shared.endpoint.wait_idle()).await;
}

fn take(shared: &Arc<Shared>, command: Command) {
    match command {
        Command::Send(peer, body) => {
            let Some(link) = shared.table.get(&peer.name, peer.address) else {
                tokio::spawn(dial_and_send(Arc::clone(shared), peer, body));
                return;
            };
            if let Some(frame) = send_datagram(shared, &link, &body) {
                tokio::spawn(send_stream(Arc::clone(shared), link, frame));
            }
        }
        Command::Request(peer, body, deadline, reply_to) => {
            let shared = Arc::clone(shared);
            tokio::spawn(async move {
                let answer = time::timeout(deadline, ask(&shared, &peer, &body)).await;
                reply_to(answer.unwrap_or(Err(Error::Timeout)));
            });
        }
    }
}

async fn dial_and_send(shared: Arc<Shared>, peer: Peer, body: Vec<u8>) {
    match dial(&shared, &peer).await {
        Ok(link) => {
            if let Some(frame) = send_datagram(&shared, &link, &body) {
                send_stream(shared, link, frame).await;
            }
        }
        Err(_) => Counters::add(&shared.counters.dropped),
    }
}

/// Sends `body` as a datagram; gives the frame back when it is too large for one.
fn send_datagram(shared: &Shared, link: &Link, body: &[u8]) -> Option<Vec<u8>> {
    let Ok(frame) = Frame::encode(link.version, Kind::Message, body, shared.limits.max_body) else {
        Counters::add(&shared.counters.dropped);
        return None;
    };
    let fits = link.connection.max_datagram_size().is_some_and(|it| frame.len() <= it);
    if !fits {
        return Some(frame);
    }
    if link.connection.send_datagram(frame.into()).is_err() {
        Counters::add(&shared.counters.dropped);
    }
    None
}

async fn send_stream(shared: Arc<Shared>, link: Link, frame: Vec<u8>) {
    if connection::send_stream(&link, &frame).await.is_err() {
        Counters::add(&shared.counters.dropped);
    }
}

async fn ask(shared: &Arc<Shared>, peer: &Peer, body: &[u8]) -> Result<Vec<u8>, Error> {
    let link = match shared.table.get(&peer.name, peer.address) {
        Some(link) => link,
        None => dial(shared, peer).await?,
    };
    connection::request(shared, &link, body).await
}

/// The connection to `peer`, made if there is none.
async fn dial(shared: &Arc<Shared>, peer: &Peer) -> Result<Link, Error> {
    let lock = shared.table.dial(&peer.name);
    let _dialing = lock.lock().await;
    if let Some(link) = shared.table.get(&peer.name, peer.address) {
        return Ok(link);
    }
    let connected = time::timeout(shared.limits.connect, connect(shared, peer)).await;
    let connected = connected.unwrap_or(Err(Error::Timeout));
    match connected {
        Ok(connection) => open(shared, connection),
        Err(err) => {
            shared.refuse(&err, &peer.name);
            Err(err)
        }
    }
}

async fn connect(shared: &Shared, peer: &Peer) -> Result<Connection, Error> {
    let config = shared.client.read().unwrap_or_else(PoisonError::into_inner).clone();
    let connecting = shared
        .endpoint
        .connect_with(config, peer.address, peer.name.as_str())
        .map_err(|err| Error::Unreachable(err.to_string()))?;
    connecting.await.map_err(|err| tls::failure(&err))
}

fn accept(shared: &Arc<Shared>, incoming: Incoming) {
    // Guards against a flood of handshakes, perhaps with forged addresses: each costs memory and a
    // signature. Beyond the bound they are refused for the price of one packet.
    let Ok(place) = Arc::clone(&shared.handshakes).try_acquire_owned() else {
        incoming.refuse();
        return;
    };
    let is_busy = shared.handshakes.available_permits() < RETRY_BELOW;
    if is_busy && !incoming.remote_address_validated() && incoming.may_retry() {
        // Fails only when the peer has proven its address.
        let _ = incoming.retry();
        return;
    }
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        let address = incoming.remote_address();
        let accepted = time::timeout(shared.limits.connect, incoming).await;
        drop(place);
        match accepted {
            Ok(Ok(connection)) => {
                // Refusals are logged there.
                let _ = open(&shared, connection);
            }
            Ok(Err(err)) => shared.refuse(&tls::failure(&err), &address),
            Err(_) => shared.refuse(&Error::Timeout, &address),
        }
    });
}

/// Begins to serve a connection whose handshake is complete.
fn open(shared: &Arc<Shared>, connection: Connection) -> Result<Link, Error> {
    let peer = tls::certificate(&connection).and_then(|it| gate::subject(&it));
    let (Some(peer), Some(version)) = (peer, tls::version(&connection)) else {
        let err = Error::PeerUnknown("the certificate does not name one instance".into());
        shared.refuse(&err, &connection.remote_address());
        connection.close(VarInt::from_u32(u32::from(err.code().number())), b"unknown");
        return Err(err);
    };
    log::debug!("connected with {peer} at {}, version {version}", connection.remote_address());
    let link = Link { peer, version, connection };
    Counters::add(&shared.counters.opened);
    shared.table.insert(link.clone());
    tokio::spawn(connection::serve(Arc::clone(shared), link.clone()));
    Ok(link)
}
