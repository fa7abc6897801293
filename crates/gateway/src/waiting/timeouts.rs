//! The longest timeouts that callers have lately set, by route, from which a retry is recognised.

use std::collections::HashMap;
use std::time::Duration;

use policy::Tick;

/// Time for which a timeout counts; two of these, as the window before counts too. Longer than a caller takes to retry.
const WINDOW: Duration = Duration::from_secs(10);
/// Difference of timeouts that callers of one kind may have without a retry, such as the time of a new connection.
const MAX_JITTER: Duration = Duration::from_millis(50);
/// Most routes that are remembered; beyond it, those that were not used lately are forgotten first.
const MAX_ROUTES: usize = 1_024;

/// Longest timeouts by route.
#[derive(Debug, Default)]
pub(crate) struct RecentTimeouts {
    routes: HashMap<String, Longest>,
}

#[derive(Debug)]
struct Longest {
    since: Tick,
    now: Duration,
    before: Duration,
}

impl RecentTimeouts {
    /// Records a caller's timeout. Returns the time that has passed since its first try, as far as a shorter timeout than
    /// the longest of the route shows. Refused callers return within a third of their time, so a timeout shorter than half
    /// of the longest belongs to callers of another kind, who would otherwise count as late with each request.
    pub(crate) fn record(&mut self, route: &str, timeout: Duration, now: Tick) -> Duration {
        let Some(longest) = self.routes.get_mut(route) else {
            self.insert(route, timeout, now);
            return Duration::ZERO;
        };
        let age = now.since(longest.since);
        if age >= WINDOW {
            longest.before = if age < WINDOW * 2 { longest.now } else { Duration::ZERO };
            longest.now = Duration::ZERO;
            longest.since = now;
        }
        longest.now = longest.now.max(timeout);
        let longest = longest.now.max(longest.before);
        let passed = longest.saturating_sub(timeout);
        if (MAX_JITTER..=longest / 2).contains(&passed) {
            passed
        } else {
            Duration::ZERO
        }
    }

    fn insert(&mut self, route: &str, timeout: Duration, now: Tick) {
        if self.routes.len() >= MAX_ROUTES {
            self.routes.retain(|_, longest| now.since(longest.since) < WINDOW * 2);
        }
        if self.routes.len() >= MAX_ROUTES {
            return;
        }
        let longest = Longest {
            since: now,
            now: timeout,
            before: Duration::ZERO,
        };
        self.routes.insert(route.to_owned(), longest);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against retries that count as new requests, and against new requests that count as retries for ever after a
    /// single long timeout.
    #[test]
    fn shorter_timeout() {
        let mut timeouts = RecentTimeouts::default();
        let mut record = |timeout_ms, at_ms| {
            let passed = timeouts.record("r", Duration::from_millis(timeout_ms), Tick::from_millis(at_ms));
            passed.as_millis()
        };
        assert_eq!(record(12_000, 0), 0);
        assert_eq!(record(11_980, 10), 0, "callers differ by some milliseconds");
        assert_eq!(record(9_000, 500), 3_000);
        assert_eq!(record(9_000, 10_500), 3_000, "the window before counts");
        assert_eq!(record(9_000, 20_600), 0, "the long timeout is forgotten");
        assert_eq!(record(2_000, 20_700), 0, "another kind of caller");
    }
}
