//! Traffic of a deployment: prompts whose long prefixes nest by deployment, organisation and
//! history, and calls of its plain service.

pub mod deployment;
pub mod prompt;

use std::{sync::Arc, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde_json::json;

use crate::{
    caller::ask::{Ask, Kind},
    traffic::{deployment::Deployment, prompt::Library},
};

/// A deterministic sequence of requests.
#[derive(Debug)]
pub struct Mix {
    deployment: &'static Deployment,
    library: Library,
    random: SmallRng,
    seed: u64,
    next: u64,
}

/// Share of calls to the plain service.
const SERVICE_SHARE: f64 = 0.2;
/// Share of these with an idempotency key.
const KEYED_SHARE: f64 = 0.5;
/// Share of completions that are asked for as a stream.
const STREAM_SHARE: f64 = 0.8;
/// Share of completions in the chat form.
const CHAT_SHARE: f64 = 0.7;
/// Share of urgent requests.
const URGENT_SHARE: f64 = 0.1;
/// Tokens asked for.
const ANSWER: std::ops::RangeInclusive<u32> = 8..=48;
const URGENT: u8 = 8;

impl Mix {
    /// Traffic of `deployment`; the same seed gives the same requests.
    pub fn new(deployment: &'static Deployment, seed: u64) -> Self {
        Self {
            deployment,
            library: Library::new(deployment, seed),
            random: SmallRng::seed_from_u64(seed),
            seed,
            next: 0,
        }
    }

    /// Time until the next request, at `rate` requests a second on average.
    pub fn pause(&mut self, rate: f64) -> Duration {
        let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-uniform.ln() / rate)
    }

    /// The next request.
    pub fn next_ask(&mut self) -> Ask {
        self.next += 1;
        let organisation = self.pick_organisation();
        if self.random.random_bool(SERVICE_SHARE) {
            return self.service_call(organisation);
        }
        self.completion(organisation)
    }

    /// The next request, a completion in any case.
    pub fn next_completion(&mut self) -> Ask {
        self.next += 1;
        let organisation = self.pick_organisation();
        self.completion(organisation)
    }

    /// An organisation, the large ones more often.
    fn pick_organisation(&mut self) -> usize {
        let shares = self.deployment.organisations.iter().map(|it| it.share);
        let mut left = self.random.random_range(0.0..shares.clone().sum());
        for (index, share) in shares.enumerate() {
            if left < share {
                return index;
            }
            left -= share;
        }
        0
    }

    fn service_call(&mut self, organisation: usize) -> Ask {
        let number = self.next;
        let name = self.deployment.organisations[organisation].name;
        let body = json!({ "organisation": name, "number": number, "seed": self.seed });
        let is_keyed = self.random.random_bool(KEYED_SHARE);
        Ask {
            kind: Kind::Service {
                name: Arc::from(self.deployment.service),
                path: Arc::from(self.deployment.service_path),
            },
            body: body.to_string(),
            key: Arc::from(deployment::key(name)),
            organisation: Arc::from(name),
            idempotency_key: is_keyed.then(|| format!("{}-{number}", self.seed)),
            priority: Some(URGENT),
            deadline: None,
        }
    }

    fn completion(&mut self, organisation: usize) -> Ask {
        let name = self.deployment.organisations[organisation].name;
        let prompt = self.library.prompt(organisation, self.next, &mut self.random);
        let stream = self.random.random_bool(STREAM_SHARE);
        let max_tokens = self.random.random_range(ANSWER);
        let is_chat = self.random.random_bool(CHAT_SHARE);
        let mut body = json!({
            "model": self.deployment.model,
            "stream": stream,
            "max_tokens": max_tokens,
            "user": name,
        });
        let kind = if is_chat {
            body["messages"] = json!([
                { "role": "system", "content": prompt.shared },
                { "role": "user", "content": prompt.question },
            ]);
            Kind::Chat { stream }
        } else {
            body["prompt"] = json!(format!("{}{}", prompt.shared, prompt.question));
            Kind::Completion { stream }
        };
        Ask {
            kind,
            body: body.to_string(),
            key: Arc::from(deployment::key(name)),
            organisation: Arc::from(name),
            idempotency_key: None,
            priority: self.random.random_bool(URGENT_SHARE).then_some(URGENT),
            deadline: None,
        }
    }
}
