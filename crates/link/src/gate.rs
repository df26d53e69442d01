//! Decides whether a certificate may stand for an instance.

use std::sync::{
    Arc, PoisonError, RwLock,
    atomic::{AtomicU64, Ordering},
};

use rustls::{
    CertificateError, DigitallySignedStruct, DistinguishedName, RootCertStore, SignatureScheme,
    client::{
        WebPkiServerVerifier,
        danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier},
    },
    crypto::CryptoProvider,
    pki_types::{CertificateDer, ServerName, UnixTime},
    server::{
        WebPkiClientVerifier,
        danger::{ClientCertVerified, ClientCertVerifier},
    },
};
use shallotlead_base::name;
use webpki::EndEntityCert;

use crate::{
    error::Error,
    fingerprint::Fingerprint,
    identity::{self, Identity},
    trust::Trust,
};

/// Checks a certificate twice: signature, dates, use and name against the cluster's authorities,
/// then its fingerprint against what is published.
#[derive(Debug)]
pub(crate) struct Gate {
    servers: Arc<WebPkiServerVerifier>,
    clients: Arc<dyn ClientCertVerifier>,
    trust: RwLock<Trust>,
    /// Peers refused although an authority signed their certificates.
    unpublished: AtomicU64,
}

impl Gate {
    pub(crate) fn new(
        authorities: &str,
        trust: Trust,
        provider: &Arc<CryptoProvider>,
    ) -> Result<Self, Error> {
        let mut roots = RootCertStore::empty();
        for certificate in identity::certificates(authorities)? {
            roots.add(certificate).map_err(|err| Error::Identity(err.to_string()))?;
        }
        let roots = Arc::new(roots);
        let unusable = |err: rustls::server::VerifierBuilderError| Error::Identity(err.to_string());
        let servers =
            WebPkiServerVerifier::builder_with_provider(Arc::clone(&roots), Arc::clone(provider))
                .build()
                .map_err(unusable)?;
        let clients = WebPkiClientVerifier::builder_with_provider(roots, Arc::clone(provider))
            .build()
            .map_err(unusable)?;
        Ok(Self { servers, clients, trust: RwLock::new(trust), unpublished: AtomicU64::new(0) })
    }

    /// Checks the own certificate as peers will, so that a wrong key or authority shows at the start
    /// and not as silence from all peers. Dates are only warned of: the fault may be this clock's.
    pub(crate) fn check_own(&self, identity: &Identity) -> Result<(), Error> {
        let chain = identity.chain();
        let Some((own, intermediates)) = chain.split_first() else {
            return Err(Error::Identity("there is no certificate".into()));
        };
        match self.clients.verify_client_cert(own, intermediates, UnixTime::now()) {
            Ok(_) => Ok(()),
            Err(rustls::Error::InvalidCertificate(
                err @ (CertificateError::Expired
                | CertificateError::ExpiredContext { .. }
                | CertificateError::NotValidYet
                | CertificateError::NotValidYetContext { .. }),
            )) => {
                log::error!("peers will refuse the own certificate: {err}");
                Ok(())
            }
            Err(err) => Err(Error::Identity(format!("no trusted authority signed it: {err}"))),
        }
    }

    pub(crate) fn set_trust(&self, trust: Trust) {
        *self.trust.write().unwrap_or_else(PoisonError::into_inner) = trust;
    }

    pub(crate) fn unpublished(&self) -> u64 {
        self.unpublished.load(Ordering::Relaxed)
    }

    /// Whether a certificate of the cluster is accepted as its instance's.
    pub(crate) fn accepts(&self, certificate: &CertificateDer<'_>) -> bool {
        let Some(name) = subject(certificate) else {
            return false;
        };
        let trust = self.trust.read().unwrap_or_else(PoisonError::into_inner);
        trust.accepts(&name, &Fingerprint::of(certificate))
    }

    fn admit(&self, certificate: &CertificateDer<'_>) -> Result<(), rustls::Error> {
        if self.accepts(certificate) {
            return Ok(());
        }
        self.unpublished.fetch_add(1, Ordering::Relaxed);
        Err(rustls::Error::InvalidCertificate(CertificateError::ApplicationVerificationFailure))
    }
}

/// The one instance that a certificate names. A certificate with several names is nobody's, so that
/// no instance can stand for another.
pub(crate) fn subject(certificate: &CertificateDer<'_>) -> Option<name::Instance> {
    let certificate = EndEntityCert::try_from(certificate).ok()?;
    let mut names = certificate.valid_dns_names();
    let name = names.next()?;
    names.next().is_none().then(|| name::Instance::from(name))
}

impl ServerCertVerifier for Gate {
    fn verify_server_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        intermediates: &[CertificateDer<'_>],
        server_name: &ServerName<'_>,
        ocsp_response: &[u8],
        now: UnixTime,
    ) -> Result<ServerCertVerified, rustls::Error> {
        let verified = self.servers.verify_server_cert(
            end_entity,
            intermediates,
            server_name,
            ocsp_response,
            now,
        )?;
        self.admit(end_entity)?;
        Ok(verified)
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        self.servers.verify_tls12_signature(message, cert, dss)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        self.servers.verify_tls13_signature(message, cert, dss)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.servers.supported_verify_schemes()
    }
}

impl ClientCertVerifier for Gate {
    fn root_hint_subjects(&self) -> &[DistinguishedName] {
        // Peers have one certificate; hints would only cost bytes in each handshake.
        &[]
    }

    fn verify_client_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        intermediates: &[CertificateDer<'_>],
        now: UnixTime,
    ) -> Result<ClientCertVerified, rustls::Error> {
        let verified = self.clients.verify_client_cert(end_entity, intermediates, now)?;
        self.admit(end_entity)?;
        Ok(verified)
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        self.clients.verify_tls12_signature(message, cert, dss)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        self.clients.verify_tls13_signature(message, cert, dss)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.clients.supported_verify_schemes()
    }
}
