//! Load of backend servers: their reports, which lag, and what is estimated from them.

mod estimate;
mod speed;

pub use shallotlead_base::load::Report;

pub(crate) use estimate::Estimate;
pub(crate) use speed::Speed;
