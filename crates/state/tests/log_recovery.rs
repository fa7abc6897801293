//! A node that died in the middle of a write starts again; one whose disk was damaged or ran full says so.

use std::fs::{self, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use state::disk::{DiskError, Folder, Limits, Space, check_folder};
use state::raft::{Hard, Index, Payload, Position, Ready, Record, Snapshot, Term};

const SMALL: Limits = Limits {
    segment: 200,
    snapshot: 400,
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

/// Writes three syncs of records and gives the only segment.
fn written(folder: &Path) -> PathBuf {
    let (mut open, _) = Folder::open(folder, Limits::default()).unwrap();
    for range in [1..=2, 3..=4, 5..=6] {
        open.write(&records(1, range)).unwrap();
    }
    folder.join("log-0000000000000001")
}

fn flip(file: &Path, from_end: usize) {
    let mut bytes = fs::read(file).unwrap();
    let at = bytes.len() - from_end;
    bytes[at] ^= 1;
    fs::write(file, bytes).unwrap();
}

/// Power is lost while the last records are on their way to the disk. Nobody was told of them, so they are cut off.
#[test]
fn torn_tail() {
    let folder = tempfile::tempdir().unwrap();
    let segment = written(folder.path());
    let file = OpenOptions::new().write(true).open(&segment).unwrap();
    file.set_len(file.metadata().unwrap().len() - 3).unwrap();
    assert!(check_folder(folder.path()).unwrap().torn_bytes > 0);
    let (mut open, restored) = Folder::open(folder.path(), Limits::default()).unwrap();
    assert_eq!(restored.records.last(), Some(&record(1, 4)));
    open.write(&records(2, 5..=5)).unwrap();
    drop(open);
    assert_eq!(check_folder(folder.path()).unwrap().log_end, record(2, 5).at);
}

/// A disk flips a bit in the middle of the log. What stands behind it was acknowledged, so starting without it would lose
/// what operators and callers were promised; the node says where the damage is and stops.
#[test]
fn damaged_middle() {
    let folder = tempfile::tempdir().unwrap();
    let segment = written(folder.path());
    flip(&segment, 60);
    let error = Folder::open(folder.path(), Limits::default()).unwrap_err();
    let DiskError::Damaged { file, offset } = &error else {
        panic!("{error}");
    };
    assert_eq!(*file, segment);
    assert!(*offset > 8 && error.to_string().contains("offset"), "{error}");
    assert_eq!(check_folder(folder.path()).unwrap_err().to_string(), error.to_string());
}

/// A length in the middle of the log is damaged and points far behind the end. It must not be taken for a torn tail.
#[test]
fn damaged_length() {
    let folder = tempfile::tempdir().unwrap();
    let segment = written(folder.path());
    let mut bytes = fs::read(&segment).unwrap();
    bytes[10] = 0x7f;
    fs::write(&segment, bytes).unwrap();
    assert!(matches!(
        check_folder(folder.path()),
        Err(DiskError::Damaged { offset: 8, .. })
    ));
}

/// A snapshot or the end of an older segment is damaged. Both were whole when they got their names.
#[test]
fn damaged_old() {
    let folder = tempfile::tempdir().unwrap();
    let (mut open, _) = Folder::open(folder.path(), SMALL).unwrap();
    (1..=20).for_each(|index| open.write(&records(1, index..=index)).unwrap());
    drop(open);
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
    let (mut open, _) = Folder::open(folder.path(), SMALL).unwrap();
    open.keep(&snapshot(1, 20)).unwrap();
    drop(open);
    flip(&folder.path().join("snapshot-0000000000000020"), 2);
    assert!(matches!(check_folder(folder.path()), Err(DiskError::Damaged { .. })));
}

/// A file of a later version of the program is refused by name instead of being read wrongly.
#[test]
fn other_version() {
    let folder = tempfile::tempdir().unwrap();
    let segment = written(folder.path());
    let mut bytes = fs::read(&segment).unwrap();
    bytes[7] = 9;
    fs::write(&segment, bytes).unwrap();
    assert!(matches!(
        check_folder(folder.path()),
        Err(DiskError::Version { found: 9, .. })
    ));
}

/// A follower's tail is replaced by the new leader's records; after a restart only the new ones may be there.
#[test]
fn replaced_tail() {
    let folder = tempfile::tempdir().unwrap();
    let (mut open, _) = Folder::open(folder.path(), SMALL).unwrap();
    open.write(&records(1, 1..=9)).unwrap();
    let hard = Hard {
        term: Term(2),
        vote: None,
    };
    open.write(&Ready {
        hard: Some(hard),
        ..records(2, 5..=6)
    })
    .unwrap();
    drop(open);
    let (_, restored) = Folder::open(folder.path(), SMALL).unwrap();
    assert_eq!(restored.hard, hard);
    assert_eq!(restored.records.len(), 6);
    assert_eq!(restored.records.last(), Some(&record(2, 6)));
}

/// The log grows for as long as the group lives; what a snapshot covers is removed, so a start reads little.
#[test]
fn bounded_restart() {
    let folder = tempfile::tempdir().unwrap();
    let (mut open, _) = Folder::open(folder.path(), SMALL).unwrap();
    let hard = Hard {
        term: Term(1),
        vote: None,
    };
    open.write(&Ready {
        hard: Some(hard),
        ..Ready::default()
    })
    .unwrap();
    for index in 1..=500 {
        open.write(&records(1, index..=index)).unwrap();
        if open.wants_snapshot() {
            open.keep(&snapshot(1, index)).unwrap();
        }
    }
    drop(open);
    let report = check_folder(folder.path()).unwrap();
    assert!(report.segments <= 5 && report.records <= 20, "{report:?}");
    assert_eq!((report.log_end, report.hard_state), (record(1, 500).at, hard));
}

/// A second process is started on the same folder by mistake. Two writers would ruin the log, so it is refused.
#[test]
fn folder_taken() {
    let folder = tempfile::tempdir().unwrap();
    let _open = Folder::open(folder.path(), SMALL).unwrap();
    assert!(matches!(
        Folder::open(folder.path(), SMALL),
        Err(DiskError::InUse { .. })
    ));
}

#[derive(Debug)]
struct Room(Arc<AtomicUsize>);

impl Space for Room {
    fn take(&self, bytes: usize) -> io::Result<()> {
        let taken = self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| left.checked_sub(bytes));
        taken.map(drop).map_err(|_left| io::ErrorKind::StorageFull.into())
    }
}

/// The disk runs full. The write is refused as a whole, and once there is room the same write succeeds.
#[test]
fn full_disk() {
    let folder = tempfile::tempdir().unwrap();
    let room = Arc::new(AtomicUsize::new(100));
    let (mut open, _) = Folder::open_with(folder.path(), SMALL, Arc::new(Room(Arc::clone(&room)))).unwrap();
    open.write(&records(1, 1..=2)).unwrap();
    let more = records(1, 3..=9);
    assert!(open.write(&more).unwrap_err().is_full());
    assert!(open.write(&more).unwrap_err().is_full());
    room.store(10_000, Ordering::Relaxed);
    open.write(&more).unwrap();
    drop(open);
    let (_, restored) = Folder::open(folder.path(), SMALL).unwrap();
    assert_eq!(restored.records.len(), 9);
}

/// A snapshot is written while the log goes on, and the process dies right after it is there. What came in meanwhile must
/// be found behind it.
#[test]
fn snapshot_meanwhile() {
    let folder = tempfile::tempdir().unwrap();
    let (mut open, _) = Folder::open(folder.path(), SMALL).unwrap();
    (1..=30).for_each(|index| open.write(&records(1, index..=index)).unwrap());
    open.keep_later(snapshot(1, 20)).unwrap();
    for index in 31..=60 {
        open.write(&records(1, index..=index)).unwrap();
        open.finish().unwrap();
    }
    while !folder.path().join("snapshot-0000000000000020").exists() {
        std::thread::yield_now();
    }
    open.finish().unwrap();
    drop(open);
    let (_, restored) = Folder::open(folder.path(), SMALL).unwrap();
    assert_eq!(restored.snapshot.at, record(1, 20).at);
    assert_eq!(restored.records.len(), 40);
}
