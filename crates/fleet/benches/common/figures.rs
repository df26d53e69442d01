//! Statistics of the measurements of this crate's benches.

/// The `share` quantile of `values` by nearest rank, or zero without values.
pub(crate) fn quantile(values: &mut [f64], share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let rank = (values.len() as f64 * share).ceil() as usize;
    values.get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
}
