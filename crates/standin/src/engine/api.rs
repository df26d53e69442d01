//! The engine's HTTP calls.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::{
    engine::{Engine, cache::Event, events::Batch, text::Endpoint},
    http::{self, Handler, Reply, Request},
};

/// Longest long poll.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// How often a long poll looks for events.
const POLL: Duration = Duration::from_millis(10);

impl Handler for Engine {
    async fn handle(self: Arc<Self>, request: Request) -> Reply {
        if let Some(reply) = self.fault.gate().await {
            return reply;
        }
        let incarnation = self.incarnation.load(Ordering::SeqCst);
        let reply = match (&request.method, request.segments().as_slice()) {
            (&Method::GET, ["health"]) => self.health(),
            (&Method::GET, ["load"]) => self.load(),
            (&Method::GET, ["events"]) => self.events(&request).await,
            (&Method::GET, ["snapshot"]) => self.snapshot(),
            (&Method::GET, ["orders"]) => {
                Reply::json(&json!({ "orders": http::lock(&self.state).orders.accepted }))
            }
            (&Method::POST, ["cancel", attempt]) => {
                http::lock(&self.state).batch.cancel(attempt);
                Reply::empty(StatusCode::NO_CONTENT)
            }
            (&Method::POST, ["kv", "export"]) => self.export(&request),
            (&Method::POST, ["order"]) => self.order(&request),
            (&Method::POST, ["v1", "chat", "completions"]) => {
                self.cross(self.generate(&request, Endpoint::Chat)).await
            }
            (&Method::POST, ["v1", "completions"]) => {
                self.cross(self.generate(&request, Endpoint::Completion)).await
            }
            _ => Reply::not_run(StatusCode::NOT_FOUND, "no such call"),
        };
        reply.with("x-incarnation", incarnation)
    }
}

impl Engine {
    fn health(&self) -> Reply {
        let state = http::lock(&self.state);
        Reply::json(&json!({
            "incarnation": self.incarnation.load(Ordering::SeqCst),
            "state": state.phase,
            "model": state.model,
            "weights": state.weights,
            "adapters": state.adapters,
            "role": state.role,
        }))
    }

    fn load(&self) -> Reply {
        let (load, age) = self.report.get().unwrap_or_default();
        Reply::json(&json!({
            "incarnation": self.incarnation.load(Ordering::SeqCst),
            "age_ms": age.as_millis(),
            "waiting": load.waiting,
            "running": load.running,
            "waiting_tokens": load.waiting_tokens,
            "used_blocks": load.used_blocks,
            "total_blocks": load.total_blocks,
        }))
    }

    async fn events(&self, request: &Request) -> Reply {
        let incarnation = self.incarnation.load(Ordering::SeqCst);
        let after = request.parameter("after").unwrap_or(0);
        let wait = Duration::from_millis(request.parameter("wait_ms").unwrap_or(0)).min(MAX_WAIT);
        let deadline = Instant::now() + wait;
        let is_other = request.parameter("incarnation").is_some_and(|it| it != incarnation);
        loop {
            let batch = http::lock(&self.state).events.after(after);
            let batch = batch.filter(|_| !is_other);
            if batch.is_some() || is_other || deadline <= Instant::now() {
                let batch = batch.unwrap_or(Batch { first: after + 1, events: Vec::new() });
                let events: Vec<Value> = batch.events.into_iter().map(event_json).collect();
                return Reply::json(&json!({
                    "incarnation": incarnation, "first": batch.first, "events": events,
                }));
            }
            tokio::time::sleep(POLL).await;
        }
    }

    fn snapshot(&self) -> Reply {
        let state = http::lock(&self.state);
        let blocks: Vec<String> = state.batch.cache.blocks().map(block_text).collect();
        Reply::json(&json!({
            "incarnation": self.incarnation.load(Ordering::SeqCst),
            "seq": state.events.last(),
            "blocks": blocks,
        }))
    }
}

fn event_json(event: Event) -> Value {
    match event {
        Event::Stored(block) => json!({ "stored": block_text(block) }),
        Event::Evicted(block) => json!({ "evicted": block_text(block) }),
        Event::Cleared => json!("cleared"),
    }
}

/// A block's hash as calls write it.
pub(crate) fn block_text(block: u64) -> String {
    format!("{block:016x}")
}
