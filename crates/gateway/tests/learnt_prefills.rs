//! Prefills that other entry hosts have timed teach a host the speed of engines that it has not used.

use std::time::Duration;

use contract::{ListedUpstream, ServiceName, Zone};
use gateway::upstreams::Upstreams;
use policy::Tick;
use policy::pace::EngineRates;
use policy::pace::moment::Pace;
use wire::registry::PrefillSample;

const ENGINES: u64 = 16;

fn host() -> Upstreams {
    let mut host = Upstreams::default();
    let engine = |number: u64| ListedUpstream {
        id: format!("i-{number}"),
        start: 1,
        service: ServiceName::from("m"),
        address: ([127, 0, 0, 1], 1).into(),
        zone: Zone::from("z"),
        version: String::new(),
        slots: 12,
        leaving: false,
        reclaimable: false,
        cold: Duration::ZERO,
        left: None,
    };
    host.update((0..ENGINES).map(engine).collect(), Tick::default());
    host
}

/// Returns a host of which one engine has reported its pace.
fn paced_host() -> Upstreams {
    let mut host = host();
    let usual = Pace::from_hundredths(100.0).expect("the usual pace");
    let engine = host.get_mut("i-0").expect("it is listed");
    engine.record_pace(usual, Tick::default());
    host
}

fn rates(host: &Upstreams) -> EngineRates {
    host.rates(&ServiceName::from("m"))
}

/// Samples of listed engines that prefill 140 tokens in a millisecond and begin after 50 ms.
fn fast_samples(count: u64) -> Vec<PrefillSample> {
    let sample = |number: u64| {
        let fresh = 600 + number * 977 % 12_000;
        PrefillSample {
            id: format!("i-{}", number % ENGINES),
            cached: 0,
            fresh,
            ms: 50.0 + fresh as f64 / 140.0,
            pace: 1.0,
        }
    };
    (0..count).map(sample).collect()
}

/// Guards against a host that predicts three times the real prefill time, and has several times the needed engines
/// ordered, until it has timed enough prefills by itself.
#[test]
fn others_teach() {
    let mut host = paced_host();
    let before = rates(&host).token_ms;
    host.learn_prefills(&fast_samples(150));
    let after = rates(&host).token_ms;
    assert!(
        before > 3.0 / 140.0 && after < 1.5 / 140.0,
        "{before} before, {after} after"
    );
}

/// Guards against samples that can't be true, and against those of engines that are not listed.
#[test]
fn odd_samples() {
    let mut host = paced_host();
    let before = rates(&host);
    let odd = [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -1.0, 0.0, 1e12];
    let mut samples = fast_samples(6);
    for (sample, ms) in samples.iter_mut().zip(odd) {
        sample.ms = ms;
    }
    samples.push(PrefillSample {
        id: "gone".to_owned(),
        ..fast_samples(1).remove(0)
    });
    host.learn_prefills(&samples);
    assert_eq!(rates(&host), before);
}

/// Guards against a change for services whose engines report no pace: each host learns their speed by itself.
#[test]
fn without_pace() {
    let mut host = host();
    let before = rates(&host);
    host.learn_prefills(&fast_samples(150));
    assert_eq!(rates(&host), before);
}
