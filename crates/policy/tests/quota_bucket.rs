//! What one entry host admits of an account's quota.

use policy::Tick;
use policy::quota::Bucket;
use quickcheck::quickcheck;

quickcheck! {
    /// Whatever is requested with `take_whole`, no more is admitted than the initial units and what the rate has added
    /// since.
    fn never_exceeds(requests: Vec<(u16, u16)>) -> bool {
        let (rate, burst) = (1_000.0, 5_000.0);
        let mut bucket = Bucket::new(0.0, Tick::default());
        bucket.set(rate, burst, Tick::default());
        let (mut now, mut admitted) = (0, 0.0);
        requests.into_iter().all(|(units, pause)| {
            now += u64::from(pause);
            if bucket.take_whole(f64::from(units), Tick::from_millis(now)).is_ok() {
                admitted += f64::from(units);
            }
            admitted <= rate * now as f64 / 1_000.0 + 1e-6
        })
    }
}

/// A process is killed again and again. If each start had a full burst, an account would get many times its quota; with
/// an empty bucket, callers within their quota would be refused after every restart.
#[test]
fn partial_start() {
    let mut bucket = Bucket::new(1_000.0, Tick::default());
    bucket.set(100.0, 1_000.0, Tick::default());
    assert!(bucket.take_whole(500.0, Tick::default()).is_err());
    bucket.take_whole(400.0, Tick::default()).unwrap();
}

/// A request is larger than the burst. It could never be admitted if all of its units had to be available; the
/// overdraft delays the next request.
#[test]
fn larger_than_burst() {
    let mut bucket = Bucket::new(0.0, Tick::default());
    bucket.set(100.0, 1_000.0, Tick::default());
    bucket.take(3_000.0, Tick::from_millis(6_000)).unwrap();
    let over = bucket.take(100.0, Tick::from_millis(6_000)).unwrap_err();
    assert!((over.wait_s - 25.0).abs() < 1e-6, "{over:?}");
}

/// A quota is lowered. What was saved up under the old burst must not be spent.
#[test]
fn lower_burst() {
    let mut bucket = Bucket::new(0.0, Tick::default());
    bucket.set(1_000.0, 1_000.0, Tick::default());
    bucket.set(10.0, 10.0, Tick::from_millis(1_000));
    assert!(bucket.take_whole(11.0, Tick::from_millis(1_000)).is_err());
    bucket.take_whole(10.0, Tick::from_millis(1_000)).unwrap();
}
