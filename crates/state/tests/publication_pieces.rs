//! Publications that are too large for one log entry.

use contract::Catalog;
use quickcheck::quickcheck;
use state::applied::{AppliedState, Command, LogEntry, Reply};
use wire::catalog::{Publish, Published, Upload, UploadId, Uploaded};

fn publication(version: u64, length: u8) -> Publish {
    Publish {
        document: (0..length).map(|at| at ^ version as u8).collect(),
        catalog: Catalog {
            version,
            ..Catalog::default()
        },
    }
}

fn piece(publish: &Publish, offset: usize, most: usize) -> Upload {
    let bytes = postcard::to_stdvec(publish).unwrap();
    Upload {
        id: UploadId {
            version: publish.catalog.version,
            digest: crc32fast::hash(&bytes),
            total: bytes.len() as u64,
        },
        offset: offset as u64,
        bytes: bytes[offset..bytes.len().min(offset + most)].to_vec(),
    }
}

fn apply(applied: &mut AppliedState, upload: Upload, at_ms: u64) -> Uploaded {
    let entry = LogEntry {
        at_ms,
        wall_ms: 0,
        command: Command::Upload(upload),
    };
    match applied.apply(&entry) {
        Reply::Uploaded(uploaded) => uploaded,
        other => panic!("{other:?}"),
    }
}

/// Applies the next piece of a publication; returns the answer of the last one.
fn apply_next(
    applied: &mut AppliedState,
    (publish, uploaded): (&Publish, &mut usize),
    most: usize,
) -> Option<Published> {
    match apply(applied, piece(publish, *uploaded, most), 0) {
        Uploaded::Held(bytes) => *uploaded = bytes as usize,
        Uploaded::Published(published) => return Some(published),
        other => panic!("{other:?}"),
    }
    None
}

quickcheck! {
    /// Guards against a document that is assembled from pieces of two, or with a piece twice, when two operators
    /// publish at the same time and pieces are repeated.
    fn interleaved_uploads(steps: Vec<u8>, lengths: (u8, u8)) -> bool {
        let publications = [publication(2, lengths.0), publication(3, lengths.1)];
        let mut uploaded = [0; 2];
        let mut done = [false; 2];
        let mut applied = AppliedState::default();
        let rest = (0..=255).chain(0..=255);
        for choice in steps.into_iter().chain(rest) {
            let which = usize::from(choice & 1);
            if choice % 5 == 0 {
                // An earlier piece arrives again.
                apply(&mut applied, piece(&publications[which], 0, 3), 0);
            } else if !done[which] {
                done[which] = apply_next(&mut applied, (&publications[which], &mut uploaded[which]), 7).is_some();
            }
        }
        done == [true; 2] && applied.published.is_some_and(|newest| *newest == publications[1])
    }
}

/// Guards against memory that is kept for a publication that its operator abandoned.
#[test]
fn abandoned_upload() {
    let mut applied = AppliedState::default();
    apply(&mut applied, piece(&publication(2, 90), 0, 10), 0);
    apply(&mut applied, piece(&publication(3, 90), 0, 10), 60_000);
    let late = apply(&mut applied, piece(&publication(2, 90), 10, 10), 60_000);
    assert_eq!(
        late,
        Uploaded::Held(0),
        "the first piece was dropped and is asked for again"
    );
}
