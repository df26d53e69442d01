//! Dates weights that the store lists. Does no I/O.

use shallotlead_base::time::Time;

use crate::pool::Publication;

/// What an instance knows of weights that it reads from the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Evidence<'a> {
    /// The version that they directly replaced, if a watch has shown that; zero if there was none.
    pub replaces: Option<u64>,
    /// A version that was the newest until the given time at least; zero if there was none.
    pub newest_until: Option<(u64, Time)>,
    /// The model's publications in the lease record, oldest first; each one replaced the one before.
    pub recorded: &'a [(u64, Time)],
}

/// The publication of `version`, which was read from the store.
///
/// Its time is that of the lease record, or `now` at the latest. Where the version that it replaced isn't known, older
/// ones count as replaced since it is known of one of them that it was the newest, or else since long ago. If they
/// counted as replaced `now`, prompts would start on them for seconds after the limit: after a restart of all
/// instances, or where an instance missed a publication.
pub fn dated(now: Time, version: u64, evidence: &Evidence<'_>) -> Publication {
    let Evidence { replaces, newest_until, recorded } = *evidence;
    if let Some(index) = recorded.iter().position(|it| it.0 == version) {
        let before = index.checked_sub(1).map(|it| recorded[it].0);
        return Publication::new(version, recorded[index].1, replaces.or(before));
    }
    let newest_until = newest_until.filter(|it| it.0 < version).map(|it| (it.0, it.1.min(now)));
    Publication { newest_until, ..Publication::new(version, now, replaces) }
}
