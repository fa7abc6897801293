//! Stand-ins for engines, services, the cloud API and the weight store, each with the protocol of the real one.
//!
//! They exist for tests and trials only. `/_standin/` endpoints return what a stand-in ran, so that a test can compare
//! it with what callers were told. Faults are injected with a flag or with `POST /_standin/faults`.

pub mod cli;
pub mod cloud;
pub mod crowd;
pub mod engine;
mod http;
pub mod record;
pub mod service;
pub mod weights;

pub use http::Running;
