//! Crashes of upstreams, counted by the request that ran on them.

use std::time::Duration;

use contract::Fingerprint;
use policy::Tick;
use policy::quarantine::{Crash, CrashHistory, MAX_CRASHES, MEMORY_TIME};
use quickcheck::quickcheck;

fn request(content: u64) -> Fingerprint {
    Fingerprint { account: 1, content }
}

fn crash(upstream: u64, attempt: u64, at_ms: u64) -> Crash {
    Crash {
        upstream,
        attempt,
        at: Tick::from_millis(at_ms),
    }
}

fn record(history: &mut CrashHistory, crashes: &[(u64, u64, u64)]) {
    for (upstream, attempt, at_ms) in crashes {
        let at = Tick::from_millis(*at_ms);
        history.record(request(1), crash(*upstream, *attempt, *at_ms), at);
    }
}

/// Guards against a request that goes on crashing upstreams because its tries are counted one by one.
#[test]
fn over_tries() {
    let mut history = CrashHistory::default();
    record(&mut history, &[(1, 7, 100), (2, 7, 103), (3, 8, 140)]);
    let now = Tick::from_millis(150);
    assert_eq!(history.count(&request(1), now), 3);
    assert_eq!(history.quarantined(now).len(), 1);
    let other = Fingerprint { account: 2, content: 1 };
    assert_eq!(history.count(&other, now), 0, "another account sent the same");
}

/// Guards against a popular lookup that is refused because many callers asked for it when a rack was lost.
#[test]
fn popular_lookup() {
    let mut history = CrashHistory::default();
    let lost: Vec<(u64, u64, u64)> = (0..9).map(|caller| (caller, caller, 100 + caller)).collect();
    record(&mut history, &lost);
    assert_eq!(history.count(&request(1), Tick::from_millis(200)), 1);
}

/// Guards against a crash that counts more than once, as hosts report it again to each new leader.
#[test]
fn told_again() {
    let mut history = CrashHistory::default();
    record(&mut history, &[(1, 7, 100), (1, 7, 100), (1, 7, 160), (2, 8, 150)]);
    assert_eq!(history.count(&request(1), Tick::from_millis(200)), 2);
}

/// Guards against a request that stays refused although it has run to its end, or long after its last crash.
#[test]
fn forgotten() {
    let mut history = CrashHistory::default();
    record(&mut history, &[(1, 7, 100), (2, 7, 150), (3, 7, 200)]);
    let end = Tick::from_millis(200) + MEMORY_TIME;
    assert_eq!(history.quarantined(end - Duration::from_millis(1)).len(), 1);
    assert!(history.quarantined(end).is_empty());
    record(&mut history, &[(4, 9, 40_000)]);
    assert_eq!(history.count(&request(1), Tick::from_millis(40_000)), 1);
    assert!(history.clear(&request(1)));
    assert!(history.is_empty());
}

/// Guards against memory that grows with the number of requests that were lost.
#[test]
fn many_requests() {
    let mut history = CrashHistory::default();
    let now = Tick::from_millis(100);
    let kept = (0..20_000).filter(|content| history.record(request(*content), crash(1, *content, 100), now));
    let kept = kept.count();
    assert!((1_000..10_000).contains(&kept), "{kept} requests are remembered");
    let later = now + MEMORY_TIME;
    assert!(history.record(request(30_000), crash(2, 1, 30_100), later));
}

quickcheck! {
    /// The order in which crashes are reported doesn't matter, and no more are counted than upstreams have crashed.
    fn any_order(crashes: Vec<(u8, u8, u16)>) -> bool {
        let crashes: Vec<(u64, u64, u64)> = crashes
            .into_iter()
            .enumerate()
            .map(|(index, (_, attempt, at_ms))| (index as u64, u64::from(attempt % 4), u64::from(at_ms % 1_000)))
            .collect();
        let mut sorted = crashes.clone();
        sorted.sort_by_key(|(upstream, _, at_ms)| (*at_ms, *upstream));
        let (mut as_told, mut in_order) = (CrashHistory::default(), CrashHistory::default());
        record(&mut as_told, &crashes);
        record(&mut in_order, &sorted);
        let now = Tick::from_millis(1_000);
        let (told, ordered) = (as_told.count(&request(1), now), in_order.count(&request(1), now));
        let is_quarantined = !in_order.quarantined(now).is_empty();
        told <= crashes.len() && told == ordered && is_quarantined == (ordered >= MAX_CRASHES)
    }
}
