//! Decisions of the queue at an entry host with 10,000 requests waiting, of 16 and of 1,000 customers.
#![expect(
    missing_docs,
    reason = "the macro of the library makes a public function without documentation"
)]

use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use policy::Tick;
use policy::drain::DrainRate;
use policy::fair::{FairQueue, Ticket};
use policy::returns::ReturnTimes;

const WAITING: u64 = 10_000;
const CUSTOMERS: [u64; 2] = [16, 1_000];

/// A request of one of three priorities, with 1.2 to 2.2 s left to its target and 10 s to its latest start.
fn ticket(id: u64, customers: u64, now: Tick) -> Ticket {
    Ticket {
        id,
        customer: format!("customer-{}", id * 7 % customers).into(),
        weight: (id * 7 % customers % 5) as u32 + 1,
        tokens: 100.0 + (id * 31 % 7_000) as f64,
        latest_start: now + Duration::from_secs(10),
        target_start: now + Duration::from_millis(1_200 + id * 13 % 1_000),
        priority: (id % 3) as u8,
        shed_order: 0,
        bytes: 2_000,
    }
}

/// A queue with a request each 0.1 ms, so that most can no longer meet their target at the end if `late`.
fn full_queue(customers: u64, late: bool) -> (FairQueue, Tick) {
    let mut queue = FairQueue::new(WAITING as usize);
    let mut now = Tick::default();
    for id in 0..WAITING {
        if late {
            now = now + Duration::from_micros(300);
        }
        queue.insert(ticket(id, customers, now), now).unwrap();
    }
    (queue, now)
}

/// A request starts and another one arrives, while requests go past their target one by one: two decisions.
fn start_and_arrive(c: &mut Criterion) {
    let mut group = c.benchmark_group("start_and_arrive");
    for customers in CUSTOMERS {
        let (mut queue, mut now) = full_queue(customers, true);
        let mut id = WAITING;
        group.bench_function(BenchmarkId::from_parameter(customers), |b| {
            b.iter(|| {
                id += 1;
                now = now + Duration::from_micros(300);
                black_box(queue.pop_where(now, |_| true));
                black_box(queue.insert(ticket(id, customers, now), now).is_ok());
            });
        });
    }
    group.finish();
}

/// A request arrives at a full queue, which refuses it or drops another one.
fn refuse(c: &mut Criterion) {
    let mut group = c.benchmark_group("refuse");
    for customers in CUSTOMERS {
        let (mut queue, now) = full_queue(customers, false);
        let mut id = WAITING;
        group.bench_function(BenchmarkId::from_parameter(customers), |b| {
            b.iter(|| {
                id += 1;
                black_box(queue.insert(ticket(id, customers, now), now).is_ok());
            });
        });
    }
    group.finish();
}

/// The work before a request is predicted.
fn predict(c: &mut Criterion) {
    let mut group = c.benchmark_group("predict");
    for customers in CUSTOMERS {
        let (queue, now) = full_queue(customers, true);
        let mut id = WAITING;
        group.bench_function(BenchmarkId::from_parameter(customers), |b| {
            b.iter(|| {
                id += 1;
                black_box(queue.work_ahead(&ticket(id, customers, now)))
            });
        });
    }
    group.finish();
}

/// No request fits.
fn nothing_fits(c: &mut Criterion) {
    let mut group = c.benchmark_group("nothing_fits");
    for customers in CUSTOMERS {
        let (mut queue, now) = full_queue(customers, true);
        group.bench_function(BenchmarkId::from_parameter(customers), |b| {
            b.iter(|| black_box(queue.pop_where(now, |_| false)));
        });
    }
    group.finish();
}

/// A refused caller is told a time, and a start is recorded and a wait predicted.
fn tell_time(c: &mut Criterion) {
    let (mut returns, mut drain, mut now) = (ReturnTimes::default(), DrainRate::default(), Tick::default());
    c.bench_function("return_time", |b| {
        b.iter(|| {
            now = now + Duration::from_millis(1);
            let (after, work) = (
                Duration::from_millis(now.0.as_millis() as u64 % 700),
                Duration::from_millis(3),
            );
            black_box(returns.next(after, work, Duration::from_secs(4), now))
        });
    });
    c.bench_function("drain_rate", |b| {
        b.iter(|| {
            now = now + Duration::from_millis(1);
            drain.record_started(100.0, now);
            black_box(drain.wait(10_000.0, now))
        });
    });
}

criterion_group!(benches, start_and_arrive, refuse, predict, nothing_fits, tell_time);
criterion_main!(benches);
