//! The cluster's certificate authority: whoever holds its key is of the cluster.

use std::{
    fmt,
    time::{Duration, SystemTime},
};

use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};
use shallotlead_base::name;

use crate::{error::Error, identity::Identity};

/// How far in the past a made certificate starts, for peers whose clocks run late.
const CLOCK_SKEW: Duration = Duration::from_secs(3600);
/// Lifetime of a made authority.
const LIFETIME: Duration = Duration::from_secs(10 * 365 * 24 * 3600);

/// The authority's certificate and key, with which an instance makes its own certificate at start.
#[derive(Clone)]
pub struct Authority {
    certificate: String,
    key: String,
}

impl Authority {
    /// Makes a new authority. An operator does this once per cluster.
    ///
    /// # Errors
    /// When no key can be made.
    pub fn generate(cluster: &str) -> Result<Self, Error> {
        let key = KeyPair::generate().map_err(unusable)?;
        let mut params = CertificateParams::default();
        params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::DigitalSignature];
        params.distinguished_name.push(DnType::CommonName, format!("shallotlead {cluster}"));
        set_validity(&mut params, LIFETIME);
        let certificate = params.self_signed(&key).map_err(unusable)?;
        Ok(Self { certificate: certificate.pem(), key: key.serialize_pem() })
    }

    /// An authority from a certificate and a PKCS #8 key, both in PEM.
    ///
    /// # Errors
    /// When they can't be read.
    pub fn from_pem(certificate: &str, key: &str) -> Result<Self, Error> {
        let authority = Self { certificate: certificate.into(), key: key.into() };
        authority.issuer().map(|_| authority)
    }

    /// The certificate in PEM, to be trusted by every instance.
    pub fn certificate(&self) -> &str {
        &self.certificate
    }

    /// The key in PEM. A secret.
    pub fn key(&self) -> &str {
        &self.key
    }

    /// Makes a key and a certificate for `instance`, valid from an hour ago for `lifetime` from now.
    ///
    /// # Errors
    /// When the name is no DNS label or no key can be made.
    pub fn issue(&self, instance: &name::Instance, lifetime: Duration) -> Result<Identity, Error> {
        let key = KeyPair::generate().map_err(unusable)?;
        let mut params = CertificateParams::new([instance.to_string()]).map_err(unusable)?;
        params.distinguished_name.push(DnType::CommonName, instance.to_string());
        params.extended_key_usages =
            vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
        set_validity(&mut params, lifetime);
        let certificate = params.signed_by(&key, &self.issuer()?).map_err(unusable)?;
        Identity::from_pem(&certificate.pem(), &key.serialize_pem())
    }

    fn issuer(&self) -> Result<Issuer<'static, KeyPair>, Error> {
        let key = KeyPair::from_pem(&self.key).map_err(unusable)?;
        Issuer::from_ca_cert_pem(&self.certificate, key).map_err(unusable)
    }
}

/// Keys stay out of logs.
impl fmt::Debug for Authority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Authority").finish_non_exhaustive()
    }
}

fn set_validity(params: &mut CertificateParams, lifetime: Duration) {
    let now = SystemTime::now();
    params.not_before = (now - CLOCK_SKEW).into();
    params.not_after = (now + lifetime).into();
}

fn unusable(err: rcgen::Error) -> Error {
    Error::Identity(err.to_string())
}
