//! Capacity is shared by weight, and idle customers cannot save up a burst.

use policy::Tick;
use policy::fair::{FairQueue, Refused, Ticket};

fn ticket(id: u64, customer: &str, share: u32) -> Ticket {
    Ticket {
        id,
        customer: customer.into(),
        share,
        tokens: 100.0,
        latest: Tick::from_millis(1_000),
        shed: 0,
    }
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

#[test]
fn refuses_late() {
    let mut queue = FairQueue::new(1);
    assert_eq!(
        queue.push(ticket(1, "a", 1), Tick::from_millis(1_001)),
        Err(Refused::TooLate)
    );
    queue.push(ticket(2, "a", 1), Tick::default()).unwrap();
    assert_eq!(queue.push(ticket(3, "a", 1), Tick::default()), Err(Refused::QueueFull));
    assert_eq!(queue.expire(Tick::from_millis(1_001)).len(), 1);
    assert!(queue.is_empty());
}
