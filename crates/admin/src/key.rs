//! Operators and their keys. Only hashes of keys are kept.

use std::sync::Arc;

use sha2::{Digest, Sha256};

use crate::role::Role;

/// An operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Operator {
    /// The name that the history shows.
    pub name: Arc<str>,
    /// What they may do.
    pub role: Role,
    /// SHA-256 of their key.
    pub key_hash: [u8; 32],
}

/// SHA-256 of a key.
pub fn hash(key: &str) -> [u8; 32] {
    Sha256::digest(key.as_bytes()).into()
}

/// The operator whose key `key` is. Hashes are compared, so the time taken tells nothing about keys.
pub fn find<'a>(operators: &'a [Operator], key: &str) -> Option<&'a Operator> {
    let hash = hash(key);
    operators.iter().find(|it| it.key_hash == hash)
}
