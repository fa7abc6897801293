//! Offline verification of a data folder; changes nothing in it.

use std::path::Path;

use super::folder::Replay;
use super::{DiskError, identity, segment, snapshot};
use crate::raft::{HardState, MemberId, Position};

/// Content of an undamaged data folder.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FolderReport {
    /// Incarnation of the disk; `None` when the folder is blank.
    pub id: Option<MemberId>,
    /// Term and vote.
    pub hard_state: HardState,
    /// Position of the snapshot.
    pub snapshot: Position,
    /// Bytes of the snapshot file; 0 without one.
    pub snapshot_bytes: u64,
    /// Number of log segments.
    pub segments: usize,
    /// Number of records after the snapshot.
    pub records: usize,
    /// Position of the last record, or of the snapshot if there are none after it.
    pub log_end: Position,
    /// Bytes of an incomplete frame at the end of the log, which the next start removes.
    pub torn_bytes: usize,
}

/// Reads and verifies every file of a data folder.
///
/// # Errors
/// Returns the first file that is damaged, with the offset in it, or that cannot be read.
pub fn check_folder(folder: &Path) -> Result<FolderReport, DiskError> {
    let id = identity::read(folder)?;
    let (snapshot, snapshot_bytes) = snapshot::read(folder)?;
    let segments = segment::list(folder)?;
    let mut replay = Replay::default();
    let mut torn_bytes = 0;
    for (at, (_, path)) in segments.iter().enumerate() {
        let content = segment::read(path, at + 1 == segments.len())?;
        replay.apply(content.batches, &snapshot, folder)?;
        torn_bytes = content.torn_bytes;
    }
    let log_end = replay.records.last().map_or(snapshot.at, |record| record.at);
    Ok(FolderReport {
        id,
        hard_state: replay.hard,
        snapshot: snapshot.at,
        snapshot_bytes,
        segments: segments.len(),
        records: replay.records.len(),
        log_end,
        torn_bytes,
    })
}
