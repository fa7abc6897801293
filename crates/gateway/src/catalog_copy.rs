//! An entry host's copy of the catalog, kept up by transfers from state nodes.

use std::sync::Arc;
use std::time::Duration;

use contract::Delta;
use derive_more::{Display, Error};
use policy::paging::PageSize;
use wire::catalog::{Follow, Followed, Resume, Transfer, TransferPart};

use crate::routing_table::Table;

/// A part of a transfer that can't be used; the transfer begins again.
#[derive(Debug, Display, Error)]
pub enum MirrorError {
    /// Bytes before the part are missing.
    #[display("part of version {version} begins at byte {offset}, {held} bytes are there")]
    Gap {
        /// Version to which the transfer leads.
        version: u64,
        /// First byte of the part.
        offset: u64,
        /// Bytes that have arrived before.
        held: u64,
    },
    /// The bytes are not those that the transfer was announced with.
    #[display("transfer of version {version} has another digest than announced")]
    Digest {
        /// Version to which the transfer leads.
        version: u64,
    },
    /// The bytes can't be read.
    #[display("transfer of version {version}: {source}")]
    Codec {
        /// Version to which the transfer leads.
        version: u64,
        /// Why.
        source: postcard::Error,
    },
    /// The transfer changes another version than the one held.
    #[display("transfer of version {version} changes version {base:?}, held is {held:?}")]
    Base {
        /// Version to which the transfer leads.
        version: u64,
        /// Version that it changes.
        base: Option<u64>,
        /// Version that is held.
        held: Option<u64>,
    },
}

/// A copy of the catalog and the transfer that has begun.
#[derive(Debug, Default)]
pub struct Mirror {
    table: Option<Arc<Table>>,
    partial: Option<Partial>,
    paging: PageSize,
    /// Version that was the newest when the first transfer began. Before, the copy is older than what others serve.
    goal: Option<u64>,
}

#[derive(Debug)]
struct Partial {
    transfer: Transfer,
    bytes: Vec<u8>,
}

impl Mirror {
    /// Gives the version that is held.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.table.as_ref().map(|table| table.version())
    }

    /// Gives the table to put in force, once it is as new as the group was when this host began to follow it.
    #[must_use]
    pub fn table(&self) -> Option<&Arc<Table>> {
        self.table.as_ref().filter(|table| Some(table.version()) >= self.goal)
    }

    /// Tells whether a transfer has begun and is not complete.
    #[must_use]
    pub const fn is_fetching(&self) -> bool {
        self.partial.is_some()
    }

    /// Makes the next question; it waits for news only while no transfer goes on.
    #[must_use]
    pub fn ask(&self, wait: Duration) -> Follow {
        let resume = self.partial.as_ref().map(|partial| Resume {
            transfer: partial.transfer,
            offset: partial.bytes.len() as u64,
        });
        let wait = if resume.is_some() { Duration::ZERO } else { wait };
        Follow {
            after: self.version(),
            resume,
            max_bytes: self.paging.bytes(),
            wait_ms: wait.as_millis() as u64,
        }
    }

    /// Takes an answer that came after a time; gives the bytes that it brought.
    ///
    /// # Errors
    /// Tells which part can't be used; what was complete before it is kept.
    pub fn take(&mut self, news: Followed, took: Duration) -> Result<usize, MirrorError> {
        self.goal.get_or_insert(news.newest);
        let bytes = news.parts.iter().map(|part| part.bytes.len()).sum();
        // The time of a question that waited for news says nothing about the link.
        if self.is_fetching() && bytes >= self.paging.bytes() as usize / 2 {
            self.paging.record_arrival(took);
        }
        for part in news.parts {
            let taken = self.take_part(part);
            if taken.is_err() {
                self.partial = None;
            }
            taken?;
        }
        Ok(bytes)
    }

    /// Notes that a question got no answer in time.
    pub fn lose_page(&mut self) {
        self.paging.record_loss();
    }

    fn take_part(&mut self, part: TransferPart) -> Result<(), MirrorError> {
        let version = part.transfer.version;
        if part.offset == 0 {
            self.partial = None;
        }
        let mut partial = self.partial.take().unwrap_or_else(|| Partial {
            transfer: part.transfer,
            bytes: Vec::new(),
        });
        let held = partial.bytes.len() as u64;
        if partial.transfer != part.transfer || held != part.offset {
            let offset = part.offset;
            return Err(MirrorError::Gap { version, offset, held });
        }
        partial.bytes.extend_from_slice(&part.bytes);
        if (partial.bytes.len() as u64) < part.total {
            self.partial = Some(partial);
            return Ok(());
        }
        if crc32fast::hash(&partial.bytes) != part.transfer.digest {
            return Err(MirrorError::Digest { version });
        }
        let delta = postcard::from_bytes(&partial.bytes).map_err(|source| MirrorError::Codec { version, source })?;
        self.apply(&delta)
    }

    fn apply(&mut self, delta: &Delta) -> Result<(), MirrorError> {
        let held = self.version();
        let follows = delta.base.is_none() || delta.base == held;
        if !follows || Some(delta.version) <= held {
            return Err(MirrorError::Base {
                version: delta.version,
                base: delta.base,
                held,
            });
        }
        let old = self.table.take().unwrap_or_default();
        self.table = Some(Arc::new(old.changed(delta)));
        Ok(())
    }
}
