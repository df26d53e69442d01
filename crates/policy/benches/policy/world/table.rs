//! The table that a run's instances have.

use std::net::{Ipv4Addr, SocketAddr};

use shallotlead_base::{
    id::{Version, Weights},
    name,
};
use shallotlead_table::{
    limit::Limits,
    model::{Kind, Model},
    organisation::Organisation,
    server::{Role, Server},
    snapshot::Snapshot,
};

use crate::workload::{self, Deployment};

pub(super) fn table(deployment: &Deployment, names: &[name::Server]) -> Snapshot {
    let organisations = (0..deployment.shares.len())
        .map(|it| {
            let name = workload::organisation(it);
            let row = Organisation {
                name: name.clone(),
                weight: deployment.shares[it] * 10.0,
                limits: Limits::default(),
                max_priority: 9,
                models: Vec::new(),
                key_hashes: Vec::new(),
            };
            (name, row)
        })
        .collect();
    let model = Model {
        name: name::Model::from("m"),
        kind: Kind::Engine,
        weights: Weights(1),
        limits: Limits::default(),
        recompute_price: deployment.price,
        first_token_target_ms: 460,
        min_replicas: 1,
        load_concurrency: 2,
    };
    let servers = names
        .iter()
        .enumerate()
        .map(|(index, name)| {
            let row = Server {
                name: name.clone(),
                address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9_000 + index as u16)),
                centre: name::Centre::from(deployment.centres[index % deployment.centres.len()]),
                model: model.name.clone(),
                role: Role::Mixed,
                weight: 1.0,
                limits: Limits::default(),
                checks_fence: true,
            };
            (name.clone(), row)
        })
        .collect();
    Snapshot {
        version: Version(1),
        organisations,
        models: [(model.name.clone(), model)].into(),
        servers,
    }
}
