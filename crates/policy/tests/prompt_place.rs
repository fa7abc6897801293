//! Prompts go where their prefix is cached, unless the wait there costs more.

use std::time::Duration;

use policy::Tick;
use policy::backlog::{Backlog, SentRequest};
use policy::homes::{PartUsage, assume_home_cached};
use policy::pace::{EngineRates, PrefillWork};
use policy::place::{CachedParts, Candidate, PromptNeed, PromptPart, choose};

fn candidate(index: usize, load: f64) -> Candidate {
    Candidate {
        index,
        load,
        slots: 64.0,
        cached: 0,
        sent: 0,
        weight: index as u64,
        local: true,
        backlog_ms: 0.0,
        doubt_ms: 0.0,
        rates: RATES,
    }
}

/// The rates of a typical engine.
const RATES: EngineRates = EngineRates {
    base_ms: 0.0,
    token_ms: 1.0 / 64.0,
    attention_ms: 0.65,
    run_ms: 1_000.0,
};

fn need(tokens: u64) -> PromptNeed {
    PromptNeed {
        tokens,
        max_pause_ms: 600.0,
    }
}

fn prefill_ms(cached: u64, fresh: u64) -> f64 {
    RATES.prefill_ms(PrefillWork { cached, fresh })
}

fn sent(fresh: u64, predicted_ms: f64) -> SentRequest {
    let prefill = PrefillWork { cached: 0, fresh };
    SentRequest {
        prefill,
        prefill_ms: RATES.prefill_ms(prefill),
        predicted_ms,
        unqueued: true,
        ..SentRequest::default()
    }
}

fn chosen(candidates: &[Candidate], tokens: u64) -> usize {
    choose(candidates, need(tokens), 12.0).unwrap().index
}

#[test]
fn cached_first() {
    let mut candidates = [candidate(0, 3.0), candidate(1, 3.0)];
    candidates[0].cached = 5_000;
    assert_eq!(chosen(&candidates, 6_000), 0);
}

/// Several entry hosts choose at the same time, each with its own view. They must agree on one of several equal
/// upstreams, or the shared part of a prompt is prefilled at every upstream.
#[test]
fn agreed_upstream() {
    let weights = [7, 9, 3];
    let at = |weight: usize| Candidate {
        weight: weights[weight],
        ..candidate(weight, weight as f64)
    };
    assert_eq!(chosen(&[at(0), at(1), at(2)], 2_000), 1);
}

/// Entry hosts read the same reports, which are older than most prefills take. If they left the home of a prompt as
/// soon as another engine had less load, all of them would move to the same idle engine at once and prefill the shared
/// parts again.
#[test]
fn busy_home() {
    let engine = |at, load| Candidate {
        slots: 16.0,
        ..candidate(at, load)
    };
    let candidates = [engine(0, 0.0), engine(1, 11.0)];
    assert_eq!(choose(&candidates, need(2_000), 25.0).unwrap().index, 1);
    let candidates = [engine(0, 0.0), engine(1, 15.0)];
    assert_eq!(
        choose(&candidates, need(2_000), 25.0).unwrap().index,
        0,
        "no slot may be free"
    );
}

/// Other entry hosts have sent the shared parts of this prompt to the home on which all agree, but this host has not.
/// The home has 60 ms more work queued than the other engine, which would have to prefill the shared parts again.
#[test]
fn home_assumed() {
    let mut candidates = [candidate(0, 2.0), candidate(1, 2.0)];
    candidates[1].backlog_ms = 60.0;
    assert_eq!(chosen(&candidates, 9_000), 0);
    assume_home_cached(&mut candidates, 6_000, |_| 1.0);
    assert_eq!(chosen(&candidates, 9_000), 1);
}

/// Everything has just started, or one upstream has, so nobody can have prefilled the 40,000 tokens of the shared parts
/// there. If they counted as cached, the next requests would queue behind a second of prefill, all of them late.
#[test]
fn new_home_empty() {
    let mut usage = PartUsage::default();
    let at = Tick::from_millis;
    for ms in (0..20_000).step_by(500) {
        usage.record(ms / 500 % 4, at(ms));
    }
    let now = at(20_000);
    let probability = |age_ms| usage.cached_by_others(1, 7, Duration::from_millis(age_ms), now);
    assert!(probability(0) < 0.01);
    assert!((0.2..0.8).contains(&probability(200)), "{}", probability(200));
    assert!(probability(5_000) > 0.99);
    let first = PartUsage::default();
    assert!(first.cached_by_others(1, 7, Duration::from_mins(1), now) < 0.01);
    let mut home = [candidate(0, 0.0)];
    assume_home_cached(&mut home, 40_000, |_| probability(0));
    assert!(home[0].cached < 400);
}

/// Some parts are requested all the time and others once a minute. A rare part must not count as cached where a
/// frequent one does.
#[test]
fn rare_part() {
    let mut usage = PartUsage::default();
    for ms in (0..20_000).step_by(100) {
        usage.record(1, Tick::from_millis(ms));
    }
    usage.record(2, Tick::from_millis(1_000));
    let probability = |key| usage.cached_by_others(key, 7, Duration::from_millis(300), Tick::from_millis(20_000));
    assert!(probability(1) > 0.99);
    assert!(probability(2) < 0.5, "{}", probability(2));
}

/// Each token of a prompt attends to all tokens before it. Estimated by the number of tokens alone, an engine that
/// prefills 50,000 would seem free after half of the time, and others would queue behind it.
#[test]
fn long_prefill() {
    assert!((1_500.0..1_700.0).contains(&prefill_ms(0, 50_000)));
    assert!((15.0..16.0).contains(&prefill_ms(0, 1_000)));
    assert!(prefill_ms(40_000, 10_000) > prefill_ms(0, 10_000) + 200.0);
}

/// While an engine prefills 40,000 tokens, all answers that run there pause for a second. An engine with few requests
/// must take such a prompt although it is not the home; a short prompt stays at its home.
#[test]
fn long_prompt_elsewhere() {
    let mut candidates = [candidate(0, 0.0), candidate(1, 8.0)];
    assume_home_cached(&mut candidates, 5_000, |_| 1.0);
    assert_eq!(chosen(&candidates, 40_000), 0);
    assert_eq!(chosen(&candidates, 6_000), 1);
}

/// A prompt of 50,000 tokens was just sent to an upstream, whose number of requests is as low as the others'. Whatever
/// is sent there next would wait for a second and a half.
#[test]
fn behind_long_prompt() {
    let now = Tick::from_millis(1_000);
    let mut backlog = Backlog::default();
    backlog.sent(sent(50_000, 1_600.0), now);
    let mut candidates = [candidate(1, 0.0), candidate(0, 0.0)];
    candidates[0].backlog_ms = backlog.total_ms(Tick::from_millis(1_050));
    assert!(candidates[0].backlog_ms > 1_400.0);
    assert_eq!(chosen(&candidates, 500), 0);
    assert!(backlog.total_ms(Tick::from_millis(2_500)) < 200.0);
}

/// Another entry host has sent the long prompt, so this host cannot count it. A small request of its own there waits
/// longer than predicted, which shows the same.
#[test]
fn longer_than_predicted() {
    let mut backlog = Backlog::default();
    let number = backlog.sent(sent(300, 5.0), Tick::from_millis(1_000));
    assert!(backlog.total_ms(Tick::from_millis(1_400)) > 350.0);
    let first_event = backlog.first_event(number, Tick::from_millis(1_400)).unwrap();
    assert!((first_event.elapsed_ms - 400.0).abs() < 1.0);
    assert!(backlog.total_ms(Tick::from_millis(1_400)) < 1.0);
}

/// A cache only helps from the start of a prompt, and only for a while: parts after a gap, and old ones, must not
/// count.
#[test]
fn prefixes_only() {
    let part = |key| PromptPart { key, tokens: 100 };
    let mut cached = CachedParts::default();
    cached.store(&[part(1), part(3)], Tick::default());
    assert_eq!(cached.tokens(&[part(1), part(2), part(3)], Tick::default()), 100);
    assert_eq!(cached.tokens(&[part(1)], Tick::from_millis(120_000)), 0);
}
