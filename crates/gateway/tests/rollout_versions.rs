//! The version that an entry host sends a request to while a rollout runs, and after its end.

use std::time::Duration;

use contract::{ListedUpstream, RolloutState, ServiceName, Zone};
use gateway::upstreams::{NoUpstream, UpstreamNeed, Upstreams};
use policy::Tick;
use wire::rollout::RolloutPlan;

const NOW: Tick = Tick::from_millis(10_000);

fn listed(id: &str, version: &str) -> ListedUpstream {
    ListedUpstream {
        id: id.to_owned(),
        start: 1,
        service: ServiceName::from("till"),
        address: ([127, 0, 0, 1], 1).into(),
        zone: Zone::from("z"),
        version: version.to_owned(),
        slots: 4,
        leaving: false,
        reclaimable: false,
        cold: Duration::ZERO,
        left: None,
    }
}

/// Returns upstreams of both versions with a plan that arrived at [`NOW`].
fn upstreams(versions: &[&str], state: RolloutState, share: f64) -> Upstreams {
    let mut upstreams = Upstreams::default();
    let entry = |(at, version): (usize, &&str)| listed(&format!("u{at}-{version}"), version);
    upstreams.update(versions.iter().enumerate().map(entry).collect(), NOW);
    let plan = RolloutPlan {
        service: "till".into(),
        version: "v2".to_owned(),
        id: 1,
        state,
        share,
    };
    upstreams.rollouts.update(vec![plan], NOW);
    upstreams
}

/// Returns the version that a request goes to, `age` after the plan arrived.
fn choose(upstreams: &Upstreams, draw: f64, tried: &[String], age: Duration) -> Result<String, NoUpstream> {
    choose_after(upstreams, None, (draw, tried), age)
}

/// Returns the version that a stream goes on at that began at `began`; `None` if it has not begun.
fn choose_after(
    upstreams: &Upstreams,
    began: Option<&str>,
    (draw, tried): (f64, &[String]),
    age: Duration,
) -> Result<String, NoUpstream> {
    let (service, zone) = (ServiceName::from("till"), Zone::from("z"));
    let need = UpstreamNeed {
        service: &service,
        prompt_parts: &[],
        tried,
        zone: &zone,
        runs_once: true,
        max_pause_ms: 0,
        entry_hosts: 1,
        copy_ms: None,
        draw,
        version: began,
    };
    let chosen = upstreams.choose(&need, NOW + age)?;
    Ok(chosen.id.split('-').next_back().unwrap_or_default().to_owned())
}

/// Guards against a bad version that goes on getting requests after its rollback.
#[test]
fn rolled_back_avoided() {
    let both = upstreams(&["v1", "v2", "v2"], RolloutState::RolledBack, 0.0);
    for draw in [0.0, 0.5, 0.99] {
        assert_eq!(choose(&both, draw, &[], Duration::ZERO), Ok("v1".to_owned()));
    }
    let bad_only = upstreams(&["v2"], RolloutState::RolledBack, 0.0);
    assert_eq!(choose(&bad_only, 0.0, &[], Duration::ZERO), Err(NoUpstream::NoneListed));
}

/// Guards against requests at old upstreams that stop at the end of a successful rollout.
#[test]
fn succeeded_taken() {
    let both = upstreams(&["v1", "v1", "v2"], RolloutState::Succeeded, 1.0);
    assert_eq!(choose(&both, 0.99, &[], Duration::from_secs(20)), Ok("v2".to_owned()));
    let old_only = upstreams(&["v1"], RolloutState::Succeeded, 1.0);
    assert_eq!(choose(&old_only, 0.5, &[], Duration::ZERO), Ok("v1".to_owned()));
}

/// Guards against more requests for a version on trial than its share, from repeated attempts or a stale plan.
#[test]
fn share_kept() {
    let both = upstreams(&["v1", "v1", "v2", "v2"], RolloutState::Running, 0.1);
    assert_eq!(choose(&both, 0.05, &[], Duration::ZERO), Ok("v2".to_owned()));
    assert_eq!(choose(&both, 0.2, &[], Duration::ZERO), Ok("v1".to_owned()));
    let tried = ["u2-v2".to_owned()];
    assert_eq!(choose(&both, 0.05, &tried, Duration::ZERO), Ok("v1".to_owned()));
    assert_eq!(choose(&both, 0.05, &[], Duration::from_secs(3)), Ok("v1".to_owned()));
}

/// Guards against refusals while only the version on trial has upstreams, such as after a reclaim of all old ones.
#[test]
fn only_version_left() {
    let new_only = upstreams(&["v2"], RolloutState::Running, 0.1);
    assert_eq!(choose(&new_only, 0.9, &[], Duration::ZERO), Ok("v2".to_owned()));
}

/// Guards against streams that go on at another version because of the share or the end of a rollout.
#[test]
fn begun_streams_stay() {
    let tried = ["u2-v2".to_owned()];
    let goes_on = |upstreams: &Upstreams, began| choose_after(upstreams, Some(began), (0.5, &tried), Duration::ZERO);
    let versions = ["v1", "v1", "v2", "v2"];
    let running = upstreams(&versions, RolloutState::Running, 0.1);
    assert_eq!(goes_on(&running, "v2"), Ok("v2".to_owned()));
    assert_eq!(goes_on(&running, "v1"), Ok("v1".to_owned()));
    assert_eq!(goes_on(&running, "v0"), Err(NoUpstream::NoVersion));
    let succeeded = upstreams(&versions, RolloutState::Succeeded, 1.0);
    assert_eq!(goes_on(&succeeded, "v1"), Ok("v1".to_owned()));
    let rolled_back = upstreams(&versions, RolloutState::RolledBack, 0.0);
    assert_eq!(goes_on(&rolled_back, "v2"), Err(NoUpstream::NoneListed));
}
