//! Snapshot files.

use std::fs;
use std::path::{Path, PathBuf};

use super::frame::{self, FileKind, FrameAt, MAGIC_LEN};
use super::{DiskError, Space, folder};
use crate::raft::Snapshot;

const KIND: FileKind = FileKind(b"GSSNAP\0");
const PREFIX: &str = "snapshot-";

/// Writes a snapshot and removes the older ones.
pub(super) fn write(folder: &Path, snapshot: &Snapshot, space: &dyn Space) -> Result<(), DiskError> {
    let name = format!("{PREFIX}{:016}", snapshot.at.index);
    let mut bytes = KIND.magic().to_vec();
    bytes.extend(frame::encode(snapshot)?);
    space
        .reserve(bytes.len())
        .map_err(DiskError::io("write", &folder.join(&name)))?;
    folder::write_atomically(folder, &name, &bytes)?;
    for (index, path) in list(folder)? {
        if index < snapshot.at.index.0 {
            fs::remove_file(&path).map_err(DiskError::io("remove", &path))?;
        }
    }
    Ok(())
}

/// Reads the newest snapshot and the size of its file in bytes, or an empty one if there is none.
pub(super) fn read(folder: &Path) -> Result<(Snapshot, u64), DiskError> {
    let Some((_, path)) = list(folder)?.pop() else {
        return Ok((Snapshot::default(), 0));
    };
    let bytes = fs::read(&path).map_err(DiskError::io("read", &path))?;
    KIND.check(&bytes, &path)?;
    match frame::read_at(&bytes, MAGIC_LEN) {
        FrameAt::Whole(content, end) if end == bytes.len() => {
            Ok((frame::decode(content, &path, MAGIC_LEN)?, bytes.len() as u64))
        }
        // The file got its name only after its content was synced, so it was damaged later.
        _ => Err(DiskError::Damaged {
            file: path,
            offset: MAGIC_LEN,
        }),
    }
}

fn list(folder: &Path) -> Result<Vec<(u64, PathBuf)>, DiskError> {
    folder::list_numbered(folder, PREFIX)
}
