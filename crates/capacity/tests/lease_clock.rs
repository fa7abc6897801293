//! Two processes never hold the lease at the same time, whatever the delay of answers and the drift of their clocks.

use std::cell::Cell;
use std::time::Duration;

use capacity::lease::{LEASE_TTL, LeaseKeeper, LeaseService};
use contract::NodeId;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use telemetry::Clock;
use wire::state::{Lease, Leased};

/// A fake state group, which grants the lease by its own clock.
struct Group {
    now: Cell<Duration>,
    holder: Cell<Option<(u8, Duration)>>,
    token: Cell<u64>,
    reachable: Cell<bool>,
    /// Time between the grant and the arrival of its answer.
    delay: Cell<Duration>,
}

/// The group's lease service as one process reaches it.
struct GroupLink<'a> {
    group: &'a Group,
    process: u8,
    advance: &'a dyn Fn(Duration),
}

impl LeaseService for GroupLink<'_> {
    fn lease(&self, request: &Lease) -> Option<Leased> {
        let group = self.group;
        if !group.reachable.get() {
            return None;
        }
        let now = group.now.get();
        let current = group.holder.get().filter(|(_, until)| now < *until);
        let answer = match current {
            Some((other, _)) if other != self.process => Leased::Taken { by: "other".into() },
            Some(_) | None => {
                if current.is_none() {
                    group.token.set(group.token.get() + 1);
                }
                group
                    .holder
                    .set(Some((self.process, now + Duration::from_millis(request.ttl_ms))));
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
    Elapse(u64),
    Renew(u8, u64),
    SetCut(bool),
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 8 {
            0..=2 => Self::Elapse(u64::arbitrary(g) % 3_000),
            3..=6 => Self::Renew(u8::arbitrary(g) % 2, u64::arbitrary(g) % 4_000),
            _ => Self::SetCut(bool::arbitrary(g)),
        }
    }
}

/// A process loses its connection or gets late answers, and still believes in its lease when the group grants it to
/// another. Both would then start hosts and send orders.
#[test]
fn one_holder() {
    fn at_most_one(events: Vec<Event>) -> bool {
        let clocks = [Clock::mock(), Clock::mock()];
        let keepers = [0, 1]
            .map(|process: usize| LeaseKeeper::new(clocks[process].0.clone(), NodeId::from(format!("n{process}"))));
        let group = Group {
            now: Cell::default(),
            holder: Cell::default(),
            token: Cell::default(),
            reachable: Cell::new(true),
            delay: Cell::default(),
        };
        // The first clock runs a tenth slower than the group's, well within `DRIFT_MARGIN` over one lease.
        let advance = |time: Duration| {
            group.now.set(group.now.get() + time);
            clocks[0].1.increment(time.mul_f64(0.9));
            clocks[1].1.increment(time);
        };
        events.into_iter().all(|event| {
            match event {
                Event::Elapse(ms) => advance(Duration::from_millis(ms)),
                Event::SetCut(is_cut) => group.reachable.set(!is_cut),
                Event::Renew(process, delay) => {
                    group.delay.set(Duration::from_millis(delay));
                    let link = GroupLink {
                        group: &group,
                        process,
                        advance: &advance,
                    };
                    keepers[usize::from(process)].renew(&link);
                }
            }
            keepers.iter().filter(|keeper| keeper.held().is_some()).count() <= 1
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 47))
        .tests(5_000)
        .quickcheck(at_most_one as fn(Vec<Event>) -> bool);
}

/// The group stops answering. The holder must stop acting before the group lets the lease expire.
#[test]
fn stops_early() {
    struct GrantOnce(Cell<bool>);
    impl LeaseService for GrantOnce {
        fn lease(&self, _request: &Lease) -> Option<Leased> {
            (!self.0.replace(true)).then_some(Leased::Held { token: 1 })
        }
    }
    let (clock, mock) = Clock::mock();
    let keeper = LeaseKeeper::new(clock, "n".into());
    let group = GrantOnce(Cell::new(false));
    keeper.renew(&group);
    assert!(keeper.held().is_some());
    mock.increment(LEASE_TTL.mul_f64(0.9));
    keeper.renew(&group);
    assert!(keeper.held().is_none());
}
