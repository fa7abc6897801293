//! Metrics in the Prometheus text format.

use std::time::Duration;

use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};

/// Interval at which recorded values are added up.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

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
        Self::install_with(UPKEEP_INTERVAL)
    }

    /// Installs the recorder with an interval at which recorded values are added up. Without that, each value of a
    /// histogram would be kept until somebody reads the metrics.
    ///
    /// # Errors
    /// Fails if the process has a recorder already.
    pub fn install_with(interval: Duration) -> Result<Self, BuildError> {
        let handle = PrometheusBuilder::new().install_recorder()?;
        let kept = handle.clone();
        let upkeep = move || {
            loop {
                std::thread::sleep(interval);
                kept.run_upkeep();
            }
        };
        // If the thread can't start, values are added up when the metrics are read.
        drop(std::thread::Builder::new().name("metrics".to_owned()).spawn(upkeep));
        Ok(Self(handle))
    }

    /// Renders all metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        self.0.run_upkeep();
        self.0.render()
    }
}
