//! The pages of a list that were read so far.

use std::sync::Arc;

use shallotlead_base::{
    hash::{self, Set},
    id::Version,
};

/// Number of pages from which on a list is logged while it is read: further ones at each power of two.
const LOGGED_PAGES: u32 = 8;

/// The pages of a list that were read so far. What was on them is applied page by page and isn't kept.
#[derive(Default)]
pub(crate) struct Pages {
    count: u32,
    objects: usize,
    /// Names of registered servers on them.
    servers: Vec<Arc<str>>,
    /// The store's version when the first of them was read.
    version: Option<Version>,
    /// The name after which the next page begins.
    after: Option<Box<str>>,
    /// Whether a further page follows.
    has_more: bool,
    /// Hashes of the names after which pages began.
    begun_after: Set<u64>,
}

impl Pages {
    /// Number of pages.
    pub(super) fn count(&self) -> u32 {
        self.count
    }

    /// Number of objects on them.
    pub(super) fn object_count(&self) -> usize {
        self.objects
    }

    /// Names of registered servers on them.
    pub(crate) fn servers(&self) -> &[Arc<str>] {
        &self.servers
    }

    /// The name after which the next page begins; `None` for the first page.
    pub(super) fn after(&self) -> Option<&str> {
        self.after.as_deref()
    }

    /// The store's version when the first page was read.
    pub(super) fn version(&self) -> Option<Version> {
        self.version
    }

    /// Whether a further page follows.
    pub(super) fn has_more(&self) -> bool {
        self.has_more
    }

    /// Whether the list has become so long that it is logged now.
    pub(super) fn is_logged(&self) -> bool {
        LOGGED_PAGES <= self.count && self.count.is_power_of_two()
    }

    /// Adds a page of `objects`, which was read at `version`, and the registered `servers` on it. Returns the version up
    /// to which all pages show every change: objects on the first one may have changed since.
    pub(super) fn add(
        &mut self,
        objects: usize,
        servers: Vec<Arc<str>>,
        version: Version,
    ) -> Version {
        self.count += 1;
        self.has_more = false;
        self.objects += objects;
        self.servers.extend(servers);
        *self.version.get_or_insert(version)
    }

    /// Sets the name after which the next page begins. Returns false if one has begun there before: the list would never
    /// end.
    #[must_use]
    pub(super) fn advance(&mut self, after: &str) -> bool {
        self.after = Some(after.into());
        self.has_more = true;
        self.begun_after.insert(hash::stable(after.as_bytes()))
    }
}
