//! An entry host's copy of the catalog, updated by transfers from state nodes.

use std::sync::Arc;
use std::time::Duration;

use contract::CatalogDelta;
use derive_more::{Display, Error};
use policy::paging::PageSize;
use wire::catalog::{Follow, Followed, Resume, Transfer, TransferPart};

use crate::routing_table::RoutingTable;

/// A part of a transfer that can't be used; the transfer starts over.
#[derive(Debug, Display, Error)]
pub enum TransferError {
    /// Bytes before the part are missing.
    #[display("part of version {version} starts at byte {offset}, but {held} bytes have arrived")]
    Gap {
        /// Version that the transfer leads to.
        version: u64,
        /// Offset of the part's first byte.
        offset: u64,
        /// Bytes received so far.
        held: u64,
    },
    /// The checksum of the bytes differs from the announced one.
    #[display("checksum of the transfer of version {version} differs from the announced one")]
    Digest {
        /// Version that the transfer leads to.
        version: u64,
    },
    /// The bytes can't be decoded.
    #[display("transfer of version {version} can't be decoded: {source}")]
    Codec {
        /// Version that the transfer leads to.
        version: u64,
        /// Cause of the failure.
        source: postcard::Error,
    },
    /// The transfer is based on another version than the one held.
    #[display("transfer of version {version} is based on version {base:?}, but version {held:?} is held")]
    Base {
        /// Version that the transfer leads to.
        version: u64,
        /// Version that the transfer is based on; `None` for a whole catalog.
        base: Option<u64>,
        /// Version that is held; `None` before the first one.
        held: Option<u64>,
    },
}

/// A copy of the catalog, and the transfer in progress.
#[derive(Debug, Default)]
pub struct CatalogCopy {
    table: Option<Arc<RoutingTable>>,
    partial: Option<PartialTransfer>,
    page_size: PageSize,
    /// Newest version when the first transfer began. A copy below it is older than what other hosts serve.
    min_version: Option<u64>,
}

#[derive(Debug)]
struct PartialTransfer {
    transfer: Transfer,
    bytes: Vec<u8>,
}

impl CatalogCopy {
    /// Returns the version that is held; `None` before the first one.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.table.as_ref().map(|table| table.version())
    }

    /// Returns the table to put in force, once it is as new as the state group was when this host started to follow it.
    #[must_use]
    pub fn ready_table(&self) -> Option<&Arc<RoutingTable>> {
        self.table
            .as_ref()
            .filter(|table| Some(table.version()) >= self.min_version)
    }

    /// Returns whether a transfer is in progress.
    #[must_use]
    pub const fn is_fetching(&self) -> bool {
        self.partial.is_some()
    }

    /// Returns the next request; it waits for a change only while no transfer is in progress.
    #[must_use]
    pub fn next_request(&self, max_wait: Duration) -> Follow {
        let resume = self.partial.as_ref().map(|partial| Resume {
            transfer: partial.transfer,
            offset: partial.bytes.len() as u64,
        });
        let max_wait = if resume.is_some() { Duration::ZERO } else { max_wait };
        Follow {
            after: self.version(),
            resume,
            max_bytes: self.page_size.bytes(),
            wait_ms: max_wait.as_millis() as u64,
        }
    }

    /// Applies a response that took `elapsed`; returns the number of bytes that it brought.
    ///
    /// # Errors
    /// Fails on a part that can't be used; what was complete before it is kept.
    pub fn apply_update(&mut self, update: Followed, elapsed: Duration) -> Result<usize, TransferError> {
        self.min_version.get_or_insert(update.newest);
        let bytes = update.parts.iter().map(|part| part.bytes.len()).sum();
        // The time of a request that waited for a change says nothing about the link.
        if self.is_fetching() && bytes >= self.page_size.bytes() as usize / 2 {
            self.page_size.record_arrival(elapsed);
        }
        for part in update.parts {
            let applied = self.apply_part(part);
            if applied.is_err() {
                self.partial = None;
            }
            applied?;
        }
        Ok(bytes)
    }

    /// Records that a request timed out, so that fewer bytes are requested.
    pub fn record_timeout(&mut self) {
        self.page_size.record_loss();
    }

    fn apply_part(&mut self, part: TransferPart) -> Result<(), TransferError> {
        let version = part.transfer.version;
        if part.offset == 0 {
            self.partial = None;
        }
        let mut partial = self.partial.take().unwrap_or_else(|| PartialTransfer {
            transfer: part.transfer,
            bytes: Vec::new(),
        });
        let held = partial.bytes.len() as u64;
        if partial.transfer != part.transfer || held != part.offset {
            let offset = part.offset;
            return Err(TransferError::Gap { version, offset, held });
        }
        partial.bytes.extend_from_slice(&part.bytes);
        if (partial.bytes.len() as u64) < part.total {
            self.partial = Some(partial);
            return Ok(());
        }
        if crc32fast::hash(&partial.bytes) != part.transfer.digest {
            return Err(TransferError::Digest { version });
        }
        let delta = postcard::from_bytes(&partial.bytes).map_err(|source| TransferError::Codec { version, source })?;
        self.apply_delta(&delta)
    }

    fn apply_delta(&mut self, delta: &CatalogDelta) -> Result<(), TransferError> {
        let held = self.version();
        let follows = delta.base.is_none() || delta.base == held;
        if !follows || Some(delta.version) <= held {
            return Err(TransferError::Base {
                version: delta.version,
                base: delta.base,
                held,
            });
        }
        let old = self.table.take().unwrap_or_default();
        self.table = Some(Arc::new(old.with_delta(delta)));
        Ok(())
    }
}
