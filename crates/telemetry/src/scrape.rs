//! Metrics in the text format that scrapers read.

use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};

/// The metrics of the process.
#[derive(Clone)]
pub struct MetricsExporter(PrometheusHandle);

impl std::fmt::Debug for MetricsExporter {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Scrape")
    }
}

impl MetricsExporter {
    /// Installs the recorder of the process.
    ///
    /// # Errors
    /// Fails when the process has a recorder already.
    pub fn install() -> Result<Self, BuildError> {
        PrometheusBuilder::new().install_recorder().map(Self)
    }

    /// Renders every metric.
    #[must_use]
    pub fn render(&self) -> String {
        self.0.run_upkeep();
        self.0.render()
    }
}
