//! How many connections each endpoint may hold, so that descriptors are left for those to servers, the store and other
//! instances.

use super::Endpoint;

/// Descriptors that are left to files, and to sockets that are no connections.
const FILE_DESCRIPTORS: usize = 200;
/// Share of the descriptors for sockets that callers' connections may take. Each may need one to a server beside it.
const CALLERS_SHARE: (usize, usize) = (2, 5);
/// Share that the connections of each other endpoint may take.
const ENDPOINT_SHARE: (usize, usize) = (1, 20);
/// Number of connections that each endpoint may hold at least.
const MIN_CONNECTIONS: usize = 2;

/// Accepted connections, by endpoint.
#[derive(Debug)]
pub(super) struct Descriptors {
    sockets: usize,
    open: [usize; Endpoint::COUNT],
}

impl Descriptors {
    /// Those of a process that may have `max_descriptors` open.
    pub(super) fn new(max_descriptors: usize) -> Self {
        let sockets = max_descriptors.saturating_sub(FILE_DESCRIPTORS);
        Self { sockets, open: [0; Endpoint::COUNT] }
    }

    /// Number of connections that `endpoint` may hold.
    pub(super) fn limit(&self, endpoint: Endpoint) -> usize {
        let (part, whole) = match endpoint {
            Endpoint::Callers => CALLERS_SHARE,
            _ => ENDPOINT_SHARE,
        };
        (self.sockets / whole * part).max(MIN_CONNECTIONS)
    }

    /// Whether `endpoint` may accept another connection.
    pub(super) fn has_left(&self, endpoint: Endpoint) -> bool {
        self.open[endpoint as usize] < self.limit(endpoint)
    }

    pub(super) fn open(&mut self, endpoint: Endpoint) {
        self.open[endpoint as usize] += 1;
    }

    pub(super) fn close(&mut self, endpoint: Endpoint) {
        self.open[endpoint as usize] -= 1;
    }
}
