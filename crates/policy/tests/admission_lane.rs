//! Admission rejects early what would be late and says when to retry; a full queue leaves places for the others.

use std::time::Duration;

use policy::Tick;
use policy::fair::{RefusalReason, Ticket};
use policy::lane::{AdmissionQueue, NO_CAPACITY_RETRY};
use policy::room::SharedPlaces;
use quickcheck::{Gen, QuickCheck};

fn ticket(id: u64, latest_ms: u64) -> Ticket {
    Ticket {
        id,
        customer: "a".into(),
        weight: 1,
        tokens: 100.0,
        latest_start: Tick::from_millis(latest_ms),
        target_start: Tick::from_millis(latest_ms),
        priority: 0,
        bytes: 0,
        shed_order: 0,
    }
}

/// A queue with `slots` slots in which each request has held its slot for a second.
fn measured_queue(slots: usize, waiting: usize) -> AdmissionQueue {
    let mut queue = AdmissionQueue::new(slots, waiting, false);
    for id in 0..20 {
        queue.offer(ticket(id, 1_000_000), Tick::default()).unwrap();
        queue.admit_next().unwrap();
        queue.finished(100.0, Duration::from_secs(1));
    }
    queue
}

/// Ten slots are busy for about a second each, and twenty requests wait that must start within two seconds. One more
/// cannot be served in time. Rejecting it at once, with a retry time, is better for its caller than two seconds of
/// silence and then a refusal.
#[test]
fn early_rejection() {
    let mut queue = measured_queue(10, 100);
    for id in 100..130 {
        queue.offer(ticket(id, 2_000), Tick::default()).unwrap();
        queue.admit_next();
    }
    let rejection = queue.offer(ticket(200, 2_000), Tick::default()).unwrap_err();
    assert_eq!(rejection.why, RefusalReason::TooLate);
    // It would start after 20 requests, in 2.1 s, which is 0.1 s too late.
    assert!((rejection.retry_after.as_secs_f64() - 0.1).abs() < 0.01, "{rejection}");
    queue.offer(ticket(201, 2_200), Tick::default()).unwrap();
}

/// Many callers are rejected at the same moment. If all were told the same retry time, nearly all would be rejected
/// again; so their retry times must be apart by the work of each.
#[test]
fn retries_spread() {
    let mut queue = measured_queue(4, 1_000);
    let mut retry_times = Vec::new();
    for id in 100..300 {
        if let Err(rejection) = queue.offer(ticket(id, 500), Tick::default()) {
            retry_times.push(rejection.retry_after.as_secs_f64());
        }
        queue.admit_next();
    }
    let intervals: Vec<f64> = retry_times.windows(2).map(|pair| pair[1] - pair[0]).collect();
    let before_cap = intervals.iter().zip(&retry_times).filter(|(_, at)| **at < 59.0);
    assert!(before_cap.clone().count() > 150);
    assert!(
        before_cap.clone().all(|(step, _)| (step - 0.25).abs() < 0.01),
        "{retry_times:?}"
    );
}

/// No upstream is available, so nothing predicts when a request could run: a fixed retry time is told.
#[test]
fn no_capacity() {
    let mut queue = AdmissionQueue::new(0, 10, false);
    let rejection = queue.offer(ticket(1, 10_000), Tick::default()).unwrap_err();
    assert_eq!(rejection.retry_after, NO_CAPACITY_RETRY);
}

/// Capacity changes while requests arrive and end. Starting more than the capacity would overload the upstreams.
#[test]
fn running_bounded() {
    fn holds(steps: Vec<(u8, u8)>) -> bool {
        let mut queue = AdmissionQueue::new(3, 20, true);
        let mut capacity = 3;
        for (id, (what, size)) in (0..).zip(steps) {
            let before = queue.running();
            match what % 4 {
                0 | 1 => drop(queue.offer(ticket(id, 1_000_000), Tick::default())),
                2 if before > 0 => queue.finished(100.0, Duration::from_millis(u64::from(size))),
                _ => {
                    capacity = usize::from(size % 6);
                    queue.resize(capacity);
                }
            }
            let admitted = std::iter::from_fn(|| queue.admit_next()).count();
            // A smaller capacity stops no running request, but no other may start above it.
            if admitted > 0 && queue.running() > capacity {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 81))
        .tests(300)
        .quickcheck(holds as fn(Vec<(u8, u8)>) -> bool);
}

/// All engines of a model are full, and its callers fill every shared queue place. Requests to another service must
/// still find a place.
#[test]
fn places_left() {
    fn holds(total: u16, queues: u8, arrivals: Vec<u8>) -> bool {
        let queues = usize::from(queues % 6) + 1;
        let total = usize::from(total % 300) + 2 * queues;
        let places = SharedPlaces::new(total, queues);
        let mut used = vec![0; queues];
        for arrival in arrivals {
            // The first queue stays empty until the end.
            let queue = if queues == 1 {
                0
            } else {
                1 + usize::from(arrival) % (queues - 1)
            };
            if places.has_place(used[queue], used.iter().copied()) {
                used[queue] += 1;
            }
        }
        let free = queues == 1 || places.has_place(used[0], used.iter().copied());
        free && used.iter().sum::<usize>() <= total
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(1_000, 82))
        .tests(300)
        .quickcheck(holds as fn(u16, u8, Vec<u8>) -> bool);
}
