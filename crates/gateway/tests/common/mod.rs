//! An entry host with scripted upstreams on loopback.
#![allow(dead_code, unused_imports, reason = "each test uses another part of it")]

mod caller;
mod host;
mod upstream;
mod words;

use std::time::Duration;

pub use caller::{Caller, Reply};
pub use host::Host;
pub use upstream::{Script, Seen, Upstream, answer, begin_stream, listed, send_event};

/// Longest wait for anything; only a guard against hanging.
pub const PATIENCE: Duration = Duration::from_secs(20);
