//! The data folder: opening, writing, and removing what snapshots cover.

use std::fs::{self, File, TryLockError};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread;

use crossbeam_channel::{Receiver, TryRecvError, bounded};

use super::segment::{self, Batch, Segment};
use super::{DiskError, Space, Unlimited, identity, snapshot};
use crate::raft::{HardState, Index, Ready, Record, Restored, Snapshot};

const LOCK_FILE: &str = "lock";
/// Suffix of a file that is still being written.
const UNFINISHED_SUFFIX: &str = ".new";

/// Sizes at which a new segment or a snapshot begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a segment from which a new one begins.
    pub segment_bytes: u64,
    /// Bytes of log since the last snapshot from which another is due; more if the last snapshot was larger.
    pub snapshot_bytes: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            segment_bytes: 4 * 1024 * 1024,
            snapshot_bytes: 8 * 1024 * 1024,
        }
    }
}

/// An open data folder.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    limits: Limits,
    space: Arc<dyn Space>,
    hard: HardState,
    /// Number of the segment that is written to.
    number: u64,
    segment: Segment,
    /// Older segments with the newest index in each.
    older: Vec<(u64, PathBuf, Index)>,
    /// Newest index in the segment that is written to.
    newest: Index,
    /// Newest index that the log says to be committed.
    committed: Index,
    /// Bytes of log since the last snapshot.
    log_bytes: u64,
    /// Bytes of the last snapshot.
    snapshot_size: u64,
    /// Snapshot that is being written by a thread.
    writing: Option<SnapshotWrite>,
    /// Holds the lock that keeps other processes out.
    _lock: File,
}

impl Folder {
    /// Opens a folder and reads its content; a blank one gets a new incarnation.
    ///
    /// # Errors
    /// Fails when the folder cannot be read or written, is used by another process, or holds damaged files.
    pub fn open(folder: &Path, limits: Limits) -> Result<(Self, Restored), DiskError> {
        Self::open_with(folder, limits, Arc::new(Unlimited))
    }

    /// Opens a folder with a given limit of disk space.
    ///
    /// # Errors
    /// Fails as [`Folder::open`] does.
    pub fn open_with(folder: &Path, limits: Limits, space: Arc<dyn Space>) -> Result<(Self, Restored), DiskError> {
        fs::create_dir_all(folder).map_err(DiskError::io("create", folder))?;
        let lock = lock(folder)?;
        remove_unfinished(folder)?;
        let id = match identity::read(folder)? {
            Some(id) => id,
            None => identity::create(folder)?,
        };
        let (snapshot, snapshot_size) = snapshot::read(folder)?;
        let mut segments = segment::list(folder)?;
        let mut replay = Replay::default();
        let mut older = Vec::new();
        let last = segments.pop();
        for (number, path) in segments {
            let content = segment::read(&path, false)?;
            older.push((number, path, segment::newest_index(&content.batches)));
            replay.apply(content.batches, &snapshot, folder)?;
        }
        let (number, segment, newest, log_bytes) = match last {
            Some((number, path)) => {
                let content = segment::read(&path, true)?;
                let newest = segment::newest_index(&content.batches);
                replay.apply(content.batches, &snapshot, folder)?;
                let segment = Segment::open(&path, content.whole_bytes as u64)?;
                let log_bytes = segment.length();
                (number, segment, newest, log_bytes)
            }
            None => (
                1,
                Segment::create(folder, 1, HardState::default(), &Unlimited)?,
                Index(0),
                0,
            ),
        };
        let restored = Restored {
            id,
            hard_state: replay.hard,
            snapshot,
            records: replay.records,
            committed: replay.committed.unwrap_or_default(),
        };
        let log_bytes = log_bytes + older.len() as u64 * limits.segment_bytes;
        let opened = Self {
            path: folder.to_owned(),
            limits,
            space,
            hard: replay.hard,
            number,
            segment,
            older,
            newest,
            committed: restored.committed,
            log_bytes,
            snapshot_size,
            writing: None,
            _lock: lock,
        };
        Ok((opened, restored))
    }

    /// Writes and syncs the output of a node: one sync of the log, and before it those of a snapshot if there is one.
    ///
    /// # Errors
    /// Fails when the writes cannot be synced; then nothing may be acknowledged. After [`DiskError::is_full`] the same
    /// writes may be tried again.
    pub fn write(&mut self, ready: &Ready) -> Result<(), DiskError> {
        if let Some(snapshot) = &ready.snapshot {
            self.save_snapshot(snapshot)?;
        }
        if ready.hard_state.is_none() && ready.records.is_empty() {
            return Ok(());
        }
        self.append(&Batch {
            hard: ready.hard_state,
            records: ready.records.clone(),
            committed: self.newer_commit(ready.committed),
        })
    }

    /// Writes and syncs how far the log is committed, unless the log says so already.
    ///
    /// A restarted node applies what is known to be committed, and hosts that lost power with it get the configuration
    /// before a leader is elected.
    ///
    /// # Errors
    /// Fails as [`Folder::write`] does.
    pub fn write_commit(&mut self, committed: Index) -> Result<(), DiskError> {
        match self.newer_commit(committed) {
            None => Ok(()),
            newer => self.append(&Batch {
                committed: newer,
                ..Batch::default()
            }),
        }
    }

    fn newer_commit(&self, committed: Index) -> Option<Index> {
        (committed > self.committed).then_some(committed)
    }

    fn append(&mut self, batch: &Batch) -> Result<(), DiskError> {
        if self.segment.length() >= self.limits.segment_bytes {
            self.start_segment()?;
        }
        let before = self.segment.length();
        self.segment.append(batch, self.space.as_ref())?;
        self.log_bytes += self.segment.length() - before;
        self.hard = batch.hard.unwrap_or(self.hard);
        let newest = batch.records.last().map(|record| record.at.index);
        self.newest = self.newest.max(newest.unwrap_or_default());
        self.committed = self.committed.max(batch.committed.unwrap_or_default());
        Ok(())
    }

    /// Returns whether enough log was written since the last snapshot, and none is being written.
    #[must_use]
    pub fn wants_snapshot(&self) -> bool {
        // Large snapshots are written less often, so that they cost no more writes than the log itself.
        self.writing.is_none() && self.log_bytes >= self.limits.snapshot_bytes.max(self.snapshot_size)
    }

    /// Writes a snapshot and removes the segments that it covers.
    ///
    /// # Errors
    /// Fails when the snapshot cannot be synced; then the log is as before.
    pub fn save_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), DiskError> {
        snapshot::write(&self.path, snapshot, self.space.as_ref())?;
        self.log_bytes = 0;
        self.snapshot_size = snapshot.data.len() as u64;
        self.remove_covered(snapshot.at.index)
    }

    /// Starts to write a snapshot on a thread of its own.
    ///
    /// Syncing a large state takes longer than the election timeout; on the thread that answers, each snapshot would
    /// cost the leader its lease.
    ///
    /// # Errors
    /// Fails when the operating system refuses a thread; then the log is as before.
    pub fn start_snapshot(&mut self, snapshot: Snapshot) -> Result<(), DiskError> {
        let (done, result) = bounded(1);
        let (index, snapshot_size) = (snapshot.at.index, snapshot.data.len() as u64);
        let (path, space) = (self.path.clone(), Arc::clone(&self.space));
        let work = move || {
            // The receiver is gone if the folder was closed meanwhile.
            let _ = done.send(snapshot::write(&path, &snapshot, space.as_ref()));
        };
        let thread = thread::Builder::new().name("snapshot".to_owned()).spawn(work);
        thread.map_err(DiskError::io("start a thread for", &self.path))?;
        self.writing = Some(SnapshotWrite {
            index,
            snapshot_size,
            log_bytes: self.log_bytes,
            result,
        });
        Ok(())
    }

    /// Removes the segments that a snapshot of [`Folder::start_snapshot`] covers, once it is written.
    ///
    /// # Errors
    /// Fails when the snapshot could not be written; then the log is as before.
    pub fn finish_snapshot(&mut self) -> Result<(), DiskError> {
        let Some(writing) = &self.writing else {
            return Ok(());
        };
        let result = match writing.result.try_recv() {
            Err(TryRecvError::Empty) => return Ok(()),
            Ok(result) => result,
            // The thread ended without a result, so the snapshot may not be written.
            Err(TryRecvError::Disconnected) => {
                self.writing = None;
                return Ok(());
            }
        };
        let Some(writing) = self.writing.take() else {
            return Ok(());
        };
        result?;
        self.log_bytes = self.log_bytes.saturating_sub(writing.log_bytes);
        self.snapshot_size = writing.snapshot_size;
        self.remove_covered(writing.index)
    }

    /// Removes the segments that the written snapshot at an index covers.
    fn remove_covered(&mut self, index: Index) -> Result<(), DiskError> {
        let covered = |newest: Index| newest <= index;
        if covered(self.newest) && self.segment.length() >= self.limits.segment_bytes {
            self.start_segment()?;
        }
        // Only a prefix of the segments is removed: a later segment may replace records of an earlier one.
        let count = self.older.iter().take_while(|(_, _, newest)| covered(*newest)).count();
        for (_, path, _) in self.older.drain(..count) {
            fs::remove_file(&path).map_err(DiskError::io("remove", &path))?;
        }
        sync_folder(&self.path)
    }

    /// Starts a new segment.
    fn start_segment(&mut self) -> Result<(), DiskError> {
        let number = self.number + 1;
        let segment = Segment::create(&self.path, number, self.hard, self.space.as_ref())?;
        let path = self.path.join(format!("log-{:016}", self.number));
        self.older.push((self.number, path, self.newest));
        self.segment = segment;
        self.number = number;
        self.newest = Index(0);
        Ok(())
    }
}

/// A snapshot that a thread is writing.
#[derive(Debug)]
struct SnapshotWrite {
    /// Index up to which the snapshot covers the log.
    index: Index,
    snapshot_size: u64,
    /// Bytes of log since the previous snapshot when this one was started.
    log_bytes: u64,
    result: Receiver<Result<(), DiskError>>,
}

/// Hard state, log and commit index, rebuilt from the batches in the segments.
#[derive(Debug, Default)]
pub(super) struct Replay {
    pub(super) hard: HardState,
    pub(super) records: Vec<Record>,
    pub(super) committed: Option<Index>,
}

impl Replay {
    /// Applies batches in the order in which they were written; records that the snapshot covers are skipped.
    pub(super) fn apply(&mut self, batches: Vec<Batch>, snapshot: &Snapshot, folder: &Path) -> Result<(), DiskError> {
        for batch in batches {
            self.hard = batch.hard.unwrap_or(self.hard);
            self.committed = self.committed.max(batch.committed);
            let added = batch
                .records
                .into_iter()
                .filter(|record| record.at.index > snapshot.at.index);
            for record in added {
                let kept = self.records.partition_point(|old| old.at.index < record.at.index);
                self.records.truncate(kept);
                let last = self.records.last().map_or(snapshot.at.index, |old| old.at.index);
                if record.at.index != last.next() {
                    return Err(DiskError::Gap {
                        folder: folder.to_owned(),
                        after: last,
                    });
                }
                self.records.push(record);
            }
        }
        Ok(())
    }
}

/// Writes a file atomically: after a crash it exists with its whole content or not at all.
pub(super) fn write_atomically(folder: &Path, name: &str, bytes: &[u8]) -> Result<(), DiskError> {
    let path = folder.join(name);
    let unfinished = folder.join(format!("{name}{UNFINISHED_SUFFIX}"));
    if let Err(error) = write_synced(&unfinished, bytes) {
        // On a full disk an unfinished file would take the space that the log needs.
        let _ = fs::remove_file(&unfinished);
        return Err(error);
    }
    fs::rename(&unfinished, &path).map_err(DiskError::io("rename", &unfinished))?;
    sync_folder(folder)
}

fn write_synced(path: &Path, bytes: &[u8]) -> Result<(), DiskError> {
    let mut file = File::create(path).map_err(DiskError::io("create", path))?;
    file.write_all(bytes).map_err(DiskError::io("write", path))?;
    file.sync_all().map_err(DiskError::io("sync", path))
}

/// Lists the files whose name is a prefix and a number, in order of the numbers.
pub(super) fn list_numbered(folder: &Path, prefix: &str) -> Result<Vec<(u64, PathBuf)>, DiskError> {
    let mut found = Vec::new();
    for item in fs::read_dir(folder).map_err(DiskError::io("read", folder))? {
        let path = item.map_err(DiskError::io("read", folder))?.path();
        let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
        if let Some(number) = name.strip_prefix(prefix).and_then(|number| number.parse().ok()) {
            found.push((number, path));
        }
    }
    found.sort();
    Ok(found)
}

fn sync_folder(folder: &Path) -> Result<(), DiskError> {
    let synced = File::open(folder).and_then(|file| file.sync_all());
    synced.map_err(DiskError::io("sync", folder))
}

fn lock(folder: &Path) -> Result<File, DiskError> {
    let path = folder.join(LOCK_FILE);
    let file = File::create(&path).map_err(DiskError::io("create", &path))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(DiskError::InUse {
            folder: folder.to_owned(),
        }),
        Err(TryLockError::Error(error)) => Err(DiskError::io("lock", &path)(error)),
    }
}

fn remove_unfinished(folder: &Path) -> Result<(), DiskError> {
    for item in fs::read_dir(folder).map_err(DiskError::io("read", folder))? {
        let path = item.map_err(DiskError::io("read", folder))?.path();
        if path.to_string_lossy().ends_with(UNFINISHED_SUFFIX) {
            fs::remove_file(&path).map_err(DiskError::io("remove", &path))?;
        }
    }
    Ok(())
}
