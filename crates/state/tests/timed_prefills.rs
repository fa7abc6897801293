//! Prefills that one entry host has timed are told to the others, each of them once.

use contract::NodeId;
use policy::Tick;
use state::registry::{EntryRegistry, SharedLimits};
use wire::registry::{Heartbeat, PrefillSample, PrefillSamples};

const TERM: u64 = 1;

/// Samples with the numbers before `next`, each with its number as time.
fn samples(next: u64, count: u64) -> PrefillSamples {
    let sample = |number: u64| PrefillSample {
        id: "i-1".to_owned(),
        cached: 0,
        fresh: 1_000,
        ms: number as f64,
        pace: 1.0,
    };
    PrefillSamples {
        next,
        samples: (next - count..next).map(sample).collect(),
    }
}

/// Sends a heartbeat of a known number of hosts; returns what is told of others.
fn beat(registry: &EntryRegistry, term: u64, host: &str, run: u64, told: PrefillSamples, mark: u64) -> PrefillSamples {
    let shared = SharedLimits {
        entry_hosts: 3,
        ..SharedLimits::default()
    };
    let heartbeat = Heartbeat {
        run,
        prefills: told,
        prefill_mark: mark,
        ..Heartbeat::default()
    };
    let update = registry.heartbeat(
        term,
        (&NodeId::from(host), heartbeat),
        &shared,
        Tick::from_millis(1_000),
    );
    update.expect("the number of hosts is known").prefills
}

fn times(told: &PrefillSamples) -> Vec<f64> {
    told.samples.iter().map(|sample| sample.ms).collect()
}

/// Guards against samples that count twice, because a host tells its newest ones with each heartbeat.
#[test]
fn told_once() {
    let registry = EntryRegistry::default();
    beat(&registry, TERM, "a", 7, samples(3, 3), 0);
    let told = beat(&registry, TERM, "b", 8, PrefillSamples::default(), 0);
    assert_eq!(times(&told), [0.0, 1.0, 2.0]);
    beat(&registry, TERM, "a", 7, samples(4, 4), 0);
    let told = beat(&registry, TERM, "b", 8, PrefillSamples::default(), told.next);
    assert_eq!(times(&told), [3.0]);
    let told = beat(&registry, TERM, "b", 8, PrefillSamples::default(), told.next);
    assert!(told.is_empty());
}

/// Guards against a host that learns its own samples again from the leader.
#[test]
fn own_left_out() {
    let registry = EntryRegistry::default();
    beat(&registry, TERM, "a", 7, samples(3, 3), 0);
    assert!(beat(&registry, TERM, "a", 7, PrefillSamples::default(), 0).is_empty());
}

/// Guards against samples of a restarted host that are taken for told ones, as its numbers begin anew.
#[test]
fn restarted_host() {
    let registry = EntryRegistry::default();
    beat(&registry, TERM, "a", 7, samples(50, 8), 0);
    let mark = beat(&registry, TERM, "b", 8, PrefillSamples::default(), 0).next;
    beat(&registry, TERM, "a", 9, samples(2, 2), 0);
    assert_eq!(
        times(&beat(&registry, TERM, "b", 8, PrefillSamples::default(), mark)),
        [0.0, 1.0]
    );
}

/// Guards against silence after a change of leader, whose numbers are lower than the position of a host.
#[test]
fn new_leader() {
    let registry = EntryRegistry::default();
    beat(&registry, TERM, "a", 7, samples(50, 8), 0);
    beat(&registry, TERM + 1, "a", 7, samples(51, 1), 0);
    assert_eq!(
        times(&beat(&registry, TERM + 1, "b", 8, PrefillSamples::default(), 8)),
        [50.0]
    );
}

/// Guards against numbers that contradict the samples beside them.
#[test]
fn contradicting_numbers() {
    let registry = EntryRegistry::default();
    let mut told = samples(3, 3);
    told.next = u64::MAX;
    beat(&registry, TERM, "a", 7, told, u64::MAX);
    beat(&registry, TERM, "a", 7, samples(1, 1), 0);
    assert_eq!(
        beat(&registry, TERM, "b", 8, PrefillSamples::default(), u64::MAX)
            .samples
            .len(),
        3
    );
}
