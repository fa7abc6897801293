//! Frames: what is written with one sync, with checksums over head and content.

use std::path::Path;

use serde::Serialize;
use serde::de::DeserializeOwned;

use super::DiskError;

/// Bytes at the start of every file: kind and format version.
pub(super) const MAGIC_LEN: usize = 8;
/// Version of every file in the folder.
const VERSION: u8 = 2;
/// Bytes before the content of a frame: length, checksum of the content, checksum of these two.
const HEAD: usize = 12;

/// Kind of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Kind(pub(super) &'static [u8; 7]);

impl Kind {
    pub(super) fn magic(self) -> [u8; MAGIC_LEN] {
        let mut magic = [VERSION; MAGIC_LEN];
        magic[..7].copy_from_slice(self.0);
        magic
    }

    /// Checks the start of a file.
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
    let mut bytes = Vec::with_capacity(HEAD + content.len());
    bytes.extend_from_slice(&(content.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&content).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&bytes).to_le_bytes());
    bytes.extend_from_slice(&content);
    Ok(bytes)
}

/// What stands at an offset.
#[derive(Debug)]
pub(super) enum Found<'a> {
    /// A whole frame and the offset behind it.
    Whole(&'a [u8], usize),
    /// The end of the file.
    End,
    /// Something else.
    Broken,
}

/// Reads what stands at an offset.
pub(super) fn at(bytes: &[u8], offset: usize) -> Found<'_> {
    if offset == bytes.len() {
        return Found::End;
    }
    let Some(head) = bytes.get(offset..offset + HEAD) else {
        return Found::Broken;
    };
    let number = |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
    if crc32fast::hash(&head[..8]) != number(8) {
        return Found::Broken;
    }
    let end = offset + HEAD + number(0) as usize;
    match bytes.get(offset + HEAD..end) {
        Some(content) if crc32fast::hash(content) == number(4) => Found::Whole(content, end),
        _ => Found::Broken,
    }
}

/// Tells whether a whole frame begins anywhere behind an offset.
///
/// Every frame is synced before the next is written. So broken bytes with a whole frame behind them were whole once.
pub(super) fn follows(bytes: &[u8], offset: usize) -> bool {
    (offset + 1..bytes.len()).any(|start| matches!(at(bytes, start), Found::Whole(content, _) if !content.is_empty()))
}

/// Decodes the content of a frame.
pub(super) fn decode<T: DeserializeOwned>(content: &[u8], file: &Path, offset: usize) -> Result<T, DiskError> {
    postcard::from_bytes(content).map_err(|_undecodable| DiskError::Damaged {
        file: file.to_owned(),
        offset,
    })
}
