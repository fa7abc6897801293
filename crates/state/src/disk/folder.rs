//! The folder as a whole: opening, writing and making room.

use std::fs::{self, File, TryLockError};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread;

use crossbeam_channel::{Receiver, TryRecvError, bounded};

use super::segment::{self, Batch, Segment};
use super::{DiskError, Space, Unlimited, identity, snapshot};
use crate::raft::{HardState, Index, Ready, Record, Restored, Snapshot};

const LOCK: &str = "lock";
/// Ending of a file that is not whole yet.
const UNFINISHED: &str = ".new";

/// When a segment ends and when a snapshot is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes after which a new segment begins.
    pub segment: u64,
    /// Bytes of log since the last snapshot after which another is due.
    pub snapshot: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            segment: 4 * 1024 * 1024,
            snapshot: 8 * 1024 * 1024,
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
    number: u64,
    segment: Segment,
    /// Older segments with the newest index in each.
    older: Vec<(u64, PathBuf, Index)>,
    newest: Index,
    /// Bytes of log since the last snapshot.
    since: u64,
    /// Bytes of the last snapshot.
    size: u64,
    /// A snapshot that is being written, and the bytes of log that it covers.
    writing: Option<Writing>,
    /// Keeps other processes out as long as it is open.
    _lock: File,
}

impl Folder {
    /// Opens a folder and reads what it holds; a blank one becomes a new incarnation.
    ///
    /// # Errors
    /// Fails when the folder can't be used, is used by another process, or holds damaged files.
    pub fn open(folder: &Path, limits: Limits) -> Result<(Self, Restored), DiskError> {
        Self::open_with(folder, limits, Arc::new(Unlimited))
    }

    /// Opens a folder whose room is decided elsewhere.
    ///
    /// # Errors
    /// Fails as [`Folder::open`] does.
    pub fn open_with(folder: &Path, limits: Limits, space: Arc<dyn Space>) -> Result<(Self, Restored), DiskError> {
        fs::create_dir_all(folder).map_err(DiskError::io("create", folder))?;
        let lock = lock(folder)?;
        remove_unfinished(folder)?;
        let id = match identity::read(folder)? {
            Some(id) => id,
            None => identity::draw(folder)?,
        };
        let (snapshot, size) = snapshot::read(folder)?;
        let mut segments = segment::list(folder)?;
        let mut read = Replay::default();
        let mut older = Vec::new();
        let last = segments.pop();
        for (number, path) in segments {
            let content = segment::read(&path, false)?;
            older.push((number, path, segment::newest_index(&content.batches)));
            read.take(content.batches, &snapshot, folder)?;
        }
        let (number, segment, newest, since) = match last {
            Some((number, path)) => {
                let content = segment::read(&path, true)?;
                let newest = segment::newest_index(&content.batches);
                read.take(content.batches, &snapshot, folder)?;
                let segment = Segment::open(&path, content.good as u64)?;
                let since = segment.length();
                (number, segment, newest, since)
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
            hard_state: read.hard,
            snapshot,
            records: read.records,
        };
        let since = since + older.len() as u64 * limits.segment;
        let opened = Self {
            path: folder.to_owned(),
            limits,
            space,
            hard: read.hard,
            number,
            segment,
            older,
            newest,
            since,
            size,
            writing: None,
            _lock: lock,
        };
        Ok((opened, restored))
    }

    /// Makes the writes of a node durable with one sync, two when a snapshot is among them.
    ///
    /// # Errors
    /// Fails when they can't be made durable; nothing may be acknowledged then. After [`DiskError::is_full`] the same
    /// writes may be tried again.
    pub fn write(&mut self, ready: &Ready) -> Result<(), DiskError> {
        if let Some(snapshot) = &ready.snapshot {
            self.keep(snapshot)?;
        }
        if ready.hard_state.is_none() && ready.records.is_empty() {
            return Ok(());
        }
        if self.segment.length() >= self.limits.segment {
            self.roll()?;
        }
        let batch = Batch {
            hard: ready.hard_state,
            records: ready.records.clone(),
        };
        let before = self.segment.length();
        self.segment.append(&batch, self.space.as_ref())?;
        self.since += self.segment.length() - before;
        self.hard = ready.hard_state.unwrap_or(self.hard);
        let newest = ready.records.last().map(|record| record.at.index);
        self.newest = self.newest.max(newest.unwrap_or_default());
        Ok(())
    }

    /// Tells whether enough log has been written since the last snapshot.
    #[must_use]
    pub fn wants_snapshot(&self) -> bool {
        // A large state is written less often, so that snapshots cost no more than the log itself.
        self.writing.is_none() && self.since >= self.limits.snapshot.max(self.size)
    }

    /// Writes a snapshot and removes the segments that it covers.
    ///
    /// # Errors
    /// Fails when the snapshot can't be made durable; the log is then as before.
    pub fn keep(&mut self, snapshot: &Snapshot) -> Result<(), DiskError> {
        snapshot::write(&self.path, snapshot, self.space.as_ref())?;
        self.since = 0;
        self.size = snapshot.data.len() as u64;
        self.cover(snapshot.at.index)
    }

    /// Begins to write a snapshot on a thread of its own.
    ///
    /// A large state takes longer to sync than a leader may be silent; written by the thread that answers, each snapshot
    /// would cost the group its leader.
    ///
    /// # Errors
    /// Fails when the system refuses a thread; the log is then as before.
    pub fn keep_later(&mut self, snapshot: Snapshot) -> Result<(), DiskError> {
        let (done, result) = bounded(1);
        let (index, size) = (snapshot.at.index, snapshot.data.len() as u64);
        let (path, space) = (self.path.clone(), Arc::clone(&self.space));
        let work = move || {
            // The folder may be closed by now, and then nobody wants the result.
            let _ = done.send(snapshot::write(&path, &snapshot, space.as_ref()));
        };
        let thread = thread::Builder::new().name("snapshot".to_owned()).spawn(work);
        thread.map_err(DiskError::io("start a thread for", &self.path))?;
        self.writing = Some(Writing {
            index,
            size,
            since: self.since,
            result,
        });
        Ok(())
    }

    /// Removes what a snapshot covers that was begun with [`Folder::keep_later`], once it is written.
    ///
    /// # Errors
    /// Fails when the snapshot could not be written; the log is then as before.
    pub fn finish(&mut self) -> Result<(), DiskError> {
        let Some(writing) = &self.writing else {
            return Ok(());
        };
        let result = match writing.result.try_recv() {
            Err(TryRecvError::Empty) => return Ok(()),
            Ok(result) => result,
            // The thread is gone without a word, so nothing is known to be written.
            Err(TryRecvError::Disconnected) => {
                self.writing = None;
                return Ok(());
            }
        };
        let Some(writing) = self.writing.take() else {
            return Ok(());
        };
        result?;
        self.since = self.since.saturating_sub(writing.since);
        self.size = writing.size;
        self.cover(writing.index)
    }

    /// Removes the segments that a written snapshot covers.
    fn cover(&mut self, index: Index) -> Result<(), DiskError> {
        let covered = |newest: Index| newest <= index;
        if covered(self.newest) && self.segment.length() >= self.limits.segment {
            self.roll()?;
        }
        // Only a prefix is removed: a later segment may replace records of an earlier one.
        let count = self.older.iter().take_while(|(_, _, newest)| covered(*newest)).count();
        for (_, path, _) in self.older.drain(..count) {
            fs::remove_file(&path).map_err(DiskError::io("remove", &path))?;
        }
        sync_folder(&self.path)
    }

    fn roll(&mut self) -> Result<(), DiskError> {
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

/// A snapshot on its way to the disk.
#[derive(Debug)]
struct Writing {
    index: Index,
    size: u64,
    /// Bytes of log when it was begun.
    since: u64,
    result: Receiver<Result<(), DiskError>>,
}

/// The log as its batches build it up.
#[derive(Debug, Default)]
pub(super) struct Replay {
    pub(super) hard: HardState,
    pub(super) records: Vec<Record>,
}

impl Replay {
    pub(super) fn take(&mut self, batches: Vec<Batch>, snapshot: &Snapshot, folder: &Path) -> Result<(), DiskError> {
        for batch in batches {
            self.hard = batch.hard.unwrap_or(self.hard);
            let news = batch
                .records
                .into_iter()
                .filter(|record| record.at.index > snapshot.at.index);
            for record in news {
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

/// Writes a whole file so that it is there with all of its content or not at all.
pub(super) fn replace(folder: &Path, name: &str, bytes: &[u8]) -> Result<(), DiskError> {
    let path = folder.join(name);
    let unfinished = folder.join(format!("{name}{UNFINISHED}"));
    if let Err(error) = fill(&unfinished, bytes) {
        // On a full disk what was begun would take the room that the log needs.
        let _ = fs::remove_file(&unfinished);
        return Err(error);
    }
    fs::rename(&unfinished, &path).map_err(DiskError::io("rename", &unfinished))?;
    sync_folder(folder)
}

fn fill(path: &Path, bytes: &[u8]) -> Result<(), DiskError> {
    let mut file = File::create(path).map_err(DiskError::io("create", path))?;
    file.write_all(bytes).map_err(DiskError::io("write", path))?;
    file.sync_all().map_err(DiskError::io("sync", path))
}

/// Lists files with a prefix and a number, in order of the numbers.
pub(super) fn numbered(folder: &Path, prefix: &str) -> Result<Vec<(u64, PathBuf)>, DiskError> {
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
    let path = folder.join(LOCK);
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
        if path.to_string_lossy().ends_with(UNFINISHED) {
            fs::remove_file(&path).map_err(DiskError::io("remove", &path))?;
        }
    }
    Ok(())
}
