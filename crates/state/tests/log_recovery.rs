//! Recovery of the data folder: torn writes are removed, damage and a full disk are reported.

use std::fs::{self, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use policy::Tick;
use state::disk::{DiskError, Folder, Limits, Space, check_folder};
use state::raft::{HardState, Index, Node, Payload, Position, Ready, Record, Snapshot, Term, Timing};

const SMALL_LIMITS: Limits = Limits {
    segment_bytes: 200,
    snapshot_bytes: 400,
};

fn record(term: u64, index: u64) -> Record {
    let at = Position {
        term: Term(term),
        index: Index(index),
    };
    Record {
        at,
        payload: Payload::Command(index.to_le_bytes().to_vec().into()),
    }
}

fn records(term: u64, range: std::ops::RangeInclusive<u64>) -> Ready {
    Ready {
        records: range.map(|index| record(term, index)).collect(),
        ..Ready::default()
    }
}

fn snapshot(term: u64, index: u64) -> Snapshot {
    let at = Position {
        term: Term(term),
        index: Index(index),
    };
    Snapshot {
        at,
        data: vec![7; 10].into(),
        ..Snapshot::default()
    }
}

/// Writes records with three syncs and returns the path of the only segment.
fn write_log(folder: &Path) -> PathBuf {
    let (mut log, _) = Folder::open(folder, Limits::default()).unwrap();
    for range in [1..=2, 3..=4, 5..=6] {
        log.write(&records(1, range)).unwrap();
    }
    folder.join("log-0000000000000001")
}

fn flip_bit(file: &Path, from_end: usize) {
    let mut bytes = fs::read(file).unwrap();
    let at = bytes.len() - from_end;
    bytes[at] ^= 1;
    fs::write(file, bytes).unwrap();
}

/// Power fails while the last records are being written. They were not acknowledged, so the next start removes them.
#[test]
fn torn_tail() {
    let folder = tempfile::tempdir().unwrap();
    let segment = write_log(folder.path());
    let file = OpenOptions::new().write(true).open(&segment).unwrap();
    file.set_len(file.metadata().unwrap().len() - 3).unwrap();
    assert!(check_folder(folder.path()).unwrap().torn_bytes > 0);
    let (mut log, restored) = Folder::open(folder.path(), Limits::default()).unwrap();
    assert_eq!(restored.records.last(), Some(&record(1, 4)));
    log.write(&records(2, 5..=5)).unwrap();
    drop(log);
    assert_eq!(check_folder(folder.path()).unwrap().log_end, record(2, 5).at);
}

/// A bit flips in the middle of the log. The records after it were acknowledged, and a start without them would lose
/// them; the node must refuse to start and report where the damage is.
#[test]
fn damaged_middle() {
    let folder = tempfile::tempdir().unwrap();
    let segment = write_log(folder.path());
    flip_bit(&segment, 60);
    let error = Folder::open(folder.path(), Limits::default()).unwrap_err();
    let DiskError::Damaged { file, offset } = &error else {
        panic!("{error}");
    };
    assert_eq!(*file, segment);
    assert!(*offset > 8 && error.to_string().contains("offset"), "{error}");
    assert_eq!(check_folder(folder.path()).unwrap_err().to_string(), error.to_string());
}

/// A frame length in the middle of the log is damaged and points far past the end. It must not be taken for a torn
/// tail.
#[test]
fn damaged_length() {
    let folder = tempfile::tempdir().unwrap();
    let segment = write_log(folder.path());
    let mut bytes = fs::read(&segment).unwrap();
    bytes[10] = 0x7f;
    fs::write(&segment, bytes).unwrap();
    assert!(matches!(
        check_folder(folder.path()),
        Err(DiskError::Damaged { offset: 8, .. })
    ));
}

/// The end of an older segment or a snapshot is damaged, or a segment is missing. Both files were complete when they
/// were created, so this is damage, not a torn write.
#[test]
fn damaged_complete_file() {
    let folder = tempfile::tempdir().unwrap();
    let (mut log, _) = Folder::open(folder.path(), SMALL_LIMITS).unwrap();
    (1..=20).for_each(|index| log.write(&records(1, index..=index)).unwrap());
    drop(log);
    let first = folder.path().join("log-0000000000000001");
    let whole = fs::read(&first).unwrap();
    fs::write(&first, &whole[..whole.len() - 1]).unwrap();
    assert!(matches!(check_folder(folder.path()), Err(DiskError::Damaged { .. })));
    fs::remove_file(&first).unwrap();
    assert!(matches!(
        check_folder(folder.path()),
        Err(DiskError::Gap { after: Index(0), .. })
    ));
    fs::write(&first, &whole).unwrap();
    let (mut log, _) = Folder::open(folder.path(), SMALL_LIMITS).unwrap();
    log.save_snapshot(&snapshot(1, 20)).unwrap();
    drop(log);
    flip_bit(&folder.path().join("snapshot-0000000000000020"), 2);
    assert!(matches!(check_folder(folder.path()), Err(DiskError::Damaged { .. })));
}

/// A file of another format version must be refused instead of being misread.
#[test]
fn other_version() {
    let folder = tempfile::tempdir().unwrap();
    let segment = write_log(folder.path());
    let mut bytes = fs::read(&segment).unwrap();
    bytes[7] = 9;
    fs::write(&segment, bytes).unwrap();
    assert!(matches!(
        check_folder(folder.path()),
        Err(DiskError::Version { found: 9, .. })
    ));
}

/// A new leader replaces the end of a follower's log. After a restart only the new records may be there.
#[test]
fn replaced_tail() {
    let folder = tempfile::tempdir().unwrap();
    let (mut log, _) = Folder::open(folder.path(), SMALL_LIMITS).unwrap();
    log.write(&records(1, 1..=9)).unwrap();
    let hard = HardState {
        term: Term(2),
        vote: None,
    };
    log.write(&Ready {
        hard_state: Some(hard),
        ..records(2, 5..=6)
    })
    .unwrap();
    drop(log);
    let (_, restored) = Folder::open(folder.path(), SMALL_LIMITS).unwrap();
    assert_eq!(restored.hard_state, hard);
    assert_eq!(restored.records.len(), 6);
    assert_eq!(restored.records.last(), Some(&record(2, 6)));
}

/// The log grows as long as the group runs. Segments that a snapshot covers must be removed, so that a start reads
/// little.
#[test]
fn covered_segments() {
    let folder = tempfile::tempdir().unwrap();
    let (mut log, _) = Folder::open(folder.path(), SMALL_LIMITS).unwrap();
    let hard = HardState {
        term: Term(1),
        vote: None,
    };
    log.write(&Ready {
        hard_state: Some(hard),
        ..Ready::default()
    })
    .unwrap();
    for index in 1..=500 {
        log.write(&records(1, index..=index)).unwrap();
        if log.wants_snapshot() {
            log.save_snapshot(&snapshot(1, index)).unwrap();
        }
    }
    drop(log);
    let report = check_folder(folder.path()).unwrap();
    assert!(report.segments <= 5 && report.records <= 20, "{report:?}");
    assert_eq!((report.log_end, report.hard_state), (record(1, 500).at, hard));
}

/// A second process is started on the same folder by mistake. Two writers would corrupt the log, so it must be refused.
#[test]
fn folder_taken() {
    let folder = tempfile::tempdir().unwrap();
    let _log = Folder::open(folder.path(), SMALL_LIMITS).unwrap();
    assert!(matches!(
        Folder::open(folder.path(), SMALL_LIMITS),
        Err(DiskError::InUse { .. })
    ));
}

/// Disk space with this many bytes left.
#[derive(Debug)]
struct SpaceLeft(Arc<AtomicUsize>);

impl Space for SpaceLeft {
    fn reserve(&self, bytes: usize) -> io::Result<()> {
        let taken = self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| left.checked_sub(bytes));
        taken.map(drop).map_err(|_left| io::ErrorKind::StorageFull.into())
    }
}

/// The disk is full. A write must fail as a whole, and the same write must succeed once there is space.
#[test]
fn full_disk() {
    let folder = tempfile::tempdir().unwrap();
    let space_left = Arc::new(AtomicUsize::new(100));
    let (mut log, _) = Folder::open_with(
        folder.path(),
        SMALL_LIMITS,
        Arc::new(SpaceLeft(Arc::clone(&space_left))),
    )
    .unwrap();
    log.write(&records(1, 1..=2)).unwrap();
    let more = records(1, 3..=9);
    assert!(log.write(&more).unwrap_err().is_full());
    assert!(log.write(&more).unwrap_err().is_full());
    space_left.store(10_000, Ordering::Relaxed);
    log.write(&more).unwrap();
    drop(log);
    let (_, restored) = Folder::open(folder.path(), SMALL_LIMITS).unwrap();
    assert_eq!(restored.records.len(), 9);
}

/// A snapshot is written while the log grows, and the process dies right after it. The records appended meanwhile must
/// be found after the snapshot.
#[test]
fn concurrent_snapshot() {
    let folder = tempfile::tempdir().unwrap();
    let (mut log, _) = Folder::open(folder.path(), SMALL_LIMITS).unwrap();
    (1..=30).for_each(|index| log.write(&records(1, index..=index)).unwrap());
    log.start_snapshot(snapshot(1, 20)).unwrap();
    for index in 31..=60 {
        log.write(&records(1, index..=index)).unwrap();
        log.finish_snapshot().unwrap();
    }
    while !folder.path().join("snapshot-0000000000000020").exists() {
        std::thread::yield_now();
    }
    log.finish_snapshot().unwrap();
    drop(log);
    let (_, restored) = Folder::open(folder.path(), SMALL_LIMITS).unwrap();
    assert_eq!(restored.snapshot.at, record(1, 20).at);
    assert_eq!(restored.records.len(), 40);
}

/// Guards against a restarted node that has to hear from a leader before it applies what it knew to be committed, and
/// against a commit index beyond the records that a crash has left.
#[test]
fn commit_restored() {
    let folder = tempfile::tempdir().unwrap();
    let (mut log, _) = Folder::open(folder.path(), Limits::default()).unwrap();
    log.write(&records(1, 1..=4)).unwrap();
    log.write_commit(Index(3)).unwrap();
    log.write_commit(Index(2)).unwrap();
    drop(log);
    let (mut log, restored) = Folder::open(folder.path(), Limits::default()).unwrap();
    assert_eq!((restored.committed, restored.records.len()), (Index(3), 4));
    let ready = Ready {
        committed: Index(9),
        ..records(1, 5..=5)
    };
    log.write(&ready).unwrap();
    drop(log);
    let (_, restored) = Folder::open(folder.path(), Limits::default()).unwrap();
    let node = Node::new(restored, Timing::default(), 1, Tick::default());
    assert_eq!(node.committed(), Index(5), "only what is in the log can be applied");
}
