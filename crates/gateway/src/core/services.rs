//! Services of requests in progress.

use std::sync::Arc;

use shallotlead_base::hash::Map;

use crate::{
    config::{Config, Service},
    core::Core,
};

impl Core {
    /// The service `name` of the configuration in force, or a removed one that requests in progress still use.
    pub(crate) fn service(&self, name: &str) -> Option<&Service> {
        let configured = self.config.as_ref().and_then(|it| it.services.get(name));
        configured.or_else(|| self.removed_services.get(name))
    }

    /// Puts `config` in force. Requests that were admitted before go on with its predecessor's services.
    pub(crate) fn replace_configuration(&mut self, config: Config) {
        let mut used: Map<Arc<str>, Service> = Map::default();
        for (_, exchange) in &self.exchanges {
            let name = &exchange.service;
            if !config.services.contains_key(name) && !used.contains_key(name) {
                let service = self.service(name).cloned();
                used.extend(service.map(|it| (name.clone(), it)));
            }
        }
        self.removed_services = used;
        self.config = Some(Arc::new(config));
        self.storage.builds.rescan(self.now);
        self.replace_quotas();
        self.update_pool_services();
    }

    /// Forgets removed services that no request uses any more.
    pub(crate) fn sweep_services(&mut self) {
        let Self { removed_services, exchanges, .. } = self;
        let before = removed_services.len();
        removed_services.retain(|name, _| exchanges.iter().any(|it| it.1.service == *name));
        if removed_services.len() < before {
            self.update_pool_services();
        }
    }

    fn update_pool_services(&mut self) {
        let configured = self.config.iter().flat_map(|it| it.services.keys());
        let names = configured.chain(self.removed_services.keys()).cloned();
        self.pool.set_services(names);
    }
}
