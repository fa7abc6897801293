//! Where requests go when load is at its worst, replayed on the choice of upstreams alone.

mod fleet;

use contract::{ServiceName, Zone};
use fleet::{Kind, Load, Outcome, replay};
use gateway::upstreams::{UpstreamNeed, Upstreams};
use policy::Tick;
use policy::place::PromptPart;
use wire::registry::UpstreamObservation;

/// Two fifths of a large deployment in a wave of reclaims: long plans, questions and notices.
fn grown() -> Load {
    Load {
        hosts: 32,
        engines: 28,
        length_s: 20.0,
        beat_s: 0.4,
        kinds: vec![
            Kind {
                per_s: 33.0,
                target_ms: 1_200.0,
                shared: [(512.0, 3), (4_870.0, 360)],
                own: (6_610.0, 1.4, 54_600.0),
                answer: (380.0, 0.44, 1_100.0),
            },
            Kind {
                per_s: 43.0,
                target_ms: 600.0,
                shared: [(119.0, 15), (79.0, 210)],
                own: (628.0, 1.0, 3_310.0),
                answer: (290.0, 0.69, 950.0),
            },
            Kind {
                per_s: 74.0,
                target_ms: 800.0,
                shared: [(341.0, 8), (227.0, 360)],
                own: (1_800.0, 1.3, 6_870.0),
                answer: (22.0, 1.4, 90.0),
            },
        ],
    }
}

fn part(count: impl Fn(&Outcome) -> u32, outcome: &Outcome) -> f64 {
    f64::from(count(outcome)) / f64::from(outcome.all)
}

/// Data centres are called back and the rest of the engines takes everything. Prompts of tens of thousands of tokens hold up
/// the tokens of whatever runs beside them: callers see questions begin and then stand still.
#[test]
fn reclaim_wave() {
    let report = replay(&grown(), 1);
    println!("{report:?}");
    let [plans, questions, notices] = &*report.kinds else {
        panic!("three kinds were asked for");
    };
    assert!(part(|one| one.paused, plans) < 0.12, "{plans:?}");
    assert!(part(|one| one.paused, questions) < 0.08, "{questions:?}");
    assert!(part(|one| one.late + one.refused, plans) < 0.15, "{plans:?}");
    assert!(part(|one| one.late + one.refused, notices) < 0.1, "{notices:?}");
    assert!(report.read_again < 0.55, "{} read again", report.read_again);
}

/// An upstream that is nobody's home reads a prompt which no entry host has predicted right, and another host's requests wait there
/// for nine tenths of a second. A caller who is sent there would wait as long, although all that this host knows itself is that
/// nothing runs.
#[test]
fn overdue_elsewhere() {
    let mut host = two_upstreams();
    let prompt_parts = [PromptPart { key: 1, tokens: 400 }];
    let first = choose(&host, &prompt_parts);
    let sign = UpstreamObservation {
        id: first.clone(),
        load: None,
        backlog_ms: 0,
        overdue_ms: 900,
    };
    host.merge_observations(&[sign], at(1_000));
    assert_ne!(choose(&host, &prompt_parts), first);
    host.merge_observations(&[], at(2_000));
    assert_eq!(choose_at(&host, &prompt_parts, at(2_500)), first, "it passes with time");
}

fn at(ms: u64) -> Tick {
    Tick::from_millis(ms)
}

fn two_upstreams() -> Upstreams {
    let mut host = Upstreams::default();
    host.update((0..2).map(fleet::listed).collect(), at(0));
    host
}

fn choose(host: &Upstreams, prompt_parts: &[PromptPart]) -> String {
    choose_at(host, prompt_parts, at(1_000))
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
    };
    host.choose(&need, now).expect("both are free").id
}
