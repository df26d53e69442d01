//! An instance's own certificate and key.

use std::{fmt, sync::Arc};

use rustls::pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject};

use crate::{error::Error, fingerprint::Fingerprint};

/// A certificate chain, the instance's own certificate first, and its key.
#[derive(Clone)]
pub struct Identity {
    chain: Arc<[CertificateDer<'static>]>,
    key: Arc<PrivateKeyDer<'static>>,
}

impl Identity {
    /// Reads a chain and a key in PEM. The certificate must name the instance as a DNS name and be
    /// good for servers and clients.
    ///
    /// # Errors
    /// When one of them can't be read.
    pub fn from_pem(chain: &str, key: &str) -> Result<Self, Error> {
        let chain = certificates(chain)?;
        let key = PrivateKeyDer::from_pem_slice(key.as_bytes())
            .map_err(|err| Error::Identity(format!("key: {err}")))?;
        Ok(Self { chain: Arc::from(chain), key: Arc::new(key) })
    }

    /// The fingerprint of the instance's own certificate, to be published.
    pub fn fingerprint(&self) -> Fingerprint {
        self.chain.first().map_or(Fingerprint([0; 32]), |it| Fingerprint::of(it))
    }

    pub(crate) fn chain(&self) -> Vec<CertificateDer<'static>> {
        self.chain.to_vec()
    }

    pub(crate) fn key(&self) -> PrivateKeyDer<'static> {
        self.key.clone_key()
    }
}

/// Keys stay out of logs.
impl fmt::Debug for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Identity").field("fingerprint", &self.fingerprint()).finish_non_exhaustive()
    }
}

/// All certificates in `pem`; at least one.
pub(crate) fn certificates(pem: &str) -> Result<Vec<CertificateDer<'static>>, Error> {
    let found: Vec<CertificateDer<'static>> = CertificateDer::pem_slice_iter(pem.as_bytes())
        .collect::<Result<_, _>>()
        .map_err(|err| Error::Identity(format!("certificate: {err}")))?;
    if found.is_empty() {
        return Err(Error::Identity("no certificate in the PEM text".into()));
    }
    Ok(found)
}
