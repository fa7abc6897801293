//! Clock, structured logs, metrics, and the burn report on service level objectives.

pub mod burn;
pub mod clock;
mod ended;
pub mod log;
pub mod panics;
pub mod scrape;

pub use clock::Clock;
pub use ended::ended;
