//! Quotas over entry hosts that join, leave and are cut off: together they stay within the quota.

use std::collections::BTreeMap;
use std::time::Duration;

use contract::{NodeId, Quota};
use policy::Tick;
use policy::parts::{EVEN_SHARE, LoanLimit, NODE_SHARE, NodeLender, QuotaAllocator, Slack, node_part, node_share};
use policy::quota::Bucket;
use quickcheck::quickcheck;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

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
const NODES: usize = 3;

fn name(at: usize) -> NodeId {
    NodeId::from(format!("e{at}"))
}

fn settled_allocator() -> QuotaAllocator {
    let mut allocator = QuotaAllocator::new(0, Tick::default());
    for at in 0..HOSTS {
        let _ = allocator.record_heartbeat(&name(at), Tick::from_millis(500));
    }
    allocator
}

/// A new leader has heard from one entry host of eight. If it gave shares at once, the first host would own the whole
/// quota.
#[test]
fn listens_first() {
    let mut allocator = QuotaAllocator::new(0, Tick::default());
    assert_eq!(allocator.record_heartbeat(&name(0), Tick::from_millis(100)), None);
    let mut allocator = settled_allocator();
    let share = allocator.record_heartbeat(&name(0), Tick::from_millis(1_100)).unwrap();
    assert_eq!(share.entries, HOSTS as u32);
}

/// All leaders are killed, and the entry hosts too. The next leader knows the previous number of entry hosts, so the
/// first one that is back must get its even share at once, and not the whole.
#[test]
fn previous_count() {
    let mut allocator = QuotaAllocator::new(8, Tick::default());
    let share = allocator.record_heartbeat(&name(0), Tick::from_millis(10)).unwrap();
    assert_eq!(share.entries, 8);
    let share = allocator.record_heartbeat(&name(0), Tick::from_millis(40_000)).unwrap();
    assert_eq!(share.entries, 1);
}

/// An entry host is cut off and goes on with its share. The others must not get that share as well.
#[test]
fn cut_host_counted() {
    let mut allocator = settled_allocator();
    let share = allocator.record_heartbeat(&name(0), Tick::from_millis(20_000)).unwrap();
    assert_eq!(share.entries, HOSTS as u32);
}

/// The quota of one account: entry hosts with their even shares, and the leader with the rest.
struct System {
    allocator: QuotaAllocator,
    nodes: Vec<NodeLender>,
    hosts: Vec<Bucket>,
    quota: Quota,
    slack: Slack,
}

impl System {
    fn start(hosts: usize, quota: Quota, slack: Slack) -> Self {
        let mut allocator = QuotaAllocator::new(hosts as u32, Tick::default());
        allocator.set_quotas(&[("a".to_owned(), quota)], &slack, Tick::default());
        let mut system = Self {
            allocator,
            nodes: (0..NODES).map(|_| NodeLender::default()).collect(),
            hosts: vec![Bucket::new(0.0, Tick::default()); hosts],
            quota,
            slack,
        };
        for at in 0..hosts {
            system.heartbeat(at, Tick::default());
        }
        system
    }

    fn heartbeat(&mut self, at: usize, now: Tick) {
        let count = self.hosts.len() as u32;
        let (part, bucket) = (EVEN_SHARE / f64::from(count), &mut self.hosts[at]);
        bucket.set(
            self.quota.per_s * part,
            self.quota.burst * part + self.slack.per_entry(count),
            now,
        );
        let overflow = BTreeMap::from([("a".to_owned(), bucket.overflow() as u64)]);
        self.allocator.collect_overflow(&name(at), 1, overflow);
        self.allocator
            .set_quotas(&[("a".to_owned(), self.quota)], &self.slack, now);
    }

    fn ask(&mut self, at: usize, units: f64, now: Tick) -> bool {
        self.hosts[at].take_whole(units, now).is_ok()
            || self.allocator.lend("a", units, now)
            || self.ask_node(at, units, LoanLimit::Whole, now)
    }

    fn ask_node(&mut self, at: usize, units: f64, limit: LoanLimit, now: Tick) -> bool {
        let part = node_part(NODES as u32, self.hosts.len() as u32);
        self.nodes[at % NODES].lend(("a", &self.quota), part, units, limit, now)
    }
}

quickcheck! {
    /// Requests reach entry hosts at random; each host has its share, borrows, and reports its overflow. In no window
    /// may all of them together admit more than rate, burst and slack.
    fn sum_within(requests: Vec<(u8, u16, u8)>) -> bool {
        let mut system = System::start(HOSTS, QUOTA, SLACK);
        let mut admitted: Vec<(u64, f64)> = Vec::new();
        let mut now_ms = 0;
        requests.into_iter().all(|(host, units, pause)| {
            now_ms += u64::from(pause) * 4;
            let (now, at) = (Tick::from_millis(now_ms), usize::from(host) % HOSTS);
            system.heartbeat(at, now);
            let units = f64::from(units % 3_000);
            if system.ask(at, units, now) {
                admitted.push((now_ms, units));
            }
            let within = |(when, _): &&(u64, f64)| now_ms - when <= SLACK.window.as_millis() as u64;
            let sum: f64 = admitted.iter().filter(within).map(|(_, units)| units).sum();
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
            system.heartbeat(at, Tick::from_millis(now_ms));
        }
        refused += u32::from(!system.ask(ask as usize * 7 % 80, 12_000.0, Tick::from_millis(now_ms)));
    }
    assert_eq!(refused, 0);
}

/// A leader is replaced. The overflow that entry hosts report since their start was lent by the previous leader
/// already. Only what is added may be collected, and nothing twice when an entry host is restarted.
#[test]
fn overflow_once() {
    let totals = |units| BTreeMap::from([("a".to_owned(), units)]);
    let mut allocator = settled_allocator();
    allocator.set_quotas(&[("a".to_owned(), QUOTA)], &Slack::default(), Tick::default());
    let initial = QUOTA.burst * (1.0 - EVEN_SHARE - NODE_SHARE) * 0.4;
    assert!(allocator.lend("a", initial, Tick::default()));
    for (incarnation, total) in [(1, 500), (1, 500), (2, 400)] {
        allocator.collect_overflow(&name(0), incarnation, totals(total));
        assert!(
            !allocator.lend("a", 100.0, Tick::default()),
            "incarnation {incarnation}, overflow {total}"
        );
    }
    allocator.collect_overflow(&name(0), 2, totals(500));
    assert!(allocator.lend("a", 100.0, Tick::default()));
}

/// The quota has units left, but at other entry hosts: the leader must lend them.
#[test]
fn lends_rest() {
    let mut allocator = settled_allocator();
    allocator.set_quotas(&[("a".to_owned(), QUOTA)], &SLACK, Tick::default());
    allocator.set_quotas(&[("a".to_owned(), QUOTA)], &SLACK, Tick::from_millis(2_000));
    assert!(allocator.lend("a", 1_000.0, Tick::from_millis(2_000)));
    assert!(!allocator.lend("a", 1_000.0, Tick::from_millis(2_000)));
    assert!(!allocator.lend("b", 1.0, Tick::from_millis(2_000)));
}

/// Guards against refusals within a quota while the state group has no leader: two hundred entry hosts hold one prompt
/// in many seconds each, and requests reach them at random.
#[test]
fn without_leader() {
    const ENTRY_HOSTS: usize = 200;
    /// Time with and then without a leader, in milliseconds.
    const PHASE_MS: u64 = 8_000;
    let quota = Quota {
        per_s: 110_000.0,
        burst: 110_000.0,
        ..QUOTA
    };
    let mut system = System::start(ENTRY_HOSTS, quota, Slack::default());
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let (mut asked, mut admitted) = (0.0, 0.0);
    for now_ms in 0..2 * PHASE_MS {
        let now = Tick::from_millis(now_ms);
        // The account asks for half of its quota, five times a second and data centre.
        if now_ms % 33 != 0 {
            continue;
        }
        let (at, units) = (random.random_range(0..ENTRY_HOSTS), random.random_range(0.0..3_600.0));
        if now_ms < PHASE_MS {
            system.heartbeat(at, now);
            let _ = system.ask(at, units, now);
            continue;
        }
        let lent = system.hosts[at].take_whole(units, now).is_ok()
            || system.ask_node(at, units, LoanLimit::Overdraw, now)
            || system.hosts[at].take(units, now).is_ok();
        asked += units;
        admitted += if lent { units } else { 0.0 };
    }
    assert!(admitted >= 0.75 * asked, "{admitted} of {asked} units are admitted");
}

/// Guards against state nodes that lend a quota anew after each restart or without a bound.
#[test]
fn node_part_bounded() {
    let mut node = NodeLender::default();
    let account = ("a", &QUOTA);
    let part = node_part(3, 1_000);
    assert!((part - NODE_SHARE / 4.0).abs() < 1e-9, "four parts for three nodes");
    let limit = LoanLimit::Whole;
    let lend = |node: &mut NodeLender, units, ms| node.lend(account, part, units, limit, Tick::from_millis(ms));
    assert!(!lend(&mut node, QUOTA.burst * part * 0.5, 0));
    assert!(lend(&mut node, QUOTA.burst * part * 0.4, 0));
    assert!(!lend(&mut node, QUOTA.per_s * part * 2.0 + 1.0, 1_000));
    assert!(lend(&mut node, QUOTA.per_s * part, 1_000));
    assert!(!lend(&mut node, QUOTA.per_s * part * 0.1, 1_050));
}

/// Guards against refusals of long prompts in small deployments: what the state nodes hold is missing at the leader, and
/// too little for such a prompt at each of them.
#[test]
fn few_hosts() {
    assert!(node_share(12) < 0.03, "{}", node_share(12));
    assert!((node_share(200) - NODE_SHARE).abs() < 1e-9);
}
