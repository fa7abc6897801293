//! The control loop against cloud and engine stand-ins: starts, drains, reclaims, and controllers that die in between.

mod common;

use capacity::cli::Options;
use common::{FakeGroup, POOL_FLAGS, Process, contract_config, post, standin_report, start_cloud};
use contract::{Change, Config, HostClass, HostRule, UpstreamSpec};

/// Concurrency of the contract. With the default floor of 25 percent, two hosts of ten slots have to be left after the
/// loss of any zone.
const CONCURRENCY: u32 = 80;

fn registered(config: &Config) -> Vec<&UpstreamSpec> {
    config.upstreams.values().collect()
}

/// Returns how many engines are left when the zone with the most of them is lost.
fn left_after_loss(config: &Config) -> usize {
    let all = registered(config);
    let in_zone = |zone: &str| all.iter().filter(|spec| spec.host.zone.as_str() == zone).count();
    all.len() - ["zone-a", "zone-b", "zone-c"].map(in_zone).into_iter().max().unwrap()
}

/// The plan must survive the loss of any zone, and on-demand hosts must carry the floor of the contract; reclaimable
/// ones alone could all be lost in one wave.
#[test]
fn holds_floor() {
    let cloud = start_cloud(&POOL_FLAGS);
    let state = FakeGroup::with_config(contract_config(CONCURRENCY));
    let mut process = Process::start("capacity-1", cloud.address(), Options::default());
    process.run_until(&state, |config| left_after_loss(config) >= 2);
    let config = state.config.lock().clone();
    let on_demand = |spec: &&&UpstreamSpec| spec.host.class == HostClass::OnDemand;
    assert_eq!(registered(&config).iter().filter(on_demand).count(), 2);
}

/// A controller dies between any two steps, and another one takes over without its memory. If it didn't find a host
/// that was started and not yet registered, that host would be paid for and never used, or a second one would be
/// started.
#[test]
fn controller_dies() {
    for rounds_lived in 1..12 {
        let cloud = start_cloud(&POOL_FLAGS);
        let state = FakeGroup::with_config(contract_config(CONCURRENCY));
        let mut first = Process::start("capacity-1", cloud.address(), Options::default());
        for _ in 0..rounds_lived {
            first.round(&state);
        }
        drop(first);
        state.expire_lease();
        let mut second = Process::start("capacity-2", cloud.address(), Options::default());
        second.run_until(&state, |config| left_after_loss(config) >= 2);
        for _ in 0..20 {
            second.round(&state);
        }
        assert_eq!(
            standin_report(cloud.address())["started"],
            3,
            "after {rounds_lived} rounds"
        );
        assert_eq!(state.config.lock().upstreams.len(), 3);
    }
}

/// A whole zone is reclaimed. Its hosts must be replaced in other zones, and removed from the configuration; new hosts
/// in the same zone would be reclaimed as well.
#[test]
fn zone_reclaimed() {
    let cloud = start_cloud(&POOL_FLAGS);
    let state = FakeGroup::with_config(contract_config(CONCURRENCY));
    let mut process = Process::start("capacity-1", cloud.address(), Options::default());
    process.run_until(&state, |config| left_after_loss(config) >= 2);
    let before: Vec<_> = state.config.lock().upstreams.keys().cloned().collect();
    post(
        cloud.address(),
        "/_standin/reclaim",
        r#"{"zone":"zone-a","notice_ms":20}"#,
    );
    process.run_until(&state, |config| {
        let restarted = |spec: &&UpstreamSpec| spec.host.zone.as_str() == "zone-a" && !before.contains(&spec.id);
        assert!(
            !registered(config).iter().any(restarted),
            "a host was started in the zone that was just reclaimed"
        );
        let gone = before.iter().filter(|id| !config.upstreams.contains_key(*id)).count();
        gone > 0 && left_after_loss(config) >= 2
    });
}

/// The cloud refuses starts in two zones, as after a wave of reclaims. The hosts must come from the third zone and from
/// the other class, without a stream of refused starts.
#[test]
fn refused_zones() {
    let cloud = start_cloud(&POOL_FLAGS);
    let refuse = r#"{"refuse":["zone-a:reclaimable","zone-b:reclaimable","zone-a:on_demand"]}"#;
    post(cloud.address(), "/_standin/faults", refuse);
    let state = FakeGroup::with_config(contract_config(CONCURRENCY));
    let mut process = Process::start("capacity-1", cloud.address(), Options::default());
    process.run_until(&state, |config| left_after_loss(config) >= 2);
    let refused = standin_report(cloud.address())["refused"].as_u64().unwrap();
    assert!(refused <= 12, "{refused} refused starts");
}

/// An operator's rule holds two hosts that no contract needs, and a later one holds none. The hosts must be drained
/// before they are stopped.
#[test]
fn operator_rule() {
    let cloud = start_cloud(&POOL_FLAGS);
    let state = FakeGroup::default();
    let rule = |least, most| {
        Change::PutRule(HostRule {
            model: "m".into(),
            zone: "zone-b".into(),
            class: HostClass::Reclaimable,
            least,
            most,
        })
    };
    state.apply_change(rule(2, 2));
    let mut process = Process::start("capacity-1", cloud.address(), Options::default());
    process.run_until(&state, |config| config.upstreams.len() == 2);
    assert!(
        state
            .config
            .lock()
            .upstreams
            .values()
            .all(|spec| spec.host.zone.as_str() == "zone-b")
    );
    state.apply_change(rule(0, 0));
    process.run_until(&state, |config| config.drains.len() == 2);
    assert_eq!(state.config.lock().upstreams.len(), 2);
    process.run_until(&state, |config| config.upstreams.is_empty() && config.drains.is_empty());
    assert_eq!(standin_report(cloud.address())["hosts"].as_object().unwrap().len(), 0);
}

/// A host is drained while it still answers a caller. It must not be stopped before that answer is complete.
#[test]
fn drain_waits() {
    let cloud = start_cloud(&POOL_FLAGS);
    let state = FakeGroup::default();
    state.apply_change(Change::PutRule(HostRule {
        model: "m".into(),
        zone: "zone-a".into(),
        class: HostClass::OnDemand,
        least: 1,
        most: 1,
    }));
    let mut process = Process::start("capacity-1", cloud.address(), Options::default());
    process.run_until(&state, |config| config.upstreams.len() == 1);
    let spec = registered(&state.config.lock())[0].clone();
    let body = r#"{"model":"m","max_tokens":40,"messages":[{"role":"user","content":"a ring"}]}"#;
    let caller = std::thread::spawn(move || post(spec.address, "/v1/chat/completions", body));
    let load = || {
        let mut answer = ureq::get(format!("http://{}/load", spec.address)).call().unwrap();
        answer.body_mut().read_to_string().unwrap()
    };
    while !load().contains("\"running\":1") {
        std::thread::yield_now();
    }
    let (host, incarnation) = (spec.host.id.clone(), spec.host.incarnation);
    let rule = state.config.lock().rules.keys().next().unwrap().clone();
    state.apply_change(Change::DropRule(rule));
    state.apply_change(Change::DrainHost { host, incarnation });
    process.run_until(&state, |config| config.upstreams.is_empty());
    assert!(caller.join().unwrap().contains("length"));
}

/// The cloud API doesn't answer. Serving engines must stay in the configuration, nothing may be started, and the
/// controller must continue when the API is back.
#[test]
fn cloud_unreachable() {
    let cloud = start_cloud(&POOL_FLAGS);
    let state = FakeGroup::with_config(contract_config(CONCURRENCY));
    let mut process = Process::start("capacity-1", cloud.address(), Options::default());
    process.run_until(&state, |config| left_after_loss(config) >= 2);
    let before = state.config.lock().clone();
    post(cloud.address(), "/_standin/faults", r#"{"cut":true}"#);
    for _ in 0..20 {
        process.round(&state);
    }
    assert_eq!(*state.config.lock(), before);
    assert!(!process.controller.report().cloud);
    post(cloud.address(), "/_standin/faults", "{}");
    process.round(&state);
    assert!(process.controller.report().cloud);
}

/// The lease of a process expires in the state group and another process acquires it. The first must stop acting, since
/// two active controllers would start every host twice.
#[test]
fn lease_lost() {
    let cloud = start_cloud(&POOL_FLAGS);
    let state = FakeGroup::with_config(contract_config(CONCURRENCY));
    let mut first = Process::start("capacity-1", cloud.address(), Options::default());
    first.round(&state);
    state.expire_lease();
    let mut second = Process::start("capacity-2", cloud.address(), Options::default());
    second.round(&state);
    for _ in 0..30 {
        first.round(&state);
    }
    assert!(!first.controller.report().active);
    assert_eq!(standin_report(cloud.address())["started"], 0);
    second.run_until(&state, |config| left_after_loss(config) >= 2);
    assert_eq!(standin_report(cloud.address())["started"], 3);
}

/// A delayed order of an earlier lease holder reaches an engine that doesn't check fencing tokens, and replaces its
/// model. The engine must be unregistered, and registered again once it has the right model.
#[test]
fn delayed_order() {
    let cloud = start_cloud(&POOL_FLAGS);
    let state = FakeGroup::with_config(contract_config(20));
    let mut process = Process::start("capacity-1", cloud.address(), Options::default());
    process.run_until(&state, |config| left_after_loss(config) >= 1);
    let spec = registered(&state.config.lock())[0].clone();
    let order = r#"{"id":"old","token":0,"action":{"load_model":{"model":"other","version":"1"}}}"#;
    post(spec.address, "/orders", order);
    process.run_until(&state, |config| !config.upstreams.contains_key(&spec.id));
    process.run_until(&state, |config| config.upstreams.contains_key(&spec.id));
}
