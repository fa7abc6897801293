//! Injected faults, set by `--faults` or `POST /_standin/faults`.

use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Faults injected into an engine until others are set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Running requests make no progress and requests get no answer, except those under `/_standin/`.
    pub frozen: bool,
    /// Factor on the time of every step; 0 counts as 1.
    pub slow: f64,
    /// New completions are refused with status 503.
    pub refuse: bool,
    /// Streams are cut after this many tokens; absent, they run to their end.
    pub break_after: Option<u64>,
    /// KV imports fail after the transfer.
    pub break_import: bool,
    /// Delay of the answer to an order, in milliseconds.
    pub order_delay_ms: u64,
    /// Number of next orders whose connection is closed without an answer after they were processed.
    pub orders_lost: u32,
    /// Number of next orders that are processed a second time, as if duplicated on the network.
    pub orders_doubled: u32,
    /// Delay of the duplicate, in milliseconds.
    pub double_ms: u64,
}

impl Faults {
    /// Returns the slowdown factor of every step.
    pub(crate) fn slowdown(&self) -> f64 {
        if self.slow > 0.0 { self.slow } else { 1.0 }
    }
}

impl FromStr for Faults {
    type Err = serde_json::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        serde_json::from_str(text)
    }
}
