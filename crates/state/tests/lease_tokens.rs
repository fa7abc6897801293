//! A lease has one holder at a time, and every later holder gets a greater fencing token.

use quickcheck::{Gen, QuickCheck};
use state::applied::{AppliedState, Command, LogEntry, Reply};
use wire::state::{Lease, Leased};

const TTL_MS: u64 = 1_000;

fn lease(applied: &mut AppliedState, at_ms: u64, holder: &str, ttl_ms: u64) -> Leased {
    let lease = Lease {
        name: "capacity".to_owned(),
        holder: holder.into(),
        ttl_ms,
    };
    let entry = LogEntry {
        at_ms,
        wall_ms: 0,
        command: Command::Lease(lease),
    };
    match applied.apply(&entry) {
        Reply::Leased(answer) => answer,
        other => panic!("{other:?}"),
    }
}

/// A holder renews its lease and releases it. If a renewal changed the token, engines would refuse the holder's older
/// orders; if a later holder got the same token, they could not tell the two apart.
#[test]
fn renewed_token() {
    let mut applied = AppliedState::default();
    let first = lease(&mut applied, 1, "a", TTL_MS);
    assert_eq!(lease(&mut applied, 900, "a", TTL_MS), first);
    assert_eq!(
        lease(&mut applied, 1_800, "b", TTL_MS),
        Leased::Taken { by: "a".into() }
    );
    assert_eq!(lease(&mut applied, 1_801, "a", 0), Leased::Released);
    assert!(
        matches!(lease(&mut applied, 1_802, "b", TTL_MS), Leased::Held { token } if Leased::Held { token } != first)
    );
}

/// Controllers are paused, resume and ask again at any time. An engine that remembers the greatest token it has seen
/// must be able to tell an old holder from the new one, and no two holders may have the lease at the same log time.
#[test]
fn growing_tokens() {
    fn property(asks: Vec<(u8, u16, bool)>) -> bool {
        let mut applied = AppliedState::default();
        let mut now = 0;
        let mut newest = 0;
        let mut held: Option<(u8, u64)> = None;
        for (holder, wait, release) in asks {
            let holder = holder % 3;
            now += u64::from(wait % 700);
            let ttl = if release { 0 } else { TTL_MS };
            let other = held.filter(|(by, until)| *by != holder && *until > now);
            match lease(&mut applied, now, &format!("holder-{holder}"), ttl) {
                Leased::Held { token } => {
                    let same = held.is_some_and(|(by, until)| by == holder && until > now);
                    if other.is_some() || token < newest || (!same && token == newest) {
                        return false;
                    }
                    newest = token;
                    held = Some((holder, now + TTL_MS));
                }
                Leased::Taken { .. } if other.is_none() => return false,
                Leased::Released if other.is_none() => held = None,
                _ => {}
            }
        }
        true
    }
    let random = Gen::from_size_and_seed(80, 13);
    QuickCheck::new()
        .rng(random)
        .tests(1_000)
        .quickcheck(property as fn(Vec<(u8, u16, bool)>) -> bool);
}
