//! Quotas over entry hosts that join, leave and are cut off: together they stay within the quota.

use std::collections::BTreeMap;
use std::time::Duration;

use contract::{NodeId, Quota};
use policy::Tick;
use policy::parts::{EVEN, QuotaAllocator, Slack};
use policy::quota::Bucket;
use quickcheck::quickcheck;

const QUOTA: Quota = Quota {
    per_s: 1_000.0,
    burst: 2_000.0,
    tokens: true,
    plain: 200.0,
};
const SLACK: Slack = Slack {
    units: 1_000.0,
    window: Duration::from_secs(8),
};
const HOSTS: usize = 5;

fn name(at: usize) -> NodeId {
    NodeId::from(format!("e{at}"))
}

fn settled() -> QuotaAllocator {
    let mut sharers = QuotaAllocator::new(0, Tick::default());
    for at in 0..HOSTS {
        let _ = sharers.record_heartbeat(&name(at), Tick::from_millis(500));
    }
    sharers
}

/// A new leader has heard from one entry host of eight. If it gave shares at once, the first host would own the whole
/// quota.
#[test]
fn listens_first() {
    let mut sharers = QuotaAllocator::new(0, Tick::default());
    assert_eq!(sharers.record_heartbeat(&name(0), Tick::from_millis(100)), None);
    let mut sharers = settled();
    let portion = sharers.record_heartbeat(&name(0), Tick::from_millis(1_100)).unwrap();
    assert_eq!(portion.entries, HOSTS as u32);
}

/// All leaders are killed, and the entry hosts too. The next leader knows the previous number of entry hosts, so the
/// first one that is back must get its even share at once, and not the whole.
#[test]
fn left_count() {
    let mut sharers = QuotaAllocator::new(8, Tick::default());
    let portion = sharers.record_heartbeat(&name(0), Tick::from_millis(10)).unwrap();
    assert_eq!(portion.entries, 8);
    let portion = sharers.record_heartbeat(&name(0), Tick::from_millis(40_000)).unwrap();
    assert_eq!(portion.entries, 1);
}

/// An entry host is cut off and goes on with its share. The others must not get that share as well.
#[test]
fn cut_host_counts() {
    let mut sharers = settled();
    let portion = sharers.record_heartbeat(&name(0), Tick::from_millis(20_000)).unwrap();
    assert_eq!(portion.entries, HOSTS as u32);
}

/// The quota of one account: entry hosts with their even shares, and the leader with the rest.
struct System {
    sharers: QuotaAllocator,
    hosts: Vec<Bucket>,
    quota: Quota,
    slack: Slack,
}

impl System {
    fn start(hosts: usize, quota: Quota, slack: Slack) -> Self {
        let mut sharers = QuotaAllocator::new(hosts as u32, Tick::default());
        sharers.set_quotas(&[("a".to_owned(), quota)], &slack, Tick::default());
        let mut system = Self {
            sharers,
            hosts: vec![Bucket::new(0.0, Tick::default()); hosts],
            quota,
            slack,
        };
        for at in 0..hosts {
            system.beat(at, Tick::default());
        }
        system
    }

    fn beat(&mut self, at: usize, now: Tick) {
        let count = self.hosts.len() as u32;
        let (part, own) = (EVEN / f64::from(count), &mut self.hosts[at]);
        own.set(
            self.quota.per_s * part,
            self.quota.burst * part + self.slack.per_entry(count),
            now,
        );
        let spare = BTreeMap::from([("a".to_owned(), own.overflow() as u64)]);
        self.sharers.collect_overflow(&name(at), 1, spare);
        self.sharers
            .set_quotas(&[("a".to_owned(), self.quota)], &self.slack, now);
    }

    fn ask(&mut self, at: usize, units: f64, now: Tick) -> bool {
        self.hosts[at].take_whole(units, now).is_ok() || self.sharers.lend("a", units, now)
    }
}

quickcheck! {
    /// Requests reach entry hosts at random; each host has its share, borrows, and reports its overflow. In no window
    /// may all of them together admit more than rate, burst and slack.
    fn sum_within(asks: Vec<(u8, u16, u8)>) -> bool {
        let mut system = System::start(HOSTS, QUOTA, SLACK);
        let mut passed: Vec<(u64, f64)> = Vec::new();
        let mut now_ms = 0;
        asks.into_iter().all(|(host, units, pause)| {
            now_ms += u64::from(pause) * 4;
            let (now, at) = (Tick::from_millis(now_ms), usize::from(host) % HOSTS);
            system.beat(at, now);
            let units = f64::from(units % 3_000);
            if system.ask(at, units, now) {
                passed.push((now_ms, units));
            }
            let within = |(when, _): &&(u64, f64)| now_ms - when <= SLACK.window.as_millis() as u64;
            let sum: f64 = passed.iter().filter(within).map(|(_, units)| units).sum();
            // A request larger than what can be saved up may overdraw the pool once.
            sum <= QUOTA.per_s * SLACK.window.as_secs_f64() + QUOTA.burst + SLACK.units + 3_000.0
        })
    }
}

/// Eighty entry hosts share a quota of 150,000 tokens a second, and half of it is requested by prompts of 12,000
/// tokens, each too large for any host's share. When hosts kept their overflow, callers within their quota were
/// refused.
#[test]
fn long_prompts() {
    let quota = Quota {
        per_s: 150_000.0,
        burst: 150_000.0,
        ..QUOTA
    };
    let mut system = System::start(80, quota, Slack::default());
    let mut refused = 0;
    for ask in 0..400 {
        let now_ms = 2_000 + ask * 160;
        for at in 0..80 {
            system.beat(at, Tick::from_millis(now_ms));
        }
        refused += u32::from(!system.ask(ask as usize * 7 % 80, 12_000.0, Tick::from_millis(now_ms)));
    }
    assert_eq!(refused, 0);
}

/// A leader is replaced. The overflow that entry hosts report since their start was lent by the previous leader
/// already. Only what is added may be collected, and nothing twice when an entry host is restarted.
#[test]
fn spare_once() {
    let spare = |units| BTreeMap::from([("a".to_owned(), units)]);
    let mut sharers = settled();
    sharers.set_quotas(&[("a".to_owned(), QUOTA)], &Slack::default(), Tick::default());
    assert!(sharers.lend("a", 320.0, Tick::default()));
    for (run, total) in [(1, 500), (1, 500), (2, 400)] {
        sharers.collect_overflow(&name(0), run, spare(total));
        assert!(
            !sharers.lend("a", 100.0, Tick::default()),
            "run {run}, {total} to spare"
        );
    }
    sharers.collect_overflow(&name(0), 2, spare(500));
    assert!(sharers.lend("a", 100.0, Tick::default()));
}

/// The quota has units left, but at other entry hosts: the leader must lend them.
#[test]
fn lends_rest() {
    let mut sharers = settled();
    sharers.set_quotas(&[("a".to_owned(), QUOTA)], &SLACK, Tick::default());
    sharers.set_quotas(&[("a".to_owned(), QUOTA)], &SLACK, Tick::from_millis(2_000));
    assert!(sharers.lend("a", 1_000.0, Tick::from_millis(2_000)));
    assert!(!sharers.lend("a", 1_000.0, Tick::from_millis(2_000)));
    assert!(!sharers.lend("b", 1.0, Tick::from_millis(2_000)));
}
