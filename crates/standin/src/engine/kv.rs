//! Export and import of KV cache.
//!
//! An export lists block hashes and a size in bytes, but carries no data: a transfer only sleeps for the time that the
//! bytes would take. The engine's link runs one transfer at a time.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::batch::Engine;
use super::cache::BLOCK_TOKENS;

/// Unit of the `kv_mbps` option.
const MEGABYTE_BYTES: u64 = 1_000_000;

/// Selects the KV cache to export.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ExportTarget {
    /// All cached blocks of the request with this id.
    Request(String),
    /// The cached blocks of this prompt prefix.
    Prefix(String),
}

/// Exported KV cache.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct KvExport {
    /// Model that computed the cache; only an engine with the same model imports it.
    model: String,
    /// Tokens in the blocks.
    tokens: u64,
    /// Size of the KV cache that the blocks stand for.
    bytes: u64,
    /// Hashes of the blocks, each over the whole prefix up to its end.
    blocks: Vec<u64>,
}

/// Exports KV cache; returns `None` when the request is unknown or the engine was killed during the transfer.
pub(crate) fn export(engine: &Engine, target: &ExportTarget) -> Option<KvExport> {
    let blocks = match target {
        ExportTarget::Request(request) => engine.request_blocks(request)?,
        ExportTarget::Prefix(text) => engine.prefix_blocks(&text.split_whitespace().collect::<Vec<_>>()),
    };
    let tokens = (blocks.len() * BLOCK_TOKENS) as u64;
    let kv_export = KvExport {
        model: engine.orders.lock().model().to_owned(),
        tokens,
        bytes: tokens * engine.options.kv_bytes,
        blocks,
    };
    transfer(engine, kv_export.bytes).then_some(kv_export)
}

/// Imports KV cache and returns whether its blocks are now in the cache.
pub(crate) fn import(engine: &Engine, kv_export: &KvExport) -> bool {
    let same_model = kv_export.model == engine.orders.lock().model();
    if !same_model || !transfer(engine, kv_export.bytes) || engine.faults.lock().break_import {
        return false;
    }
    engine.store(&kv_export.blocks);
    true
}

/// Waits for the link and sleeps for the transfer time; returns false when the engine was killed meanwhile.
fn transfer(engine: &Engine, bytes: u64) -> bool {
    const POLL_INTERVAL: Duration = Duration::from_millis(20);
    let rate = engine.options.kv_mbps.max(1) * MEGABYTE_BYTES;
    let _link = engine.link.lock();
    let mut remaining = Duration::try_from_secs_f64(bytes as f64 / rate as f64)
        .unwrap_or(Duration::MAX)
        .mul_f64(engine.faults.lock().slowdown());
    while !remaining.is_zero() && !engine.is_dead() {
        let slice = remaining.min(POLL_INTERVAL);
        std::thread::sleep(slice);
        remaining -= slice;
        engine.wait_while_frozen();
    }
    !engine.is_dead()
}
