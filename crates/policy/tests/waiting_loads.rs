//! Overloads of the queue at an entry host: urgent requests and other customers must not pay for one customer or kind.

use std::collections::BTreeMap;
use std::time::Duration;

use policy::Tick;
use policy::fair::{FairQueue, Ticket};

/// Time between two steps of a replay; the upstreams take new work once in each.
const STEP_MS: u64 = 5;
/// Length of a replay, of which the second half is counted.
const SPAN_MS: u64 = 20_000;

/// Requests of one kind and customer, one every `every_ms`.
#[derive(Clone, Copy)]
struct Kind {
    customer: &'static str,
    priority: u8,
    every_ms: u64,
    tokens: f64,
    target_ms: u64,
    leave_ms: u64,
    /// Whether a caller that is refused sends its request again at once.
    insists: bool,
}

/// What became of the requests of a kind that arrived.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    arrived: f64,
    in_time: f64,
    started: f64,
}

impl Kind {
    const fn new(customer: &'static str, priority: u8, every_ms: u64, tokens: f64) -> Self {
        Self {
            customer,
            priority,
            every_ms,
            tokens,
            target_ms: 1_000,
            leave_ms: 4_000,
            insists: false,
        }
    }

    fn ticket(&self, id: u64, now: Tick) -> Ticket {
        Ticket {
            id,
            customer: self.customer.into(),
            weight: 1,
            tokens: self.tokens,
            latest_start: now + Duration::from_millis(self.leave_ms),
            target_start: now + Duration::from_millis(self.target_ms),
            priority: self.priority,
            shed_order: 0,
            bytes: 0,
        }
    }
}

impl Outcome {
    fn in_time(&self) -> f64 {
        self.in_time / self.arrived.max(1.0)
    }

    fn started(&self) -> f64 {
        self.started / self.arrived.max(1.0)
    }
}

/// Replays a load on upstreams that take `per_ms` tokens, with a queue of 200 requests.
fn replay(kinds: &[Kind], per_ms: f64) -> Vec<Outcome> {
    let mut queue = FairQueue::new(200);
    let mut outcomes = vec![Outcome::default(); kinds.len()];
    let mut kind_of = BTreeMap::new();
    let (mut id, mut room) = (0, 0.0);
    for ms in (0..SPAN_MS).step_by(STEP_MS as usize) {
        let now = Tick::from_millis(ms);
        let counted = f64::from(u8::from(ms >= SPAN_MS / 2));
        let due = |kind: &Kind| ms / kind.every_ms - ms.saturating_sub(STEP_MS) / kind.every_ms;
        let new = (0..kinds.len()).flat_map(|index| (0..due(&kinds[index])).map(move |_| index));
        let mut arrivals: Vec<usize> = new.collect();
        for index in &arrivals {
            outcomes[*index].arrived += counted;
        }
        let expired = queue.expire(now);
        let again = expired.iter().filter_map(|ticket| kind_of.get(&ticket.id).copied());
        arrivals.extend(again.filter(|index: &usize| kinds[*index].insists));
        // A refused request comes back once in a step, if its caller insists.
        let mut refused = Vec::new();
        for index in arrivals {
            id += 1;
            kind_of.insert(id, index);
            match queue.insert(kinds[index].ticket(id, now), now) {
                Ok(dropped) => refused.extend(dropped.iter().map(|ticket| kind_of[&ticket.id])),
                Err(_) => refused.push(index),
            }
        }
        for index in refused.into_iter().filter(|index| kinds[*index].insists) {
            id += 1;
            kind_of.insert(id, index);
            drop(queue.insert(kinds[index].ticket(id, now), now));
        }
        room = (room + per_ms * STEP_MS as f64).min(per_ms * 50.0);
        while room > 0.0
            && let Some(ticket) = queue.pop_where(now, |_| true)
        {
            room -= ticket.tokens;
            let outcome = &mut outcomes[kind_of[&ticket.id]];
            outcome.started += counted;
            outcome.in_time += if ticket.target_start >= now { counted } else { 0.0 };
        }
    }
    outcomes
}

/// Four customers with two kinds each use 0.8 of the capacity, then one sends its most urgent kind at seven times the
/// usual rate. The urgent requests of the others must still be in time, and their less urgent ones must fare no worse
/// than those of the one that sends too much.
#[test]
fn heavy_customer() {
    let mut kinds = Vec::new();
    for customer in ["heavy", "b", "c", "d"] {
        kinds.push(Kind::new(customer, 0, 20, 100.0));
        kinds.push(Kind::new(customer, 1, 50, 250.0));
    }
    let usual = replay(&kinds, 50.0);
    assert!(usual.iter().all(|kind| kind.in_time() > 0.99), "{usual:?}");
    kinds[0].every_ms = 3;
    let heavy = replay(&kinds, 50.0);
    for other in [2, 4, 6] {
        assert!(heavy[other].in_time() > 0.99, "{heavy:?}");
        assert!(heavy[other + 1].started() >= heavy[1].started(), "{heavy:?}");
    }
    assert!(heavy[0].in_time() < heavy[2].in_time(), "{heavy:?}");
    assert!(heavy[0].started() > 0.5, "{heavy:?}");
}

/// The least urgent kind comes at 2.5 times its usual rate, which is 1.3 times the capacity with all others. Only that
/// kind may suffer, and it must still be served.
#[test]
fn least_urgent_burst() {
    let burst = [
        Kind::new("a", 0, 20, 300.0),
        Kind::new("b", 1, 20, 300.0),
        Kind::new("a", 2, 4, 100.0),
        Kind::new("b", 2, 4, 50.0),
    ];
    let outcomes = replay(&burst, 50.0);
    assert!(
        outcomes[0].in_time() > 0.99 && outcomes[1].in_time() > 0.95,
        "{outcomes:?}"
    );
    assert!(
        outcomes[2].started() > 0.3 && outcomes[3].started() > 0.5,
        "{outcomes:?}"
    );
}

/// The most urgent kind alone exceeds the capacity at 1.8 times its usual rate. It must get most of the capacity, and the
/// less urgent kinds about one start in ten rather than none.
#[test]
fn most_urgent_burst() {
    let burst = [
        Kind::new("a", 0, 4, 120.0),
        Kind::new("b", 0, 4, 120.0),
        Kind::new("c", 1, 20, 120.0),
        Kind::new("d", 2, 20, 120.0),
    ];
    let outcomes = replay(&burst, 50.0);
    let starts: f64 = outcomes.iter().map(|kind| kind.started).sum();
    let less_urgent = (outcomes[2].started + outcomes[3].started) / starts;
    assert!((0.05..=0.101).contains(&less_urgent), "{outcomes:?}");
    let starts = outcomes.iter().map(|kind| kind.started);
    let least = starts.clone().take(2).fold(f64::MAX, f64::min);
    assert!(starts.skip(2).all(|less_urgent| less_urgent < least), "{outcomes:?}");
}

/// Two customers send twice the capacity. The callers of one send again at once whenever they are refused; they must not
/// be served more often for that.
#[test]
fn insisting_callers() {
    let calm = Kind::new("calm", 1, 4, 200.0);
    let insisting = Kind {
        customer: "insisting",
        insists: true,
        ..calm
    };
    let outcomes = replay(&[calm, insisting], 50.0);
    assert!(outcomes[1].started <= outcomes[0].started * 1.02, "{outcomes:?}");
    assert!(outcomes[1].in_time <= outcomes[0].in_time * 1.02, "{outcomes:?}");
}

/// Every other caller of one customer leaves before its turn. Nothing of theirs may start, and the customer keeps its
/// share for the rest: what left must not be charged.
#[test]
fn leaving_callers() {
    let mut queue = FairQueue::new(10_000);
    let now = Tick::default();
    let leaving: [Kind; 2] = [Kind::new("leaving", 0, 1, 100.0), Kind::new("staying", 0, 1, 100.0)];
    for id in 0..400 {
        queue.insert(leaving[(id % 2) as usize].ticket(id, now), now).unwrap();
    }
    for id in (0..400).step_by(4) {
        assert_eq!(queue.remove(&"leaving".into(), id).map(|ticket| ticket.id), Some(id));
        assert_eq!(queue.remove(&"leaving".into(), id), None);
    }
    let first: Vec<Ticket> = (0..100).filter_map(|_| queue.pop_where(now, |_| true)).collect();
    let of_leaving = first.iter().filter(|ticket| ticket.customer.as_str() == "leaving");
    assert_eq!(of_leaving.clone().count(), 50);
    assert!(of_leaving.clone().all(|ticket| ticket.id % 4 != 0));
    assert_eq!(queue.len(), 200);
}

/// One customer sends prompts of 12,000 tokens among short ones of others, and more than there is capacity for. Counted
/// in tokens, each customer must get its share: the long prompts must not crowd out the short ones, nor the reverse.
#[test]
fn long_prompts() {
    let mixed = [
        Kind::new("long", 1, 200, 12_000.0),
        Kind::new("short", 1, 10, 800.0),
        Kind::new("short too", 1, 10, 800.0),
    ];
    let outcomes = replay(&mixed, 75.0);
    let tokens: Vec<f64> = (0..3).map(|kind| outcomes[kind].started * mixed[kind].tokens).collect();
    let total: f64 = tokens.iter().sum();
    // An even share is a third; one long prompt is 0.016 of the capacity in the time counted.
    assert!(
        tokens.iter().all(|tokens| (0.30..0.37).contains(&(tokens / total))),
        "{outcomes:?}"
    );
}
