//! What one entry host has counted.

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

/// Most pairs of customer and class that are counted apart; further ones are left out and counted.
pub const MAX_ROWS: usize = 4_096;
/// Parts of the hour over which latencies are kept.
const PARTS: usize = 4;
const PART_S: u64 = 900;
/// Longest latency that is told apart, in milliseconds.
const LONGEST_MS: u64 = 3_600_000;

/// Counts requests by customer and class.
#[derive(Debug)]
pub struct RequestCounters {
    started_ms: u64,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    rows: BTreeMap<(CustomerId, ClassName), Row>,
    left_out: u64,
    remembered: BTreeMap<(NodeId, u64), Part>,
}

#[derive(Debug)]
struct Row {
    rings: [Ring; 4],
    first: Spread,
    whole: Spread,
}

/// Latencies of the last hour.
#[derive(Debug, Default)]
struct Spread {
    parts: VecDeque<(u64, Histogram<u32>)>,
}

/// What one process of an entry host has counted, as it travels.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The entry host.
    pub node: NodeId,
    /// Start of its process in milliseconds since 1970; a restarted one counts anew.
    pub started_ms: u64,
    /// When this was taken, in seconds since 1970.
    pub at_s: u64,
    /// Requests of customers and classes beyond the bound.
    pub left_out: u64,
    /// One entry for each customer and class.
    pub rows: Vec<ClassCounts>,
}

/// What was counted of one customer and class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassCounts {
    /// The customer.
    pub customer: CustomerId,
    /// The class.
    pub class: ClassName,
    /// Buckets of each window, in the order of [`Window::ALL`].
    pub rings: Vec<Vec<Bucket>>,
    /// Times to the first token over the last hour, in milliseconds with their counts.
    pub first_ms: Vec<(u64, u64)>,
    /// Times to the end over the last hour, in milliseconds with their counts.
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
    /// Counts a request that has ended.
    pub fn record(&self, served: &EndedRequest<'_>) {
        self.record_at(served, wall_ms() / 1_000);
    }

    /// Counts a request that ended at a time in seconds since 1970.
    pub fn record_at(&self, served: &EndedRequest<'_>, now_s: u64) {
        if served.end == RequestEnd::CallerGone {
            return;
        }
        let mut inner = self.inner.lock();
        let key = (served.customer.clone(), served.class.clone());
        if !inner.rows.contains_key(&key) && inner.rows.len() >= MAX_ROWS {
            inner.left_out += 1;
            return;
        }
        inner.rows.entry(key).or_insert_with(Row::new).record(served, now_s);
    }

    /// Gives everything counted so far.
    #[must_use]
    pub fn node_counts(&self, node: &NodeId, now_s: u64) -> Part {
        let inner = self.inner.lock();
        let rows = inner
            .rows
            .iter()
            .map(|((customer, class), row)| row.part(customer, class, now_s));
        Part {
            node: node.clone(),
            started_ms: self.started_ms,
            at_s: now_s,
            left_out: inner.left_out,
            rows: rows.collect(),
        }
    }

    /// Keeps the parts of other processes, for the case that their hosts are restarted or lost.
    pub fn store_peer_counts(&self, parts: Vec<Part>, now_s: u64) {
        let mut inner = self.inner.lock();
        for part in parts {
            let key = (part.node.clone(), part.started_ms);
            let known = inner.remembered.get(&key).map_or(0, |known| known.at_s);
            if part.at_s >= known && part.started_ms != self.started_ms {
                inner.remembered.insert(key, part);
            }
        }
        // A part whose newest bucket lies beyond the longest window says nothing any more.
        let longest = Window::Days3.length() + Window::Days3.step();
        inner.remembered.retain(|_, part| part.at_s + longest >= now_s);
    }

    /// Gives the parts of other processes that are kept.
    #[must_use]
    pub fn peer_counts(&self) -> Vec<Part> {
        self.inner.lock().remembered.values().cloned().collect()
    }
}

impl Row {
    fn new() -> Self {
        Self {
            rings: Window::ALL.map(Ring::new),
            first: Spread::default(),
            whole: Spread::default(),
        }
    }

    fn record(&mut self, served: &EndedRequest<'_>, now_s: u64) {
        let cause = miss_cause(served);
        for ring in &mut self.rings {
            let bucket = ring.bucket(now_s);
            match (served.end, cause) {
                (RequestEnd::Limited, _) => bucket.limited += 1,
                (_, Some(cause)) => bucket.miss(cause, served.host),
                (_, None) => bucket.good += 1,
            }
        }
        if served.end == RequestEnd::Completed {
            served.first.iter().for_each(|time| self.first.note(*time, now_s));
            self.whole.note(served.whole, now_s);
        }
    }

    fn part(&self, customer: &CustomerId, class: &ClassName, now_s: u64) -> ClassCounts {
        ClassCounts {
            customer: customer.clone(),
            class: class.clone(),
            rings: self.rings.iter().map(Ring::buckets).collect(),
            first_ms: self.first.counts(now_s),
            whole_ms: self.whole.counts(now_s),
        }
    }
}

impl Spread {
    fn note(&mut self, time: Duration, now_s: u64) {
        let slot = now_s / PART_S;
        if self.parts.back().is_none_or(|(last, _)| *last < slot) {
            self.parts.push_back((slot, histogram()));
        }
        if self.parts.len() > PARTS {
            self.parts.pop_front();
        }
        if let Some((_, newest)) = self.parts.back_mut() {
            newest.saturating_record(time.as_millis() as u64);
        }
    }

    fn counts(&self, now_s: u64) -> Vec<(u64, u64)> {
        let oldest = (now_s / PART_S).saturating_sub(PARTS as u64 - 1);
        let mut all = histogram();
        for (_, part) in self.parts.iter().filter(|(slot, _)| *slot >= oldest) {
            all.add(part).expect("the bounds are the same");
        }
        all.iter_recorded()
            .map(|value| (value.value_iterated_to(), u64::from(value.count_at_value())))
            .collect()
    }
}

/// Makes a histogram that tells latencies apart by one in a hundred.
pub(super) fn histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, LONGEST_MS, 2).expect("constant bounds are valid")
}
