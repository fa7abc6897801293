//! Capacity is divided by weight, idle customers cannot save up a burst, and a full queue drops by weight and shed
//! order.

use std::collections::{BTreeMap, BTreeSet};

use policy::Tick;
use policy::fair::{FairQueue, RefusalReason, Ticket};
use quickcheck::{Gen, QuickCheck};

fn ticket(id: u64, customer: &str, weight: u32) -> Ticket {
    Ticket {
        id,
        customer: customer.into(),
        weight,
        tokens: 100.0,
        latest_start: Tick::from_millis(1_000),
        target_start: Tick::from_millis(1_000),
        priority: 0,
        bytes: 0,
        shed_order: 0,
    }
}

fn check<F: quickcheck::Testable>(seed: u64, property: F) {
    let gen_of = Gen::from_size_and_seed(100, seed);
    QuickCheck::new().rng(gen_of).tests(300).quickcheck(property);
}

#[test]
fn shares_converge() {
    let mut queue = FairQueue::new(1_000);
    for id in 0..400 {
        queue.push(ticket(id, "a", 3), Tick::default()).unwrap();
        queue.push(ticket(1_000 + id, "b", 1), Tick::default()).unwrap();
    }
    let first: Vec<Ticket> = (0..200).filter_map(|_| queue.pop()).collect();
    let of_a = first.iter().filter(|ticket| ticket.customer.as_str() == "a").count();
    assert!((148..=152).contains(&of_a), "a got {of_a} of 200");
}

/// Requests that cannot be on time, or find the queue full, must be refused at once instead of waiting in vain.
#[test]
fn refuses_late() {
    let mut queue = FairQueue::new(1);
    assert_eq!(
        queue.push(ticket(1, "a", 1), Tick::from_millis(1_001)),
        Err(RefusalReason::TooLate)
    );
    queue.push(ticket(2, "a", 1), Tick::default()).unwrap();
    assert_eq!(
        queue.push(ticket(3, "a", 1), Tick::default()),
        Err(RefusalReason::QueueFull)
    );
    assert_eq!(queue.expire(Tick::from_millis(1_001)).len(), 1);
    assert!(queue.is_empty());
}

/// All customers ask for more than there is, with requests of all sizes. At any time the tokens served to two
/// customers, each divided by its weight, may differ by no more than one of the largest requests for each.
#[test]
fn weights_hold() {
    fn holds(weights: Vec<u8>, sizes: Vec<u16>) -> bool {
        let weights: Vec<u32> = weights
            .iter()
            .take(8)
            .map(|weight| u32::from(weight % 20) + 1)
            .collect();
        let sizes: Vec<f64> = sizes
            .iter()
            .map(|size| f64::from(size % 4_000) + 1.0)
            .chain([100.0])
            .collect();
        let mut queue = FairQueue::new(100_000);
        let mut served = vec![0.0; weights.len()];
        for id in 0..200_u64 {
            for (number, weight) in weights.iter().enumerate() {
                let tokens = sizes[(id as usize + number) % sizes.len()];
                let ticket = Ticket {
                    tokens,
                    ..ticket(id * 100 + number as u64, &number.to_string(), *weight)
                };
                queue.push(ticket, Tick::default()).unwrap();
            }
        }
        let largest = sizes.iter().fold(0.0_f64, |a, b| a.max(*b));
        // Within these rounds no customer runs out of requests.
        for _ in 0..200 {
            let Some(ticket) = queue.pop() else { break };
            let number: usize = ticket.customer.as_str().parse().unwrap();
            served[number] += ticket.tokens / f64::from(weights[number]);
            let low = served.iter().fold(f64::MAX, |a, b| a.min(*b));
            let high = served.iter().fold(0.0_f64, |a, b| a.max(*b));
            if high - low > 2.0 * largest {
                return false;
            }
        }
        true
    }
    check(71, holds as fn(Vec<u8>, Vec<u16>) -> bool);
}

/// One customer is idle while the other gets everything. When it returns it must get its share at once, and no more: it
/// must neither wait behind the other's queue nor be repaid for its idle time.
#[test]
fn idle_share_returns() {
    let mut queue = FairQueue::new(10_000);
    for id in 0..1_000 {
        queue.push(ticket(id, "busy", 1), Tick::default()).unwrap();
    }
    let served_alone: Vec<Ticket> = (0..500).filter_map(|_| queue.pop()).collect();
    assert_eq!(served_alone.len(), 500);
    for id in 0..100 {
        queue.push(ticket(5_000 + id, "back", 1), Tick::default()).unwrap();
    }
    let mut returned = 0;
    for served in 1..=80 {
        let ticket = queue.pop().unwrap();
        returned += usize::from(ticket.customer.as_str() == "back");
        // Half of all at any time, and one request more at most.
        assert!(
            2 * returned >= served && 2 * returned <= served + 2,
            "{returned} of {served}"
        );
    }
}

/// A customer with a small weight sends one request while others flood the queue. The work served before it must match
/// the prediction at its arrival; otherwise it would starve, or be refused for a wait that would not happen.
#[test]
fn wait_predicted() {
    fn holds(others: Vec<(u8, u16, u8)>, weight: u8, size: u16) -> bool {
        let mut queue = FairQueue::new(100_000);
        let mut largest = 0.0_f64;
        for (id, (customer, size, weight)) in (0..).zip(&others) {
            let tokens = f64::from(size % 4_000) + 1.0;
            largest = largest.max(tokens);
            let customer = customer % 5;
            let ticket = Ticket {
                tokens,
                latest_start: Tick::from_millis(1_000 + u64::from(*weight)),
                ..ticket(id, &customer.to_string(), u32::from(customer) + 1)
            };
            queue.push(ticket, Tick::default()).unwrap();
            if id % 3 == 0 {
                queue.pop();
            }
        }
        let small = Ticket {
            tokens: f64::from(size % 4_000) + 1.0,
            ..ticket(1_000_000, "small", u32::from(weight % 3) + 1)
        };
        let ahead = queue.work_ahead(&small);
        queue.push(small, Tick::default()).unwrap();
        let before = std::iter::from_fn(|| queue.pop()).take_while(|ticket| ticket.customer.as_str() != "small");
        let served: f64 = before.map(|ticket| ticket.tokens).sum();
        // The last request of each other customer may exceed that customer's share.
        (served - ahead).abs() <= 5.0 * largest + 1e-6
    }
    check(72, holds as fn(Vec<(u8, u16, u8)>, u8, u16) -> bool);
}

/// Random arrivals, departures, drops and expiries: each request must end in exactly one way, and one that was refused,
/// dropped or expired must never run. Otherwise a caller would be told "not run" about a request that did run.
#[test]
fn refused_never_run() {
    fn holds(steps: Vec<(u8, u8, u8, u16)>, bound: u8) -> bool {
        let bound = usize::from(bound % 20) + 1;
        let mut queue = FairQueue::new(bound);
        let mut open: BTreeMap<u64, Ticket> = BTreeMap::new();
        let mut ended: BTreeSet<u64> = BTreeSet::new();
        let mut now = Tick::default();
        for (id, (what, customer, shed, time)) in (0..).zip(steps) {
            let some = open.values().next().cloned();
            let mut end = |ticket: &Ticket| open.remove(&ticket.id).is_some() && ended.insert(ticket.id);
            let good = match what % 8 {
                0..=4 => {
                    let new = Ticket {
                        latest_start: now + std::time::Duration::from_millis(u64::from(time)),
                        shed_order: shed % 4,
                        ..ticket(id, &(customer % 4).to_string(), u32::from(customer % 4) + 1)
                    };
                    match queue.push(new.clone(), now) {
                        Ok(victim) => {
                            let good = victim.is_none_or(|victim| end(&victim));
                            open.insert(id, new);
                            good
                        }
                        Err(_) => true,
                    }
                }
                5 => queue.pop().is_none_or(|ticket| end(&ticket)),
                6 => {
                    now = now + std::time::Duration::from_millis(u64::from(time % 2_000));
                    queue.expire(now).iter().all(&mut end)
                }
                _ => some.is_none_or(|ticket| queue.remove(&ticket.customer, ticket.id).is_some_and(|out| end(&out))),
            };
            if !good || queue.len() != open.len() || queue.len() > bound {
                return false;
            }
        }
        std::iter::from_fn(|| queue.pop()).all(|ticket| open.remove(&ticket.id).is_some()) && open.is_empty()
    }
    check(73, holds as fn(Vec<(u8, u8, u8, u16)>, u8) -> bool);
}

/// One customer floods the queue with requests that can wait, then another sends an urgent one. The urgent request must
/// be queued and one of the flood dropped, not the last arrival.
#[test]
fn flood_drops_itself() {
    let mut queue = FairQueue::new(10);
    for id in 0..10 {
        let notice = Ticket {
            shed_order: if id == 4 { 9 } else { 1 },
            ..ticket(id, "flood", 1)
        };
        queue.push(notice, Tick::default()).unwrap();
    }
    let victim = queue.push(ticket(100, "gate", 1), Tick::default()).unwrap();
    assert_eq!(victim.map(|ticket| ticket.id), Some(4));
    let late = Ticket {
        shed_order: 5,
        ..ticket(101, "flood", 1)
    };
    assert_eq!(queue.push(late, Tick::default()), Err(RefusalReason::QueueFull));
    let urgent = queue.push(ticket(102, "flood", 1), Tick::default()).unwrap();
    assert!(urgent.is_some_and(|ticket| ticket.customer.as_str() == "flood" && ticket.shed_order == 1));
    assert_eq!(queue.len(), 10);
}
