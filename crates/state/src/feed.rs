//! Encoded changes of the catalog, as entry hosts fetch them.

use std::collections::VecDeque;
use std::sync::Arc;

use contract::{Catalog, CatalogDelta};
use wire::catalog::{Follow, Transfer, TransferPart};

/// Most bytes of changes that are kept; an entry host that lacks older ones gets the whole catalog.
const KEPT_BYTES: usize = 4 * 1024 * 1024;
/// Whole catalogs that are kept, so that a transfer can continue when a newer catalog was encoded.
const KEPT_CATALOGS: usize = 2;
/// Bytes of changes up to which the whole catalog is never sent instead.
const SMALL_CHANGES_BYTES: usize = 32 * 1024;
/// Most bytes of one answer, whatever the caller allows.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// Changes from version to version and some whole catalogs, each encoded once.
#[derive(Debug, Default)]
pub struct CatalogFeed {
    /// Consecutive changes: each starts at the version to which the previous one leads.
    changes: VecDeque<Arc<EncodedDelta>>,
    /// Bytes of all changes.
    bytes: usize,
    catalogs: VecDeque<Arc<EncodedDelta>>,
}

#[derive(Debug)]
struct EncodedDelta {
    transfer: Transfer,
    bytes: Vec<u8>,
}

impl EncodedDelta {
    fn new(delta: &CatalogDelta) -> Arc<Self> {
        let bytes = postcard::to_stdvec(delta).expect("every delta can be encoded");
        Arc::new(Self {
            transfer: Transfer {
                base: delta.base,
                version: delta.version,
                digest: crc32fast::hash(&bytes),
            },
            bytes,
        })
    }

    fn part(&self, offset: usize, most: usize) -> TransferPart {
        let until = self.bytes.len().min(offset + most);
        TransferPart {
            transfer: self.transfer,
            offset: offset as u64,
            total: self.bytes.len() as u64,
            bytes: self.bytes[offset..until].to_vec(),
        }
    }
}

impl CatalogFeed {
    /// Adds the change from one catalog to the next.
    pub fn push_change(&mut self, old: &Catalog, new: &Catalog) {
        let change = EncodedDelta::new(&CatalogDelta::between(old, new));
        self.bytes += change.bytes.len();
        self.changes.push_back(change);
        while self.bytes > KEPT_BYTES
            && let Some(oldest) = self.changes.pop_front()
        {
            self.bytes -= oldest.bytes.len();
        }
    }

    /// Drops everything; to be called when changes were skipped.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns the next parts that lead a caller to the newest catalog; none if it is up to date.
    pub fn next_parts(&mut self, ask: &Follow, newest: &Catalog) -> Vec<TransferPart> {
        let mut left = (ask.max_bytes as usize).clamp(1, MAX_ANSWER_BYTES);
        let mut reached = ask.after;
        let mut resumed = ask.resume.and_then(|resume| {
            let encoded = self.find_transfer(resume.transfer, newest)?;
            let offset = resume.offset as usize;
            (offset < encoded.bytes.len()).then_some((encoded, offset))
        });
        let mut parts = Vec::new();
        while left > 0 && reached < Some(newest.version) {
            let (encoded, offset) = resumed
                .take()
                .unwrap_or_else(|| (self.next_transfer(reached, newest), 0));
            let part = encoded.part(offset, left);
            left -= part.bytes.len();
            let complete = part.offset + part.bytes.len() as u64 == part.total;
            parts.push(part);
            if !complete {
                break;
            }
            reached = Some(encoded.transfer.version);
        }
        parts
    }

    /// Returns a transfer that a caller wants to continue, if it is kept or can be encoded again.
    fn find_transfer(&mut self, transfer: Transfer, newest: &Catalog) -> Option<Arc<EncodedDelta>> {
        let kept = self.changes.iter().chain(&self.catalogs);
        let kept = kept.into_iter().find(|kept| kept.transfer == transfer).cloned();
        if kept.is_some() || transfer.base.is_some() || transfer.version != newest.version {
            return kept;
        }
        // Another node began this transfer, with the same bytes if it had the same catalog.
        Some(self.encode_catalog(newest)).filter(|whole| whole.transfer == transfer)
    }

    /// Returns what a caller needs next: the change from its version, or the whole catalog if that is smaller than all
    /// changes it lacks.
    fn next_transfer(&mut self, reached: Option<u64>, newest: &Catalog) -> Arc<EncodedDelta> {
        let at = reached.and_then(|version| self.change_after(version));
        let change = at.map(|at| (Arc::clone(&self.changes[at]), self.size_from(at)));
        match change {
            Some((change, size)) if size <= SMALL_CHANGES_BYTES => change,
            Some((change, size)) => {
                let whole = self.whole_catalog(reached, newest);
                if size <= whole.bytes.len() { change } else { whole }
            }
            None => self.whole_catalog(reached, newest),
        }
    }

    /// Returns a whole catalog; an older encoded one is used as long as the changes since then are not larger.
    fn whole_catalog(&mut self, reached: Option<u64>, newest: &Catalog) -> Arc<EncodedDelta> {
        let fits = |whole: &&Arc<EncodedDelta>| {
            let version = whole.transfer.version;
            let since = self.change_after(version).map(|at| self.size_from(at));
            let since = since.or((version == newest.version).then_some(0));
            Some(version) > reached && since.is_some_and(|size| size <= whole.bytes.len())
        };
        if let Some(whole) = self.catalogs.iter().rev().find(fits) {
            return Arc::clone(whole);
        }
        self.encode_catalog(newest)
    }

    fn encode_catalog(&mut self, newest: &Catalog) -> Arc<EncodedDelta> {
        let whole = EncodedDelta::new(&CatalogDelta::whole(newest));
        self.catalogs.push_back(Arc::clone(&whole));
        if self.catalogs.len() > KEPT_CATALOGS {
            self.catalogs.pop_front();
        }
        whole
    }

    /// Returns the position of the change that starts at a version.
    fn change_after(&self, base: u64) -> Option<usize> {
        self.changes
            .iter()
            .position(|change| change.transfer.base == Some(base))
    }

    /// Returns the bytes of all changes from a position on.
    fn size_from(&self, at: usize) -> usize {
        self.changes.range(at..).map(|change| change.bytes.len()).sum()
    }
}
