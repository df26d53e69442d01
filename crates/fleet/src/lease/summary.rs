//! A stored lease as shown to operators.

use std::sync::Arc;

use shallotlead_base::{id::Fence, name, store::Object};

use super::record::Record;

/// Kind of the objects that store leases.
pub const KIND: &str = "lease";

/// Who holds a lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Summary {
    /// Name of the lease.
    pub name: Arc<str>,
    /// The holder; `None` when the lease was released.
    pub holder: Option<name::Instance>,
    /// The fencing token of the last grant.
    pub fence: Fence,
}

impl Summary {
    /// Reads a stored lease; `None` when it can't be decoded.
    pub fn from_object(object: &Object) -> Option<Self> {
        let record = Record::decode(&object.value)?;
        let fence = record.fence_at(object.version);
        let name = object.key.name.clone();
        Some(Self { name, holder: record.holder.map(|it| it.instance), fence })
    }
}
