//! The loop of capacity against a cloud and engines: starts, drains, losses, and processes that die in between.

mod common;

use capacity::cli::Options;
use common::{POOLS, Process, State, config, post, seen, start_cloud};
use contract::{Change, Config, HostClass, HostRule, UpstreamSpec};

/// With a concurrency of 80 and a floor of a quarter, two hosts of ten slots must be left after any zone is lost.
const CONCURRENCY: u32 = 80;

fn serving(config: &Config) -> Vec<&UpstreamSpec> {
    config.upstreams.values().collect()
}

fn after_loss(config: &Config) -> usize {
    let all = serving(config);
    let in_zone = |zone: &str| all.iter().filter(|spec| spec.host.zone.as_str() == zone).count();
    all.len() - ["zone-a", "zone-b", "zone-c"].map(in_zone).into_iter().max().unwrap()
}

#[test]
fn holds_floor() {
    let cloud = start_cloud(&POOLS);
    let state = State::with(config(CONCURRENCY));
    let mut process = Process::start("capacity-1", cloud.address(), Options::default());
    process.until(&state, |config| after_loss(config) >= 2);
    let config = state.config.lock().clone();
    let dear = |spec: &&&UpstreamSpec| spec.host.class == HostClass::OnDemand;
    assert_eq!(serving(&config).iter().filter(dear).count(), 2);
}

/// A process of capacity dies between any two of its steps, and another takes over knowing nothing. It must find out
/// what there is: a host that was started and not yet registered would otherwise be paid for and never used, or started
/// a second time.
#[test]
fn controller_dies() {
    for lived in 1..12 {
        let cloud = start_cloud(&POOLS);
        let state = State::with(config(CONCURRENCY));
        let mut first = Process::start("capacity-1", cloud.address(), Options::default());
        for _ in 0..lived {
            first.round(&state);
        }
        drop(first);
        state.expire();
        let mut second = Process::start("capacity-2", cloud.address(), Options::default());
        second.until(&state, |config| after_loss(config) >= 2);
        for _ in 0..20 {
            second.round(&state);
        }
        assert_eq!(seen(cloud.address())["started"], 3, "after {lived} rounds");
        assert_eq!(state.config.lock().upstreams.len(), 3);
    }
}

/// A whole zone is taken. Its hosts are replaced elsewhere, and what is gone is taken out of the configuration.
#[test]
fn zone_taken() {
    let cloud = start_cloud(&POOLS);
    let state = State::with(config(CONCURRENCY));
    let mut process = Process::start("capacity-1", cloud.address(), Options::default());
    process.until(&state, |config| after_loss(config) >= 2);
    let before: Vec<_> = state.config.lock().upstreams.keys().cloned().collect();
    post(
        cloud.address(),
        "/_standin/reclaim",
        r#"{"zone":"zone-a","notice_ms":20}"#,
    );
    process.until(&state, |config| {
        let anew = |spec: &&UpstreamSpec| spec.host.zone.as_str() == "zone-a" && !before.contains(&spec.id);
        assert!(
            !serving(config).iter().any(anew),
            "a host was started where others were just taken"
        );
        let gone = before.iter().filter(|id| !config.upstreams.contains_key(*id)).count();
        gone > 0 && after_loss(config) >= 2
    });
}

/// Starts in two zones are refused after a wave. The hosts come from the third and from the other class.
#[test]
fn refused_zones() {
    let cloud = start_cloud(&POOLS);
    let refuse = r#"{"refuse":["zone-a:reclaimable","zone-b:reclaimable","zone-a:on_demand"]}"#;
    post(cloud.address(), "/_standin/faults", refuse);
    let state = State::with(config(CONCURRENCY));
    let mut process = Process::start("capacity-1", cloud.address(), Options::default());
    process.until(&state, |config| after_loss(config) >= 2);
    let refused = seen(cloud.address())["refused"].as_u64().unwrap();
    assert!(refused <= 12, "{refused} refused starts");
}

/// An operator holds a host that no contract needs, and takes it back later. It's drained before it's stopped.
#[test]
fn operator_rule() {
    let cloud = start_cloud(&POOLS);
    let state = State::default();
    let rule = |least, most| {
        Change::PutRule(HostRule {
            model: "m".into(),
            zone: "zone-b".into(),
            class: HostClass::Reclaimable,
            least,
            most,
        })
    };
    state.change(rule(2, 2));
    let mut process = Process::start("capacity-1", cloud.address(), Options::default());
    process.until(&state, |config| config.upstreams.len() == 2);
    assert!(
        state
            .config
            .lock()
            .upstreams
            .values()
            .all(|spec| spec.host.zone.as_str() == "zone-b")
    );
    state.change(rule(0, 0));
    process.until(&state, |config| config.drains.len() == 2);
    assert_eq!(state.config.lock().upstreams.len(), 2);
    process.until(&state, |config| config.upstreams.is_empty() && config.drains.is_empty());
    assert_eq!(seen(cloud.address())["hosts"].as_object().unwrap().len(), 0);
}

/// A drained host still answers a caller. It's stopped only when that answer is whole.
#[test]
fn drain_waits() {
    let cloud = start_cloud(&POOLS);
    let state = State::default();
    state.change(Change::PutRule(HostRule {
        model: "m".into(),
        zone: "zone-a".into(),
        class: HostClass::OnDemand,
        least: 1,
        most: 1,
    }));
    let mut process = Process::start("capacity-1", cloud.address(), Options::default());
    process.until(&state, |config| config.upstreams.len() == 1);
    let spec = serving(&state.config.lock())[0].clone();
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
    state.change(Change::DropRule(rule));
    state.change(Change::DrainHost { host, incarnation });
    process.until(&state, |config| config.upstreams.is_empty());
    assert!(caller.join().unwrap().contains("length"));
}

/// The cloud API doesn't answer. What serves stays in the configuration, nothing is started, and the work goes on when
/// the API is back.
#[test]
fn cloud_cut() {
    let cloud = start_cloud(&POOLS);
    let state = State::with(config(CONCURRENCY));
    let mut process = Process::start("capacity-1", cloud.address(), Options::default());
    process.until(&state, |config| after_loss(config) >= 2);
    let before = state.config.lock().clone();
    post(cloud.address(), "/_standin/faults", r#"{"cut":true}"#);
    for _ in 0..20 {
        process.round(&state);
    }
    assert_eq!(*state.config.lock(), before);
    assert!(!process.control.report().cloud);
    post(cloud.address(), "/_standin/faults", "{}");
    process.round(&state);
    assert!(process.control.report().cloud);
}

/// The state majority is cut off, so the lease can't be renewed. The process stops to act by its own clock; another one
/// may hold the lease by then, and two would start everything twice.
#[test]
fn lease_lost() {
    let cloud = start_cloud(&POOLS);
    let state = State::with(config(CONCURRENCY));
    let mut first = Process::start("capacity-1", cloud.address(), Options::default());
    first.round(&state);
    state.expire();
    let mut second = Process::start("capacity-2", cloud.address(), Options::default());
    second.round(&state);
    for _ in 0..30 {
        first.round(&state);
    }
    assert!(!first.control.report().active);
    assert_eq!(seen(cloud.address())["started"], 0);
    second.until(&state, |config| after_loss(config) >= 2);
    assert_eq!(seen(cloud.address())["started"], 3);
}

/// An order of an earlier holder arrives late at an engine that doesn't check tokens and replaces its model. The engine
/// is taken out of the configuration and registered again when it has the right model.
#[test]
fn late_order() {
    let cloud = start_cloud(&POOLS);
    let state = State::with(config(20));
    let mut process = Process::start("capacity-1", cloud.address(), Options::default());
    process.until(&state, |config| after_loss(config) >= 1);
    let spec = serving(&state.config.lock())[0].clone();
    let order = r#"{"id":"old","token":0,"action":{"load_model":{"model":"other","version":"1"}}}"#;
    post(spec.address, "/orders", order);
    process.until(&state, |config| !config.upstreams.contains_key(&spec.id));
    process.until(&state, |config| config.upstreams.contains_key(&spec.id));
}
