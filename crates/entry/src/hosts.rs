//! Life-cycle state of the upstreams' hosts: which take new work, and when the others will be gone.
//!
//! Signals come from the capacity process, from the cloud API and from refused connections, so that an entry host still
//! learns of a reclaim when one of these sources is cut off.

use std::collections::HashSet;
use std::sync::atomic::Ordering;
use std::time::Duration;

use contract::{HostId, HostSpec};
use metrics::counter;
use parking_lot::Mutex;
use policy::Tick;
use policy::life::{AnyHostState, HostEvent, HostStates};
use upstream::UpstreamError;
use upstream::cloud::{CloudClient, ReclaimNotice};
use wire::entry::{self as wire_entry, HostSignal};

use crate::{EntryHost, drain};

/// Longest time from a reclaim notice at the cloud API until no new work is sent to the host.
pub const MAX_NOTICE_DELAY: Duration = Duration::from_secs(2);
/// Pause between two requests to the cloud API.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a request to the cloud API.
const CLOUD_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of requests to the cloud API between two removals of old hosts.
const POLLS_PER_CLEANUP: u64 = 240;
const _: () = assert!(POLL_INTERVAL.as_millis() + CLOUD_TIMEOUT.as_millis() < MAX_NOTICE_DELAY.as_millis());

/// The state of all hosts for which a signal or a connection result was seen.
#[derive(Debug, Default)]
pub struct HostTracker {
    states: Mutex<HostStates>,
}

impl HostTracker {
    /// Applies a signal from another process or from the cloud API; returns whether it made the host start to leave.
    pub fn apply_signal(&self, signal: &HostSignal, now: Tick) -> bool {
        let state = self.apply_event(&signal.host, signal.incarnation, signal_event(signal.sign), now);
        matches!(state, Some(AnyHostState::Leaving(_)))
    }

    /// Records that an upstream on a host responded.
    pub fn record_response(&self, host: &HostSpec, now: Tick) {
        self.apply_event(&host.id, host.incarnation, HostEvent::Answered, now);
    }

    /// Records that a call to an upstream on a host failed. Only a failure to connect says anything about the host.
    pub fn record_failure(&self, host: &HostSpec, error: &UpstreamError, now: Tick) {
        if !error.connected {
            self.apply_event(&host.id, host.incarnation, HostEvent::Refused, now);
        }
    }

    /// Returns whether new work may be sent to a host.
    #[must_use]
    pub fn takes_work(&self, host: &HostSpec) -> bool {
        self.states.lock().accepts_work(&host.id, host.incarnation)
    }

    /// Returns the life-cycle stage of a host.
    #[must_use]
    pub fn state(&self, host: &HostSpec) -> AnyHostState {
        self.states.lock().state(&host.id, host.incarnation)
    }

    /// Returns whether any host has an announced end that is in the future or passed less than [`MAX_NOTICE_DELAY`]
    /// ago.
    #[must_use]
    pub fn any_ending(&self, now: Tick) -> bool {
        let states = self.states.lock();
        let ends = |state: &AnyHostState| match state {
            AnyHostState::Leaving(state) => state.gone_at().is_some_and(|at| now.since(at) < MAX_NOTICE_DELAY),
            _ => false,
        };
        states.iter().any(|(_, state)| ends(state))
    }

    /// Returns name, incarnation and stage of every host that is tracked.
    #[must_use]
    pub fn list(&self) -> Vec<(HostId, u64, String)> {
        let states = self.states.lock();
        let rows = states
            .iter()
            .map(|(host, state)| (host.clone(), state.incarnation(), state.to_string()));
        rows.collect()
    }

    fn apply_event(&self, host: &HostId, incarnation: u64, event: HostEvent, now: Tick) -> Option<AnyHostState> {
        let state = self.states.lock().apply_event(host, incarnation, event, now)?;
        counter!("gentian_host_stages_total", "stage" => state.to_string()).increment(1);
        Some(state)
    }

    /// Removes hosts that are in no configuration and whose end is long past.
    fn remove_old(&self, known: &HashSet<&HostId>, now: Tick) {
        const ENDED_HOST_AGE: Duration = Duration::from_hours(1);
        let recent = |state: &AnyHostState| match state {
            AnyHostState::Leaving(state) => state.gone_at().is_none_or(|at| now.since(at) < ENDED_HOST_AGE),
            _ => false,
        };
        self.states
            .lock()
            .retain(|host, state| known.contains(host) || recent(state));
    }
}

/// Reads reclaim notices from the cloud API and drains from the configuration until the process stops.
pub fn watch_hosts(entry: &EntryHost) {
    let clients = entry
        .settings
        .cloud
        .iter()
        .map(|peer| CloudClient::new(*peer, CLOUD_TIMEOUT));
    let clients: Vec<CloudClient> = clients.collect();
    let mut polls: u64 = 0;
    while !entry.stop.load(Ordering::Relaxed) {
        if !clients.is_empty() {
            // One address per iteration, so that one that doesn't respond can't delay the others beyond the bound.
            poll_cloud(entry, &clients[polls as usize % clients.len()]);
        }
        let view = entry.config.view();
        for (host, incarnation) in &view.config.drains {
            let event = HostEvent::Leaves { left: None };
            entry
                .upstreams
                .hosts
                .apply_event(host, *incarnation, event, entry.clock.now());
        }
        if polls.is_multiple_of(POLLS_PER_CLEANUP) {
            let known = view.config.upstreams.values().map(|spec| &spec.host.id).collect();
            entry.upstreams.hosts.remove_old(&known, entry.clock.now());
        }
        polls += 1;
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn poll_cloud(entry: &EntryHost, cloud: &CloudClient) {
    let Ok(notices) = cloud.notices() else {
        counter!("gentian_cloud_failures_total").increment(1);
        return;
    };
    let now = entry.clock.now();
    for notice in notices {
        let signal = notice_signal(notice);
        entry.upstreams.apply_signal(&signal, now);
        drain::handle_signal(entry, &signal);
    }
}

fn notice_signal(notice: ReclaimNotice) -> HostSignal {
    HostSignal {
        host: notice.host,
        incarnation: notice.incarnation,
        sign: wire_entry::HostSignalKind::Notice {
            left_ms: notice.left_ms,
        },
    }
}

const fn signal_event(signal: wire_entry::HostSignalKind) -> HostEvent {
    match signal {
        wire_entry::HostSignalKind::Notice { left_ms } => HostEvent::Leaves {
            left: Some(Duration::from_millis(left_ms)),
        },
        wire_entry::HostSignalKind::Leaving | wire_entry::HostSignalKind::Drain => HostEvent::Leaves { left: None },
        wire_entry::HostSignalKind::Gone => HostEvent::Gone,
        wire_entry::HostSignalKind::Serving => HostEvent::Answered,
    }
}
