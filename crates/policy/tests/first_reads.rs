//! Pauses between failed reads while nothing was read yet.

use std::time::Duration;

use policy::first_reads::first_read_pause;

const MOST: Duration = Duration::from_secs(1);

/// Guards against hosts that serve nobody for a second after a loss of power, because the list of upstreams refused
/// their first read.
#[test]
fn refused_once() {
    let pauses: Vec<Duration> = (0..=10)
        .map(|step| first_read_pause(1, MOST, f64::from(step) / 10.0))
        .collect();
    assert!(pauses.iter().all(|pause| *pause < MOST / 2), "{pauses:?}");
    assert!(
        pauses.windows(2).all(|pair| pair[0] < pair[1]),
        "hosts return at different times: {pauses:?}"
    );
}

/// Guards against hundreds of hosts that read several times a second while the platform does not answer at all.
#[test]
fn refused_often() {
    assert_eq!(first_read_pause(9, MOST, 0.0), MOST);
    assert_eq!(first_read_pause(u32::MAX, MOST, 1.0), MOST);
}
