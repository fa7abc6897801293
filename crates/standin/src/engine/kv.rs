//! Export and import of KV cache.
//!
//! An export names the blocks and how many bytes they are; moving these bytes is only waited for, one transfer at a
//! time over the engine's link.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::batch::Engine;
use super::cache::BLOCK;

/// Bytes in a megabyte.
const MEGABYTE: u64 = 1_000_000;

/// What is to be exported.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Export {
    /// Everything that a request has in the cache.
    Request(String),
    /// What the cache holds of a prefix.
    Prefix(String),
}

/// Exported KV cache.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Blob {
    /// The model that it belongs to.
    model: String,
    /// Tokens that it covers.
    tokens: u64,
    /// Bytes that it stands for.
    bytes: u64,
    /// Hashes of its blocks.
    blocks: Vec<u64>,
}

/// Exports; `None` when the request is unknown or the engine died on the way.
pub(crate) fn export(engine: &Engine, ask: &Export) -> Option<Blob> {
    let blocks = match ask {
        Export::Request(request) => engine.blocks_of(request)?,
        Export::Prefix(text) => engine.blocks_in(&text.split_whitespace().collect::<Vec<_>>()),
    };
    let tokens = (blocks.len() * BLOCK) as u64;
    let blob = Blob {
        model: engine.orders.lock().model().to_owned(),
        tokens,
        bytes: tokens * engine.options.kv_bytes,
        blocks,
    };
    transfer(engine, blob.bytes).then_some(blob)
}

/// Imports; returns whether the blocks are in the cache now.
pub(crate) fn import(engine: &Engine, blob: &Blob) -> bool {
    let fits = blob.model == engine.orders.lock().model();
    if !fits || !transfer(engine, blob.bytes) || engine.faults.lock().break_import {
        return false;
    }
    engine.store(&blob.blocks);
    true
}

/// Waits for the link and for the bytes to pass over it.
fn transfer(engine: &Engine, bytes: u64) -> bool {
    const STEP: Duration = Duration::from_millis(20);
    let rate = engine.options.kv_mbps.max(1) * MEGABYTE;
    let _link = engine.link.lock();
    let mut left = Duration::from_secs_f64(bytes as f64 / rate as f64).mul_f64(engine.faults.lock().factor());
    while !left.is_zero() && !engine.is_dead() {
        let part = left.min(STEP);
        std::thread::sleep(part);
        left -= part;
        engine.thaw();
    }
    !engine.is_dead()
}
