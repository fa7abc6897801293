//! Admission with 10 and 1,000 waiting requests, and the division of a limit at 8 and 390 entry hosts.
#![expect(
    missing_docs,
    reason = "the macro of the library makes a public function without documentation"
)]

use std::hint::black_box;
use std::time::Duration;

use contract::CustomerLimits;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use policy::Tick;
use policy::fair::Ticket;
use policy::lane::AdmissionQueue;
use policy::limits::{CustomerShare, LimitAmounts, PeerDemand, owned_part};

fn ticket(id: u64, customers: u64) -> Ticket {
    Ticket {
        id,
        customer: format!("customer-{}", id % customers).into(),
        weight: (id % customers) as u32 + 1,
        tokens: 100.0 + (id % 7) as f64,
        latest_start: Tick::from_millis(1_000_000 + id % 1_000),
        target_start: Tick::from_millis(1_000_000 + id % 1_000),
        priority: 0,
        bytes: 0,
        shed_order: (id % 4) as u8,
    }
}

/// A request arrives at a full queue and another one starts.
fn admission(c: &mut Criterion) {
    let mut group = c.benchmark_group("admit");
    for waiting in [10, 1_000] {
        let mut queue = AdmissionQueue::new(16, waiting, false);
        for id in 0..waiting as u64 + 16 {
            // Some are refused; the queue is full at the end.
            let _ = queue.offer(ticket(id, 10), Tick::default());
            queue.admit_next();
        }
        let mut id = 1_000_000;
        group.bench_function(BenchmarkId::from_parameter(waiting), |b| {
            b.iter(|| {
                id += 1;
                queue.finished(100.0, Duration::from_millis(1));
                black_box(queue.admit_next());
                black_box(queue.offer(ticket(id, 10), Tick::default()).is_ok());
            });
        });
    }
    group.finish();
}

/// Computes one customer's loans to one peer.
fn split(c: &mut Criterion) {
    const LIMITS: CustomerLimits = CustomerLimits {
        requests_per_s: 3_600.0,
        tokens_per_s: 1_700_000.0,
        concurrency: 30_000,
    };
    let mut group = c.benchmark_group("split");
    for hosts in [8, 390] {
        let now = Tick::from_millis(10_000);
        let mut share = CustomerShare::new(false, Tick::default());
        for peer in 1..hosts {
            let demand = LimitAmounts::from([f64::from(peer % 30), f64::from(peer % 30) * 400.0, f64::from(peer % 90)]);
            let reported = PeerDemand {
                demand,
                running: demand.running,
            };
            share.record_demand(peer, reported, now);
        }
        let part = owned_part(&LIMITS, hosts, 0);
        let mut peer = 0;
        group.bench_function(BenchmarkId::from_parameter(hosts), |b| {
            b.iter(|| {
                peer = peer % (hosts - 1) + 1;
                let own = LimitAmounts::from([1.0, 400.0, 3.0]);
                black_box(share.grant(peer, part, own, now));
                black_box(share.usable(part, now))
            });
        });
    }
    group.finish();
}

criterion_group!(benches, admission, split);
criterion_main!(benches);
