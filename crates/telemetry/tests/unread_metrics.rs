//! Metrics that nobody reads.

use std::thread::sleep;
use std::time::Duration;

use metrics::histogram;
use telemetry::scrape::MetricsExporter;

const ROUNDS: usize = 40;
const VALUES: usize = 100_000;
/// More than the values of some rounds take, and less than those of all.
const MAX_GROWTH: u64 = 16 * 1024 * 1024;

/// Returns the resident memory of this process.
fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("the status of this process");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.expect("a number of kilobytes") * 1024
}

/// Guards against values that are kept one by one until somebody reads the metrics, so that a process grows for as long as
/// nobody does.
#[test]
fn values_drained() {
    let interval = Duration::from_millis(10);
    MetricsExporter::install_with(interval).expect("no other recorder");
    let record = || (0..VALUES).for_each(|at| histogram!("turn_seconds").record(at as f64));
    record();
    let before = resident_bytes();
    for _ in 0..ROUNDS {
        record();
        sleep(10 * interval);
    }
    let growth = resident_bytes().saturating_sub(before);
    assert!(
        growth <= MAX_GROWTH,
        "{growth} bytes more for values that nobody has read"
    );
}
