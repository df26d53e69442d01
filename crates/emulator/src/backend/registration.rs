//! A backend server's entry in the platform's store.

use std::{cell::RefCell, rc::Rc, sync::Arc};

use crate::{
    backend::Identity,
    format::{self, names},
    store::Objects,
};

/// The build of all servers: each writes the same events.
const BUILD: &str = "1";

/// The server's entry, written by the server and by faults.
pub(crate) struct Registration {
    pub(crate) identity: Identity,
    centre: Arc<str>,
    objects: Objects,
    sequence: u64,
    is_draining: bool,
}

/// A registration that its server shares.
pub(crate) type Shared = Rc<RefCell<Registration>>;

impl Registration {
    /// Registers a server that has started.
    pub(crate) fn open(identity: Identity, centre: &str, objects: Objects) -> Shared {
        let centre = Arc::from(centre);
        let mut registration = Self { identity, centre, objects, sequence: 0, is_draining: false };
        registration.write();
        Rc::new(RefCell::new(registration))
    }

    /// Announces that the server leaves.
    pub(crate) fn drain(&mut self) {
        self.is_draining = true;
        self.write();
    }

    /// Sets the version of the weights that the server has loaded.
    pub(crate) fn set_weights(&mut self, version: u64) {
        if let Some(model) = &mut self.identity.model {
            model.1 = version;
        }
        self.write();
    }

    /// Writes the entry.
    pub(crate) fn write(&mut self) {
        self.sequence += 1;
        let identity = &self.identity;
        let entry = format::Entry {
            service: identity.service.clone(),
            address: identity.address,
            centre: self.centre.clone(),
            is_draining: self.is_draining,
            models: identity.model.clone().into_iter().collect(),
            build: Arc::from(BUILD),
            incarnation: identity.incarnation,
            sequence: self.sequence,
        };
        let value = serde_json::to_vec(&entry).unwrap_or_default();
        self.objects.put(names::SERVERS, &identity.name, value);
    }

    /// Replaces the entry by one that can't be read.
    pub(crate) fn damage(&self) {
        self.objects.put(names::SERVERS, &self.identity.name, b"{\"service\":".to_vec());
    }
}
