//! When an upstream fetches cached prompt parts from another one.

use std::time::Duration;

use policy::fetch::plan_fetch;
use policy::homes::assume_former_homes_cached;
use policy::pace::EngineRates;
use policy::place::Candidate;

/// Tokens of a prompt, most of them in a shared part.
const PROMPT: u64 = 14_000;
const SHARED: u64 = 13_300;
/// Time to copy the KV cache of a token, in milliseconds.
const COPY_MS: f64 = 0.0004;

fn candidate(index: usize, cached: u64) -> Candidate {
    Candidate {
        index,
        load: 0.0,
        slots: 64.0,
        cached,
        sent: cached,
        weight: index as u64,
        local: true,
        backlog_ms: 0.0,
        doubt_ms: 0.0,
        rates: EngineRates::default(),
    }
}

/// Guards against an engine that prefills a whole part again because a reclaim has moved the part's home to it.
#[test]
fn cold_home() {
    let candidates = [candidate(0, 0), candidate(1, SHARED), candidate(2, 400)];
    let plan = plan_fetch(&candidates, &candidates[0], PROMPT, COPY_MS).expect("a fetch saves time");
    assert_eq!(
        (plan.source, plan.prefill.cached, plan.prefill.fresh),
        (1, SHARED, PROMPT - SHARED)
    );
    let read_ms = candidates[0].rates.prefill_ms(candidates[0].prefill(PROMPT));
    assert!(plan.ms < read_ms / 5.0, "{} of {read_ms} ms", plan.ms);
}

/// Guards against fetches that save nothing: of a short part, over a slow link, or of parts that the engine has.
#[test]
fn no_gain() {
    let candidates = [candidate(0, 0), candidate(1, 120)];
    assert_eq!(plan_fetch(&candidates, &candidates[0], 600, COPY_MS), None);
    let candidates = [candidate(0, 0), candidate(1, SHARED)];
    assert_eq!(plan_fetch(&candidates, &candidates[0], PROMPT, 0.05), None);
    let read_ms = candidates[0].rates.prefill_ms(candidates[0].prefill(PROMPT)) / PROMPT as f64;
    assert_eq!(plan_fetch(&candidates, &candidates[0], PROMPT, read_ms * 0.3), None);
    assert_eq!(plan_fetch(&candidates, &candidates[1], PROMPT, COPY_MS), None);
}

/// Guards against requests that wait for a source that does not answer.
#[test]
fn silent_source() {
    let silent = Candidate {
        backlog_ms: 900.0,
        ..candidate(1, SHARED)
    };
    let candidates = [candidate(0, 0), silent];
    assert_eq!(plan_fetch(&candidates, &candidates[0], PROMPT, COPY_MS), None);
}

/// Guards against parts that are read again at a new engine although their home until now still holds them.
#[test]
fn former_home() {
    let mut candidates = [candidate(0, 0), candidate(1, 0), candidate(2, 0)];
    let listed_for = |candidate: &Candidate| Duration::from_secs([40, 60, 1][candidate.index]);
    let probability = |span: Duration| if span >= Duration::from_secs(10) { 1.0 } else { 0.0 };
    assume_former_homes_cached(&mut candidates, SHARED, listed_for, probability);
    let cached = |index: usize| {
        candidates
            .iter()
            .find(|candidate| candidate.index == index)
            .map(|known| known.cached)
    };
    assert_eq!([cached(0), cached(1), cached(2)], [Some(0), Some(SHARED), Some(0)]);
    let home = *candidates
        .iter()
        .find(|candidate| candidate.index == 2)
        .expect("the new home");
    let plan = plan_fetch(&candidates, &home, PROMPT, COPY_MS).expect("a fetch saves time");
    assert_eq!(plan.source, 1);
}

/// Guards against parts that are read again where another host was only assumed to have sent them.
#[test]
fn doubtful_home() {
    let home = Candidate {
        cached: SHARED / 2,
        sent: 0,
        ..candidate(0, 0)
    };
    let candidates = [home, candidate(1, SHARED)];
    let plan = plan_fetch(&candidates, &home, PROMPT, COPY_MS).expect("a fetch saves time");
    assert_eq!((plan.source, plan.prefill.cached), (1, SHARED));
}
