//! Clients for model engines, plain services and the cloud API, each by its published protocol.

pub mod cloud;
pub mod directory;
pub mod engine;
mod error;
mod failures;
pub mod kv;
mod limits;
pub mod orders;
pub mod pulse;
pub mod service;
mod stream;

pub use error::{Fate, UpstreamError};
