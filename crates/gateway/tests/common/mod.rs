//! An entry host with scripted upstreams on the loopback interface.
#![allow(dead_code, unused_imports, reason = "each test uses another part of it")]

mod caller;
mod cut_link;
mod headers;
mod host;
mod leader;
mod pair;
mod upstream;

use std::time::Duration;

pub use caller::{Caller, Response};
pub use cut_link::{Cut, CutLink};
pub use host::Host;
pub use leader::Leader;
pub use pair::{PAIR_TIMEOUT_MS, Pair, cut_off};
pub use upstream::{ReceivedRequest, Script, Upstream, listed, respond, send_event, start_stream};

/// Longest wait for anything, so that no test hangs.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
