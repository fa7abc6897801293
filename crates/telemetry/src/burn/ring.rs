//! Request counters over time windows; longer windows have longer buckets.

use std::collections::VecDeque;

use contract::{HostId, Zone};
use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::Cause;

/// Most pairs of cause and host in one bucket; misses of further hosts are counted without a host name.
pub const MAX_MISS_ROWS: usize = 32;

/// A time window of the report, and how it is divided into buckets.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Window {
    /// 5 minutes, in buckets of 10 s.
    #[display("5 min")]
    #[serde(rename = "5m")]
    Minutes5,
    /// 1 hour, in buckets of a minute.
    #[display("1 h")]
    #[serde(rename = "1h")]
    Hour1,
    /// 6 hours, in buckets of 6 minutes.
    #[display("6 h")]
    #[serde(rename = "6h")]
    Hours6,
    /// 3 days, in buckets of an hour.
    #[display("3 d")]
    #[serde(rename = "3d")]
    Days3,
}

impl Window {
    /// Every window, the shortest first.
    pub const ALL: [Self; 4] = [Self::Minutes5, Self::Hour1, Self::Hours6, Self::Days3];

    /// Returns the length of the window in seconds.
    #[must_use]
    pub const fn length_s(self) -> u64 {
        match self {
            Self::Minutes5 => 300,
            Self::Hour1 => 3_600,
            Self::Hours6 => 21_600,
            Self::Days3 => 259_200,
        }
    }

    /// Returns the length of its buckets in seconds.
    #[must_use]
    pub const fn bucket_s(self) -> u64 {
        match self {
            Self::Minutes5 => 10,
            Self::Hour1 => 60,
            Self::Hours6 => 360,
            Self::Days3 => 3_600,
        }
    }
}

/// Counts of the requests that ended within one bucket of a window.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bucket {
    /// Start in seconds since 1970; a multiple of [`Window::bucket_s`].
    pub at_s: u64,
    /// Requests that met their targets.
    pub good: u64,
    /// Requests rejected by the customer's own limit.
    pub limited: u64,
    /// Requests that missed their targets, by cause and host.
    pub bad: Vec<MissCount>,
}

/// Number of misses of one cause on one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MissCount {
    /// Cause of the misses.
    pub cause: Cause,
    /// Host to which the misses are attributed, if there is one.
    pub host: Option<HostId>,
    /// Zone of the host.
    pub zone: Option<Zone>,
    /// Number of misses.
    pub count: u64,
}

impl Bucket {
    /// Counts a missed target.
    pub fn count_miss(&mut self, cause: Cause, host: Option<(&HostId, &Zone)>) {
        let same = |bad: &&mut MissCount| bad.cause == cause && bad.host.as_ref() == host.map(|(host, _)| host);
        if let Some(bad) = self.bad.iter_mut().find(same) {
            bad.count += 1;
            return;
        }
        // The cloud can reclaim many hosts at once. Host names beyond the limit are dropped; the misses still count.
        let host = host.filter(|_| self.bad.len() < MAX_MISS_ROWS);
        if host.is_none()
            && let Some(bad) = self.bad.iter_mut().find(|bad| bad.cause == cause && bad.host.is_none())
        {
            bad.count += 1;
            return;
        }
        self.bad.push(MissCount {
            cause,
            host: host.map(|(host, _)| host.clone()),
            zone: host.map(|(_, zone)| zone.clone()),
            count: 1,
        });
    }
}

/// The buckets of one window, oldest first; buckets outside the window are dropped.
#[derive(Clone, Debug)]
pub(super) struct Ring {
    window: Window,
    buckets: VecDeque<Bucket>,
}

impl Ring {
    pub(super) const fn new(window: Window) -> Self {
        Self {
            window,
            buckets: VecDeque::new(),
        }
    }

    /// Returns the bucket for a time; if the clock has gone back, the newest one.
    pub(super) fn bucket(&mut self, now_s: u64) -> &mut Bucket {
        let at_s = now_s - now_s % self.window.bucket_s();
        if self.buckets.back().is_none_or(|last| last.at_s < at_s) {
            self.buckets.push_back(Bucket {
                at_s,
                ..Bucket::default()
            });
        }
        while self
            .buckets
            .front()
            .is_some_and(|first| first.at_s + self.window.length_s() < at_s)
        {
            self.buckets.pop_front();
        }
        self.buckets.back_mut().expect("a bucket was added if there was none")
    }

    pub(super) fn buckets(&self) -> Vec<Bucket> {
        self.buckets.iter().cloned().collect()
    }
}
