//! Steps by which estimates follow what is observed. Does no I/O.

/// Largest factor by which an estimate may differ from its prior: anything beyond has another cause than what is
/// estimated, such as a service that hangs.
const MAX_PRIOR_FACTOR: f64 = 16.0;

/// One step towards the `quantile` of the observed values.
pub(crate) fn quantile_step(is_late: bool, step: f64, quantile: f64) -> f64 {
    if is_late { step * quantile } else { step * (quantile - 1.0) }
}

/// The size of the step after `count` observations: it shrinks from `first` with the square root of their number, down to
/// `least`.
pub(crate) fn step_after(count: u32, first: f64, least: f64) -> f64 {
    (first / f64::from(count).sqrt()).max(least)
}

/// Limits `value` to what the `prior` allows for.
pub(crate) fn clamp_to_prior(value: f64, prior: f64) -> f64 {
    value.clamp(prior / MAX_PRIOR_FACTOR, prior * MAX_PRIOR_FACTOR)
}

/// Whether the `prior` allows for `value`.
pub(crate) fn is_near_prior(value: f64, prior: f64) -> bool {
    (prior / MAX_PRIOR_FACTOR..=prior * MAX_PRIOR_FACTOR).contains(&value)
}
