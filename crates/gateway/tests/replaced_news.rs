//! What entry hosts tell each other about upstreams that were restarted under another name at the same address.

use std::time::Duration;

use contract::{ListedUpstream, NodeId, ServiceName, Zone};
use gateway::upstreams::{UpstreamNeed, Upstreams};
use policy::Tick;
use policy::place::PromptPart;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use state::registry::{EntryRegistry, SharedLimits};
use wire::registry::{Heartbeat, UpstreamObservation};

/// Bounds on the retries of all hosts together, for each request and beyond that.
const RETRY_RATIO: f64 = 0.2;
const EXTRA_RETRIES: f64 = 156.0;

fn listed(index: usize) -> ListedUpstream {
    ListedUpstream {
        id: format!("u{index:03}"),
        start: 1,
        service: ServiceName::from("m"),
        address: ([127, 0, 0, 1], 1).into(),
        zone: Zone::from("z"),
        version: String::new(),
        slots: 64,
        leaving: false,
        reclaimable: false,
        cold: Duration::ZERO,
        left: None,
    }
}

fn at_ms(ms: u64) -> Tick {
    Tick::from_millis(ms)
}

fn need<'a>(
    service: &'a ServiceName,
    zone: &'a Zone,
    prompt_parts: &'a [PromptPart],
    tried: &'a [String],
) -> UpstreamNeed<'a> {
    UpstreamNeed {
        service,
        prompt_parts,
        tried,
        zone,
        runs_once: false,
        max_pause_ms: 600,
        entry_hosts: 8,
        copy_ms: None,
        draw: 0.0,
        version: None,
    }
}

fn host_with(count: usize) -> Upstreams {
    let mut host = Upstreams::default();
    host.update((0..count).map(listed).collect::<Vec<ListedUpstream>>(), at_ms(0));
    host
}

fn choose(host: &Upstreams, topic: u64, tried: &[String], now: Tick) -> Option<String> {
    let parts = [(topic, 6_000), (topic + 1_000_000, 2_000)];
    let parts = parts.map(|(key, tokens)| PromptPart { key, tokens });
    let (service, zone) = (ServiceName::from("m"), Zone::from("z"));
    let chosen = host.choose(&need(&service, &zone, &parts, tried), now);
    chosen.ok().map(|chosen| chosen.id)
}

/// Guards against a request to an upstream of which another host knows that it was replaced, and against an upstream
/// that is left alone forever after a wrong report.
#[test]
fn replaced_elsewhere() {
    let mut host = host_with(2);
    let first = choose(&host, 1, &[], at_ms(1_000)).unwrap();
    let observation = UpstreamObservation {
        id: first.clone(),
        replaced: true,
        ..UpstreamObservation::default()
    };
    host.merge_observations(&[observation], at_ms(1_000));
    let own = host.observations(at_ms(1_100));
    assert!(own.is_empty(), "news of others is not passed on: {own:?}");
    assert_ne!(choose(&host, 1, &[], at_ms(1_100)), Some(first.clone()));
    assert_eq!(choose(&host, 1, &[], at_ms(12_000)), Some(first));
}

/// Guards against requests to an upstream of which another host knows that it leaves, also if a list drops it meanwhile, and
/// against another incarnation with its id that is left alone with it.
#[test]
fn leaves_elsewhere() {
    let observation = UpstreamObservation {
        id: "u000".to_owned(),
        leaving: Some(1),
        ..UpstreamObservation::default()
    };
    let mut host = host_with(1);
    host.update(vec![], at_ms(500));
    host.merge_observations(std::slice::from_ref(&observation), at_ms(1_000));
    host.update(vec![listed(0)], at_ms(2_000));
    assert_eq!(choose(&host, 1, &[], at_ms(100_000)), None);
    let restarted = ListedUpstream { start: 2, ..listed(0) };
    host.update(vec![restarted], at_ms(101_000));
    host.merge_observations(&[observation], at_ms(101_000));
    assert_eq!(choose(&host, 1, &[], at_ms(101_000)), Some("u000".to_owned()));
}

/// Guards against a fleet in which each host finds out by itself that upstreams were replaced: nine tenths of 90
/// upstreams are restarted at once, the list still names the old ones, and 58 hosts pay for each of them.
#[test]
fn restarted_unlisted() {
    let (hosts, upstreams, restarted) = (58, 90, 81);
    let (per_s, heartbeat_ms) = (440.0, 150);
    // Engines need some time to start again.
    let (ended_ms, restarted_ms, relisted_ms) = (1_000, 1_600, 3_600);
    let mut rng = StdRng::seed_from_u64(7);
    let registry = EntryRegistry::default();
    let mut fleet: Vec<Upstreams> = (0..hosts).map(|_| host_with(upstreams)).collect();
    let (mut requests, mut retries) = (0_u32, 0_u32);
    for ms in 0..relisted_ms {
        let now = at_ms(ms);
        for (index, host) in fleet.iter_mut().enumerate() {
            if ms % heartbeat_ms == (index as u64 * 7) % heartbeat_ms {
                exchange(&registry, index, host, now);
            }
        }
        if !rng.random_bool(per_s / 1_000.0) || (ended_ms..restarted_ms).contains(&ms) {
            continue;
        }
        requests += 1;
        let host = &mut fleet[rng.random_range(0..hosts)];
        let topic = rng.random_range(0..500);
        let mut tried = Vec::new();
        while let Some(id) = choose(host, topic, &tried, now) {
            let index: usize = id[1..].parse().unwrap();
            let upstream = host.get_mut(&id).unwrap();
            if ms < ended_ms || index >= restarted {
                upstream.update_load(rng.random_range(0..4), 0, now);
                break;
            }
            upstream.mark_replaced(true, now);
            retries += 1;
            tried.push(id);
        }
    }
    let allowed = RETRY_RATIO * f64::from(requests) + EXTRA_RETRIES;
    assert!(
        f64::from(retries) <= allowed,
        "{retries} retries of {requests} requests, {allowed:.0} allowed"
    );
}

fn exchange(registry: &EntryRegistry, index: usize, host: &mut Upstreams, now: Tick) {
    let heartbeat = Heartbeat {
        run: 1,
        signs: host.observations(now),
        ..Heartbeat::default()
    };
    let limits = SharedLimits {
        entry_hosts: 58,
        ..SharedLimits::default()
    };
    let node = NodeId::from(format!("e{index}"));
    let update = registry.heartbeat(1, (&node, heartbeat), &limits, now);
    host.merge_observations(&update.expect("the count of hosts is stored").signs, now);
}
