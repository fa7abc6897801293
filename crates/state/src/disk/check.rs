//! Verifies a folder without a running node and without changing it.

use std::path::Path;

use super::folder::Replay;
use super::{DiskError, identity, segment, snapshot};
use crate::raft::{Hard, MemberId, Position};

/// What a sound folder holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FolderReport {
    /// The incarnation; `None` when the folder is blank.
    pub id: Option<MemberId>,
    /// Term and vote.
    pub hard_state: Hard,
    /// Position of the snapshot.
    pub snapshot: Position,
    /// Bytes of the snapshot.
    pub snapshot_bytes: u64,
    /// Number of segments.
    pub segments: usize,
    /// Records behind the snapshot.
    pub records: usize,
    /// End of the log.
    pub log_end: Position,
    /// Bytes of a torn last frame, which the next start cuts off.
    pub torn_bytes: usize,
}

/// Reads every file of a folder.
///
/// # Errors
/// Names the first file that is damaged and the offset in it.
pub fn check_folder(folder: &Path) -> Result<FolderReport, DiskError> {
    let id = identity::read(folder)?;
    let (snapshot, snapshot_bytes) = snapshot::read(folder)?;
    let segments = segment::list(folder)?;
    let mut replay = Replay::default();
    let mut torn = 0;
    for (at, (_, path)) in segments.iter().enumerate() {
        let content = segment::read(path, at + 1 == segments.len())?;
        replay.take(content.batches, &snapshot, folder)?;
        torn = content.torn;
    }
    let last = replay.records.last().map_or(snapshot.at, |record| record.at);
    Ok(FolderReport {
        id,
        hard_state: replay.hard,
        snapshot: snapshot.at,
        snapshot_bytes,
        segments: segments.len(),
        records: replay.records.len(),
        log_end: last,
        torn_bytes: torn,
    })
}
