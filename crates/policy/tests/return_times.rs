//! Refused callers must not come back all at once, nor be told a time that is taken while another is free.

use std::time::Duration;

use policy::Tick;
use policy::returns::ReturnTimes;
use quickcheck::{Gen, QuickCheck};

const MS: fn(u64) -> Duration = Duration::from_millis;

/// A crowd of 400 is refused at one moment, with 10 ms of work each and up to 3 s to wait. Those for whom there is time
/// must come back one after the other from when there is capacity, and the rest not all at once.
#[test]
fn crowd_returns() {
    let (mut returns, now) = (ReturnTimes::default(), Tick::from_millis(5_000));
    let told: Vec<Duration> = (0..400)
        .map(|_| returns.next(MS(500), MS(10), MS(3_000), now))
        .collect();
    assert!(
        (0..=250_u32).all(|place| told[place as usize] == MS(500) + MS(10) * place),
        "{told:?}"
    );
    let mut rest = told[251..].to_vec();
    rest.sort_unstable();
    rest.dedup();
    assert_eq!(rest.len(), 149);
    assert!(
        rest.iter().all(|told| (MS(2_625)..=MS(3_000)).contains(told)),
        "{rest:?}"
    );
}

/// Callers with little and with much time left are refused in turn. One that is told a late time must not keep the free
/// time before it from the others.
#[test]
fn gaps_filled() {
    let (mut returns, now) = (ReturnTimes::default(), Tick::default());
    assert_eq!(returns.next(MS(5_000), MS(100), MS(9_000), now), MS(5_000));
    assert_eq!(returns.next(MS(100), MS(100), MS(300), now), MS(100));
    assert_eq!(returns.next(MS(100), MS(100), MS(300), now), MS(200));
    // The next has too little time for a free moment; one with more time gets it.
    assert_eq!(returns.next(MS(100), MS(100), MS(300), now), MS(300));
    assert!(returns.next(MS(100), MS(100), MS(300), now) <= MS(300));
    assert_eq!(returns.next(MS(100), MS(100), MS(3_000), now), MS(400));
    assert_eq!(returns.next(MS(4_950), MS(100), MS(9_000), now), MS(5_100));
}

/// Any figures: nobody may be told a time beyond its longest, nor before there is capacity if that is within it, nor the
/// same time as another while both fit.
#[test]
fn always_within() {
    fn holds(calls: Vec<(u16, u16, u16, u8)>) -> bool {
        let (mut returns, mut now) = (ReturnTimes::default(), Tick::default());
        calls.into_iter().all(|(after, work, most, step)| {
            now = now + MS(u64::from(step));
            let (after, most) = (MS(u64::from(after)), MS(u64::from(most)));
            let told = returns.next(after, MS(u64::from(work)), most, now);
            told <= most && told >= after.min(most.saturating_sub(most / 8))
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, 302))
        .tests(300)
        .quickcheck(holds as fn(Vec<(u16, u16, u16, u8)>) -> bool);
    let (mut returns, now) = (ReturnTimes::default(), Tick::default());
    let huge = returns.next(Duration::MAX, Duration::MAX, Duration::MAX, now);
    assert_eq!(huge, Duration::MAX);
    assert_eq!(
        returns.next(Duration::ZERO, Duration::ZERO, Duration::ZERO, now),
        Duration::ZERO
    );
}
