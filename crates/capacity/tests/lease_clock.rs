//! Two processes never act at the same time, however slow the answers and however far their clocks drift.

use std::cell::Cell;
use std::time::Duration;

use capacity::lease::{Grants, Keeper, TTL};
use contract::NodeId;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use telemetry::Clock;
use wire::state::{Lease, Leased};

/// The group: grants by its own clock.
struct Group {
    now: Cell<Duration>,
    holder: Cell<Option<(u8, Duration)>>,
    token: Cell<u64>,
    reachable: Cell<bool>,
    /// Time that passes between the grant and its answer.
    delay: Cell<Duration>,
}

/// One process as the group sees it; its clock runs a little slower than the group's.
struct Seen<'a> {
    group: &'a Group,
    who: u8,
    advance: &'a dyn Fn(Duration),
}

impl Grants for Seen<'_> {
    fn lease(&self, ask: &Lease) -> Option<Leased> {
        let group = self.group;
        if !group.reachable.get() {
            return None;
        }
        let now = group.now.get();
        let current = group.holder.get().filter(|(_, until)| now < *until);
        let answer = match current {
            Some((other, _)) if other != self.who => Leased::Taken { by: "other".into() },
            Some(_) | None => {
                if current.is_none() {
                    group.token.set(group.token.get() + 1);
                }
                group
                    .holder
                    .set(Some((self.who, now + Duration::from_millis(ask.ttl_ms))));
                Leased::Held {
                    token: group.token.get(),
                }
            }
        };
        (self.advance)(group.delay.get());
        Some(answer)
    }
}

#[derive(Clone, Debug)]
enum Event {
    Pass(u64),
    Renew(u8, u64),
    Cut(bool),
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 8 {
            0..=2 => Self::Pass(u64::arbitrary(g) % 3_000),
            3..=6 => Self::Renew(u8::arbitrary(g) % 2, u64::arbitrary(g) % 4_000),
            _ => Self::Cut(bool::arbitrary(g)),
        }
    }
}

/// A process is cut off silently or gets its answers late, and goes on to believe in its lease while the group gives it
/// to another. Both would start hosts and give orders.
#[test]
fn one_holder() {
    fn alone(events: Vec<Event>) -> bool {
        let clocks = [Clock::mock(), Clock::mock()];
        let keepers = [0, 1].map(|who: usize| Keeper::new(clocks[who].0.clone(), NodeId::from(format!("n{who}"))));
        let group = Group {
            now: Cell::default(),
            holder: Cell::default(),
            token: Cell::default(),
            reachable: Cell::new(true),
            delay: Cell::default(),
        };
        // The first clock loses a tenth of a second on each second's lease, well within the stated drift.
        let advance = |time: Duration| {
            group.now.set(group.now.get() + time);
            clocks[0].1.increment(time.mul_f64(0.9));
            clocks[1].1.increment(time);
        };
        events.into_iter().all(|event| {
            match event {
                Event::Pass(ms) => advance(Duration::from_millis(ms)),
                Event::Cut(cut) => group.reachable.set(!cut),
                Event::Renew(who, delay) => {
                    group.delay.set(Duration::from_millis(delay));
                    let seen = Seen {
                        group: &group,
                        who,
                        advance: &advance,
                    };
                    keepers[usize::from(who)].renew(&seen);
                }
            }
            keepers.iter().filter(|keeper| keeper.held().is_some()).count() <= 1
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 47))
        .tests(5_000)
        .quickcheck(alone as fn(Vec<Event>) -> bool);
}

/// The group falls silent. The holder stops to act before its lease ends there.
#[test]
fn stops_early() {
    struct Once(Cell<bool>);
    impl Grants for Once {
        fn lease(&self, _ask: &Lease) -> Option<Leased> {
            (!self.0.replace(true)).then_some(Leased::Held { token: 1 })
        }
    }
    let (clock, mock) = Clock::mock();
    let keeper = Keeper::new(clock, "n".into());
    let group = Once(Cell::new(false));
    keeper.renew(&group);
    assert!(keeper.held().is_some());
    mock.increment(TTL.mul_f64(0.9));
    keeper.renew(&group);
    assert!(keeper.held().is_none());
}
