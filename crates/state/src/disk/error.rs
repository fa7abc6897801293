//! Errors of the data folder.

use std::io;
use std::path::{Path, PathBuf};

use derive_more::{Display, Error};

use crate::raft::Index;

/// The data folder cannot be read or written.
#[derive(Debug, Display, Error)]
pub enum DiskError {
    /// The operating system reported an error.
    #[display("{step} {}: {source}", file.display())]
    Io {
        /// Operation that failed, as a verb before the file name.
        step: &'static str,
        /// The file or folder.
        file: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The content of a frame cannot be encoded, or the data of a snapshot cannot be decoded.
    #[display("cannot encode or decode stored data: {source}")]
    Codec {
        /// Error of the codec.
        source: postcard::Error,
    },
    /// Synced bytes differ from what was written.
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
        /// Format version of the file.
        found: u8,
        /// Format version that this program reads.
        expected: u8,
    },
    /// Records are missing before one that is present.
    #[display("{} misses the records after {after}: wipe the folder and repair the node from its peers", folder.display())]
    Gap {
        /// The folder.
        folder: PathBuf,
        /// Index of the last record before the gap.
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
    /// Returns a function that wraps an error of the operating system with the operation and the file.
    pub(super) fn io(step: &'static str, file: &Path) -> impl FnOnce(io::Error) -> Self {
        move |source| Self::Io {
            step,
            file: file.to_owned(),
            source,
        }
    }

    /// Returns whether the disk or a quota is full; such a write is tried again later.
    #[must_use]
    pub fn is_full(&self) -> bool {
        let kinds = [io::ErrorKind::StorageFull, io::ErrorKind::QuotaExceeded];
        matches!(self, Self::Io { source, .. } if kinds.contains(&source.kind()))
    }
}
