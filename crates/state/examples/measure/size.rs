//! Cost of a stored claim: memory, bytes in a snapshot, and the time for which encoding the snapshot blocks the leader.

use std::time::Instant;

use state::applied::{AppliedState, Command, LogEntry};
use wire::state::{Claim, Outcome, Settle};

use crate::process::memory_mib;

pub(crate) fn run() {
    println!(
        "{:>10} {:>12} {:>16} {:>10} {:>10}",
        "claims", "bytes each", "memory, B each", "encode ms", "decode ms"
    );
    let before = memory_mib(std::process::id());
    let mut applied = AppliedState::default();
    let mut number = 0;
    for count in [10_000, 100_000, 1_000_000] {
        while number < count {
            add_claim(&mut applied, number);
            number += 1;
        }
        let memory = (memory_mib(std::process::id()) - before) * 1_048_576.0 / f64::from(count);
        let begin = Instant::now();
        let bytes = postcard::to_stdvec(&applied).unwrap();
        let encoded = begin.elapsed();
        let begin = Instant::now();
        let again: AppliedState = postcard::from_bytes(&bytes).unwrap();
        let decoded = begin.elapsed();
        assert_eq!(again.claim_count(), applied.claim_count());
        println!(
            "{count:>10} {:>12.0} {memory:>16.0} {:>10.1} {:>10.1}",
            bytes.len() as f64 / f64::from(count),
            encoded.as_secs_f64() * 1e3,
            decoded.as_secs_f64() * 1e3
        );
    }
}

/// Adds a claim with the outcome of a small booking.
fn add_claim(applied: &mut AppliedState, number: i32) {
    let key = format!("deposit-{number:08}");
    let request = format!("entry-1-19ac4b2f1e0-{number}");
    let claim = Claim {
        group: 0,
        customer: "tan-seng-huat".into(),
        key: key.clone(),
        digest: format!("{number:064x}"),
        request: request.as_str().into(),
        hold_ms: 10_000,
    };
    let settle = Settle {
        group: 0,
        customer: "tan-seng-huat".into(),
        key,
        request: request.as_str().into(),
        outcome: Outcome::Answered {
            status: 201,
            media: "application/json".to_owned(),
            body: vec![b'x'; 64],
        },
    };
    for command in [Command::Claim(claim), Command::Settle(settle)] {
        applied.apply(&LogEntry {
            at_ms: 1,
            wall_ms: 0,
            command,
        });
    }
}
