//! Entry hosts together keep the rate limit that an upstream names, and use it.

use std::collections::BTreeSet;
use std::time::Duration;

use contract::NodeId;
use policy::Tick;
use policy::limits::DemandMeter;
use policy::rate_limit::{HostLimit, LimitLeases};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const UPSTREAM: &str = "u";
/// Span in which requests are counted, and time from the first response until the limit has to be kept.
const SPAN_MS: u64 = 4_000;
const CONTACT_MS: u64 = 3_000;
/// Requests per second that callers of each host would send to the upstream.
const DEMAND_PER_S: f64 = 3.0;
const LENGTH_MS: u64 = 40_000;
/// When the upstream begins to name its limit.
const NAMED_MS: u64 = 1_000;

/// What happens to hosts and leader, in milliseconds from the start.
#[derive(Clone, Default)]
struct Faults {
    /// When another node becomes leader, without knowledge of the leader before.
    leader_changes: &'static [u64],
    /// When no heartbeat of the first half of the hosts arrives.
    cut: std::ops::Range<u64>,
    /// When the hosts with a part restart.
    holders_restart: Option<u64>,
    /// When the hosts with a part are lost for good.
    holders_end: Option<u64>,
    /// When the upstream names no limit any more.
    ends: Option<u64>,
    /// When all callers come to the first host.
    moved: Option<u64>,
}

struct Fleet {
    per_s: f64,
    faults: Faults,
    hosts: Vec<HostLimit>,
    demands: Vec<DemandMeter>,
    leader: LimitLeases,
    /// Times at which requests reached the upstream, in milliseconds.
    arrivals: Vec<u64>,
    /// Hosts that are lost.
    lost: BTreeSet<usize>,
    /// Most requests per second that all hosts together were ever allowed.
    most_leased: f64,
}

impl Fleet {
    fn new(count: usize, per_s: f64, faults: Faults) -> Self {
        Self {
            per_s,
            faults,
            hosts: vec![HostLimit::default(); count],
            demands: vec![DemandMeter::default(); count],
            leader: LimitLeases::default(),
            arrivals: Vec::new(),
            lost: BTreeSet::new(),
            most_leased: 0.0,
        }
    }

    fn run(mut self, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let count = self.hosts.len();
        let heartbeat_ms = 150.max(count as u64 * 1_000 / 400);
        for ms in 0..LENGTH_MS {
            let now = Tick::from_millis(ms);
            if self.faults.leader_changes.contains(&ms) {
                self.leader = LimitLeases::new(now);
            }
            if self.faults.holders_restart == Some(ms) {
                let holders = self.hosts.iter_mut().filter(|host| host.part_per_s(now) > 0.0);
                holders.for_each(|host| *host = HostLimit::default());
            }
            if self.faults.holders_end == Some(ms) {
                let holders = (0..count).filter(|index| self.hosts[*index].part_per_s(now) > 0.0);
                self.lost.extend(holders);
            }
            for index in (0..count)
                .filter(|index| !self.lost.contains(index))
                .collect::<Vec<_>>()
            {
                if (ms + index as u64 * 37).is_multiple_of(heartbeat_ms) {
                    self.heartbeat(index, now);
                }
            }
            for caller in 0..count {
                let index = if self.faults.moved.is_some_and(|moved| ms >= moved) {
                    0
                } else {
                    caller
                };
                if rng.random_bool(DEMAND_PER_S / 1_000.0) && !self.lost.contains(&index) {
                    self.demands[index].add(1.0, now);
                    self.send(index, now, ms);
                }
            }
            let leased = self.hosts.iter().map(|host| host.part_per_s(now)).sum();
            self.most_leased = self.most_leased.max(leased);
        }
        self
    }

    fn heartbeat(&mut self, index: usize, now: Tick) {
        let ms = now.0.as_millis() as u64;
        if self.faults.cut.contains(&ms) && index < self.hosts.len() / 2 {
            return;
        }
        let node = NodeId::from(format!("e{index}"));
        let host = &mut self.hosts[index];
        if let Some((named, held)) = host.report(self.demands[index].rate(now), now) {
            self.leader.report(&node, UPSTREAM, named, held, now);
        }
        for part in self.leader.lease(&node, count_of(&self.hosts), now) {
            self.hosts[index].record_part(part.named, part.per_s, now, now);
        }
    }

    fn send(&mut self, index: usize, now: Tick, ms: u64) {
        if !self.hosts[index].take(now) {
            return;
        }
        self.arrivals.push(ms);
        let ended = self.faults.ends.is_some_and(|ends| ms >= ends);
        let per_s = (ms >= NAMED_MS && !ended).then_some(self.per_s);
        self.hosts[index].record_response(per_s, now);
    }
}

fn count_of(hosts: &[HostLimit]) -> u32 {
    hosts.len() as u32
}

/// Returns the most arrivals in any span of four seconds once the limit has to be kept.
fn most_in_span(arrivals: &[u64], until: u64) -> usize {
    let from = NAMED_MS + CONTACT_MS;
    let kept: Vec<u64> = arrivals
        .iter()
        .copied()
        .filter(|at| (from..until).contains(at))
        .collect();
    let in_span = |first: &u64| kept.iter().filter(|at| (*first..first + SPAN_MS).contains(*at)).count();
    kept.iter().map(in_span).max().unwrap_or(0)
}

fn assert_kept(name: &str, count: usize, per_s: f64, faults: &Faults) {
    for seed in 0..5 {
        let until = faults.ends.unwrap_or(LENGTH_MS);
        let fleet = Fleet::new(count, per_s, faults.clone()).run(seed);
        assert!(
            fleet.most_leased < per_s * 1.001,
            "{name}, {count} hosts, limit {per_s}, seed {seed}: {} a second leased",
            fleet.most_leased
        );
        let (most, allowed) = (most_in_span(&fleet.arrivals, until), 1.5 * per_s * 4.0 + 5.0);
        assert!(
            most as f64 <= allowed,
            "{name}, {count} hosts, limit {per_s}, seed {seed}: {most} in a span, {allowed} allowed"
        );
    }
}

/// Checks that all but a tenth of the limit is used while callers ask for more.
fn assert_used(count: usize, per_s: f64, faults: Faults) {
    let arrivals = Fleet::new(count, per_s, faults).run(1).arrivals;
    let used = arrivals.iter().filter(|at| **at >= 10_000).count() as f64 / 30.0;
    let usable = per_s.min(DEMAND_PER_S * count as f64);
    assert!(
        used >= 0.9 * usable,
        "{count} hosts, limit {per_s}: {used:.2} a second used"
    );
}

const SIZES: [(usize, f64); 6] = [(2, 1.0), (8, 1.0), (8, 12.5), (58, 1.0), (58, 20.0), (194, 3.0)];

/// Guards against hosts that together send more than the upstream takes, or leave more than a tenth of it unused while
/// callers wait.
#[test]
fn kept_and_used() {
    for (count, per_s) in SIZES {
        assert_kept("calm", count, per_s, &Faults::default());
        assert_used(count, per_s, Faults::default());
    }
}

/// Guards against parts that are leased twice when the leader changes, and against hosts that lose theirs by it.
#[test]
fn leader_changes() {
    for (count, per_s) in SIZES {
        let leader_changes = &[9_000, 15_000, 15_700, 16_500, 30_000];
        let faults = Faults {
            leader_changes,
            ..Faults::default()
        };
        assert_kept("leader changes", count, per_s, &faults);
        assert_used(count, per_s, faults);
    }
}

/// Guards against hosts that go on with an old part while they are cut off from the leader, or after a restart.
#[test]
fn cut_and_restarted() {
    for (count, per_s) in SIZES {
        let faults = Faults {
            leader_changes: &[10_500, 11_000],
            cut: 10_000..16_000,
            holders_restart: Some(25_000),
            ..Faults::default()
        };
        assert_kept("cut and restarted", count, per_s, &faults);
    }
}

/// Guards against an upstream that is left alone forever: the only hosts that hear from it are lost while the leader
/// changes, and all others believe that somebody else holds its limit.
#[test]
fn holders_and_leader_lost() {
    let others_left = |(count, per_s): &(usize, f64)| *count as f64 > *per_s;
    for (count, per_s) in SIZES.into_iter().filter(others_left) {
        let faults = Faults {
            leader_changes: &[9_000],
            holders_end: Some(9_000),
            ..Faults::default()
        };
        assert_kept("holders and leader lost", count, per_s, &faults);
        let arrivals = Fleet::new(count, per_s, faults).run(1).arrivals;
        assert!(arrivals.iter().any(|at| *at > 30_000), "{count} hosts, limit {per_s}");
    }
}

/// Guards against parts that stay with hosts to which no callers come any more.
#[test]
fn callers_move() {
    for (count, per_s) in SIZES {
        let faults = Faults {
            moved: Some(20_000),
            ..Faults::default()
        };
        assert_kept("callers move", count, per_s, &faults);
        let arrivals = Fleet::new(count, per_s, faults).run(1).arrivals;
        let later = arrivals.iter().filter(|at| **at >= 20_000 + CONTACT_MS).count() as f64 / 17.0;
        let usable = per_s.min(DEMAND_PER_S * count as f64);
        assert!(
            later >= 0.75 * usable,
            "{count} hosts, limit {per_s}: {later:.2} a second used"
        );
    }
}

/// Guards against an upstream that is passed over although it has recovered.
#[test]
fn limit_ends() {
    for (count, per_s) in SIZES {
        let faults = Faults {
            ends: Some(20_000),
            ..Faults::default()
        };
        let arrivals = Fleet::new(count, per_s, faults).run(1).arrivals;
        let after = arrivals.iter().filter(|at| **at >= 25_000).count() as f64 / 15.0;
        assert!(
            after >= 0.9 * DEMAND_PER_S * count as f64,
            "{count} hosts: {after:.1} a second"
        );
    }
}

/// Guards against an upstream that takes nothing for a while and is never asked again.
#[test]
fn zero_limit() {
    let faults = Faults {
        ends: Some(20_000),
        ..Faults::default()
    };
    let arrivals = Fleet::new(8, 0.0, faults).run(1).arrivals;
    assert!(most_in_span(&arrivals, 20_000) <= 5, "allowed without any rate");
    assert!(arrivals.iter().filter(|at| **at >= 35_000).count() > 50);
}

/// Guards against heartbeats that name every upstream which has responded, although none limits its requests.
#[test]
fn no_limit() {
    let (mut host, now) = (HostLimit::default(), Tick::from_millis(5_000));
    host.record_response(None, now);
    assert_eq!(host.report(0.0, now), None);
    host.record_response(Some(2.0), now);
    host.record_response(None, now + Duration::from_millis(10));
    let (named, held) = host
        .report(0.0, now + Duration::from_millis(20))
        .expect("the end is news");
    assert_eq!((named.per_s, held.per_s), (None, 0.0));
}

/// Guards against a saved-up part that is used after a freeze: the lease has ended meanwhile.
#[test]
fn frozen_holder() {
    let (node, mut leader, mut host) = (NodeId::from("e"), LimitLeases::default(), HostLimit::default());
    let at = |ms| Tick::from_millis(ms);
    host.record_response(Some(1.0), at(5_000));
    let (named, held) = host.report(0.0, at(5_000)).expect("it heard of a limit");
    leader.report(&node, UPSTREAM, named, held, at(5_000));
    let part = leader.lease(&node, 8, at(5_000)).remove(0);
    host.record_part(part.named, part.per_s, at(5_000), at(5_010));
    assert!(!host.take(at(5_020)), "a part starts empty");
    assert!(
        host.wait(at(5_020))
            .is_some_and(|wait| wait > Duration::from_millis(500))
    );
    assert!(!host.take(at(9_000)), "the lease has ended");
    host.record_part(part.named, part.per_s, at(9_000), at(9_010));
    assert!(!host.take(at(9_020)), "a renewed part starts empty");
}
