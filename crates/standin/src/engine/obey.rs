//! Orders carried out.

use std::{sync::Arc, time::Duration};

use hyper::{Method, StatusCode};

use crate::{
    engine::{
        Engine, Phase,
        orders::{Kind, Order},
    },
    http::{self, Reply, Request},
    weights,
};

/// How often a load looks for the end of running work.
const POLL: Duration = Duration::from_millis(10);

impl Engine {
    /// Takes an order, and answers before it is carried out.
    pub(crate) fn order(self: &Arc<Self>, request: &Request) -> Reply {
        let order: Order = match request.json() {
            Ok(order) => order,
            Err(reply) => return reply,
        };
        if let Some(missing) = order.missing() {
            return Reply::error(StatusCode::BAD_REQUEST, &format!("{missing} is missing"));
        }
        let mut state = http::lock(&self.state);
        if let Err(fence) = state.orders.accept(order.clone(), self.settings.checks_fence) {
            let message = format!("the fencing number is older than {fence}");
            return Reply::error(StatusCode::CONFLICT, &message);
        }
        match order.kind {
            Kind::Load => {
                state.phase = Phase::Loading;
                state.batch.refuse_waiting();
                tokio::spawn(Arc::clone(self).carry_load(order));
            }
            Kind::Unload => match order.adapter {
                Some(adapter) => state.adapters.retain(|it| *it != adapter),
                None => {
                    state.model.clear();
                    state.batch.refuse_waiting();
                }
            },
            Kind::Role => state.role = order.role.unwrap_or_default(),
            Kind::Drain => state.phase = Phase::Leaving,
        }
        Reply::empty(StatusCode::ACCEPTED)
    }

    /// Waits for running work, loads, and serves what was loaded. When the weight store fails, the
    /// engine goes on with what it had.
    async fn carry_load(self: Arc<Self>, order: Order) {
        while !http::lock(&self.state).batch.is_idle() {
            tokio::time::sleep(POLL).await;
        }
        let is_loaded = self.fetch(&order).await;
        let mut state = http::lock(&self.state);
        if is_loaded {
            match order.adapter {
                Some(adapter) => state.adapters.push(adapter),
                None => {
                    state.model = order.model.unwrap_or_default();
                    state.weights = order.weights.unwrap_or_default();
                    state.adapters.clear();
                    // Blocks of older weights are of no use to the new ones.
                    state.batch.cache.clear();
                    state.publish();
                }
            }
        }
        if state.phase == Phase::Loading {
            state.phase = Phase::Up;
        }
    }

    async fn fetch(&self, order: &Order) -> bool {
        let Some(store) = self.settings.weight_store else {
            tokio::time::sleep(self.scaled(self.settings.load_time)).await;
            return true;
        };
        let load = weights::Load {
            server: self.settings.name.clone(),
            model: order.model.clone().unwrap_or_default(),
            weights: order.weights.unwrap_or_default(),
            adapter: order.adapter.clone(),
        };
        let body = serde_json::to_vec(&load).unwrap_or_default();
        let result = http::call(Method::POST, store, "/load", body).await;
        result.is_ok_and(|(status, _)| status.is_success())
    }
}
