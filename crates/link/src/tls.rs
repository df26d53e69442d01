//! TLS and QUIC configuration, and what their errors mean.

use std::sync::Arc;

use quinn::{
    ClientConfig, Connection, ConnectionError, IdleTimeout, ServerConfig, TransportConfig, VarInt,
    crypto::rustls::{HandshakeData, QuicClientConfig, QuicServerConfig},
};
use rustls::{
    client::Resumption, crypto::CryptoProvider, pki_types::CertificateDer,
    server::NoServerSessionStorage, version::TLS13,
};

use crate::{error::Error, gate::Gate, identity::Identity, settings::Limits};

/// Application protocol without its version.
const PROTOCOL: &str = "shallotlead/";
/// Streams that a peer may have open at once, of each kind.
const STREAMS: u32 = 16;
/// Bytes that a peer may send on a connection before they are read.
const WINDOW: u32 = 1 << 20;
/// Bytes of datagrams that may wait in one direction.
const DATAGRAM_BUFFER: usize = 64 * 1024;
/// TLS alerts travel as QUIC errors from here on.
const ALERTS: u64 = 0x100;
/// TLS alert: no common application protocol.
const NO_APPLICATION_PROTOCOL: u64 = 120;
/// TLS alerts about certificates: bad, unsupported, revoked, expired, unknown, unknown authority,
/// access denied, signature wrong, certificate required.
const CERTIFICATE: [u64; 10] = [42, 43, 44, 45, 46, 47, 48, 49, 51, 116];

/// What both directions of a link are set up with.
#[derive(Clone, Debug)]
pub(crate) struct Configs {
    pub(crate) client: ClientConfig,
    pub(crate) server: ServerConfig,
}

impl Configs {
    /// Sessions are never resumed and no data goes before the handshake: a resumed session would
    /// bypass the check of the certificate, and early data can be replayed by whoever recorded it.
    pub(crate) fn new(
        identity: &Identity,
        gate: &Arc<Gate>,
        provider: &Arc<CryptoProvider>,
        versions: &[u8],
        limits: &Limits,
    ) -> Result<Self, Error> {
        let protocols = protocols(versions);
        let mut server = rustls::ServerConfig::builder_with_provider(Arc::clone(provider))
            .with_protocol_versions(&[&TLS13])
            .map_err(unusable)?
            .with_client_cert_verifier(Arc::<Gate>::clone(gate))
            .with_single_cert(identity.chain(), identity.key())
            .map_err(unusable)?;
        server.alpn_protocols.clone_from(&protocols);
        server.session_storage = Arc::new(NoServerSessionStorage {});
        server.send_tls13_tickets = 0;

        let mut client = rustls::ClientConfig::builder_with_provider(Arc::clone(provider))
            .with_protocol_versions(&[&TLS13])
            .map_err(unusable)?
            .dangerous()
            .with_custom_certificate_verifier(Arc::<Gate>::clone(gate))
            .with_client_auth_cert(identity.chain(), identity.key())
            .map_err(unusable)?;
        client.alpn_protocols = protocols;
        client.resumption = Resumption::disabled();

        let server = QuicServerConfig::try_from(server).map_err(unusable)?;
        let client = QuicClientConfig::try_from(client).map_err(unusable)?;
        let transport = Arc::new(transport(limits)?);
        let mut configs = Self {
            client: ClientConfig::new(Arc::new(client)),
            server: ServerConfig::with_crypto(Arc::new(server)),
        };
        configs.client.transport_config(Arc::clone(&transport));
        configs.server.transport_config(transport).migration(false);
        Ok(configs)
    }
}

/// Best first: the server's order decides, which makes it the highest common version.
fn protocols(versions: &[u8]) -> Vec<Vec<u8>> {
    let mut versions = versions.to_vec();
    versions.sort_unstable();
    versions.iter().rev().map(|it| format!("{PROTOCOL}{it}").into_bytes()).collect()
}

fn transport(limits: &Limits) -> Result<TransportConfig, Error> {
    let mut transport = TransportConfig::default();
    let idle = IdleTimeout::try_from(limits.idle).map_err(unusable)?;
    transport
        .max_idle_timeout(Some(idle))
        // Idle connections cost no bytes: whoever finds one closed opens another.
        .keep_alive_interval(None)
        // Messages are small; probing for larger packets would cost more than it saves.
        .mtu_discovery_config(None)
        .max_concurrent_bidi_streams(VarInt::from_u32(STREAMS))
        .max_concurrent_uni_streams(VarInt::from_u32(STREAMS))
        .stream_receive_window(VarInt::from_u32(WINDOW / 4))
        .receive_window(VarInt::from_u32(WINDOW))
        .send_window(u64::from(WINDOW))
        .datagram_receive_buffer_size(Some(DATAGRAM_BUFFER))
        .datagram_send_buffer_size(DATAGRAM_BUFFER);
    Ok(transport)
}

/// The version that both sides agreed on.
pub(crate) fn version(connection: &Connection) -> Option<u8> {
    let data = connection.handshake_data()?.downcast::<HandshakeData>().ok()?;
    let protocol = String::from_utf8(data.protocol?).ok()?;
    protocol.strip_prefix(PROTOCOL)?.parse().ok()
}

/// The peer's own certificate.
pub(crate) fn certificate(connection: &Connection) -> Option<CertificateDer<'static>> {
    let chain = connection.peer_identity()?.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    chain.into_iter().next()
}

/// What a connection's end means.
pub(crate) fn failure(err: &ConnectionError) -> Error {
    let code = match err {
        ConnectionError::TransportError(err) => u64::from(err.code),
        ConnectionError::ConnectionClosed(close) => u64::from(close.error_code),
        _ => return Error::Unreachable(err.to_string()),
    };
    match code.checked_sub(ALERTS) {
        Some(NO_APPLICATION_PROTOCOL) => Error::Version,
        Some(alert) if CERTIFICATE.contains(&alert) => Error::PeerUnknown(err.to_string()),
        _ => Error::Unreachable(err.to_string()),
    }
}

fn unusable(err: impl ToString) -> Error {
    Error::Identity(err.to_string())
}
