//! Recent entries that survive the end of the process but not a loss of power, as they are written without a sync.

use std::fs::{self, File};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::time::Duration;

use policy::Tick;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::DiskError;
use super::frame::{self, FileKind, FrameAt, MAGIC_LEN};

const KIND: FileKind = FileKind(b"GSRECNT");
/// Bytes from which a new file begins, however recent its entries are.
const MAX_FILE_BYTES: u64 = 4 * 1024 * 1024;

/// A file of entries, and the one before it. The older one is dropped once all of its entries are out of date.
#[derive(Debug)]
pub struct RecentFile {
    path: PathBuf,
    older: PathBuf,
    file: File,
    bytes: u64,
    began: Tick,
    lifetime: Duration,
}

impl RecentFile {
    /// Opens the files of a name in a data folder, and returns their entries. Unreadable entries are left out.
    ///
    /// # Errors
    /// Fails when the folder can't be read or written.
    pub fn open<T: Serialize + DeserializeOwned>(
        folder: &Path,
        name: &str,
        lifetime: Duration,
        now: Tick,
    ) -> Result<(Self, Vec<T>), DiskError> {
        let (path, older) = (folder.join(name), folder.join(format!("{name}-old")));
        let mut entries = read::<T>(&older)?;
        entries.extend(read::<T>(&path)?);
        // All of them in the older file: how old they are is not known.
        let mut bytes = KIND.magic().to_vec();
        for entry in &entries {
            bytes.extend(frame::encode(entry)?);
        }
        let unfinished = folder.join(format!("{name}.new"));
        fs::write(&unfinished, bytes).map_err(DiskError::io("write", &unfinished))?;
        fs::rename(&unfinished, &older).map_err(DiskError::io("rename", &unfinished))?;
        let (file, bytes) = create(&path)?;
        let opened = Self {
            path,
            older,
            file,
            bytes,
            began: now,
            lifetime,
        };
        Ok((opened, entries))
    }

    /// Appends an entry.
    ///
    /// # Errors
    /// Fails when the file can't be written; the entries before are kept.
    pub fn append<T: Serialize>(&mut self, entry: &T, now: Tick) -> Result<(), DiskError> {
        if now.since(self.began) >= self.lifetime || self.bytes >= MAX_FILE_BYTES {
            fs::rename(&self.path, &self.older).map_err(DiskError::io("rename", &self.path))?;
            (self.file, self.bytes) = create(&self.path)?;
            self.began = now;
        }
        let frame = frame::encode(entry)?;
        if let Err(error) = self.file.write_all(&frame) {
            // Entries after a torn one could not be read.
            self.file
                .set_len(self.bytes)
                .map_err(DiskError::io("truncate", &self.path))?;
            return Err(DiskError::io("write", &self.path)(error));
        }
        self.bytes += frame.len() as u64;
        Ok(())
    }
}

fn create(path: &Path) -> Result<(File, u64), DiskError> {
    let mut options = File::options();
    let file = options.create(true).append(true).open(path);
    let mut file = file.map_err(DiskError::io("create", path))?;
    file.set_len(0).map_err(DiskError::io("truncate", path))?;
    file.write_all(&KIND.magic()).map_err(DiskError::io("write", path))?;
    Ok((file, MAGIC_LEN as u64))
}

/// Reads the entries before the first one that is torn or damaged.
fn read<T: DeserializeOwned>(path: &Path) -> Result<Vec<T>, DiskError> {
    if !path.exists() {
        return Ok(Vec::new());
    }
    let bytes = fs::read(path).map_err(DiskError::io("read", path))?;
    let mut entries = Vec::new();
    if KIND.check(&bytes, path).is_err() {
        return Ok(entries);
    }
    let mut offset = MAGIC_LEN;
    while let FrameAt::Whole(content, next) = frame::read_at(&bytes, offset) {
        let Ok(entry) = frame::decode(content, path, offset) else {
            break;
        };
        entries.push(entry);
        offset = next;
    }
    Ok(entries)
}
