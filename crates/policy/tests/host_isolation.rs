//! When an entry host counts as cut off from the upstreams of a service.

use std::time::Duration;

use policy::Tick;
use policy::isolation::{Evidence, Isolation, Path};
use policy::reach::SILENCE;

const EXPECTED: Duration = Duration::from_millis(100);
/// Pause before the first probe.
const PROBE_MS: u64 = 500;

fn at(ms: u64) -> Tick {
    Tick::from_millis(ms)
}

/// Returns a host that was found to be cut off at a time.
fn isolated(ms: u64) -> Isolation {
    let mut isolation = Isolation::default();
    assert_eq!(isolation.record_bypassed("a", at(ms)), None);
    assert_eq!(isolation.record_bypassed("b", at(ms)), Some(Evidence::Bypassed));
    isolation
}

/// Guards against a host that goes on trying its own link while others reach what it does not.
#[test]
fn bypassed_twice() {
    let isolation = isolated(1_000);
    assert!(isolation.is_isolated());
    assert_eq!(isolation.path_to("c", at(1_000)), Path::Relay);
}

/// Guards against a whole service being left because one upstream is out of reach: only that one is reached through
/// others, and for a while.
#[test]
fn single_upstream() {
    let mut isolation = Isolation::default();
    isolation.record_bypassed("a", at(1_000));
    isolation.record_bypassed("a", at(1_200));
    assert!(!isolation.is_isolated());
    assert_eq!(isolation.path_to("a", at(2_100)), Path::Relay);
    assert_eq!(isolation.path_to("b", at(1_200)), Path::Own);
    assert_eq!(isolation.path_to("a", at(2_300)), Path::Own);
}

/// Guards against a cut being inferred from failures between which a connection succeeded.
#[test]
fn connected_between() {
    let mut isolation = Isolation::default();
    isolation.record_bypassed("a", at(1_000));
    isolation.record_connected("c", at(1_100));
    assert_eq!(isolation.record_bypassed("b", at(1_200)), None);
    assert!(!isolation.is_isolated());
}

/// Guards against a host that waits for its callers' deadlines while connections that are open hang.
#[test]
fn overdue_everywhere() {
    let mut isolation = Isolation::default();
    isolation.record_sent("a", EXPECTED, at(1_000));
    isolation.record_sent("b", EXPECTED, at(1_010));
    let due = at(1_010) + EXPECTED + SILENCE;
    assert_eq!(isolation.check_silence(at(1_300)), None, "not overdue yet");
    assert_eq!(isolation.check_silence(due), Some(Evidence::Silent));
    assert!(!isolation.is_stranded(at(1_000)), "the upstreams may be silent");
    isolation.record_relayed("c");
    assert_eq!(isolation.probe_target(), Some("c"));
    isolation.record_probe_failure("c");
    assert!(isolation.is_stranded(at(1_000)) && !isolation.is_stranded(due + EXPECTED));
}

/// Guards against upstreams that nobody reaches being taken for a cut of this host's link.
#[test]
fn silent_for_all() {
    let mut isolation = Isolation::default();
    isolation.record_sent("a", EXPECTED, at(1_000));
    isolation.record_sent("b", EXPECTED, at(1_000));
    assert_eq!(isolation.check_silence(at(2_000)), Some(Evidence::Silent));
    assert!(isolation.claim_probe(at(2_100)), "a guess is checked soon");
    isolation.record_probe_failure("a");
    assert!(!isolation.is_stranded(at(1_000)));
}

/// Guards against a host whose connections are accepted and break, which loses one request after the other.
#[test]
fn broken_everywhere() {
    let mut isolation = Isolation::default();
    assert_eq!(isolation.record_broken("a", at(1_000)), None);
    assert_eq!(isolation.record_broken("b", at(1_100)), Some(Evidence::Broken));
    let mut answered = Isolation::default();
    answered.record_broken("a", at(1_000));
    answered.record_received(at(1_050));
    assert_eq!(
        answered.record_broken("b", at(1_100)),
        None,
        "something arrived between"
    );
}

/// Guards against slow upstreams being taken for a cut: something arrives from another one, or only one of them waits.
#[test]
fn slow_upstreams() {
    let mut isolation = Isolation::default();
    isolation.record_sent("a", EXPECTED, at(1_000));
    isolation.record_sent("a", EXPECTED, at(1_010));
    assert_eq!(isolation.check_silence(at(3_000)), None, "one upstream");
    let answered = isolation.record_sent("b", EXPECTED, at(1_020));
    isolation.record_received(at(1_100));
    isolation.record_ended(answered);
    isolation.record_sent("c", EXPECTED, at(1_200));
    assert_eq!(
        isolation.check_silence(at(3_000)),
        None,
        "one upstream since the last response"
    );
}

/// Guards against a response on an old connection being taken for a working link while new connections fail.
#[test]
fn old_connection_answers() {
    let mut isolation = isolated(1_000);
    isolation.record_received(at(1_200));
    assert!(isolation.is_isolated());
}

/// Guards against probes that pile up: one is due at a time, and callers' requests do not probe.
#[test]
fn one_probe() {
    let mut isolation = isolated(1_000);
    assert!(!isolation.claim_probe(at(1_000 + PROBE_MS - 1)));
    assert!(isolation.claim_probe(at(1_000 + PROBE_MS)));
    assert!(!isolation.claim_probe(at(1_001 + PROBE_MS)));
    assert!(isolation.claim_probe(at(1_000 + 2 * PROBE_MS)));
    let lasted = isolation.record_recovery(at(2_100));
    assert_eq!(lasted, Some(Duration::from_millis(1_100)));
    assert!(!isolation.is_isolated() && !isolation.claim_probe(at(9_000)));
}

/// Guards against requests that are lost at each probe where connections succeed but carry nothing.
#[test]
fn wrong_probes() {
    let mut isolation = isolated(1_000);
    isolation.record_recovery(at(1_500));
    isolation.record_bypassed("a", at(1_600));
    isolation.record_bypassed("b", at(1_600));
    assert!(!isolation.claim_probe(at(1_600 + PROBE_MS)));
    assert!(isolation.claim_probe(at(1_600 + 2 * PROBE_MS)));
}
