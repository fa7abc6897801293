//! Stand-ins for engines, services, the cloud API and the weight store, each behind its published protocol.
//!
//! They exist for tests and trials only. What they did is kept and can be read back under `/_standin/`, so that a test
//! can compare what callers were told with what really ran. Faults are set by a flag or by `POST /_standin/faults`.

pub mod cli;
pub mod cloud;
pub mod engine;
mod http;
pub mod record;
pub mod service;
pub mod weights;

pub use http::Running;
