//! Stand-ins for engines, services and the cloud API, each behind its published protocol.
//!
//! They exist for tests and trials only. What they did is kept and can be read back under `/_standin/`, so that a test
//! can compare what callers were told with what really ran.

pub mod cli;
pub mod cloud;
pub mod engine;
mod http;
pub mod record;
pub mod service;
