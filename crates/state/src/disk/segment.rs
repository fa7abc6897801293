//! Log segments.

use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use super::frame::{self, Found, Kind, MAGIC_LEN};
use super::{DiskError, Space, folder};
use crate::raft::{HardState, Index, Record};

const KIND: Kind = Kind(b"GSLOG\0\0");
const PREFIX: &str = "log-";

/// What one sync adds to the log.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Batch {
    /// Term and vote, when they changed and at the start of every segment.
    pub(super) hard: Option<HardState>,
    /// Records in order.
    pub(super) records: Vec<Record>,
}

/// The segment that is written to.
#[derive(Debug)]
pub(super) struct Segment {
    path: PathBuf,
    file: File,
    /// Bytes that are synced.
    length: u64,
}

/// What was read from a segment.
#[derive(Debug, Default)]
pub(super) struct Content {
    pub(super) batches: Vec<Batch>,
    /// Bytes up to the last whole frame.
    pub(super) good: usize,
    /// Bytes behind it.
    pub(super) torn: usize,
}

impl Segment {
    /// Creates a segment whose first frame repeats term and vote, so that older segments can be removed.
    pub(super) fn create(folder: &Path, number: u64, hard: HardState, space: &dyn Space) -> Result<Self, DiskError> {
        let mut bytes = KIND.magic().to_vec();
        bytes.extend(frame::encode(&Batch {
            hard: Some(hard),
            records: Vec::new(),
        })?);
        let path = path_of(folder, number);
        space.take(bytes.len()).map_err(DiskError::io("write", &path))?;
        // The name appears only with its content: a crash leaves no half-made segment.
        folder::replace(folder, &name_of(number), &bytes)?;
        Self::open(&path, bytes.len() as u64)
    }

    /// Opens a segment for writing and cuts it to its whole frames.
    pub(super) fn open(path: &Path, length: u64) -> Result<Self, DiskError> {
        let file = OpenOptions::new()
            .append(true)
            .open(path)
            .map_err(DiskError::io("open", path))?;
        let segment = Self {
            path: path.to_owned(),
            file,
            length,
        };
        segment.cut()?;
        Ok(segment)
    }

    pub(super) const fn length(&self) -> u64 {
        self.length
    }

    /// Appends a batch and syncs it.
    pub(super) fn append(&mut self, batch: &Batch, space: &dyn Space) -> Result<(), DiskError> {
        let bytes = frame::encode(batch)?;
        if let Err(error) = self.write(&bytes, space) {
            // A part of the frame would look like damage once another frame stands behind it.
            self.cut()?;
            return Err(error);
        }
        self.length += bytes.len() as u64;
        Ok(())
    }

    fn write(&mut self, bytes: &[u8], space: &dyn Space) -> Result<(), DiskError> {
        space.take(bytes.len()).map_err(DiskError::io("write", &self.path))?;
        self.file.write_all(bytes).map_err(DiskError::io("write", &self.path))?;
        self.file.sync_data().map_err(DiskError::io("sync", &self.path))
    }

    fn cut(&self) -> Result<(), DiskError> {
        let length = self.file.metadata().map_err(DiskError::io("read", &self.path))?.len();
        if length > self.length {
            self.file
                .set_len(self.length)
                .map_err(DiskError::io("cut", &self.path))?;
            self.file.sync_all().map_err(DiskError::io("sync", &self.path))?;
        }
        Ok(())
    }
}

/// Reads a segment; only the newest one may end in a torn frame.
pub(super) fn read(path: &Path, newest: bool) -> Result<Content, DiskError> {
    let bytes = fs::read(path).map_err(DiskError::io("read", path))?;
    KIND.check(&bytes, path)?;
    let mut content = Content {
        good: MAGIC_LEN,
        ..Content::default()
    };
    loop {
        match frame::at(&bytes, content.good) {
            Found::Whole(frame, end) => {
                content.batches.push(frame::decode(frame, path, content.good)?);
                content.good = end;
            }
            Found::End => return Ok(content),
            Found::Broken if newest && !frame::follows(&bytes, content.good) => {
                content.torn = bytes.len() - content.good;
                return Ok(content);
            }
            Found::Broken => {
                return Err(DiskError::Damaged {
                    file: path.to_owned(),
                    offset: content.good,
                });
            }
        }
    }
}

/// Gives the newest index that a segment holds.
pub(super) fn newest_index(batches: &[Batch]) -> Index {
    let records = batches.iter().flat_map(|batch| &batch.records);
    records.map(|record| record.at.index).max().unwrap_or_default()
}

/// Lists the segments of a folder in order.
pub(super) fn list(folder: &Path) -> Result<Vec<(u64, PathBuf)>, DiskError> {
    folder::numbered(folder, PREFIX)
}

fn name_of(number: u64) -> String {
    format!("{PREFIX}{number:016}")
}

fn path_of(folder: &Path, number: u64) -> PathBuf {
    folder.join(name_of(number))
}
