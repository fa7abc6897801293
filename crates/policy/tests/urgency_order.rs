//! An account at seven times its usual: its quota goes to its more urgent requests.

use std::collections::BTreeMap;
use std::time::Duration;

use contract::{NodeId, Quota};
use policy::Tick;
use policy::parts::{EVEN_SHARE, QuotaAllocator, Slack};
use policy::quota::Bucket;
use policy::urgency::UrgencyGate;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const HOSTS: usize = 40;
const QUOTA: Quota = Quota {
    per_s: 500_000.0,
    burst: 500_000.0,
    tokens: true,
    plain: 200.0,
};
const SLACK: Slack = Slack {
    units: 70_000.0,
    window: Duration::from_secs(8),
};
/// Kinds of requests by priority: units, and requests per second at seven times the usual.
const KINDS: [(f64, f64); 3] = [(1_100.0, 130.0), (12_400.0, 110.0), (2_400.0, 190.0)];
const LENGTH_MS: u64 = 10_000;
const HEARTBEAT_MS: u64 = 200;

/// How the hosts decide.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Order {
    /// Whoever comes first, with units of the own share or of a loan.
    Arrival,
    /// With less urgent requests held back, and loans for what the own share lacks.
    Urgency,
}

/// Returns the share of the requests of each kind that are served, and the units that all of them used.
fn replay(order: Order) -> ([f64; 3], f64) {
    let mut rng = StdRng::seed_from_u64(1);
    let mut leader = QuotaAllocator::new(HOSTS as u32, Tick::default());
    let share = EVEN_SHARE / HOSTS as f64;
    let mut hosts = vec![
        (
            Bucket::new(QUOTA.burst * share, Tick::default()),
            UrgencyGate::default()
        );
        HOSTS
    ];
    let (mut asked, mut served, mut used) = ([0.0; 3], [0.0; 3], 0.0);
    for ms in 0..LENGTH_MS {
        let now = Tick::from_millis(ms);
        for (host, (bucket, _)) in hosts.iter_mut().enumerate() {
            if ms % HEARTBEAT_MS == host as u64 * HEARTBEAT_MS / HOSTS as u64 {
                let burst = QUOTA.burst * share + SLACK.per_entry(HOSTS as u32);
                bucket.set(QUOTA.per_s * share, burst, now);
                let overflow = BTreeMap::from([("a".to_owned(), bucket.overflow() as u64)]);
                leader.collect_overflow(&NodeId::from(format!("e{host}")), 1, overflow);
                leader.set_quotas(&[("a".to_owned(), QUOTA)], &SLACK, now);
            }
        }
        for (priority, (units, per_s)) in KINDS.into_iter().enumerate() {
            if !rng.random_bool(per_s / 1_000.0) {
                continue;
            }
            asked[priority] += 1.0;
            let (bucket, gate) = &mut hosts[rng.random_range(0..HOSTS)];
            let urgency = order == Order::Urgency;
            if urgency && !gate.passes(priority as u8, now) {
                continue;
            }
            let mut admitted = bucket.take_whole(units, now).is_ok();
            if !admitted {
                let own = if urgency {
                    bucket.take_available(units, now)
                } else {
                    0.0
                };
                admitted = leader.lend("a", units - own, now);
                if !admitted {
                    bucket.refund(own);
                    gate.record_refused(priority as u8, now);
                }
            }
            if admitted {
                served[priority] += 1.0;
                used += units;
            }
        }
    }
    ([0, 1, 2].map(|kind| served[kind] / asked[kind]), used)
}

/// Guards against a quota that the least urgent requests use up, because they are short and fit what is left of it at each
/// host, while the long and more urgent ones are refused.
#[test]
fn urgent_first() {
    let ([_, long_before, labels_before], _) = replay(Order::Arrival);
    let ([questions, long, labels], used) = replay(Order::Urgency);
    println!("long {long_before} to {long}, labels {labels_before} to {labels}, questions {questions}, used {used}");
    assert!(questions >= long && long > labels, "{questions} {long} {labels}");
    assert!(long > long_before * 1.2, "{long_before} {long}");
    assert!(labels > 0.05, "the least urgent are starved: {labels}");
    let most = QUOTA.per_s * LENGTH_MS as f64 / 1_000.0 + QUOTA.burst;
    assert!(
        used < most * 1.1 + SLACK.units * LENGTH_MS as f64 / 8_000.0,
        "{used} of {most}"
    );
}

/// Guards against requests that are held back although nothing more urgent was refused, or long after it.
#[test]
fn held_briefly() {
    let mut gate = UrgencyGate::default();
    let at = |ms| Tick::from_millis(ms);
    gate.record_refused(1, at(0));
    assert!(gate.passes(0, at(10)) && gate.passes(1, at(10)));
    let passed = (0..80).filter(|_| gate.passes(2, at(10))).count();
    assert_eq!(passed, 10);
    assert!(!gate.is_idle(at(1_999)));
    assert!(gate.passes(2, at(2_000)) && gate.is_idle(at(2_000)));
}
