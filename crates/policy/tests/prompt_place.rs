//! Where prompts go: to what holds their beginning, unless waiting there costs more.

use std::time::Duration;

use policy::Tick;
use policy::backlog::{Backlog, SentRequest};
use policy::homes::{PartUsage, assume_home_cached};
use policy::pace::{EngineRates, PrefillWork};
use policy::place::{CachedParts, Candidate, PromptNeed, PromptPart, choose};

fn candidate(at: usize, load: f64) -> Candidate {
    Candidate {
        at,
        load,
        slots: 64.0,
        cached: 0,
        weight: at as u64,
        near: true,
        backlog_ms: 0.0,
        rates: RATES,
    }
}

/// The rates of a usual engine.
const RATES: EngineRates = EngineRates {
    base_ms: 0.0,
    token_ms: 1.0 / 64.0,
    attention_ms: 0.65,
    run_ms: 1_000.0,
};

fn wish(tokens: u64) -> PromptNeed {
    PromptNeed {
        tokens,
        max_pause_ms: 600.0,
    }
}

fn reading_ms(cached: u64, fresh: u64) -> f64 {
    RATES.prefill_ms(PrefillWork { cached, fresh })
}

fn sent(fresh: u64, predicted_ms: f64) -> SentRequest {
    let reading = PrefillWork { cached: 0, fresh };
    SentRequest {
        prefill: reading,
        prefill_ms: RATES.prefill_ms(reading),
        predicted_ms,
        unqueued: true,
    }
}

fn chosen(candidates: &[Candidate], tokens: u64) -> usize {
    choose(candidates, wish(tokens), 12.0).unwrap().at
}

#[test]
fn cached_first() {
    let mut two = [candidate(0, 3.0), candidate(1, 3.0)];
    two[0].cached = 5_000;
    assert_eq!(chosen(&two, 6_000), 0);
}

/// Several entry hosts choose at once, each with its own view. For equal upstreams all of them must agree, or the shared
/// part of a prompt is read at every upstream.
#[test]
fn agreed_place() {
    let weights = [7, 9, 3];
    let at = |weight: usize| Candidate {
        weight: weights[weight],
        ..candidate(weight, weight as f64)
    };
    assert_eq!(chosen(&[at(0), at(1), at(2)], 2_000), 1);
}

/// Hosts read the same reports, which are older than most prompts take. If the home of a prompt were left as soon as others
/// run less, all hosts would leave it together, meet at the engine that was idle then, and read its parts anew.
#[test]
fn busy_home() {
    let engine = |at, load| Candidate {
        slots: 16.0,
        ..candidate(at, load)
    };
    let options = [engine(0, 0.0), engine(1, 11.0)];
    assert_eq!(choose(&options, wish(2_000), 25.0).unwrap().at, 1);
    let options = [engine(0, 0.0), engine(1, 15.0)];
    assert_eq!(
        choose(&options, wish(2_000), 25.0).unwrap().at,
        0,
        "no slot may be free"
    );
}

/// An entry host has not sent the shared parts of this prompt itself; others have, to the home on which all agree. The home
/// reads for 60 ms more than another engine, which would have to read the shared parts anew.
#[test]
fn home_believed() {
    let mut two = [candidate(0, 2.0), candidate(1, 2.0)];
    two[1].backlog_ms = 60.0;
    assert_eq!(chosen(&two, 9_000), 0);
    assume_home_cached(&mut two, 6_000, |_| 1.0);
    assert_eq!(chosen(&two, 9_000), 1);
}

/// Everything has just started, or an upstream has: nobody can have read the parts of forty thousand tokens there yet. Counted
/// as held, the next requests would be sent behind a second of reading, all of them late.
#[test]
fn new_home_empty() {
    let mut uses = PartUsage::default();
    let at = Tick::from_millis;
    for ms in (0..20_000).step_by(500) {
        uses.record(ms / 500 % 4, at(ms));
    }
    let now = at(20_000);
    let held = |age_ms| uses.cached_by_others(1, 7, Duration::from_millis(age_ms), now);
    assert!(held(0) < 0.01);
    assert!((0.2..0.8).contains(&held(200)), "{}", held(200));
    assert!(held(5_000) > 0.99);
    let first = PartUsage::default();
    assert!(first.cached_by_others(1, 7, Duration::from_mins(1), now) < 0.01);
    let mut home = [candidate(0, 0.0)];
    assume_home_cached(&mut home, 40_000, |_| held(0));
    assert!(home[0].cached < 400);
}

/// Some parts are asked for all the time, others once a minute. What is asked for seldom is not taken for read where the others
/// would be.
#[test]
fn seldom_used() {
    let mut uses = PartUsage::default();
    for ms in (0..20_000).step_by(100) {
        uses.record(1, Tick::from_millis(ms));
    }
    uses.record(2, Tick::from_millis(1_000));
    let held = |key| uses.cached_by_others(key, 7, Duration::from_millis(300), Tick::from_millis(20_000));
    assert!(held(1) > 0.99);
    assert!(held(2) < 0.5, "{}", held(2));
}

/// Each token of a prompt looks at all before it. Counted by tokens alone, an engine that reads fifty thousand would seem to
/// be free again after half of the time, and others would be sent behind them.
#[test]
fn long_reading() {
    assert!((1_500.0..1_700.0).contains(&reading_ms(0, 50_000)));
    assert!((15.0..16.0).contains(&reading_ms(0, 1_000)));
    assert!(reading_ms(40_000, 10_000) > reading_ms(0, 10_000) + 200.0);
}

/// While an engine reads a prompt of forty thousand tokens, the callers of all that run there see a pause of a second. One that
/// runs little takes it, though it is not the home; a short prompt stays at home.
#[test]
fn long_prompt_apart() {
    let mut two = [candidate(0, 0.0), candidate(1, 8.0)];
    assume_home_cached(&mut two, 5_000, |_| 1.0);
    assert_eq!(chosen(&two, 40_000), 0);
    assert_eq!(chosen(&two, 6_000), 1);
}

/// A prompt of fifty thousand tokens was sent to an upstream a moment ago, whose count of requests is as low as the
/// others'. Whatever is sent there next would wait for a second and a half.
#[test]
fn behind_long_prompt() {
    let now = Tick::from_millis(1_000);
    let mut backlog = Backlog::default();
    backlog.sent(sent(50_000, 1_600.0), now);
    let mut two = [candidate(1, 0.0), candidate(0, 0.0)];
    two[0].backlog_ms = backlog.total_ms(Tick::from_millis(1_050));
    assert!(two[0].backlog_ms > 1_400.0);
    assert_eq!(chosen(&two, 500), 0);
    assert!(backlog.total_ms(Tick::from_millis(2_500)) < 200.0);
}

/// Another entry host has sent the long prompt, so that this one can't count it. Its own small request there waits longer
/// than was predicted, which tells the same.
#[test]
fn longer_than_predicted() {
    let mut backlog = Backlog::default();
    let number = backlog.sent(sent(300, 5.0), Tick::from_millis(1_000));
    assert!(backlog.total_ms(Tick::from_millis(1_400)) > 350.0);
    let begun = backlog.first_event(number, Tick::from_millis(1_400)).unwrap();
    assert!((begun.elapsed_ms - 400.0).abs() < 1.0);
    assert!(backlog.total_ms(Tick::from_millis(1_400)) < 1.0);
}

#[test]
fn beginnings_only() {
    let part = |key| PromptPart { key, tokens: 100 };
    let mut cached = CachedParts::default();
    cached.store(&[part(1), part(3)], Tick::default());
    assert_eq!(cached.tokens(&[part(1), part(2), part(3)], Tick::default()), 100);
    assert_eq!(cached.tokens(&[part(1)], Tick::from_millis(120_000)), 0);
}
