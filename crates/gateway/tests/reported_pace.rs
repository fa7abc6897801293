//! Choice of upstreams by the pace that they report, to this host or to others.

use std::time::Duration;

use contract::{ListedUpstream, NodeId, ServiceName, Zone};
use gateway::dialect::ReportedLoad;
use gateway::upstreams::{ChosenUpstream, UpstreamNeed, Upstreams};
use policy::Tick;
use policy::pace::moment::{ExpectedPace, Pace};
use policy::place::PromptPart;
use state::registry::{EntryRegistry, SharedLimits};
use wire::registry::{Heartbeat, UpstreamObservation};

const PROMPT: [PromptPart; 1] = [PromptPart { key: 1, tokens: 8_000 }];
/// Hundredths of the usual time that a slowed upstream takes.
const SLOWED: f64 = 250.0;

fn at_ms(ms: u64) -> Tick {
    Tick::from_millis(ms)
}

fn listed(index: usize) -> ListedUpstream {
    ListedUpstream {
        id: format!("u{index:03}"),
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
    }
}

fn host_with(count: usize) -> Upstreams {
    let mut host = Upstreams::default();
    host.update((0..count).map(listed).collect(), at_ms(0));
    host
}

fn choose(host: &Upstreams, prompt_parts: &[PromptPart], now: Tick) -> ChosenUpstream {
    choose_beside(host, prompt_parts, &[], now)
}

/// Chooses an upstream that was not tried.
fn choose_beside(host: &Upstreams, prompt_parts: &[PromptPart], tried: &[String], now: Tick) -> ChosenUpstream {
    let need = UpstreamNeed {
        service: &ServiceName::from("m"),
        prompt_parts,
        tried,
        zone: &Zone::from("z"),
        runs_once: false,
        max_pause_ms: 600,
        entry_hosts: 8,
        copy_ms: None,
        draw: 0.0,
        version: None,
    };
    host.choose(&need, now).expect("all have free slots")
}

/// Lets an upstream report to the host.
fn report(host: &mut Upstreams, id: &str, hundredths: Option<f64>, now: Tick) {
    let load = ReportedLoad {
        running: 1,
        waiting: 0,
        slots: 12,
        pace: hundredths.map(|hundredths| Pace::from_hundredths(hundredths).expect("a pace")),
    };
    host.get_mut(id).expect("it is listed").record_load(load, now);
}

/// Sends a prompt to the chosen upstream, whose first event comes after `ms` milliseconds.
fn serve(host: &mut Upstreams, chosen: &ChosenUpstream, sent_at: Tick, ms: u64) {
    let upstream = host.get_mut(&chosen.id).expect("it is listed");
    let backlog_id = upstream.record_sent(&[PromptPart { key: 0, tokens: 8_000 }], chosen, sent_at);
    let ended_at = at_ms(sent_at.0.as_millis() as u64 + ms);
    upstream.record_first_event(backlog_id, ended_at);
    upstream.record_end(backlog_id, chosen, sent_at, ended_at);
}

/// Guards against prompts that go to a slowed upstream though others are idle, and against one that is avoided for long
/// after its last report.
#[test]
fn slowed_avoided() {
    let mut host = host_with(6);
    let home = choose(&host, &PROMPT, at_ms(1_000));
    for index in 0..6 {
        report(&mut host, &format!("u{index:03}"), Some(100.0), at_ms(1_000));
    }
    report(&mut host, &home.id, Some(SLOWED), at_ms(1_010));
    let other = choose(&host, &PROMPT, at_ms(1_020));
    assert_ne!(other.id, home.id);
    let upstream = host.get_mut(&home.id).expect("it is listed");
    let slowed = upstream.pace(at_ms(1_020)).factor;
    assert!((2.3..=2.5).contains(&slowed), "{slowed}");
    assert_eq!(choose(&host, &PROMPT, at_ms(60_000)).id, home.id, "the report expires");
}

/// Guards against predictions that differ from those without paces while no upstream reports one.
#[test]
fn none_reported() {
    let run = |pace: Option<f64>| {
        let mut host = host_with(4);
        let mut predicted = Vec::new();
        for round in 0..200_u64 {
            let now = at_ms(1_000 + round * 40);
            let parts = [PromptPart {
                key: round % 7,
                tokens: 500 + round * 60,
            }];
            let chosen = choose(&host, &parts, now);
            predicted.push((chosen.prediction, chosen.pace.known_factor()));
            serve(&mut host, &chosen, now, 20 + round % 60);
            report(&mut host, &chosen.id, pace, now);
        }
        predicted
    };
    let (without, usual) = (run(None), run(Some(100.0)));
    assert!(without.iter().all(|(_, pace)| pace.is_none()));
    let rounds = without.iter().zip(&usual);
    let differing = rounds.filter(|(without, usual)| without.0 != usual.0);
    assert_eq!(differing.count(), 0, "the usual pace changes no prediction");
}

/// Guards against a lasting speed that is learnt while half of the upstreams are slowed at once.
#[test]
fn half_slowed() {
    let predicted_ms = |slowed: f64| {
        let mut host = host_with(8);
        for round in 0..400_u64 {
            let now = at_ms(1_000 + round * 50);
            for index in 0..8 {
                let pace = if index % 2 == 0 { slowed } else { 100.0 };
                report(&mut host, &format!("u{index:03}"), Some(pace), now);
            }
            // All get requests in turn, the slowed ones as well.
            let id = format!("u{:03}", round % 8);
            let tried: Vec<String> = (0..8)
                .map(|index| format!("u{index:03}"))
                .filter(|other| *other != id)
                .collect();
            let parts = [PromptPart {
                key: 1_000 + round,
                tokens: 8_000,
            }];
            let chosen = choose_beside(&host, &parts, &tried, now);
            let factor = if round % 2 == 0 { slowed / 100.0 } else { 1.0 };
            serve(&mut host, &chosen, now, (40.0 * factor) as u64);
        }
        for index in 0..8 {
            report(&mut host, &format!("u{index:03}"), Some(100.0), at_ms(30_000));
        }
        choose(&host, &PROMPT, at_ms(30_000)).prediction.ms
    };
    let (even, half) = (predicted_ms(100.0), predicted_ms(SLOWED));
    assert!(
        (0.85..1.18).contains(&(half / even)),
        "{half} ms predicted, {even} ms if all are even"
    );
}

/// Guards against the pace of a former incarnation that counts for the one which follows it under the same name.
#[test]
fn former_incarnation() {
    let mut host = host_with(2);
    report(&mut host, "u000", Some(SLOWED), at_ms(1_000));
    report(&mut host, "u001", Some(100.0), at_ms(1_000));
    let restarted = ListedUpstream { start: 2, ..listed(0) };
    host.update(vec![restarted, listed(1)], at_ms(1_200));
    let age = |host: &mut Upstreams| host.get_mut("u000").expect("it is listed").pace(at_ms(1_300)).age;
    assert_eq!(age(&mut host), None);
    let told = |age_ms| UpstreamObservation {
        id: "u000".to_owned(),
        pace: Some((250, age_ms)),
        ..UpstreamObservation::default()
    };
    host.merge_observations(&[told(300)], at_ms(1_300));
    assert_eq!(age(&mut host), None, "it was measured before the restart");
    host.merge_observations(&[told(40)], at_ms(1_300));
    assert!(age(&mut host).is_some());
}

/// Guards against wrong paces from other hosts, and against a host without a leader that makes no use of its own.
#[test]
fn shared_and_own() {
    let mut host = host_with(2);
    let told = |hundredths, age_ms| UpstreamObservation {
        id: "u000".to_owned(),
        pace: Some((hundredths, age_ms)),
        ..UpstreamObservation::default()
    };
    host.merge_observations(&[told(0, 10), told(10_001, 10), told(u32::MAX, u32::MAX)], at_ms(1_000));
    let pace = |host: &mut Upstreams, ms| host.get_mut("u000").expect("it is listed").pace(at_ms(ms));
    assert_eq!(pace(&mut host, 1_000).known_factor(), None);
    report(&mut host, "u000", Some(SLOWED), at_ms(2_000));
    let expected = |factor| ExpectedPace {
        factor,
        age: Some(Duration::ZERO),
    };
    assert_eq!(
        pace(&mut host, 2_000),
        expected(2.5),
        "the own report counts without a leader"
    );
    host.merge_observations(&[told(100, 500)], at_ms(2_100));
    assert!(
        pace(&mut host, 2_100).factor > 2.0,
        "an older report of others does not count"
    );
    host.merge_observations(&[told(100, 0)], at_ms(2_200));
    assert_eq!(pace(&mut host, 2_200), expected(1.0));
}

/// Guards against hosts that each find out by themselves which upstreams are slowed.
#[test]
fn told_by_leader() {
    let registry = EntryRegistry::default();
    let limits = SharedLimits {
        entry_hosts: 2,
        ..SharedLimits::default()
    };
    let mut hosts = [host_with(200), host_with(200)];
    for index in 0..200 {
        let pace = if index == 150 { SLOWED } else { 100.0 };
        report(&mut hosts[0], &format!("u{index:03}"), Some(pace), at_ms(1_000));
    }
    for (index, ms) in [(0, 1_050), (1, 1_100)] {
        let heartbeat = Heartbeat {
            run: 1,
            signs: hosts[index].observations(at_ms(ms)),
            ..Heartbeat::default()
        };
        let node = NodeId::from(format!("e{index}"));
        let update = registry.heartbeat(1, (&node, heartbeat), &limits, at_ms(ms));
        hosts[index].merge_observations(&update.expect("the count of hosts is stored").signs, at_ms(ms));
    }
    let pace = hosts[1].get_mut("u150").expect("it is listed").pace(at_ms(1_100));
    assert_eq!(pace.age_ms(), Some(100));
    assert!(pace.factor > 1.5, "{pace:?}");
    let own = hosts[1].observations(at_ms(1_120));
    assert!(own.is_empty(), "paces of others are not passed on: {own:?}");
}
