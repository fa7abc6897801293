//! Measures one request from its arrival to its end.

use std::time::Duration;

use contract::{Class, ClassName, CustomerId, HostId, HostSpec, Targets, Zone};
use parking_lot::Mutex;
use policy::Tick;

use super::RequestCounters;
use super::cause::{EndedRequest, RequestEnd};

/// Most token gaps kept per request; only a response longer than its contract allows has more.
const MAX_TOKEN_GAPS: usize = 65_536;

/// Measures one request; it is counted only by [`RequestMeter::finish`].
#[derive(Debug)]
pub struct RequestMeter<'a> {
    counters: &'a RequestCounters,
    customer: CustomerId,
    class: ClassName,
    targets: Targets,
    arrived: Tick,
    progress: Mutex<Progress>,
}

#[derive(Debug, Default)]
struct Progress {
    queue_time: Option<Duration>,
    first_token: Option<Duration>,
    last_token: Option<Tick>,
    /// Gaps between tokens, in microseconds.
    gaps_us: Vec<u32>,
    failures: u32,
    reclaimed: bool,
    host: Option<(HostId, Zone)>,
    /// Whether `host` is that of the first failed attempt, to which a miss is attributed.
    host_failed: bool,
}

impl RequestCounters {
    /// Starts to measure a request that arrived at a time.
    #[must_use]
    pub fn start_meter(&self, customer: &CustomerId, class: &Class, arrived: Tick) -> RequestMeter<'_> {
        RequestMeter {
            counters: self,
            customer: customer.clone(),
            class: class.name.clone(),
            targets: class.targets,
            arrived,
            progress: Mutex::default(),
        }
    }
}

impl RequestMeter<'_> {
    /// Records that the request was admitted.
    pub fn record_admission(&self, now: Tick) {
        self.progress.lock().queue_time = Some(now.since(self.arrived));
    }

    /// Records an attempt at an upstream on a host.
    pub fn record_attempt(&self, host: &HostSpec) {
        let mut progress = self.progress.lock();
        // A miss is attributed to the host that failed and not to the one that then served the request.
        if !progress.host_failed {
            progress.host = Some((host.id.clone(), host.zone.clone()));
        }
    }

    /// Records that the attempt failed; `leaving` states whether its host was leaving (reclaimed or drained).
    pub fn record_failure(&self, leaving: bool) {
        let mut progress = self.progress.lock();
        progress.failures += 1;
        progress.reclaimed |= leaving;
        progress.host_failed = true;
    }

    /// Records that a token arrived.
    pub fn record_token(&self, now: Tick) {
        let mut progress = self.progress.lock();
        if let Some(last) = progress.last_token
            && progress.gaps_us.len() < MAX_TOKEN_GAPS
        {
            let gap = u32::try_from(now.since(last).as_micros()).unwrap_or(u32::MAX);
            progress.gaps_us.push(gap);
        }
        progress.first_token.get_or_insert_with(|| now.since(self.arrived));
        progress.last_token = Some(now);
    }

    /// Counts the request with its measured times.
    pub fn finish(&self, end: RequestEnd, now: Tick) {
        let mut progress = self.progress.lock();
        let total_time = now.since(self.arrived);
        let request = EndedRequest {
            customer: &self.customer,
            class: &self.class,
            targets: &self.targets,
            end,
            queue_time: progress.queue_time.unwrap_or(total_time),
            first_token: progress.first_token,
            token_gap: percentile_95(&mut progress.gaps_us),
            total_time,
            failures: progress.failures,
            reclaimed: progress.reclaimed,
            host: progress.host.as_ref().map(|(host, zone)| (host, zone)),
        };
        self.counters.record(&request);
    }
}

/// Returns the 95th percentile of gaps that are given in microseconds.
fn percentile_95(gaps_us: &mut [u32]) -> Option<Duration> {
    gaps_us.sort_unstable();
    let rank = (gaps_us.len() * 95).div_ceil(100).saturating_sub(1);
    gaps_us.get(rank).map(|gap| Duration::from_micros(u64::from(*gap)))
}
