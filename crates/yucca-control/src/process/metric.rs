//! The metrics of the process.

use std::sync;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

static HANDLE: sync::OnceLock<Option<PrometheusHandle>> = sync::OnceLock::new();

/// Installs the recorder, unless the program has installed one already.
pub fn install() {
    HANDLE.get_or_init(|| PrometheusBuilder::new().install_recorder().ok());
}

/// Returns all metrics in the Prometheus text format; empty if the program installed another
/// recorder.
pub fn render() -> String {
    let handle = HANDLE.get().and_then(Option::as_ref);
    handle.map_or_else(String::new, PrometheusHandle::render)
}
