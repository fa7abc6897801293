//! The name of the disk's incarnation.

use std::fs;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use rand::Rng;

use super::frame::{self, Found, Kind, MAGIC_LEN};
use super::{DiskError, folder};
use crate::raft::MemberId;

const KIND: Kind = Kind(b"GSNODE\0");
const FILE: &str = "node";

/// Reads the name, or `None` on a blank disk.
pub(super) fn read(folder: &Path) -> Result<Option<MemberId>, DiskError> {
    let path = folder.join(FILE);
    if !path.exists() {
        return Ok(None);
    }
    let bytes = fs::read(&path).map_err(DiskError::io("read", &path))?;
    KIND.check(&bytes, &path)?;
    match frame::at(&bytes, MAGIC_LEN) {
        Found::Whole(content, _) => frame::decode(content, &path, MAGIC_LEN).map(Some),
        _ => Err(DiskError::Damaged {
            file: path,
            offset: MAGIC_LEN,
        }),
    }
}

/// Draws a new name and writes it.
pub(super) fn draw(folder: &Path) -> Result<MemberId, DiskError> {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    // Random bits alone could repeat on a machine that starts from a saved image; the clock alone on two that start at
    // once.
    let id = MemberId(rand::rng().random::<u64>() ^ since.as_nanos() as u64);
    let mut bytes = KIND.magic().to_vec();
    bytes.extend(frame::encode(&id)?);
    folder::replace(folder, FILE, &bytes)?;
    Ok(id)
}
