//! The part of a quota that one owner hands out.

/// Fraction of the known instances from which on a side of a partition counts as the larger one.
const MAJORITY: f64 = 0.5;
/// Fraction of a quota that nobody hands out, for the seconds in which instances differ about who its owners are.
const RESERVE: f64 = 0.02;

/// The part of a quota that one owner hands out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Fraction of the quota.
    pub(super) fraction: f64,
    /// Whether a request may cost more than the bucket holds, which is then in debt. Large requests would never be
    /// served otherwise. The many small sides of a partition would each allow one.
    pub(super) may_overdraw: bool,
}

impl Share {
    /// The share of one of `owners`. `reachable`: the fraction of the known instances that it considers alive, so that
    /// the sides of a partition together hand out one quota.
    pub fn of(owners: usize, reachable: f64) -> Self {
        let fraction = (1.0 - RESERVE) * reachable / owners.max(1) as f64;
        Self { fraction, may_overdraw: MAJORITY < reachable }
    }
}
