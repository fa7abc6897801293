//! The queue at an entry host must keep its order, its bounds and its predictions under any load.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::time::Duration;

use policy::Tick;
use policy::fair::{FairQueue, RefusalReason, Ticket};
use policy::room::SharedPlaces;
use quickcheck::{Gen, QuickCheck};

fn ticket(id: u64, customer: &str, priority: u8, target_ms: u64) -> Ticket {
    Ticket {
        id,
        customer: customer.into(),
        weight: 1,
        tokens: 100.0,
        latest_start: Tick::from_millis(1_000_000),
        target_start: Tick::from_millis(target_ms),
        priority,
        shed_order: 0,
        bytes: 10,
    }
}

/// Random arrivals and starts over time. At least nine in ten starts must be of the first class that waits, and each of
/// the others the longest wait of all; within its customer and class a regular start must have the earliest target.
#[test]
fn order_kept() {
    fn holds(steps: Vec<(bool, u8, u8, u16)>) -> bool {
        let mut queue = FairQueue::new(1_000);
        let mut waiting: BTreeMap<u64, Ticket> = BTreeMap::new();
        let (mut starts, mut aged, mut now) = (0, 0, Tick::default());
        for (id, (arrives, customer, priority, target)) in (0..).zip(steps) {
            now = now + Duration::from_millis(20);
            if arrives || id % 3 == 0 {
                let target = now.0.as_millis() as u64 + u64::from(target % 2_000);
                let new = ticket(id, &(customer % 4).to_string(), priority % 3, target);
                queue.push(new.clone(), now).unwrap();
                waiting.insert(id, new);
            } else if let Some(started) = queue.pop_where(now, |_| true) {
                let class = |one: &Ticket| (one.target_start < now, one.priority);
                let first = waiting.values().map(class).min();
                let before = |one: &&Ticket| {
                    one.customer == started.customer
                        && class(one) == class(&started)
                        && one.target_start < started.target_start
                };
                starts += 1;
                if first != Some(class(&started)) || waiting.values().any(|one| before(&one)) {
                    aged += 1;
                    let oldest = waiting.keys().take(2).any(|id| *id == started.id);
                    if !oldest || aged * 10 > starts {
                        return false;
                    }
                }
                waiting.remove(&started.id);
            }
        }
        queue.len() == waiting.len()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, 301))
        .tests(300)
        .quickcheck(holds as fn(Vec<(bool, u8, u8, u16)>) -> bool);
}

/// Requests of one customer and priority find no upstream with capacity for them. Those behind must start all the same,
/// and one call must try at most 16.
#[test]
fn no_blocking() {
    let (mut queue, now) = (FairQueue::new(1_000), Tick::default());
    for id in 0..500 {
        queue.push(ticket(id, "blocked", 0, 1_000), now).unwrap();
    }
    queue.push(ticket(900, "other", 2, 1_000), now).unwrap();
    queue.push(ticket(901, "blocked", 1, 1_000), now).unwrap();
    let tries = Cell::new(0);
    let fits = |fit: fn(&Ticket) -> bool| {
        tries.set(0);
        let tries = &tries;
        move |ticket: &Ticket| {
            tries.set(tries.get() + 1);
            fit(ticket)
        }
    };
    let started = queue.pop_where(now, fits(|ticket| ticket.priority > 0));
    assert_eq!(started.map(|ticket| ticket.id), Some(901));
    let started = queue.pop_where(now, fits(|ticket| ticket.customer.as_str() == "other"));
    assert_eq!(started.map(|ticket| ticket.id), Some(900));
    assert_eq!(queue.pop_where(now, fits(|_| false)), None);
    assert_eq!(tries.get(), 16);
}

/// A full queue must drop the least urgent request of the customer with the most work, one that is too late for its
/// target before others, and refuse a newcomer that would be that one.
#[test]
fn drops_least_urgent() {
    let (mut queue, now) = (FairQueue::new(4), Tick::from_millis(500));
    for (id, priority, target) in [(1, 0, 100), (2, 2, 2_000), (3, 2, 100), (4, 1, 100)] {
        queue.push(ticket(id, "heavy", priority, target), now).unwrap();
    }
    let dropped = queue.push(ticket(5, "light", 9, 2_000), now).unwrap();
    assert_eq!(dropped.map(|ticket| ticket.id), Some(3));
    let dropped = queue.push(ticket(6, "heavy", 0, 2_000), now).unwrap();
    assert_eq!(dropped.map(|ticket| ticket.id), Some(2));
    let refused = queue.push(ticket(7, "heavy", 3, 2_000), now);
    assert_eq!(refused, Err(RefusalReason::QueueFull));
}

/// A long prompt arrives while small requests of another customer fill all bytes. As many of them must go as it takes;
/// if it can't be taken, none may be lost.
#[test]
fn bytes_bounded() {
    let (mut queue, now) = (FairQueue::new(1_000), Tick::default());
    queue.set_byte_bound(200);
    for id in 0..20 {
        queue.push(ticket(id, "flood", 1, 1_000), now).unwrap();
    }
    let long = |id, bytes| Ticket {
        bytes,
        ..ticket(id, "long", 1, 1_000)
    };
    assert_eq!(queue.insert(long(100, 201), now), Err(RefusalReason::QueueFull));
    assert_eq!(queue.push(long(101, 75), now), Err(RefusalReason::QueueFull));
    assert_eq!((queue.len(), queue.bytes()), (20, 200));
    assert_eq!(queue.insert(long(102, 75), now).unwrap().len(), 8);
    assert_eq!((queue.len(), queue.bytes()), (13, 195));
}

/// Figures that make no sense must neither stop the queue nor let a customer run for nothing.
#[test]
fn absurd_figures() {
    let (mut queue, now) = (FairQueue::new(100), Tick::default());
    for (id, tokens) in (0..).zip([f64::NAN, f64::INFINITY, -1e300, 0.0, f64::MAX, 1.0]) {
        let absurd = Ticket {
            tokens,
            weight: if id % 2 == 0 { 0 } else { u32::MAX },
            bytes: usize::MAX,
            priority: 255,
            ..ticket(id, &id.to_string(), 0, u64::MAX)
        };
        assert!(queue.work_ahead(&absurd).is_finite());
        queue.push(absurd.clone(), now).unwrap();
        assert_eq!(queue.push(absurd, now), Err(RefusalReason::QueueFull));
    }
    assert_eq!(std::iter::from_fn(|| queue.pop_where(now, |_| true)).count(), 6);
    assert_eq!(queue.oldest(now), None);
}

/// A request of any priority is told how much work goes before it; a wrong figure would refuse it, or let it wait in vain.
/// The figure may be off by the last request of each of the other five customers, and by one start out of order.
#[test]
fn work_predicted() {
    fn holds(others: Vec<(u8, u8, u16)>, priority: u8) -> bool {
        let (mut queue, now) = (FairQueue::new(1_000), Tick::default());
        let mut largest = 0.0_f64;
        for (id, (customer, priority, size)) in (0..).zip(&others) {
            let tokens = f64::from(size % 4_000) + 1.0;
            largest = largest.max(tokens);
            let other = ticket(id, &(customer % 5).to_string(), priority % 3, 1_000);
            queue.push(Ticket { tokens, ..other }, now).unwrap();
            if id % 3 == 0 {
                queue.pop_where(now, |_| true);
            }
        }
        let new = ticket(1_000, "new", priority % 4, 1_000);
        let ahead = queue.work_ahead(&new);
        queue.push(new, now).unwrap();
        let started = std::iter::from_fn(|| queue.pop_where(now, |_| true));
        let before = started.take_while(|ticket| ticket.id != 1_000);
        let served: f64 = before.map(|ticket| ticket.tokens).sum();
        (served - ahead).abs() <= 6.0 * largest + 1e-6
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 304))
        .tests(300)
        .quickcheck(holds as fn(Vec<(u8, u8, u16)>, u8) -> bool);
}

/// A host is frozen for longer than its requests may wait. After the thaw none of them may start, and those that arrive
/// then must find all places free.
#[test]
fn frozen_host() {
    let (mut queue, now) = (FairQueue::new(3), Tick::from_millis(60_000));
    for id in 0..3 {
        let waiting = Ticket {
            latest_start: Tick::from_millis(5_000),
            ..ticket(id, "a", id as u8, 1_000)
        };
        queue.push(waiting, Tick::default()).unwrap();
    }
    assert_eq!(queue.oldest(now), Some(Duration::from_mins(1)));
    assert_eq!(queue.expire(now).len(), 3);
    assert_eq!((queue.pop_where(now, |_| true), queue.bytes()), (None, 0));
    assert_eq!(queue.push(ticket(9, "a", 0, 70_000), now), Ok(None));
}

/// Several queues share a host's places. The bound of each must be the number up to which it may take one more place;
/// otherwise the two doors would leave each other different room.
#[test]
fn bounds_agree() {
    fn holds(total: u8, used: Vec<u8>) -> bool {
        let total = usize::from(total).max(used.len());
        let places = SharedPlaces::new(total, used.len());
        let used: Vec<usize> = used.iter().map(|used| usize::from(used % 40)).collect();
        (0..used.len()).all(|own| {
            let others = used.iter().enumerate().filter(|(other, _)| *other != own);
            let most = places.most(others.map(|(_, used)| *used));
            most <= total && (most == total || (used[own] < most) == places.has_place(used[own], used.iter().copied()))
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(12, 303))
        .tests(300)
        .quickcheck(holds as fn(u8, Vec<u8>) -> bool);
}
