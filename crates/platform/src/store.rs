//! Interface that an adapter of the object API implements.

use shallotlead_base::store::Call;

use crate::outcome::Outcome;

/// Sends calls to the platform. Implementations neither retry nor limit the rate, as the client
/// does both.
pub trait Store: Send + Sync + 'static {
    /// Sends `call` once and waits for the response. Blocks for a bounded time.
    fn call(&self, call: &Call) -> Outcome;
}
