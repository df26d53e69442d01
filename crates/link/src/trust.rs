//! Whom an instance trusts, as the daemon feeds it.

use shallotlead_base::{hash::Map, name};

use crate::fingerprint::Fingerprint;

/// What to make of a certificate that the cluster's authority signed but nobody published.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Unpublished {
    /// Accept it: the platform is out of reach, so instances that start now can't publish theirs.
    #[default]
    Accept,
    /// Refuse it.
    Refuse,
}

/// Published fingerprints, and what holds without them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Trust {
    /// Certificates in force by instance. During a rotation, the old and the new one.
    pub published: Map<name::Instance, Vec<Fingerprint>>,
    /// Certificates that are not published.
    pub unpublished: Unpublished,
}

impl Trust {
    /// Whether `fingerprint` may stand for `instance`, given that the authority signed it.
    pub fn accepts(&self, instance: &name::Instance, fingerprint: &Fingerprint) -> bool {
        let published = self.published.get(instance).is_some_and(|it| it.contains(fingerprint));
        published || self.unpublished == Unpublished::Accept
    }
}
