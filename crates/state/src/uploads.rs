//! Publications that arrive in pieces, each an entry of the log.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use wire::catalog::{Upload, UploadId};

/// Bytes of unfinished publications that are kept.
const KEPT_BYTES: u64 = 32 * 1024 * 1024;
/// Time without a piece after which a publication is given up, in milliseconds of log time.
const ABANDONED_MS: u64 = 30_000;

/// Publications of which pieces are missing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Uploads {
    open: BTreeMap<UploadId, Open>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Open {
    bytes: Vec<u8>,
    /// When the last piece came, in log time.
    at_ms: u64,
}

/// What a piece has led to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Added {
    /// So many bytes are there.
    Held(u64),
    /// All bytes are there.
    Complete(Vec<u8>),
}

impl Uploads {
    /// Adds a piece. One that is there already, or comes before its time, changes nothing.
    pub fn add(&mut self, piece: &Upload, at_ms: u64) -> Added {
        self.open
            .retain(|id, open| *id == piece.id || open.at_ms.saturating_add(ABANDONED_MS) > at_ms);
        let open = self.open.entry(piece.id).or_default();
        open.at_ms = at_ms;
        if open.bytes.len() as u64 == piece.offset {
            open.bytes.extend_from_slice(&piece.bytes);
        }
        let held = open.bytes.len() as u64;
        if held < piece.id.total {
            self.make_room(piece.id);
            return Added::Held(held);
        }
        let whole = self.open.remove(&piece.id);
        Added::Complete(whole.unwrap_or_default().bytes)
    }

    /// Drops those that have waited longest, but never the one that is being added to.
    fn make_room(&mut self, added: UploadId) {
        while self.open.values().map(|open| open.bytes.len() as u64).sum::<u64>() > KEPT_BYTES {
            let others = self.open.iter().filter(|(id, _)| **id != added);
            let Some(oldest) = others.min_by_key(|(_, open)| open.at_ms).map(|(id, _)| *id) else {
                return;
            };
            self.open.remove(&oldest);
        }
    }
}
