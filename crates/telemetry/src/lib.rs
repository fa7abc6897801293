//! Clock, logs, metrics and the service-level burn report.

pub mod burn;
pub mod clock;
mod ended;
pub mod log;
pub mod scrape;

pub use clock::Clock;
pub use ended::ended;
