//! Outcome of one attempt of a call.

use std::time::Duration;

use shallotlead_base::store::Reply;

/// Outcome of one attempt, as reported by an adapter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The platform answered. The reply is [`Reply::Failed`] only for a watch whose start was
    /// compacted.
    Answered(Reply),
    /// The platform refused the call, usually for its rate. The call had no effect, and the
    /// platform is available.
    Refused {
        /// Delay before the next attempt, if the platform asked for one.
        retry_after: Option<Duration>,
    },
    /// The platform is unavailable or no connection could be opened. The call had no effect.
    Unavailable {
        /// Delay before the next attempt, if the platform asked for one.
        retry_after: Option<Duration>,
    },
    /// The response was lost or unusable. A write may or may not have taken effect.
    Lost,
}
