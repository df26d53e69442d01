//! KV cache to and from the KV store.

use std::sync::Arc;

use hyper::{Method, StatusCode};
use serde::Deserialize;

use crate::{
    engine::{Engine, api, cache::Origin},
    http::{self, Reply, Request},
    kv,
};

impl Engine {
    /// Writes a cached prefix to the KV store, and answers before that is done.
    pub(crate) fn export(self: &Arc<Self>, request: &Request) -> Reply {
        #[derive(Deserialize)]
        struct Export {
            block: String,
        }
        let export: Export = match request.json() {
            Ok(export) => export,
            Err(reply) => return reply,
        };
        let Ok(block) = u64::from_str_radix(&export.block, 16) else {
            return Reply::error(StatusCode::BAD_REQUEST, "not a block hash");
        };
        let Some(store) = self.settings.kv else {
            return Reply::error(StatusCode::NOT_IMPLEMENTED, "there is no KV store");
        };
        let Some((depth, origin)) = http::lock(&self.state).batch.cache.prefix(block) else {
            return Reply::error(StatusCode::NOT_FOUND, "the block is not cached");
        };
        let tokens = depth * self.settings.block_tokens;
        let prefix = kv::Prefix { tokens, origin: origin.0.to_string() };
        let transfer = self.scaled(self.settings.transfer_per_token * tokens);
        tokio::spawn(async move {
            tokio::time::sleep(transfer).await;
            let body = serde_json::to_vec(&prefix).unwrap_or_default();
            // A failed export shows as a prefix that isn't kept.
            let _ = http::call(Method::PUT, store, &kv_path(block), body).await;
        });
        Reply::empty(StatusCode::ACCEPTED)
    }

    /// Imports the prefix that the request names. Without it the prefix is computed.
    pub(crate) async fn import(&self, request: &Request, chain: &[u64], origin: &Origin) {
        let Some(store) = self.settings.kv else { return };
        let block = request.header("x-import").and_then(|it| u64::from_str_radix(it, 16).ok());
        let Some(depth) = block.and_then(|it| chain.iter().position(|other| *other == it)) else {
            return;
        };
        let chain = &chain[..=depth];
        let missing = chain.len() - http::lock(&self.state).batch.cache.matched(chain);
        if missing == 0 {
            return;
        }
        let path = kv_path(chain[depth]);
        let Ok((StatusCode::OK, body)) = http::call(Method::GET, store, &path, Vec::new()).await
        else {
            return;
        };
        let Ok(prefix) = serde_json::from_slice::<kv::Prefix>(&body) else { return };
        let missing = u32::try_from(missing).unwrap_or(u32::MAX);
        let tokens = missing * self.settings.block_tokens;
        tokio::time::sleep(self.scaled(self.settings.transfer_per_token * tokens)).await;
        let kept = Origin(Arc::from(prefix.origin));
        let mut state = http::lock(&self.state);
        state.take_imported(chain, if kept.0.is_empty() { origin } else { &kept });
    }
}

fn kv_path(block: u64) -> String {
    format!("/kv/{}", api::block_text(block))
}
