//! Quotas of organisations, enforced across all instances together.
//!
//! Answers the load of an organisation that sends more than it may, spread over many instances or all through one: no
//! instance sees more than its own part of it. A few instances own a quota, each a share of it, and hold a token
//! bucket. A request takes its tokens from its instance's own bucket or from that of another owner, which is asked
//! while the request waits for some milliseconds. An owner that is silent or has nothing left is passed over, so that
//! the loss of one leaves the shares of the others. Does no I/O: the caller carries questions and replies between
//! instances.

mod account;
pub mod endpoint;
mod limit;
mod share;

pub use account::{Account, Permission, Reply};
pub use limit::{Limit, Unit};
pub use share::Share;

/// Most owners of one quota: any of them may end, and the rest hand out more than half of it meanwhile.
pub const MAX_OWNERS: usize = 3;
/// Most questions to owners for one request: one of them may have ended, and a datagram be lost.
pub const MAX_QUESTIONS: usize = MAX_OWNERS + 1;
