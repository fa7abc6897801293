//! A node that died in the middle of a write starts again; one whose log was damaged refuses.

use std::fs::OpenOptions;
use std::io::{Read, Seek, SeekFrom, Write};

use state::applied::{Command, Entry};
use state::single::{DiskError, Log};
use wire::state::Lease;

fn entry(number: u64) -> Entry {
    let lease = Lease {
        name: format!("lease-{number}"),
        holder: "n".into(),
        ttl_ms: 9,
    };
    Entry {
        at_ms: number,
        command: Command::Lease(lease),
    }
}

fn written(folder: &std::path::Path) {
    let (mut log, _) = Log::open(folder).unwrap();
    log.append(&[entry(1), entry(2), entry(3)]).unwrap();
}

/// Power is lost while the last record is on its way to the disk. Nobody was told of it, so it is cut off.
#[test]
fn torn_tail() {
    let folder = tempfile::tempdir().unwrap();
    written(folder.path());
    let file = OpenOptions::new().write(true).open(folder.path().join("log")).unwrap();
    file.set_len(file.metadata().unwrap().len() - 3).unwrap();
    let (_, entries) = Log::open(folder.path()).unwrap();
    assert_eq!(entries, vec![entry(1), entry(2)]);
}

/// A disk flips a byte in the middle of the log. Entries behind it were acknowledged, so starting without them would
/// lose what operators and callers were promised; the node says where the damage is and stops.
#[test]
fn damaged_middle() {
    let folder = tempfile::tempdir().unwrap();
    written(folder.path());
    let mut file = OpenOptions::new()
        .read(true)
        .write(true)
        .open(folder.path().join("log"))
        .unwrap();
    let mut byte = [0];
    file.seek(SeekFrom::Start(20)).unwrap();
    file.read_exact(&mut byte).unwrap();
    file.seek(SeekFrom::Start(20)).unwrap();
    file.write_all(&[byte[0] ^ 1]).unwrap();
    assert!(matches!(
        Log::open(folder.path()),
        Err(DiskError::Damaged { offset: 8, .. })
    ));
}
