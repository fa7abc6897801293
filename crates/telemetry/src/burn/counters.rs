//! Request counts of one entry host.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use contract::{ClassName, CustomerId, NodeId};
use hdrhistogram::Histogram;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use super::cause::{EndedRequest, RequestEnd, miss_cause};
use super::ring::{Bucket, Ring, Window};
use crate::clock::wall_ms;

/// Most pairs of customer and class with counters; requests of further pairs are only counted as left out.
pub const MAX_ROWS: usize = 4_096;
/// Number of histograms that together cover the last hour of latencies.
const HISTOGRAMS: usize = 4;
/// Time that one histogram covers.
const HISTOGRAM_S: u64 = 900;
/// Largest latency that histograms distinguish; longer ones count as this one.
const MAX_LATENCY_MS: u64 = 3_600_000;

/// Counts the requests of this process by customer and class, and keeps the counts of other processes.
#[derive(Debug)]
pub struct RequestCounters {
    started_ms: u64,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    rows: BTreeMap<(CustomerId, ClassName), Row>,
    left_out: u64,
    /// Counts of other processes, by node and start time.
    peer_counts: BTreeMap<(NodeId, u64), NodeCounts>,
}

/// Counters of one customer and class.
#[derive(Debug)]
struct Row {
    rings: [Ring; 4],
    first_token: Latencies,
    total_time: Latencies,
}

/// Latencies of the last hour.
#[derive(Debug, Default)]
struct Latencies {
    /// Histograms with the number of their time slot, oldest first.
    histograms: VecDeque<(u64, Histogram<u32>)>,
}

/// Counts of one process of an entry host, in serializable form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct Part")]
pub struct NodeCounts {
    /// Entry host that counted.
    pub node: NodeId,
    /// Process start in milliseconds since 1970; a restarted process starts from zero.
    pub started_ms: u64,
    /// Time of the counts in seconds since 1970.
    pub at_s: u64,
    /// Requests of customers and classes beyond [`MAX_ROWS`].
    pub left_out: u64,
    /// Counts of each customer and class.
    pub rows: Vec<ClassCounts>,
}

/// Counts of one customer and class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassCounts {
    /// Customer that made the requests.
    pub customer: CustomerId,
    /// Service class of the requests.
    pub class: ClassName,
    /// Buckets of each window, with windows in the order of [`Window::ALL`].
    pub rings: Vec<Vec<Bucket>>,
    /// Times to the first token over the last hour, as pairs of milliseconds and count.
    pub first_ms: Vec<(u64, u64)>,
    /// Times to the end over the last hour, as pairs of milliseconds and count.
    pub whole_ms: Vec<(u64, u64)>,
}

impl Default for RequestCounters {
    fn default() -> Self {
        Self {
            started_ms: wall_ms(),
            inner: Mutex::default(),
        }
    }
}

impl RequestCounters {
    /// Counts a request that ends now.
    pub fn record(&self, request: &EndedRequest<'_>) {
        self.record_at(request, wall_ms() / 1_000);
    }

    /// Counts a request that ended at `now_s`, in seconds since 1970.
    pub fn record_at(&self, request: &EndedRequest<'_>, now_s: u64) {
        if request.end == RequestEnd::CallerGone {
            return;
        }
        let mut inner = self.inner.lock();
        let key = (request.customer.clone(), request.class.clone());
        if !inner.rows.contains_key(&key) && inner.rows.len() >= MAX_ROWS {
            inner.left_out += 1;
            return;
        }
        inner.rows.entry(key).or_insert_with(Row::new).record(request, now_s);
    }

    /// Returns the counts of this process so far.
    #[must_use]
    pub fn node_counts(&self, node: &NodeId, now_s: u64) -> NodeCounts {
        let inner = self.inner.lock();
        let rows = inner
            .rows
            .iter()
            .map(|((customer, class), row)| row.counts(customer, class, now_s));
        NodeCounts {
            node: node.clone(),
            started_ms: self.started_ms,
            at_s: now_s,
            left_out: inner.left_out,
            rows: rows.collect(),
        }
    }

    /// Stores the counts of other processes, in case their hosts are restarted or lost.
    pub fn store_peer_counts(&self, parts: Vec<NodeCounts>, now_s: u64) {
        let mut inner = self.inner.lock();
        for part in parts {
            let key = (part.node.clone(), part.started_ms);
            let known = inner.peer_counts.get(&key).map_or(0, |known| known.at_s);
            if part.at_s >= known && part.started_ms != self.started_ms {
                inner.peer_counts.insert(key, part);
            }
        }
        // A part whose newest bucket lies outside the longest window no longer contributes to a report.
        let max_age_s = Window::Days3.length_s() + Window::Days3.bucket_s();
        inner.peer_counts.retain(|_, part| part.at_s + max_age_s >= now_s);
    }

    /// Returns the stored counts of other processes.
    #[must_use]
    pub fn peer_counts(&self) -> Vec<NodeCounts> {
        self.inner.lock().peer_counts.values().cloned().collect()
    }
}

impl Row {
    fn new() -> Self {
        Self {
            rings: Window::ALL.map(Ring::new),
            first_token: Latencies::default(),
            total_time: Latencies::default(),
        }
    }

    fn record(&mut self, request: &EndedRequest<'_>, now_s: u64) {
        let cause = miss_cause(request);
        for ring in &mut self.rings {
            let bucket = ring.bucket(now_s);
            match (request.end, cause) {
                (RequestEnd::Limited, _) => bucket.limited += 1,
                (_, Some(cause)) => bucket.count_miss(cause, request.host),
                (_, None) => bucket.good += 1,
            }
        }
        if request.end == RequestEnd::Completed {
            request
                .first_token
                .iter()
                .for_each(|time| self.first_token.record(*time, now_s));
            self.total_time.record(request.total_time, now_s);
        }
    }

    fn counts(&self, customer: &CustomerId, class: &ClassName, now_s: u64) -> ClassCounts {
        ClassCounts {
            customer: customer.clone(),
            class: class.clone(),
            rings: self.rings.iter().map(Ring::buckets).collect(),
            first_ms: self.first_token.counts(now_s),
            whole_ms: self.total_time.counts(now_s),
        }
    }
}

impl Latencies {
    fn record(&mut self, time: Duration, now_s: u64) {
        let slot = now_s / HISTOGRAM_S;
        if self.histograms.back().is_none_or(|(last, _)| *last < slot) {
            self.histograms.push_back((slot, latency_histogram()));
        }
        if self.histograms.len() > HISTOGRAMS {
            self.histograms.pop_front();
        }
        if let Some((_, newest)) = self.histograms.back_mut() {
            newest.saturating_record(time.as_millis() as u64);
        }
    }

    fn counts(&self, now_s: u64) -> Vec<(u64, u64)> {
        let oldest = (now_s / HISTOGRAM_S).saturating_sub(HISTOGRAMS as u64 - 1);
        let mut all = latency_histogram();
        for (_, histogram) in self.histograms.iter().filter(|(slot, _)| *slot >= oldest) {
            all.add(histogram).expect("all histograms have the same bounds");
        }
        all.iter_recorded()
            .map(|value| (value.value_iterated_to(), u64::from(value.count_at_value())))
            .collect()
    }
}

/// Creates a latency histogram with a precision of 1 %.
pub(super) fn latency_histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, MAX_LATENCY_MS, 2).expect("constant bounds are valid")
}
