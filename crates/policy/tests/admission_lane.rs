//! Admission rejects early what would be late and says when to retry; a full queue leaves places for the others.

use std::time::Duration;

use policy::Tick;
use policy::fair::{RefusalReason, Ticket};
use policy::lane::{AdmissionQueue, NOTHING_UP};
use policy::room::SharedPlaces;
use quickcheck::{Gen, QuickCheck};

fn ticket(id: u64, latest_ms: u64) -> Ticket {
    Ticket {
        id,
        customer: "a".into(),
        weight: 1,
        tokens: 100.0,
        latest_start: Tick::from_millis(latest_ms),
        shed_order: 0,
    }
}

/// A queue with `slots` slots in which each request has held its slot for a second.
fn measured(slots: usize, waiting: usize) -> AdmissionQueue {
    let mut lane = AdmissionQueue::new(slots, waiting, false);
    for id in 0..20 {
        lane.offer(ticket(id, 1_000_000), Tick::default()).unwrap();
        lane.admit_next().unwrap();
        lane.finished(100.0, Duration::from_secs(1));
    }
    lane
}

/// Ten slots are busy for about a second each, and twenty requests wait that must start within two seconds. One more
/// cannot be served in time. Rejecting it at once, with a retry time, is better for its caller than two seconds of
/// silence and then a refusal.
#[test]
fn early_refusal() {
    let mut lane = measured(10, 100);
    for id in 100..130 {
        lane.offer(ticket(id, 2_000), Tick::default()).unwrap();
        lane.admit_next();
    }
    let turned = lane.offer(ticket(200, 2_000), Tick::default()).unwrap_err();
    assert_eq!(turned.why, RefusalReason::TooLate);
    // It would start after 20 requests, in 2.1 s, which is 0.1 s too late.
    assert!((turned.retry_after.as_secs_f64() - 0.1).abs() < 0.01, "{turned}");
    lane.offer(ticket(201, 2_200), Tick::default()).unwrap();
}

/// Many callers are rejected at the same moment. If all were told the same retry time, nearly all would be rejected
/// again; so their retry times must be apart by the work of each.
#[test]
fn returns_spread() {
    let mut lane = measured(4, 1_000);
    let mut refused = Vec::new();
    for id in 100..300 {
        if let Err(turned) = lane.offer(ticket(id, 500), Tick::default()) {
            refused.push(turned.retry_after.as_secs_f64());
        }
        lane.admit_next();
    }
    let steps: Vec<f64> = refused.windows(2).map(|pair| pair[1] - pair[0]).collect();
    let before_cap = steps.iter().zip(&refused).filter(|(_, at)| **at < 59.0);
    assert!(before_cap.clone().count() > 150);
    assert!(
        before_cap.clone().all(|(step, _)| (step - 0.25).abs() < 0.01),
        "{refused:?}"
    );
}

#[test]
fn nothing_up() {
    let mut lane = AdmissionQueue::new(0, 10, false);
    let turned = lane.offer(ticket(1, 10_000), Tick::default()).unwrap_err();
    assert_eq!(turned.retry_after, NOTHING_UP);
}

#[test]
fn running_bounded() {
    fn holds(steps: Vec<(u8, u8)>) -> bool {
        let mut lane = AdmissionQueue::new(3, 20, true);
        let mut capacity = 3;
        for (id, (what, size)) in (0..).zip(steps) {
            let before = lane.running();
            match what % 4 {
                0 | 1 => drop(lane.offer(ticket(id, 1_000_000), Tick::default())),
                2 if before > 0 => lane.finished(100.0, Duration::from_millis(u64::from(size))),
                _ => {
                    capacity = usize::from(size % 6);
                    lane.resize(capacity);
                }
            }
            let granted = std::iter::from_fn(|| lane.admit_next()).count();
            // A smaller capacity stops no running request, but no other may start above it.
            if granted > 0 && lane.running() > capacity {
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
fn room_left() {
    fn holds(total: u16, lanes: u8, comers: Vec<u8>) -> bool {
        let lanes = usize::from(lanes % 6) + 1;
        let total = usize::from(total % 300) + 2 * lanes;
        let room = SharedPlaces::new(total, lanes);
        let mut used = vec![0; lanes];
        for comer in comers {
            // The first queue stays empty until the end.
            let lane = if lanes == 1 {
                0
            } else {
                1 + usize::from(comer) % (lanes - 1)
            };
            if room.has_place(used[lane], used.iter().copied()) {
                used[lane] += 1;
            }
        }
        let free = lanes == 1 || room.has_place(used[0], used.iter().copied());
        free && used.iter().sum::<usize>() <= total
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(1_000, 82))
        .tests(300)
        .quickcheck(holds as fn(u16, u8, Vec<u8>) -> bool);
}
