//! The changes of the catalog in the form in which entry hosts fetch them.

use std::collections::VecDeque;
use std::sync::Arc;

use contract::{Catalog, Delta};
use wire::catalog::{Follow, Transfer, TransferPart};

/// Bytes of changes that are kept; an entry host that lacks older ones gets the whole catalog.
const KEPT_BYTES: usize = 4 * 1024 * 1024;
/// Whole catalogs that are kept, so that a transfer goes on when a newer one has been made.
const KEPT_WHOLES: usize = 2;
/// Bytes of changes that are never replaced by the whole catalog.
const SMALL: usize = 32 * 1024;
/// Most bytes of an answer, whatever the asker allows.
const MOST: usize = 1024 * 1024;

/// Changes from version to version, each encoded once, and the whole catalog as of one of them.
#[derive(Debug, Default)]
pub struct CatalogFeed {
    /// Each one begins at the version to which the one before leads.
    changes: VecDeque<Arc<Encoded>>,
    bytes: usize,
    wholes: VecDeque<Arc<Encoded>>,
}

#[derive(Debug)]
struct Encoded {
    transfer: Transfer,
    bytes: Vec<u8>,
}

impl Encoded {
    fn new(delta: &Delta) -> Arc<Self> {
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
        let change = Encoded::new(&Delta::between(old, new));
        self.bytes += change.bytes.len();
        self.changes.push_back(change);
        while self.bytes > KEPT_BYTES
            && let Some(oldest) = self.changes.pop_front()
        {
            self.bytes -= oldest.bytes.len();
        }
    }

    /// Forgets everything: changes were skipped.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Gives the next bytes that lead an asker to the newest catalog; none if it has it.
    pub fn next_parts(&mut self, ask: &Follow, newest: &Catalog) -> Vec<TransferPart> {
        let mut left = (ask.max_bytes as usize).clamp(1, MOST);
        let mut held = ask.after;
        let mut resumed = ask.resume.and_then(|resume| {
            let encoded = self.find(resume.transfer, newest)?;
            let offset = resume.offset as usize;
            (offset < encoded.bytes.len()).then_some((encoded, offset))
        });
        let mut parts = Vec::new();
        while left > 0 && held < Some(newest.version) {
            let (encoded, offset) = resumed.take().unwrap_or_else(|| (self.next(held, newest), 0));
            let part = encoded.part(offset, left);
            left -= part.bytes.len();
            let complete = part.offset + part.bytes.len() as u64 == part.total;
            parts.push(part);
            if !complete {
                break;
            }
            held = Some(encoded.transfer.version);
        }
        parts
    }

    fn find(&mut self, transfer: Transfer, newest: &Catalog) -> Option<Arc<Encoded>> {
        let kept = self.changes.iter().chain(&self.wholes);
        let kept = kept.into_iter().find(|kept| kept.transfer == transfer).cloned();
        if kept.is_some() || transfer.base.is_some() || transfer.version != newest.version {
            return kept;
        }
        // Another node began this transfer.
        Some(self.encode_whole(newest)).filter(|whole| whole.transfer == transfer)
    }

    /// Gives what an asker needs next: the change of its version, or the whole catalog where that is less.
    fn next(&mut self, held: Option<u64>, newest: &Catalog) -> Arc<Encoded> {
        let at = held.and_then(|version| self.position(version));
        let change = at.map(|at| (Arc::clone(&self.changes[at]), self.size_from(at)));
        match change {
            Some((change, size)) if size <= SMALL => change,
            Some((change, size)) => {
                let whole = self.whole(held, newest);
                if size <= whole.bytes.len() { change } else { whole }
            }
            None => self.whole(held, newest),
        }
    }

    /// Gives a whole catalog, an older one as long as the changes since are less than a new one.
    fn whole(&mut self, held: Option<u64>, newest: &Catalog) -> Arc<Encoded> {
        let fits = |whole: &&Arc<Encoded>| {
            let version = whole.transfer.version;
            let since = self.position(version).map(|at| self.size_from(at));
            let since = since.or((version == newest.version).then_some(0));
            Some(version) > held && since.is_some_and(|size| size <= whole.bytes.len())
        };
        if let Some(whole) = self.wholes.iter().rev().find(fits) {
            return Arc::clone(whole);
        }
        self.encode_whole(newest)
    }

    fn encode_whole(&mut self, newest: &Catalog) -> Arc<Encoded> {
        let whole = Encoded::new(&Delta::whole(newest));
        self.wholes.push_back(Arc::clone(&whole));
        if self.wholes.len() > KEPT_WHOLES {
            self.wholes.pop_front();
        }
        whole
    }

    fn position(&self, base: u64) -> Option<usize> {
        self.changes
            .iter()
            .position(|change| change.transfer.base == Some(base))
    }

    fn size_from(&self, at: usize) -> usize {
        self.changes.range(at..).map(|change| change.bytes.len()).sum()
    }
}
