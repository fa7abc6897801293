//! Log segments: append-only files of frames.

use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use super::frame::{self, FileKind, FrameAt, MAGIC_LEN};
use super::{DiskError, Space, folder};
use crate::raft::{HardState, Index, Record};

const KIND: FileKind = FileKind(b"GSLOG\0\0");
const PREFIX: &str = "log-";

/// Content of a frame: what one sync adds to the log.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Batch {
    /// Term and vote, if they changed, and always in the first frame of a segment.
    pub(super) hard: Option<HardState>,
    /// Consecutive records.
    pub(super) records: Vec<Record>,
    /// Newest index known to be committed; `None` if the log says so already. It follows the other fields in the frame,
    /// where older versions, which do not write it, do not look for it.
    #[serde(skip)]
    pub(super) committed: Option<Index>,
}

impl Batch {
    fn encode(&self) -> Result<Vec<u8>, DiskError> {
        match self.committed {
            Some(committed) => frame::encode(&(self, committed)),
            None => frame::encode(self),
        }
    }

    fn decode(content: &[u8], path: &Path, offset: usize) -> Result<Self, DiskError> {
        let (batch, rest): (Self, _) = frame::decode_first(content, path, offset)?;
        let committed = if rest.is_empty() {
            None
        } else {
            Some(frame::decode(rest, path, offset)?)
        };
        Ok(Self { committed, ..batch })
    }
}

/// A segment that is open for writing.
#[derive(Debug)]
pub(super) struct Segment {
    path: PathBuf,
    file: File,
    /// Synced bytes.
    length: u64,
}

/// Content of a segment file.
#[derive(Debug, Default)]
pub(super) struct Content {
    pub(super) batches: Vec<Batch>,
    /// Bytes up to the end of the last whole frame.
    pub(super) whole_bytes: usize,
    /// Bytes of an incomplete frame after that.
    pub(super) torn_bytes: usize,
}

impl Segment {
    /// Creates a segment. Its first frame repeats term and vote, so that older segments can be removed.
    pub(super) fn create(folder: &Path, number: u64, hard: HardState, space: &dyn Space) -> Result<Self, DiskError> {
        let mut bytes = KIND.magic().to_vec();
        let first = Batch {
            hard: Some(hard),
            ..Batch::default()
        };
        bytes.extend(first.encode()?);
        let path = path_of(folder, number);
        space.reserve(bytes.len()).map_err(DiskError::io("write", &path))?;
        // The file appears under its name only with its content, so that a crash leaves no incomplete segment.
        folder::write_atomically(folder, &name_of(number), &bytes)?;
        Self::open(&path, bytes.len() as u64)
    }

    /// Opens a segment for writing and truncates it to `length`, the end of its whole frames.
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
        segment.truncate_to_synced()?;
        Ok(segment)
    }

    pub(super) const fn length(&self) -> u64 {
        self.length
    }

    /// Appends a batch and syncs it.
    pub(super) fn append(&mut self, batch: &Batch, space: &dyn Space) -> Result<(), DiskError> {
        let bytes = batch.encode()?;
        if let Err(error) = self.write(&bytes, space) {
            // The part of the frame that was written would look like damage once another frame follows it.
            self.truncate_to_synced()?;
            return Err(error);
        }
        self.length += bytes.len() as u64;
        Ok(())
    }

    fn write(&mut self, bytes: &[u8], space: &dyn Space) -> Result<(), DiskError> {
        space.reserve(bytes.len()).map_err(DiskError::io("write", &self.path))?;
        self.file.write_all(bytes).map_err(DiskError::io("write", &self.path))?;
        self.file.sync_data().map_err(DiskError::io("sync", &self.path))
    }

    /// Removes bytes after the last synced frame.
    fn truncate_to_synced(&self) -> Result<(), DiskError> {
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

/// Reads a segment; only the newest one may end with an incomplete frame.
pub(super) fn read(path: &Path, newest: bool) -> Result<Content, DiskError> {
    let bytes = fs::read(path).map_err(DiskError::io("read", path))?;
    KIND.check(&bytes, path)?;
    let mut content = Content {
        whole_bytes: MAGIC_LEN,
        ..Content::default()
    };
    loop {
        match frame::read_at(&bytes, content.whole_bytes) {
            FrameAt::Whole(frame, end) => {
                content.batches.push(Batch::decode(frame, path, content.whole_bytes)?);
                content.whole_bytes = end;
            }
            FrameAt::End => return Ok(content),
            FrameAt::Broken if newest && !frame::whole_frame_follows(&bytes, content.whole_bytes) => {
                content.torn_bytes = bytes.len() - content.whole_bytes;
                return Ok(content);
            }
            FrameAt::Broken => {
                return Err(DiskError::Damaged {
                    file: path.to_owned(),
                    offset: content.whole_bytes,
                });
            }
        }
    }
}

/// Returns the newest index in a segment's batches; zero without records.
pub(super) fn newest_index(batches: &[Batch]) -> Index {
    let records = batches.iter().flat_map(|batch| &batch.records);
    records.map(|record| record.at.index).max().unwrap_or_default()
}

/// Lists the segments of a folder in order of their numbers.
pub(super) fn list(folder: &Path) -> Result<Vec<(u64, PathBuf)>, DiskError> {
    folder::list_numbered(folder, PREFIX)
}

fn name_of(number: u64) -> String {
    format!("{PREFIX}{number:016}")
}

fn path_of(folder: &Path, number: u64) -> PathBuf {
    folder.join(name_of(number))
}
