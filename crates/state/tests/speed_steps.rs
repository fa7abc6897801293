//! Guards against a new leader that takes from hosts what an earlier one has told them of lasting speeds.

use contract::NodeId;
use policy::Tick;
use state::registry::{EntryRegistry, SharedLimits};
use wire::registry::{Heartbeat, UpstreamObservation};

/// Sends a heartbeat with answers that took twice as long as usual; returns the step that the leader tells the host.
fn report(leader: &mut EntryRegistry, host: &str, answers: u32, at_ms: u64) -> Option<i8> {
    let observation = UpstreamObservation {
        id: "u1".to_owned(),
        load: Some((3, 0, 0)),
        times: Some((answers as i32 * 100, answers)),
        ..UpstreamObservation::default()
    };
    let heartbeat = Heartbeat {
        run: 1,
        signs: vec![observation],
        ..Heartbeat::default()
    };
    let limits = SharedLimits {
        entry_hosts: 2,
        ..SharedLimits::default()
    };
    let now = Tick::from_millis(at_ms);
    let update = leader.heartbeat(1, (&NodeId::from(host), heartbeat), &limits, now)?;
    update.signs.iter().find_map(|observed| observed.step)
}

#[test]
fn new_leader() {
    let mut leader = EntryRegistry::default();
    assert_eq!(report(&mut leader, "e1", 20, 1_000), None);
    assert_eq!(
        report(&mut leader, "e2", 20, 1_200),
        Some(2),
        "answers of both hosts count"
    );
    let mut leader = EntryRegistry::default();
    assert_eq!(report(&mut leader, "e1", 20, 2_000), None);
}
