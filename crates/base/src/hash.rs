//! Fast hash collections and stable hashes.

use std::hash::Hash;

use rustc_hash::FxBuildHasher;
use xxhash_rust::xxh3;

/// Hash map with a fast, fixed hasher. Not for keys that a stranger chooses freely.
pub type Map<K, V> = std::collections::HashMap<K, V, FxBuildHasher>;
/// Hash set with a fast, fixed hasher. Not for keys that a stranger chooses freely.
pub type Set<K> = std::collections::HashSet<K, FxBuildHasher>;

/// Stable 64-bit hash of `bytes`, equal in every process and version.
pub fn stable(bytes: &[u8]) -> u64 {
    xxh3::xxh3_64(bytes)
}

/// Stable 64-bit hash of `bytes` under `seed`.
pub fn seeded(bytes: &[u8], seed: u64) -> u64 {
    xxh3::xxh3_64_with_seed(bytes, seed)
}

/// The hash [`seeded`] of the bytes of all `parts`, one after the other.
pub fn seeded_parts<'a>(parts: impl IntoIterator<Item = &'a [u8]>, seed: u64) -> u64 {
    let mut hasher = xxh3::Xxh3::with_seed(seed);
    for part in parts {
        hasher.update(part);
    }
    hasher.digest()
}

/// Rendezvous weight of `member` for `key` (Thaler and Ravishankar, highest random weight).
pub fn weight(member: &str, key: u64) -> u64 {
    seeded(member.as_bytes(), key)
}

/// The member of `members` with the highest rendezvous weight for `key`.
pub fn rendezvous<'a, T: AsRef<str> + Hash + ?Sized>(
    members: impl IntoIterator<Item = &'a T>,
    key: u64,
) -> Option<&'a T> {
    members.into_iter().max_by_key(|it| weight((*it).as_ref(), key))
}
