//! Place of a request in the order, from what its route, account and caller say.

use std::time::Duration;

use contract::{ClientAccount, CustomerId, RetryMode, Route};
use policy::Tick;
use policy::fair::Ticket;

/// Customer of requests without an account.
const PUBLIC: &str = "public";
/// Tokens of prefill that take as long as one token of output.
const OUTPUT_WEIGHT: f64 = 10.0;
/// Most work that one request counts as, in tokens. A caller may state any number, and a queue that has charged it could
/// no longer tell ordinary requests apart.
const MAX_TOKENS: f64 = 1e7;
/// Least urgent priority; larger numbers are capped.
const MAX_PRIORITY: u8 = 9;
/// Callers leave a stream that has no first event after the longest of this time, some targets and some pauses.
const MIN_FIRST_WAIT: Duration = Duration::from_secs(2);
/// Targets for the first event after which callers leave.
const FIRST_WAIT_TARGETS: u64 = 4;
/// Longest pauses after which callers leave.
const FIRST_WAIT_PAUSES: u64 = 8;

/// What the place of a request in the order depends on.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// Account of the caller; `None` on public routes.
    pub account: Option<&'a ClientAccount>,
    /// Route of the request.
    pub route: &'a Route,
    /// Prompt tokens that no upstream has cached.
    pub fresh: u64,
    /// Most tokens of the output; `None` for a call without a prompt.
    pub max_output: Option<u64>,
    /// Predicted time from the start to the first event, in milliseconds.
    pub first_ms: f64,
    /// When the request arrived.
    pub arrived: Tick,
    /// Time that has passed since the caller's first try.
    pub passed: Duration,
    /// When the final response is due.
    pub deadline: Tick,
    /// Bytes that the request holds.
    pub bytes: usize,
}

impl Arrival<'_> {
    /// Returns when the caller leaves if nothing has arrived.
    #[must_use]
    pub fn leaves_at(&self) -> Tick {
        if !matches!(self.route.repeat, RetryMode::Stream | RetryMode::ResumableStream) {
            return self.deadline;
        }
        let targets = Duration::from_millis(self.route.target_ms.saturating_mul(FIRST_WAIT_TARGETS));
        let pauses = Duration::from_millis(self.route.pause_ms.saturating_mul(FIRST_WAIT_PAUSES));
        let longest = MIN_FIRST_WAIT.max(targets).max(pauses);
        self.deadline.min(self.arrived + longest)
    }

    /// Returns the predicted time from the start to the first event.
    #[must_use]
    pub fn first(&self) -> Duration {
        Duration::try_from_secs_f64(self.first_ms / 1_000.0).unwrap_or_default()
    }

    /// Returns the priority of a request; its account's goes before its route's.
    #[must_use]
    pub fn capped_priority(account: Option<&ClientAccount>, route: &Route) -> u8 {
        let priority = account.and_then(|account| account.priority);
        priority.unwrap_or(route.priority).min(MAX_PRIORITY)
    }

    /// Returns the place in the order.
    #[must_use]
    pub fn ticket(&self) -> Ticket {
        let account = self.account;
        let quota = account.and_then(|account| account.quota);
        let latest_start = self.leaves_at() - self.first();
        let target = Duration::from_millis(self.route.target_ms);
        let target_start = (self.arrived + target) - self.passed - self.first();
        Ticket {
            id: 0,
            customer: CustomerId::from(account.map_or(PUBLIC, |account| account.name.as_str())),
            weight: quota.map_or(1, |quota| quota.per_s.max(1.0) as u32),
            tokens: Self::work_of(self.fresh, self.max_output),
            latest_start,
            shed_order: 0,
            priority: Self::capped_priority(account, self.route),
            target_start: target_start.min(latest_start),
            bytes: self.bytes,
        }
    }

    /// Returns the work of a request, in tokens of prefill.
    #[must_use]
    pub fn work_of(fresh: u64, max_output: Option<u64>) -> f64 {
        let output = max_output.map(|tokens| tokens as f64 * OUTPUT_WEIGHT);
        output.map_or(1.0, |output| (fresh as f64 + output).clamp(1.0, MAX_TOKENS))
    }
}
