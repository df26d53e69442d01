//! What a caller asks for.

use std::{sync::Arc, time::Duration};

/// One request.
#[derive(Clone, Debug)]
pub struct Ask {
    /// What is asked.
    pub kind: Kind,
    /// The body.
    pub body: String,
    /// The organisation's API key.
    pub key: Arc<str>,
    /// The organisation.
    pub organisation: Arc<str>,
    /// Makes a request that must not run twice safe to send again.
    pub idempotency_key: Option<String>,
    /// 0 (bulk) to 9 (urgent).
    pub priority: Option<u8>,
    /// Time allowed to the first token.
    pub deadline: Option<Duration>,
}

/// What is asked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A chat completion.
    Chat {
        /// As a stream of events, or whole.
        stream: bool,
    },
    /// A completion.
    Completion {
        /// As a stream of events, or whole.
        stream: bool,
    },
    /// A `POST` to a plain service, which must not run twice.
    Service {
        /// The service.
        name: Arc<str>,
        /// Path under the service's root, with the leading slash.
        path: Arc<str>,
    },
}

impl Ask {
    /// Path at the entry instance.
    pub fn path(&self) -> String {
        match &self.kind {
            Kind::Chat { .. } => "/v1/chat/completions".to_owned(),
            Kind::Completion { .. } => "/v1/completions".to_owned(),
            Kind::Service { name, path } => format!("/services/{name}{path}"),
        }
    }

    /// Whether the caller may send it again when it may have run.
    pub fn may_repeat(&self) -> bool {
        !self.is_service() || self.idempotency_key.is_some()
    }

    /// Whether a plain service is asked.
    pub fn is_service(&self) -> bool {
        matches!(self.kind, Kind::Service { .. })
    }
}
