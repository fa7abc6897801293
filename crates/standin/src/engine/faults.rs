//! Faults that a flag or a call sets.

use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// What goes wrong at an engine until it's told otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Nothing moves and nothing is answered.
    pub frozen: bool,
    /// Factor on the time of every step; 0 counts as 1.
    pub slow: f64,
    /// New work is refused with 503.
    pub refuse: bool,
    /// Streams break off after this many tokens.
    pub break_after: Option<u64>,
    /// KV imports break off.
    pub break_import: bool,
    /// Milliseconds that the answer to an order is held back.
    pub order_delay_ms: u64,
    /// Orders whose answer is lost after they were carried out.
    pub orders_lost: u32,
    /// Orders that arrive a second time.
    pub orders_doubled: u32,
    /// Milliseconds after which the second arrival comes.
    pub double_ms: u64,
}

impl Faults {
    /// Gives the factor on the time of every step.
    pub(crate) fn factor(&self) -> f64 {
        if self.slow > 0.0 { self.slow } else { 1.0 }
    }
}

impl FromStr for Faults {
    type Err = serde_json::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        serde_json::from_str(text)
    }
}
