//! The queue of an entry host without a network: guards against requests that are started twice, late, out of order or
//! never, and against queues that grow without bound.

use std::pin::pin;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use contract::{ClientAccount, RetryMode, Route, ServiceName};
use gateway::waiting::{Arrival, NewWaiter, QueuePlace, WaitCause, WaitEnd, WaitingBounds, WaitingRoom};
use policy::Tick;

/// A room in which needs and places are numbers.
type Room = WaitingRoom<u32, u32>;
type Place<'a> = QueuePlace<'a, u32, u32>;

/// Bounds that no test reaches unless it says so.
const WIDE: WaitingBounds = WaitingBounds {
    requests: 1_000,
    bytes: 1_000_000,
};

fn at_ms(ms: u64) -> Tick {
    Tick::from_millis(ms)
}

fn service() -> ServiceName {
    ServiceName::from("m")
}

/// Queues request `number`, which has a second until its deadline and a target of half of it.
fn enter(room: &Room, number: u32, priority: u8, now: Tick) -> Result<Place<'_>, WaitEnd> {
    enter_as(room, number, (None, priority), now)
}

fn enter_as<'a>(
    room: &'a Room,
    number: u32,
    (account, priority): (Option<&ClientAccount>, u8),
    now: Tick,
) -> Result<Place<'a>, WaitEnd> {
    let route = Route {
        repeat: RetryMode::Once,
        target_ms: 500,
        priority,
        ..Route::default()
    };
    let arrival = Arrival {
        account,
        route: &route,
        fresh: 0,
        max_output: None,
        first_ms: 0.0,
        arrived: now,
        passed: Duration::ZERO,
        deadline: now + Duration::from_secs(1),
        bytes: 1_000,
    };
    let waiter = NewWaiter {
        ticket: arrival.ticket(),
        need: number,
        deadline: arrival.deadline,
    };
    room.enter(&service(), waiter, now)
}

/// Gives out at most `count` places, each of which names the request that it was chosen for; returns how many were taken.
fn start(room: &Room, count: usize, now: Tick) -> usize {
    let mut left = count;
    room.start_fitting(&service(), now, |number| {
        left = left.checked_sub(1)?;
        Some(*number)
    });
    count - left
}

/// Returns how a request has ended; `None` while it waits, after which it no longer does.
fn ended(place: Place<'_>) -> Option<Result<u32, WaitEnd>> {
    match pin!(place.wait()).poll(&mut Context::from_waker(Waker::noop())) {
        Poll::Ready(end) => Some(end),
        Poll::Pending => None,
    }
}

/// Returns why a request was refused.
fn cause(place: Place<'_>) -> Option<WaitCause> {
    ended(place)?.err().map(|end| end.cause)
}

/// Guards against less urgent requests that go first as they came first, and against requests that are started before an
/// upstream has room.
#[test]
fn urgent_first() {
    let room = Room::new(WIDE);
    let later = enter(&room, 1, 2, at_ms(0)).unwrap();
    let first = enter(&room, 2, 0, at_ms(1)).unwrap();
    assert_eq!(start(&room, 0, at_ms(5)), 0);
    assert_eq!(start(&room, 1, at_ms(10)), 1);
    assert_eq!(ended(first), Some(Ok(2)));
    assert!(room.has_waiting(&service()));
    assert_eq!(start(&room, 5, at_ms(20)), 1);
    assert_eq!(ended(later), Some(Ok(1)));
    assert!(!room.has_waiting(&service()));
}

/// Guards against places that are given to callers who have left, while others wait.
#[test]
fn caller_leaves() {
    let room = Room::new(WIDE);
    let gone = enter(&room, 1, 0, at_ms(0)).unwrap();
    let stays = enter(&room, 2, 1, at_ms(0)).unwrap();
    drop(gone);
    assert_eq!(start(&room, 5, at_ms(10)), 1);
    assert_eq!(ended(stays), Some(Ok(2)));
    let woken = enter(&room, 3, 0, at_ms(20)).unwrap();
    assert_eq!(start(&room, 1, at_ms(30)), 1);
    drop(woken);
    assert_eq!(start(&room, 5, at_ms(40)), 0, "it left with its place");
}

/// Guards against a queue that grows beyond its bounds in requests or bytes, and against one that a single service fills
/// for all others.
#[test]
fn bounded_queue() {
    for bounds in [
        WaitingBounds { requests: 4, ..WIDE },
        WaitingBounds { bytes: 4_000, ..WIDE },
    ] {
        let room = Room::new(bounds);
        let entered: Vec<_> = (0..20).map(|number| enter(&room, number, 0, at_ms(0))).collect();
        let mut waiting = 0;
        room.report(at_ms(0), |_, state| {
            waiting += state.by_priority.values().map(|(count, _)| count).sum::<usize>();
        });
        assert_eq!(waiting, 4);
        let refused = entered.iter().filter(|entered| entered.is_err()).count();
        let ends: Vec<_> = entered.into_iter().flatten().map(cause).collect();
        let dropped = ends.iter().filter(|cause| **cause == Some(WaitCause::Dropped)).count();
        assert_eq!(refused + dropped, 16);
    }
    let room = Room::new(WaitingBounds { requests: 8, ..WIDE });
    let flood: Vec<_> = (0..20).map(|number| enter(&room, number, 0, at_ms(0))).collect();
    let other = ServiceName::from("other");
    let route = Route::default();
    let arrival = Arrival {
        account: None,
        route: &route,
        fresh: 0,
        max_output: None,
        first_ms: 0.0,
        arrived: at_ms(0),
        passed: Duration::ZERO,
        deadline: at_ms(1_000),
        bytes: 1_000,
    };
    let waiter = NewWaiter {
        ticket: arrival.ticket(),
        need: 99,
        deadline: arrival.deadline,
    };
    assert!(
        room.enter(&other, waiter, at_ms(0)).is_ok(),
        "half of the bound is reserved"
    );
    drop(flood);
}

/// Guards against a host that was frozen and, after the thaw, sends what nobody waits for any more.
#[test]
fn frozen_host() {
    let room = Room::new(WIDE);
    let old: Vec<_> = (0..5)
        .map(|number| enter(&room, number, 0, at_ms(0)).unwrap())
        .collect();
    assert_eq!(start(&room, 5, at_ms(30_000)), 0);
    for place in old {
        assert_eq!(cause(place), Some(WaitCause::Expired));
    }
}

/// Guards against waiting requests that a planned stop leaves without an answer, or sends to another host late.
#[test]
fn planned_stop() {
    let room = Room::new(WIDE);
    let place = enter(&room, 1, 0, at_ms(0)).unwrap();
    room.close();
    let end = ended(place).expect("an answer").unwrap_err();
    assert_eq!(
        (end.cause, end.retry_after),
        (WaitCause::Stopping, Some(Duration::from_millis(50)))
    );
    assert_eq!(enter(&room, 2, 0, at_ms(1)).unwrap_err().cause, WaitCause::Stopping);
    assert_eq!(start(&room, 5, at_ms(2)), 0);
}

/// Guards against waiting requests that are refused as soon as all upstreams are lost, although others come within their
/// time.
#[test]
fn lost_upstreams() {
    let room = Room::new(WIDE);
    let place = enter(&room, 1, 0, at_ms(0)).unwrap();
    let late = enter(&room, 2, 0, at_ms(0)).unwrap();
    for ms in (0..900).step_by(20) {
        assert_eq!(start(&room, 0, at_ms(ms)), 0);
    }
    assert_eq!(start(&room, 1, at_ms(950)), 1);
    assert_eq!(ended(place), Some(Ok(1)));
    assert_eq!(start(&room, 1, at_ms(1_100)), 0);
    assert_eq!(cause(late), Some(WaitCause::Expired));
}

/// Guards against callers that are told to return when they would have given up, and against requests that wait although
/// they are predicted to start too late.
#[test]
fn refused_early() {
    let room = Room::new(WIDE);
    let mut places = Vec::new();
    for number in 0..200 {
        let now = at_ms(u64::from(number) * 10);
        places.push(enter(&room, number, 0, now));
        places.push(enter(&room, 1_000 + number, 0, now));
        start(&room, 1, now);
    }
    let refused = places.iter().filter_map(|place| place.as_ref().err());
    let refused: Vec<&WaitEnd> = refused.filter(|end| end.cause == WaitCause::TooLate).collect();
    assert!(!refused.is_empty(), "twice the capacity was asked for");
    for end in refused {
        let delay = end.retry_after.expect("the rate is known");
        assert!(delay <= Duration::from_millis(333), "told to return after {delay:?}");
    }
}

/// Two accounts ask for twice the capacity, one with urgent requests and one with the least urgent. Guards against urgent
/// requests that are late, against the least urgent ones that get nothing, and against requests that are started twice or
/// lost.
#[test]
fn overload_served() {
    let room = Room::new(WaitingBounds { requests: 64, ..WIDE });
    let accounts = [0, 1].map(|index| ClientAccount {
        name: format!("a{index}"),
        ..ClientAccount::default()
    });
    let mut places: Vec<(u8, Result<Place<'_>, WaitEnd>)> = Vec::new();
    let mut started = 0;
    for step in 0..300_u64 {
        let now = at_ms(step * 10);
        for (account, priority) in accounts.iter().zip([0, 2]) {
            let number = places.len() as u32;
            places.push((priority, enter_as(&room, number, (Some(account), priority), now)));
        }
        started += start(&room, 1, now);
        let mut waiting = 0;
        room.report(now, |_, state| {
            waiting = state.by_priority.values().map(|(count, _)| count).sum();
        });
        assert!(waiting <= 64, "{waiting} wait");
    }
    assert_eq!(started, 300, "no place stood empty");
    room.close();
    let mut served = [0_u32; 3];
    for (number, (priority, entered)) in places.into_iter().enumerate() {
        if let Ok(place) = entered
            && let Ok(chosen) = ended(place).expect("every request has an answer")
        {
            assert_eq!(chosen as usize, number, "it got another request's place");
            served[usize::from(priority)] += 1;
        }
    }
    assert_eq!(served.iter().sum::<u32>(), 300, "some were started twice or lost");
    assert!(served[0] >= 200, "{served:?}");
    assert!(served[2] >= 15, "{served:?}");
}
