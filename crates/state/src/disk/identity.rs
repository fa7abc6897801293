//! The id of the disk's incarnation.

use std::fs;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use rand::Rng;

use super::frame::{self, FileKind, FrameAt, MAGIC_LEN};
use super::{DiskError, folder};
use crate::raft::MemberId;

const KIND: FileKind = FileKind(b"GSNODE\0");
const FILE_NAME: &str = "node";

/// Reads the id; `None` on a blank disk.
pub(super) fn read(folder: &Path) -> Result<Option<MemberId>, DiskError> {
    let path = folder.join(FILE_NAME);
    if !path.exists() {
        return Ok(None);
    }
    let bytes = fs::read(&path).map_err(DiskError::io("read", &path))?;
    KIND.check(&bytes, &path)?;
    match frame::read_at(&bytes, MAGIC_LEN) {
        FrameAt::Whole(content, _) => frame::decode(content, &path, MAGIC_LEN).map(Some),
        _ => Err(DiskError::Damaged {
            file: path,
            offset: MAGIC_LEN,
        }),
    }
}

/// Draws a new random id and writes it.
pub(super) fn create(folder: &Path) -> Result<MemberId, DiskError> {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    // Random bits alone could repeat on virtual machines that are restored from one image, the clock alone on two
    // machines that start at once.
    let id = MemberId(rand::rng().random::<u64>() ^ since.as_nanos() as u64);
    let mut bytes = KIND.magic().to_vec();
    bytes.extend(frame::encode(&id)?);
    folder::write_atomically(folder, FILE_NAME, &bytes)?;
    Ok(id)
}
