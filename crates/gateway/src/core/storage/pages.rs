//! The pages of a list that were read so far.

use std::mem;

use shallotlead_base::{id::Version, store::Object};

/// Number of pages from which on a list is logged while it is read: further ones at each power of two.
const LOGGED_PAGES: u32 = 8;

/// The pages of a list that were read so far.
#[derive(Default)]
pub(crate) struct Pages {
    objects: Vec<Object>,
    /// The store's version when the first of them was read.
    version: Option<Version>,
    count: u32,
    /// The name after which the next page begins.
    after: Option<Box<str>>,
}

impl Pages {
    /// Bytes of their values.
    pub(crate) fn bytes(&self) -> usize {
        self.objects.iter().map(|it| it.value.len()).sum()
    }

    /// Number of objects on them.
    pub(super) fn object_count(&self) -> usize {
        self.objects.len()
    }

    /// Number of pages.
    pub(super) fn count(&self) -> u32 {
        self.count
    }

    /// The name after which the next page begins; `None` for the first page.
    pub(super) fn after(&self) -> Option<&str> {
        self.after.as_deref()
    }

    /// The store's version when the first page was read.
    pub(super) fn version(&self) -> Option<Version> {
        self.version
    }

    /// Whether the list has become so long that it is logged now.
    pub(super) fn is_logged(&self) -> bool {
        LOGGED_PAGES <= self.count && self.count.is_power_of_two()
    }

    /// Adds a page that was read at `version`, after which the list goes on behind the name `last`.
    pub(super) fn add(&mut self, objects: Vec<Object>, version: Version, last: &str) {
        self.objects.extend(objects);
        self.version.get_or_insert(version);
        self.count += 1;
        self.after = Some(last.into());
    }

    /// Adds the last page, which was read at `version`. Returns all objects, and the version up to which they show every
    /// change: objects on the first page may have changed since.
    pub(super) fn finish(
        &mut self,
        objects: Vec<Object>,
        version: Version,
    ) -> (Vec<Object>, Version) {
        self.objects.extend(objects);
        (mem::take(&mut self.objects), *self.version.get_or_insert(version))
    }
}
