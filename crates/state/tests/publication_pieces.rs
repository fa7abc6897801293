//! Publications that are too large for one entry of the log.

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

fn piece(ask: &Publish, offset: usize, most: usize) -> Upload {
    let bytes = postcard::to_stdvec(ask).unwrap();
    Upload {
        id: UploadId {
            version: ask.catalog.version,
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

/// Sends the next piece of a publication; gives what was published.
fn step(applied: &mut AppliedState, (ask, held): (&Publish, &mut usize), most: usize) -> Option<Published> {
    match apply(applied, piece(ask, *held, most), 0) {
        Uploaded::Held(bytes) => *held = bytes as usize,
        Uploaded::Published(published) => return Some(published),
        other => panic!("{other:?}"),
    }
    None
}

quickcheck! {
    /// Guards against a document that is put together of two, or from a piece that came twice, when two operators publish at
    /// once and pieces are sent again.
    fn whole_and_own(steps: Vec<u8>, lengths: (u8, u8)) -> bool {
        let asks = [publication(2, lengths.0), publication(3, lengths.1)];
        let mut held = [0; 2];
        let mut done = [false; 2];
        let mut applied = AppliedState::default();
        let rest = (0..=255).chain(0..=255);
        for step_at in steps.into_iter().chain(rest) {
            let which = usize::from(step_at & 1);
            if step_at % 5 == 0 {
                // An old piece arrives again.
                apply(&mut applied, piece(&asks[which], 0, 3), 0);
            } else if !done[which] {
                done[which] = step(&mut applied, (&asks[which], &mut held[which]), 7).is_some();
            }
        }
        done == [true; 2] && applied.published.is_some_and(|newest| *newest == asks[1])
    }
}

/// Guards against memory that is kept for a publication whose operator has given up.
#[test]
fn abandoned() {
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
