//! Failures of the data folder.

use std::io;
use std::path::{Path, PathBuf};

use derive_more::{Display, Error};

use crate::raft::Index;

/// The data folder can't be read or written.
#[derive(Debug, Display, Error)]
pub enum DiskError {
    /// The operating system refused.
    #[display("{step} {}: {source}", file.display())]
    Io {
        /// What was tried.
        step: &'static str,
        /// The file or folder.
        file: PathBuf,
        /// Why it failed.
        source: io::Error,
    },
    /// A record can't be encoded.
    #[display("a record can't be encoded: {source}")]
    Codec {
        /// Why it failed.
        source: postcard::Error,
    },
    /// Bytes that were synced are not what was written.
    #[display("{} is damaged at offset {offset}: wipe the folder and repair the node from its peers", file.display())]
    Damaged {
        /// The file.
        file: PathBuf,
        /// Offset of the damaged bytes.
        offset: usize,
    },
    /// The file was written by another version of the program.
    #[display("{} has format version {found}, expected {expected}", file.display())]
    Version {
        /// The file.
        file: PathBuf,
        /// Its version.
        found: u8,
        /// The version that this program reads.
        expected: u8,
    },
    /// Records are missing between two that are there.
    #[display("{} misses the records after {after}: wipe the folder and repair the node from its peers", folder.display())]
    Gap {
        /// The folder.
        folder: PathBuf,
        /// The record before the gap.
        after: Index,
    },
    /// Another process uses the folder.
    #[display("{} is used by another process", folder.display())]
    InUse {
        /// The folder.
        folder: PathBuf,
    },
}

impl DiskError {
    /// Wraps an error of the operating system.
    pub(super) fn io(step: &'static str, file: &Path) -> impl FnOnce(io::Error) -> Self {
        move |source| Self::Io {
            step,
            file: file.to_owned(),
            source,
        }
    }

    /// Tells whether there is no room; such a write is repeated later.
    #[must_use]
    pub fn is_full(&self) -> bool {
        let kinds = [io::ErrorKind::StorageFull, io::ErrorKind::QuotaExceeded];
        matches!(self, Self::Io { source, .. } if kinds.contains(&source.kind()))
    }
}
