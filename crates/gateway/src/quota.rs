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

use std::time::Duration;

pub use account::{Account, Permission, Reply};
pub use limit::{Limit, Unit};
pub use share::Share;

/// Most owners of one quota: any of them may end, and the rest hand out more than half of it meanwhile.
pub const MAX_OWNERS: usize = 3;
/// Time after which a larger share counts: two gossip periods, within which others hear that theirs is smaller.
///
/// Guards against instances that notice the end of a partition, or of an owner, one after the other: their shares add
/// up to more than the quota meanwhile.
pub const SETTLING_TIME: Duration = Duration::from_millis(1_200);
/// Most questions to owners for one request: one of them may have ended, and a datagram be lost.
pub const MAX_QUESTIONS: usize = MAX_OWNERS + 1;
