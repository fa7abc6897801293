//! A data centre that is cut off is detected by the lack of traffic from it.

use policy::Tick;
use policy::reach::Reachability;

fn at(ms: u64) -> Tick {
    Tick::from_millis(ms)
}

/// A data centre is cut off while requests wait there. New requests must avoid it after a third of a second. A
/// repeatable one probes it a second later, one that may run only once only after four, and anything received from it
/// ends the silence at once.
#[test]
fn cut_off() {
    let reachability = Reachability::default();
    reachability.record_received(at(1_000));
    reachability.record_wait(at(1_010), at(1_200));
    assert!(!reachability.is_silent(true, at(1_200)));
    reachability.record_wait(at(1_010), at(1_350));
    assert!(reachability.is_silent(false, at(1_400)) && reachability.is_silent(true, at(1_400)));
    assert!(!reachability.is_silent(false, at(2_400)) && reachability.is_silent(true, at(2_400)));
    reachability.record_received(at(2_500));
    assert!(!reachability.is_silent(true, at(2_501)));
}

/// One upstream hangs, or prefills a long prompt, while others of its data centre answer. The data centre must not
/// count as silent.
#[test]
fn one_hangs() {
    let reachability = Reachability::default();
    reachability.record_received(at(2_900));
    reachability.record_wait(at(1_000), at(3_000));
    reachability.record_connect_timeout(at(3_000));
    assert!(!reachability.is_silent(true, at(3_000)));
}
