//! Choice of upstreams under the heaviest load, replayed without a network.

mod fleet;

use contract::{ServiceName, Zone};
use fleet::paces::EnginePaces;
use fleet::{Outcome, ReplayLoad, Report, RequestKind, replay, replay_paced};
use gateway::upstreams::{UpstreamNeed, Upstreams};
use policy::Tick;
use policy::place::PromptPart;
use wire::registry::UpstreamObservation;

/// Two fifths of a large deployment during a wave of reclaims, with long plans, questions and notices.
fn reclaim_load() -> ReplayLoad {
    ReplayLoad {
        hosts: 32,
        engines: 28,
        length_s: 20.0,
        time_factors: vec![1.0],
        heartbeat_s: 0.4,
        kinds: vec![
            RequestKind {
                per_s: 33.0,
                target_ms: 1_200.0,
                shared_parts: [(512.0, 3), (4_870.0, 360)],
                own_tokens: (6_610.0, 1.4, 54_600.0),
                output_tokens: (380.0, 0.44, 1_100.0),
            },
            RequestKind {
                per_s: 43.0,
                target_ms: 600.0,
                shared_parts: [(119.0, 15), (79.0, 210)],
                own_tokens: (628.0, 1.0, 3_310.0),
                output_tokens: (290.0, 0.69, 950.0),
            },
            RequestKind {
                per_s: 74.0,
                target_ms: 800.0,
                shared_parts: [(341.0, 8), (227.0, 360)],
                own_tokens: (1_800.0, 1.3, 6_870.0),
                output_tokens: (22.0, 1.4, 90.0),
            },
        ],
    }
}

fn share_of(count: impl Fn(&Outcome) -> u32, outcome: &Outcome) -> f64 {
    f64::from(count(outcome)) / f64::from(outcome.all)
}

/// Guards against outputs that begin in time and then stall: engines are reclaimed, the rest takes all the load, and
/// the prefill of prompts with tens of thousands of tokens delays the output of the requests beside them.
#[test]
fn reclaim_wave() {
    let report = replay(&reclaim_load(), 1);
    println!("{report:?}");
    let [plans, questions, notices] = &*report.kinds else {
        panic!("three kinds were replayed");
    };
    assert!(share_of(|outcome| outcome.paused, plans) < 0.12, "{plans:?}");
    assert!(share_of(|outcome| outcome.paused, questions) < 0.08, "{questions:?}");
    assert!(
        share_of(|outcome| outcome.late + outcome.refused, plans) < 0.15,
        "{plans:?}"
    );
    assert!(
        share_of(|outcome| outcome.late + outcome.refused, notices) < 0.1,
        "{notices:?}"
    );
    assert!(report.read_again < 0.55, "{} prefilled again", report.read_again);
}

/// Guards against reported paces that are not worth their bytes: a seventh of the engines takes two and a half times as
/// long, and is drawn anew after some time. With paces fewer requests are late or paused than without; figures that are
/// nearly as old as they last help little, and must not harm.
#[test]
fn slowed_engines() {
    let load = ReplayLoad {
        engines: 40,
        heartbeat_s: 0.15,
        ..reclaim_load()
    };
    let failures = |redrawn_ms, is_reported| {
        let paces = EnginePaces {
            share: 1.0 / 7.0,
            slowed: 2.5,
            redrawn_ms,
            is_reported,
        };
        let replays = (1..=3).map(|seed| replay_paced(&load, paces, seed));
        let kinds = replays.flat_map(|report: Report| report.kinds);
        let count = |outcome: Outcome| outcome.late + outcome.refused + outcome.paused;
        kinds.map(count).sum::<u32>()
    };
    for (redrawn_ms, most) in [(600.0, 1.0), (3_000.0, 0.8)] {
        let (with, without) = (failures(redrawn_ms, true), failures(redrawn_ms, false));
        println!("drawn anew after {redrawn_ms} ms: {with} late or paused with paces, {without} without");
        assert!(
            f64::from(with) < f64::from(without) * most,
            "{with} with paces, {without} without, drawn anew after {redrawn_ms} ms"
        );
    }
}

/// Guards against homes that are shared out evenly between engines of which a third takes 2.4 times as long: prompts
/// queue at the slow ones, and outputs beside them pause more often than at as many equal engines.
#[test]
fn uneven_engines() {
    let paused = |time_factors: &[f64]| {
        let mut load = ReplayLoad {
            length_s: 120.0,
            time_factors: time_factors.to_vec(),
            ..reclaim_load()
        };
        for kind in &mut load.kinds {
            kind.per_s *= 0.6;
        }
        let paces = EnginePaces {
            share: 0.0,
            slowed: 1.0,
            redrawn_ms: 600.0,
            is_reported: true,
        };
        let report = replay_paced(&load, paces, 1);
        report.kinds.iter().map(|outcome| outcome.paused).sum::<u32>()
    };
    let (uneven, equal) = (paused(&[0.7, 0.7, 1.7]), paused(&[1.0]));
    println!("{uneven} outputs paused at uneven engines, {equal} at equal ones");
    assert!(
        f64::from(uneven) <= f64::from(equal) * 1.1,
        "{uneven} uneven, {equal} equal"
    );
}

/// Guards against the choice of an upstream where requests of another entry host are overdue by 0.9 s. It is prefilling
/// a prompt that took longer than predicted, and this host by itself only knows that the upstream is idle.
#[test]
fn overdue_elsewhere() {
    let mut host = two_upstreams();
    let prompt_parts = [PromptPart { key: 1, tokens: 400 }];
    let first = choose(&host, &prompt_parts);
    let observation = UpstreamObservation {
        id: first.clone(),
        load: None,
        backlog_ms: 0,
        overdue_ms: 900,
        ..UpstreamObservation::default()
    };
    host.merge_observations(&[observation], at_ms(1_000));
    assert_ne!(choose(&host, &prompt_parts), first);
    host.merge_observations(&[], at_ms(2_000));
    assert_eq!(
        choose_at(&host, &prompt_parts, at_ms(2_500)),
        first,
        "the observation expires"
    );
}

fn at_ms(ms: u64) -> Tick {
    Tick::from_millis(ms)
}

fn two_upstreams() -> Upstreams {
    let mut host = Upstreams::default();
    host.update((0..2).map(fleet::listed).collect(), at_ms(0));
    host
}

fn choose(host: &Upstreams, prompt_parts: &[PromptPart]) -> String {
    choose_at(host, prompt_parts, at_ms(1_000))
}

fn choose_at(host: &Upstreams, prompt_parts: &[PromptPart], now: Tick) -> String {
    let need = UpstreamNeed {
        service: &ServiceName::from("m"),
        prompt_parts,
        tried: &[],
        zone: &Zone::from("z"),
        runs_once: false,
        max_pause_ms: 600,
        entry_hosts: 8,
        copy_ms: None,
        draw: 0.0,
        version: None,
    };
    host.choose(&need, now).expect("both have a free slot").id
}
