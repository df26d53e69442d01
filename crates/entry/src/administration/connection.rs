//! The platform as the administration API's store.

use shallotlead_base::store::{Call, Reply, Store};
use shallotlead_platform::client::Handle;

/// Carries out an operator's calls within this instance's budget.
pub(super) struct Connection<'a>(pub(super) &'a Handle);

impl Store for Connection<'_> {
    fn call(&mut self, call: Call) -> Reply {
        self.0.call(call)
    }
}
