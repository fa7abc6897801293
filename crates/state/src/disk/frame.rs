//! Frames: the unit of one synced write, with checksums over header and content.

use std::path::Path;

use serde::{Deserialize, Serialize};

use super::DiskError;

/// Bytes at the start of every file: 7 of its kind and 1 of the format version.
pub(super) const MAGIC_LEN: usize = 8;
/// Format version of all files in the folder.
const VERSION: u8 = 2;
/// Bytes before the content of a frame: content length, CRC-32 of the content, and CRC-32 of these two.
const HEADER_LEN: usize = 12;

/// Kind of a file, as its first bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FileKind(pub(super) &'static [u8; 7]);

impl FileKind {
    pub(super) fn magic(self) -> [u8; MAGIC_LEN] {
        let mut magic = [VERSION; MAGIC_LEN];
        magic[..7].copy_from_slice(self.0);
        magic
    }

    /// Checks kind and format version at the start of a file.
    pub(super) fn check(self, bytes: &[u8], file: &Path) -> Result<(), DiskError> {
        let damaged = || DiskError::Damaged {
            file: file.to_owned(),
            offset: 0,
        };
        let head = bytes.get(..MAGIC_LEN).ok_or_else(damaged)?;
        if head[..7] != *self.0 {
            return Err(damaged());
        }
        let found = head[7];
        if found != VERSION {
            return Err(DiskError::Version {
                file: file.to_owned(),
                found,
                expected: VERSION,
            });
        }
        Ok(())
    }
}

/// Encodes one frame.
pub(super) fn encode<T: Serialize>(content: &T) -> Result<Vec<u8>, DiskError> {
    let content = postcard::to_stdvec(content).map_err(|source| DiskError::Codec { source })?;
    let mut bytes = Vec::with_capacity(HEADER_LEN + content.len());
    bytes.extend_from_slice(&(content.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&content).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&bytes).to_le_bytes());
    bytes.extend_from_slice(&content);
    Ok(bytes)
}

/// Result of reading a frame at an offset.
#[derive(Debug)]
pub(super) enum FrameAt<'a> {
    /// The content of a whole frame and the offset after it.
    Whole(&'a [u8], usize),
    /// The end of the file.
    End,
    /// An incomplete or damaged frame.
    Broken,
}

/// Reads the frame at an offset.
pub(super) fn read_at(bytes: &[u8], offset: usize) -> FrameAt<'_> {
    if offset == bytes.len() {
        return FrameAt::End;
    }
    let Some(head) = bytes.get(offset..offset + HEADER_LEN) else {
        return FrameAt::Broken;
    };
    let number = |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
    if crc32fast::hash(&head[..8]) != number(8) {
        return FrameAt::Broken;
    }
    let end = offset + HEADER_LEN + number(0) as usize;
    match bytes.get(offset + HEADER_LEN..end) {
        Some(content) if crc32fast::hash(content) == number(4) => FrameAt::Whole(content, end),
        _ => FrameAt::Broken,
    }
}

/// Returns whether a whole frame begins anywhere after an offset.
///
/// Each frame is synced before the next is written. Broken bytes that a whole frame follows were therefore synced and
/// damaged later, not torn by a crash.
pub(super) fn whole_frame_follows(bytes: &[u8], offset: usize) -> bool {
    (offset + 1..bytes.len())
        .any(|start| matches!(read_at(bytes, start), FrameAt::Whole(content, _) if !content.is_empty()))
}

/// Decodes the content of a frame.
pub(super) fn decode<'a, T: Deserialize<'a>>(content: &'a [u8], file: &Path, offset: usize) -> Result<T, DiskError> {
    decode_first(content, file, offset).map(|(value, _)| value)
}

/// Decodes the first value in a frame; returns the bytes after it as well.
pub(super) fn decode_first<'a, T: Deserialize<'a>>(
    content: &'a [u8],
    file: &Path,
    offset: usize,
) -> Result<(T, &'a [u8]), DiskError> {
    postcard::take_from_bytes(content).map_err(|_undecodable| DiskError::Damaged {
        file: file.to_owned(),
        offset,
    })
}
