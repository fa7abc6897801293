//! The report made of the parts of all entry hosts.

use std::collections::BTreeMap;

use contract::{ClassName, CustomerId, HostId, NodeId, Zone};
use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::ledger::{ClassCounts, Part, histogram};
use super::ring::{Bucket, Window};
use super::{Cause, OBJECTIVE};

/// Burn rate at which a tenth of the budget of three days is gone within an hour.
const FAST: f64 = 7.2;
/// Burn rate at which a quarter of the budget of three days is gone within six hours.
const SLOW: f64 = 3.0;

/// Budgets of every customer and class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// When it was made, in seconds since 1970.
    pub at_s: u64,
    /// Part of the requests that must be within the targets.
    pub objective: f64,
    /// The processes that it is made of.
    pub nodes: Vec<ReportNode>,
    /// Entry hosts that did not answer; their latest requests are missing.
    pub missing: Vec<String>,
    /// One entry for each customer and class, the fastest burning first.
    pub rows: Vec<ReportRow>,
}

/// A process that the report is made of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportNode {
    /// The entry host.
    pub node: NodeId,
    /// Start of its process, in milliseconds since 1970.
    pub started_ms: u64,
    /// Age of what is known of it, in seconds.
    pub age_s: u64,
}

/// The budget of one customer and class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportRow {
    /// The customer.
    pub customer: CustomerId,
    /// The class.
    pub class: ClassName,
    /// What to do about it.
    pub alert: Alert,
    /// Part of the budget of three days that is left; negative when overdrawn.
    pub budget_left: f64,
    /// Burn in each window, the shortest first.
    pub windows: Vec<WindowBurn>,
    /// Time to the first token over the last hour; absent for plain services.
    pub first_token_ms: Option<Quantiles>,
    /// Time to the whole answer over the last hour.
    pub whole_answer_ms: Option<Quantiles>,
}

/// Burn in one window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WindowBurn {
    /// The window.
    pub window: Window,
    /// Requests that count.
    pub requests: u64,
    /// Of these, the ones that missed their targets.
    pub missed: u64,
    /// Requests refused by the customer's own limit, which don't count.
    pub limited: u64,
    /// Missed part over the part that may miss; 1 uses the budget up exactly.
    pub burn: f64,
    /// Misses by cause and host, the most first.
    pub causes: Vec<CauseCount>,
}

/// Misses of one cause on one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CauseCount {
    /// Why.
    pub cause: Cause,
    /// The host, if one had to do with it.
    pub host: Option<HostId>,
    /// Its zone.
    pub zone: Option<Zone>,
    /// How many.
    pub count: u64,
}

/// What a row calls for.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Alert {
    /// Act now: the last hour and the last five minutes burn a tenth of the budget an hour.
    #[display("act now")]
    ActNow,
    /// Look today: the last six hours and the last hour burn a quarter of the budget in six hours.
    #[display("look today")]
    LookToday,
    /// The budget of three days is used up.
    #[display("overdrawn")]
    Overdrawn,
    /// Nothing.
    #[display("ok")]
    Fine,
}

/// Median and tail in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Half of them are lower.
    pub p50: u64,
    /// 95 in 100 are lower.
    pub p95: u64,
}

#[derive(Default)]
struct Sum {
    windows: [BTreeMap<u64, Vec<Bucket>>; 4],
    first: Vec<(u64, u64)>,
    whole: Vec<(u64, u64)>,
}

impl Report {
    /// Makes a report of parts, of which several may tell about the same process.
    #[must_use]
    pub fn new(parts: Vec<Part>, missing: Vec<String>, now_s: u64) -> Self {
        let newest = newest(parts);
        let nodes = newest.iter().map(|part| ReportNode {
            node: part.node.clone(),
            started_ms: part.started_ms,
            age_s: now_s.saturating_sub(part.at_s),
        });
        let nodes = nodes.collect();
        let mut sums: BTreeMap<(CustomerId, ClassName), Sum> = BTreeMap::new();
        for part in newest {
            // Latencies are kept for an hour, so those of a part that is older say nothing about the last hour.
            let fresh = part.at_s + Window::Hour1.length() >= now_s;
            for row in part.rows {
                let sum = sums.entry((row.customer.clone(), row.class.clone())).or_default();
                sum.add(row, fresh);
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

/// Gives the newest part of each process.
fn newest(parts: Vec<Part>) -> Vec<Part> {
    let mut newest: BTreeMap<(NodeId, u64), Part> = BTreeMap::new();
    for part in parts {
        let key = (part.node.clone(), part.started_ms);
        if newest.get(&key).is_none_or(|known| known.at_s < part.at_s) {
            newest.insert(key, part);
        }
    }
    newest.into_values().collect()
}

impl Sum {
    fn add(&mut self, row: ClassCounts, fresh: bool) {
        for (window, buckets) in self.windows.iter_mut().zip(row.rings) {
            for bucket in buckets {
                window.entry(bucket.at_s).or_default().push(bucket);
            }
        }
        if fresh {
            self.first.extend(row.first_ms);
            self.whole.extend(row.whole_ms);
        }
    }

    fn row(self, customer: CustomerId, class: ClassName, now_s: u64) -> ReportRow {
        let windows: Vec<WindowBurn> = Window::ALL
            .iter()
            .zip(&self.windows)
            .map(|(window, buckets)| burn(*window, buckets, now_s))
            .collect();
        let rate = |window: usize| windows[window].burn;
        let budget_left = 1.0 - rate(3);
        let alert = if rate(0) >= FAST && rate(1) >= FAST {
            Alert::ActNow
        } else if rate(1) >= SLOW && rate(2) >= SLOW {
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
            first_token_ms: quantiles(&self.first),
            whole_answer_ms: quantiles(&self.whole),
        }
    }
}

fn burn(window: Window, buckets: &BTreeMap<u64, Vec<Bucket>>, now_s: u64) -> WindowBurn {
    let since = now_s.saturating_sub(window.length());
    let counted = buckets.range(since..).flat_map(|(_, same)| same);
    let (mut good, mut limited) = (0, 0);
    let mut causes: Vec<CauseCount> = Vec::new();
    for bucket in counted {
        good += bucket.good;
        limited += bucket.limited;
        for bad in &bucket.bad {
            match causes
                .iter_mut()
                .find(|known| known.cause == bad.cause && known.host == bad.host)
            {
                Some(known) => known.count += bad.count,
                None => causes.push(CauseCount {
                    cause: bad.cause,
                    host: bad.host.clone(),
                    zone: bad.zone.clone(),
                    count: bad.count,
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
    let part = missed as f64 / (requests as f64).max(1.0);
    WindowBurn {
        window,
        requests,
        missed,
        limited,
        burn: part / (1.0 - OBJECTIVE),
        causes,
    }
}

fn quantiles(counts: &[(u64, u64)]) -> Option<Quantiles> {
    let mut all = histogram();
    for (value, count) in counts {
        let count = u32::try_from(*count).unwrap_or(u32::MAX);
        all.saturating_record_n(*value, count);
    }
    (!all.is_empty()).then(|| Quantiles {
        p50: all.value_at_quantile(0.5),
        p95: all.value_at_quantile(0.95),
    })
}
