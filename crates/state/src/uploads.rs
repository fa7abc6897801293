//! Uploads of large publications in pieces, each of them a log entry.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use wire::catalog::{Upload, UploadId};

/// Most bytes of unfinished publications that are kept.
const KEPT_BYTES: u64 = 32 * 1024 * 1024;
/// Time without a new piece after which an upload is dropped, in milliseconds of log time.
const ABANDON_AFTER_MS: u64 = 30_000;

/// Unfinished uploads.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Uploads {
    open: BTreeMap<UploadId, Unfinished>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Unfinished {
    bytes: Vec<u8>,
    /// Log time at which the last piece arrived.
    at_ms: u64,
}

/// Result of adding a piece.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AddedPiece {
    /// The upload is incomplete; this many bytes have arrived.
    Held(u64),
    /// The upload is complete; these are its bytes.
    Complete(Vec<u8>),
}

impl Uploads {
    /// Adds a piece. A piece that arrived before, or out of order, adds nothing.
    pub fn add(&mut self, piece: &Upload, at_ms: u64) -> AddedPiece {
        self.open
            .retain(|id, open| *id == piece.id || open.at_ms.saturating_add(ABANDON_AFTER_MS) > at_ms);
        let open = self.open.entry(piece.id).or_default();
        open.at_ms = at_ms;
        if open.bytes.len() as u64 == piece.offset {
            open.bytes.extend_from_slice(&piece.bytes);
        }
        let held = open.bytes.len() as u64;
        if held < piece.id.total {
            self.drop_oldest(piece.id);
            return AddedPiece::Held(held);
        }
        let whole = self.open.remove(&piece.id);
        AddedPiece::Complete(whole.unwrap_or_default().bytes)
    }

    /// Drops the uploads that have waited longest until [`KEPT_BYTES`] suffice, but never the one that was added to.
    fn drop_oldest(&mut self, added: UploadId) {
        while self.open.values().map(|open| open.bytes.len() as u64).sum::<u64>() > KEPT_BYTES {
            let others = self.open.iter().filter(|(id, _)| **id != added);
            let Some(oldest) = others.min_by_key(|(_, open)| open.at_ms).map(|(id, _)| *id) else {
                return;
            };
            self.open.remove(&oldest);
        }
    }
}
