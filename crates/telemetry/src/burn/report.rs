//! The burn report, computed from the counts of all entry hosts.

use std::collections::BTreeMap;

use contract::{ClassName, CustomerId, HostId, NodeId, Zone};
use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::counters::{ClassCounts, NodeCounts, latency_histogram};
use super::ring::{Bucket, Window};
use super::{Cause, OBJECTIVE};

/// Burn rate that consumes a tenth of the error budget of three days within an hour.
const FAST_BURN: f64 = 7.2;
/// Burn rate that consumes a quarter of the error budget of three days within six hours.
const SLOW_BURN: f64 = 3.0;

/// The error budgets of all customers and classes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Time of the report in seconds since 1970.
    pub at_s: u64,
    /// Fraction of requests that must meet their targets; [`OBJECTIVE`].
    pub objective: f64,
    /// Processes whose counts the report contains.
    pub nodes: Vec<ReportNode>,
    /// Entry hosts that did not respond; their latest requests are missing from the report.
    pub missing: Vec<String>,
    /// One entry for each customer and class, the most urgent alert first.
    pub rows: Vec<ReportRow>,
}

/// A process whose counts the report contains.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportNode {
    /// Entry host that the process belongs to.
    pub node: NodeId,
    /// Process start in milliseconds since 1970.
    pub started_ms: u64,
    /// Age of its newest known counts, in seconds.
    pub age_s: u64,
}

/// The error budget of one customer and class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportRow {
    /// Customer that made the requests.
    pub customer: CustomerId,
    /// Service class of the requests.
    pub class: ClassName,
    /// Urgency of a reaction by operators.
    pub alert: Alert,
    /// Remaining fraction of the error budget of three days; negative when overdrawn.
    pub budget_left: f64,
    /// Burn rates, the shortest window first.
    pub windows: Vec<WindowBurn>,
    /// Time to the first token over the last hour, in milliseconds; absent for plain services.
    pub first_token_ms: Option<Quantiles>,
    /// Time to the complete response over the last hour, in milliseconds.
    pub whole_answer_ms: Option<Quantiles>,
}

/// Requests and burn rate of one window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WindowBurn {
    /// Time window, back from the time of the report.
    pub window: Window,
    /// Requests that count towards the budget.
    pub requests: u64,
    /// Requests among these that missed their targets.
    pub missed: u64,
    /// Requests rejected by the customer's own limit, which don't count towards the budget.
    pub limited: u64,
    /// Burn rate: fraction of missed requests over the allowed fraction; at 1 the budget is consumed exactly.
    pub burn: f64,
    /// Misses by cause and host, the most frequent first.
    pub causes: Vec<CauseCount>,
}

/// Misses of one cause on one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CauseCount {
    /// Cause of the misses.
    pub cause: Cause,
    /// Host to which the misses are attributed, if there is one.
    pub host: Option<HostId>,
    /// Zone of the host.
    pub zone: Option<Zone>,
    /// Number of misses.
    pub count: u64,
}

/// Urgency of a reaction by operators, the most urgent first.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Alert {
    /// Act now: in the last hour and the last five minutes, the burn rate consumes a tenth of the budget per hour.
    #[display("act now")]
    ActNow,
    /// Look today: in the last six hours and the last hour, the burn rate consumes a quarter of the budget
    /// per six hours.
    #[display("look today")]
    LookToday,
    /// The budget of three days is consumed.
    #[display("overdrawn")]
    Overdrawn,
    /// No reaction is needed.
    #[display("ok")]
    Fine,
}

/// Latency quantiles in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Median.
    pub p50: u64,
    /// 95th percentile.
    pub p95: u64,
}

/// Counts of one customer and class, summed over all processes.
#[derive(Default)]
struct Sum {
    /// Buckets of each window by their start; several processes contribute buckets with the same start.
    windows: [BTreeMap<u64, Vec<Bucket>>; 4],
    /// Times to the first token over the last hour, as pairs of milliseconds and count.
    first_ms: Vec<(u64, u64)>,
    /// Times to the end over the last hour, as pairs of milliseconds and count.
    whole_ms: Vec<(u64, u64)>,
}

impl Report {
    /// Computes a report from parts; of several parts of the same process, only the newest counts.
    #[must_use]
    pub fn new(parts: Vec<NodeCounts>, missing: Vec<String>, now_s: u64) -> Self {
        let newest = newest_per_process(parts);
        let nodes = newest.iter().map(|part| ReportNode {
            node: part.node.clone(),
            started_ms: part.started_ms,
            age_s: now_s.saturating_sub(part.at_s),
        });
        let nodes = nodes.collect();
        let mut sums: BTreeMap<(CustomerId, ClassName), Sum> = BTreeMap::new();
        for part in newest {
            // Latencies cover one hour, so those of an older part do not belong to the last hour.
            let has_recent_latencies = part.at_s + Window::Hour1.length_s() >= now_s;
            for row in part.rows {
                let sum = sums.entry((row.customer.clone(), row.class.clone())).or_default();
                sum.add(row, has_recent_latencies);
            }
        }
        let mut rows: Vec<ReportRow> = sums
            .into_iter()
            .map(|((customer, class), sum)| sum.row(customer, class, now_s))
            .collect();
        rows.sort_by(|a, b| a.alert.cmp(&b.alert).then(a.budget_left.total_cmp(&b.budget_left)));
        Self {
            at_s: now_s,
            objective: OBJECTIVE,
            nodes,
            missing,
            rows,
        }
    }
}

/// Returns the newest part of each process.
fn newest_per_process(parts: Vec<NodeCounts>) -> Vec<NodeCounts> {
    let mut newest: BTreeMap<(NodeId, u64), NodeCounts> = BTreeMap::new();
    for part in parts {
        let key = (part.node.clone(), part.started_ms);
        if newest.get(&key).is_none_or(|known| known.at_s < part.at_s) {
            newest.insert(key, part);
        }
    }
    newest.into_values().collect()
}

impl Sum {
    fn add(&mut self, row: ClassCounts, has_recent_latencies: bool) {
        for (window, buckets) in self.windows.iter_mut().zip(row.rings) {
            for bucket in buckets {
                window.entry(bucket.at_s).or_default().push(bucket);
            }
        }
        if has_recent_latencies {
            self.first_ms.extend(row.first_ms);
            self.whole_ms.extend(row.whole_ms);
        }
    }

    fn row(self, customer: CustomerId, class: ClassName, now_s: u64) -> ReportRow {
        let windows: Vec<WindowBurn> = Window::ALL
            .iter()
            .zip(&self.windows)
            .map(|(window, buckets)| window_burn(*window, buckets, now_s))
            .collect();
        let burn_rate = |window: usize| windows[window].burn;
        let budget_left = 1.0 - burn_rate(3);
        let alert = if burn_rate(0) >= FAST_BURN && burn_rate(1) >= FAST_BURN {
            Alert::ActNow
        } else if burn_rate(1) >= SLOW_BURN && burn_rate(2) >= SLOW_BURN {
            Alert::LookToday
        } else if budget_left < 0.0 {
            Alert::Overdrawn
        } else {
            Alert::Fine
        };
        ReportRow {
            customer,
            class,
            alert,
            budget_left,
            windows,
            first_token_ms: quantiles(&self.first_ms),
            whole_answer_ms: quantiles(&self.whole_ms),
        }
    }
}

fn window_burn(window: Window, buckets: &BTreeMap<u64, Vec<Bucket>>, now_s: u64) -> WindowBurn {
    let start_s = now_s.saturating_sub(window.length_s());
    let counted = buckets.range(start_s..).flat_map(|(_, same)| same);
    let (mut good, mut limited) = (0, 0);
    let mut causes: Vec<CauseCount> = Vec::new();
    for bucket in counted {
        good += bucket.good;
        limited += bucket.limited;
        for misses in &bucket.bad {
            match causes
                .iter_mut()
                .find(|known| known.cause == misses.cause && known.host == misses.host)
            {
                Some(known) => known.count += misses.count,
                None => causes.push(CauseCount {
                    cause: misses.cause,
                    host: misses.host.clone(),
                    zone: misses.zone.clone(),
                    count: misses.count,
                }),
            }
        }
    }
    causes.sort_by(|a, b| {
        b.count
            .cmp(&a.count)
            .then_with(|| (a.cause, &a.host).cmp(&(b.cause, &b.host)))
    });
    let missed: u64 = causes.iter().map(|cause| cause.count).sum();
    let requests = good + missed;
    let missed_fraction = missed as f64 / (requests as f64).max(1.0);
    WindowBurn {
        window,
        requests,
        missed,
        limited,
        burn: missed_fraction / (1.0 - OBJECTIVE),
        causes,
    }
}

fn quantiles(counts: &[(u64, u64)]) -> Option<Quantiles> {
    let mut all = latency_histogram();
    for (value, count) in counts {
        let count = u32::try_from(*count).unwrap_or(u32::MAX);
        all.saturating_record_n(*value, count);
    }
    (!all.is_empty()).then(|| Quantiles {
        p50: all.value_at_quantile(0.5),
        p95: all.value_at_quantile(0.95),
    })
}
