//! Metrics in the Prometheus text format.

use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};

/// Handle to the metrics of the process.
#[derive(Clone)]
pub struct MetricsExporter(PrometheusHandle);

impl std::fmt::Debug for MetricsExporter {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Scrape")
    }
}

impl MetricsExporter {
    /// Installs the global metrics recorder of the process.
    ///
    /// # Errors
    /// Fails if the process has a recorder already.
    pub fn install() -> Result<Self, BuildError> {
        PrometheusBuilder::new().install_recorder().map(Self)
    }

    /// Renders all metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        self.0.run_upkeep();
        self.0.render()
    }
}
