//! The process's metrics in Prometheus text.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use rouille::Response;

/// Upper bounds of the buckets of times, in seconds.
const SECONDS: [f64; 14] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.46, 1.0, 2.5, 5.0, 10.0, 30.0];

/// The process's one recorder: several instances in a process share it.
static RECORDER: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Gives access to the process's metrics.
#[derive(Clone)]
pub(crate) struct Recorder(Option<PrometheusHandle>);

/// The process's metrics, recorded from the first call on.
pub(crate) fn open() -> Recorder {
    Recorder(RECORDER.get_or_init(install).clone())
}

fn install() -> Option<PrometheusHandle> {
    let builder = PrometheusBuilder::new()
        .set_buckets_for_metric(Matcher::Suffix("_seconds".to_owned()), &SECONDS)
        .inspect_err(|err| log::warn!("cannot set the buckets of metrics: {err}"))
        .ok()?;
    // Fails when the process that embeds the library records elsewhere; its choice stands.
    builder
        .install_recorder()
        .inspect_err(|err| log::warn!("metrics are recorded elsewhere: {err}"))
        .ok()
}

impl Recorder {
    /// The page.
    pub(crate) fn page(&self) -> Response {
        match &self.0 {
            Some(handle) => Response::from_data("text/plain; version=0.0.4", handle.render()),
            None => Response::text("").with_status_code(404),
        }
    }

    /// Folds raw samples into their buckets. Without it they pile up between two readings.
    pub(crate) fn tidy(&self) {
        if let Some(handle) = &self.0 {
            handle.run_upkeep();
        }
    }
}
