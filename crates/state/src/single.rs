//! The log on disk: checksummed records under one data folder, synced before anything is acknowledged.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

use derive_more::{Display, Error, From};

use crate::applied::Entry;

/// First bytes of a log file: name and format version.
const MAGIC: &[u8; 8] = b"GSLOG\0\0\x01";
/// Bytes before the content of a record: length and checksum.
const HEAD: usize = 8;
const FILE: &str = "log";

/// The log can't be read or written.
#[derive(Debug, Display, Error, From)]
pub enum DiskError {
    /// The operating system refused.
    #[display("log file: {_0}")]
    #[from]
    Io(io::Error),
    /// An entry can't be encoded.
    #[display("log record can't be encoded: {_0}")]
    #[from]
    Codec(postcard::Error),
    /// A record before the last one is damaged.
    #[display("{} is damaged at offset {offset}: restore the node from its peers", file.display())]
    Damaged {
        /// The file.
        file: PathBuf,
        /// Offset of the damaged record.
        offset: usize,
    },
}

/// An open log.
#[derive(Debug)]
pub struct Log {
    file: File,
}

impl Log {
    /// Opens the log of a folder and reads every entry.
    ///
    /// # Errors
    /// Fails when the folder can't be used or a record before the last is damaged.
    pub fn open(folder: &Path) -> Result<(Self, Vec<Entry>), DiskError> {
        fs::create_dir_all(folder)?;
        let path = folder.join(FILE);
        let mut file = OpenOptions::new().read(true).append(true).create(true).open(&path)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        if bytes.len() < MAGIC.len() {
            file.set_len(0)?;
            file.write_all(MAGIC)?;
            file.sync_all()?;
            File::open(folder)?.sync_all()?;
            return Ok((Self { file }, Vec::new()));
        }
        let (entries, good) = read(&bytes, &path)?;
        if good < bytes.len() {
            // The process died while it wrote the last record, which nobody was told of.
            file.set_len(good as u64)?;
            file.sync_all()?;
        }
        Ok((Self { file }, entries))
    }

    /// Appends entries and syncs them together.
    ///
    /// # Errors
    /// Fails when the entries can't be made durable; they must not be acknowledged then.
    pub fn append(&mut self, entries: &[Entry]) -> Result<(), DiskError> {
        let mut bytes = Vec::new();
        for entry in entries {
            let content = postcard::to_stdvec(entry)?;
            bytes.extend_from_slice(&(content.len() as u32).to_le_bytes());
            bytes.extend_from_slice(&crc32fast::hash(&content).to_le_bytes());
            bytes.extend_from_slice(&content);
        }
        self.file.write_all(&bytes)?;
        self.file.sync_data()?;
        Ok(())
    }
}

fn read(bytes: &[u8], path: &Path) -> Result<(Vec<Entry>, usize), DiskError> {
    let damaged = |offset| DiskError::Damaged {
        file: path.to_owned(),
        offset,
    };
    if !bytes.starts_with(MAGIC) {
        return Err(damaged(0));
    }
    let mut entries = Vec::new();
    let mut offset = MAGIC.len();
    while let Some(head) = bytes.get(offset..offset + HEAD) {
        let number = |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        let end = offset + HEAD + number(0) as usize;
        let Some(content) = bytes.get(offset + HEAD..end) else {
            break;
        };
        if crc32fast::hash(content) != number(4) {
            if end < bytes.len() {
                return Err(damaged(offset));
            }
            break;
        }
        entries.push(postcard::from_bytes(content).map_err(|_damaged| damaged(offset))?);
        offset = end;
    }
    Ok((entries, offset))
}
