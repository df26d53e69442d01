//! The process's recorder of metrics.

use std::sync::{Mutex, PoisonError};

use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};

/// Upper bounds of the latency histograms' buckets, seconds.
const LATENCY_BUCKETS: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 15.0];

/// The process's recorder. The library allows one per process, so several instances in a process,
/// as in tests, share it.
pub(in crate::host) fn recorder() -> Result<PrometheusHandle, BuildError> {
    static RECORDER: Mutex<Option<PrometheusHandle>> = Mutex::new(None);
    let mut known = RECORDER.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(handle) = &*known {
        return Ok(handle.clone());
    }
    let recorder = PrometheusBuilder::new().set_buckets(&LATENCY_BUCKETS)?.build_recorder();
    let handle = recorder.handle();
    if let Err(err) = metrics::set_global_recorder(recorder) {
        log::warn!("another metrics recorder is installed; metrics are not exported: {err}");
    }
    *known = Some(handle.clone());
    Ok(handle)
}
