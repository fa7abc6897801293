//! Prefills that this host has timed, for the other entry hosts.

use std::collections::VecDeque;

use metrics::counter;
use wire::registry::{PrefillSample, PrefillSamples};

/// Samples that a heartbeat tells: those of the interval between two heartbeats of a busy host, and some that a lost one
/// may have told.
const MAX_TOLD: usize = 8;
/// Longest time to first event that teaches anything, in milliseconds; a longer one is a fault of the sender.
const MAX_SAMPLE_MS: f64 = 60_000.0;

/// The newest prefills timed on this host.
#[derive(Debug, Default)]
pub(crate) struct OwnPrefills {
    newest: VecDeque<PrefillSample>,
    next: u64,
}

impl OwnPrefills {
    /// Adds a sample.
    pub(crate) fn record(&mut self, sample: PrefillSample) {
        if self.newest.len() >= MAX_TOLD {
            self.newest.pop_front();
        }
        self.newest.push_back(sample);
        self.next += 1;
    }

    /// Returns the newest samples.
    pub(crate) fn newest(&self) -> PrefillSamples {
        PrefillSamples {
            next: self.next,
            samples: self.newest.iter().cloned().collect(),
        }
    }
}

/// Returns whether a sample of another host can be true; counts those that can't.
pub(crate) fn is_plausible(sample: &PrefillSample) -> bool {
    let is_time = sample.ms.is_finite() && sample.ms > 0.0 && sample.ms <= MAX_SAMPLE_MS;
    let plausible = is_time && sample.pace.is_finite() && sample.pace > 0.0;
    if !plausible {
        counter!("gentian_gateway_prefill_samples_ignored_total").increment(1);
    }
    plausible
}
