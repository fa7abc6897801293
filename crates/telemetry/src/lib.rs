//! Clock, logs, metrics and the service-level burn report.

pub mod burn;
pub mod clock;
pub mod log;
pub mod scrape;

pub use clock::Clock;
