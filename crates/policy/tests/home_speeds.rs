//! Guards against prompts that queue at slow upstreams, and against homes that move without need.

use policy::home_speed::{AnswerTimes, SpeedStep, UsualTime};

const UPSTREAMS: u64 = 12;
const PARTS: u64 = 6_000;

/// Returns a well-mixed hash of a part and an upstream.
fn hash(part: u64, upstream: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&(part * UPSTREAMS + upstream).to_le_bytes())
}

fn home(part: u64, step_of: impl Fn(u64) -> i8) -> u64 {
    let weight = |upstream: &u64| SpeedStep::new(step_of(*upstream)).weigh(hash(part, *upstream));
    (0..UPSTREAMS).max_by_key(weight).expect("there are upstreams")
}

/// Returns the sum of answers that take `times` times as long as usual.
fn answers(times: f64, count: u32) -> AnswerTimes {
    let mut sum = AnswerTimes::default();
    sum.add(((times.log2() * f64::from(count) * 100.0).round() as i32, count));
    sum
}

#[test]
fn equal_steps() {
    let moved = |step: i8| {
        (0..PARTS)
            .filter(|part| home(*part, |_| step) != home(*part, |_| 0))
            .count()
    };
    assert_eq!([-3, -2, -1, 1, 2, 3].map(moved), [0; 6]);
}

/// Upstreams that take 0.7 and 1.7 times as long share the homes in proportion to 1 / time.
#[test]
fn fast_first() {
    let step_of = |upstream: u64| [-1, -1, 2][upstream as usize % 3];
    let slow = (0..PARTS).filter(|part| home(*part, step_of) % 3 == 2).count();
    let expected = 0.5 / (0.5 + 2.0 * std::f64::consts::SQRT_2);
    let share = slow as f64 / PARTS as f64;
    assert!((share - expected).abs() < 0.02, "{share} instead of {expected}");
}

/// The fast upstreams are lost together: their homes are shared out evenly among the slow ones.
#[test]
fn fast_lost() {
    let mut homes = [0_u32; 4];
    for part in 0..PARTS {
        let weight = |at: &usize| SpeedStep::new(2).weigh(hash(part, 3 * *at as u64 + 2));
        homes[(0..4).max_by_key(weight).expect("four are left")] += 1;
    }
    assert!(homes.iter().all(|count| (1_350..1_650).contains(count)), "{homes:?}");
}

/// An upstream that becomes slower gives up homes; none moves between the others.
#[test]
fn others_stay() {
    for part in 0..PARTS {
        let (before, after) = (home(part, |_| 0), home(part, |upstream| 3 * i8::from(upstream == 5)));
        assert!(before == after || before == 5, "part {part}");
    }
}

#[test]
fn small_changes() {
    for step in -1..=1_i8 {
        let time = (f64::from(step) / 2.0).exp2();
        for change in [0.8, 0.9, 1.1, 1.25] {
            let times = answers(time * change, 100);
            assert_eq!(SpeedStep::new(step).follow(&times), SpeedStep::new(step), "{step}");
        }
        assert_ne!(SpeedStep::new(step).follow(&answers(time * 1.5, 100)).get(), step);
    }
}

#[test]
fn few_answers() {
    assert_eq!(SpeedStep::default().follow(&answers(2.0, 20)), SpeedStep::default());
    assert_eq!(SpeedStep::default().follow(&answers(2.0, 30)).get(), 2);
}

/// A speed that has changed shows although thousands of older answers were counted.
#[test]
fn changed_speed() {
    let mut times = answers(2.0, 400);
    let fast = (-100 * 100, 100);
    (0..10).for_each(|_| times.add(fast));
    assert_eq!(SpeedStep::new(2).follow(&times).get(), -2);
}

/// Sums of a faulty host and times that are no numbers move a step no further than its range, and never panic.
#[test]
fn bad_input() {
    for sum in [(i32::MAX, 1), (i32::MIN, u32::MAX), (5, 0), (i32::MAX, u32::MAX)] {
        let mut times = AnswerTimes::default();
        (0..100).for_each(|_| times.add(sum));
        assert!(SpeedStep::default().follow(&times).get().abs() <= 3, "{sum:?}");
    }
    let (mut times, mut usual) = (AnswerTimes::default(), UsualTime::default());
    for (elapsed, expected) in [
        (0.0, 1.0),
        (1.0, 0.0),
        (-1.0, 1.0),
        (f64::NAN, 1.0),
        (f64::INFINITY, 1.0),
    ] {
        times.record(&mut usual, elapsed, expected);
    }
    assert_eq!(times.take(), None);
    for step in [i8::MIN, i8::MAX] {
        assert_eq!(SpeedStep::new(step).get().abs(), 3);
        assert!(SpeedStep::new(step).weigh(u64::MAX) > SpeedStep::new(step).weigh(0));
    }
}
