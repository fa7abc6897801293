//! Follows one request from its arrival to its end.

use std::time::Duration;

use contract::{Class, ClassName, CustomerId, HostId, HostSpec, Targets, Zone};
use parking_lot::Mutex;
use policy::Tick;

use super::RequestCounters;
use super::cause::{EndedRequest, RequestEnd};

/// Most pauses that are kept of one answer; an answer is longer only against its contract.
const MAX_PAUSES: usize = 65_536;

/// Follows one request; without [`Meter::end`] it counts nothing.
#[derive(Debug)]
pub struct RequestMeter<'a> {
    ledger: &'a RequestCounters,
    customer: CustomerId,
    class: ClassName,
    targets: Targets,
    arrived: Tick,
    marks: Mutex<Marks>,
}

#[derive(Debug, Default)]
struct Marks {
    queued: Option<Duration>,
    first: Option<Duration>,
    last: Option<Tick>,
    pauses: Vec<u32>,
    failures: u32,
    reclaimed: bool,
    host: Option<(HostId, Zone)>,
    blamed: bool,
}

impl RequestCounters {
    /// Begins to follow a request.
    #[must_use]
    pub fn start_meter(&self, customer: &CustomerId, class: &Class, arrived: Tick) -> RequestMeter<'_> {
        RequestMeter {
            ledger: self,
            customer: customer.clone(),
            class: class.name.clone(),
            targets: class.targets,
            arrived,
            marks: Mutex::default(),
        }
    }
}

impl RequestMeter<'_> {
    /// Notes that the request was admitted.
    pub fn record_admission(&self, now: Tick) {
        self.marks.lock().queued = Some(now.since(self.arrived));
    }

    /// Notes that it goes to an upstream on a host.
    pub fn record_attempt(&self, host: &HostSpec) {
        let mut marks = self.marks.lock();
        // A miss is put down to the host that failed and not to the one that made it good.
        if !marks.blamed {
            marks.host = Some((host.id.clone(), host.zone.clone()));
        }
    }

    /// Notes that the attempt failed, on a host that was leaving or not.
    pub fn record_failure(&self, leaving: bool) {
        let mut marks = self.marks.lock();
        marks.failures += 1;
        marks.reclaimed |= leaving;
        marks.blamed = true;
    }

    /// Notes a token.
    pub fn record_token(&self, now: Tick) {
        let mut marks = self.marks.lock();
        if let Some(last) = marks.last
            && marks.pauses.len() < MAX_PAUSES
        {
            let pause = u32::try_from(now.since(last).as_micros()).unwrap_or(u32::MAX);
            marks.pauses.push(pause);
        }
        marks.first.get_or_insert_with(|| now.since(self.arrived));
        marks.last = Some(now);
    }

    /// Counts the request.
    pub fn finish(&self, end: RequestEnd, now: Tick) {
        let mut marks = self.marks.lock();
        let whole = now.since(self.arrived);
        let served = EndedRequest {
            customer: &self.customer,
            class: &self.class,
            targets: &self.targets,
            end,
            queued: marks.queued.unwrap_or(whole),
            first: marks.first,
            between: tail(&mut marks.pauses),
            whole,
            failures: marks.failures,
            reclaimed: marks.reclaimed,
            host: marks.host.as_ref().map(|(host, zone)| (host, zone)),
        };
        self.ledger.record(&served);
    }
}

/// Gives the pause below which 95 in 100 lie.
fn tail(pauses: &mut [u32]) -> Option<Duration> {
    pauses.sort_unstable();
    let place = (pauses.len() * 95).div_ceil(100).saturating_sub(1);
    pauses.get(place).map(|pause| Duration::from_micros(u64::from(*pause)))
}
