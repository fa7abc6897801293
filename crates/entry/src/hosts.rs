//! The lives of the hosts under the upstreams: which take new work, and until when the others last.
//!
//! Signs come from capacity, from the cloud API itself and from connections that are refused, so that the entry host
//! stands on its own when one of them is cut off.

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

use crate::{Entry, drain};

/// Longest time from a notice at the cloud API until no new work goes to its host.
pub const BOUND: Duration = Duration::from_secs(2);
/// Pause between two looks at the cloud API.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Longest wait for the cloud API.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Looks between two times of forgetting hosts.
const FORGET: u64 = 240;
const _: () = assert!(CHECK_INTERVAL.as_millis() + TIMEOUT.as_millis() < BOUND.as_millis());

/// The lives of all hosts that signs have told about.
#[derive(Debug, Default)]
pub struct Hosts {
    lives: Mutex<HostStates>,
}

impl Hosts {
    /// Takes in what another process or the cloud told; gives whether the host began to leave by it.
    pub fn hear(&self, sign: &HostSignal, now: Tick) -> bool {
        let life = self.take(&sign.host, sign.incarnation, from_wire(sign.sign), now);
        matches!(life, Some(AnyHostState::Leaving(_)))
    }

    /// Notes that an upstream on a host answered.
    pub fn answered(&self, host: &HostSpec, now: Tick) {
        self.take(&host.id, host.incarnation, HostEvent::Answered, now);
    }

    /// Notes that a call to an upstream on a host failed; only a connection that didn't stand tells about the host.
    pub fn failed(&self, host: &HostSpec, error: &UpstreamError, now: Tick) {
        if !error.connected {
            self.take(&host.id, host.incarnation, HostEvent::Refused, now);
        }
    }

    /// Tells whether new work may go to a host.
    #[must_use]
    pub fn takes_work(&self, host: &HostSpec) -> bool {
        self.lives.lock().takes_work(&host.id, host.incarnation)
    }

    /// Gives the stage of a host.
    #[must_use]
    pub fn stage(&self, host: &HostSpec) -> AnyHostState {
        self.lives.lock().stage(&host.id, host.incarnation)
    }

    /// Tells whether any host has an announced end that is still to come or has just passed.
    #[must_use]
    pub fn any_ends(&self, now: Tick) -> bool {
        let lives = self.lives.lock();
        let ends = |life: &AnyHostState| match life {
            AnyHostState::Leaving(life) => life.gone_at().is_some_and(|at| now.since(at) < BOUND),
            _ => false,
        };
        lives.iter().any(|(_, life)| ends(life))
    }

    /// Gives every host that signs have told about, with incarnation and stage.
    #[must_use]
    pub fn list(&self) -> Vec<(HostId, u64, String)> {
        let lives = self.lives.lock();
        let rows = lives
            .iter()
            .map(|(host, life)| (host.clone(), life.incarnation(), life.to_string()));
        rows.collect()
    }

    fn take(&self, host: &HostId, incarnation: u64, sign: HostEvent, now: Tick) -> Option<AnyHostState> {
        let life = self.lives.lock().apply_event(host, incarnation, sign, now)?;
        counter!("gentian_host_stages_total", "stage" => life.to_string()).increment(1);
        Some(life)
    }

    /// Forgets hosts that are in no configuration and need no memory of their end.
    fn forget(&self, known: &HashSet<&HostId>, now: Tick) {
        const MEMORY: Duration = Duration::from_hours(1);
        let fresh = |life: &AnyHostState| match life {
            AnyHostState::Leaving(life) => life.gone_at().is_none_or(|at| now.since(at) < MEMORY),
            _ => false,
        };
        self.lives
            .lock()
            .retain(|host, life| known.contains(host) || fresh(life));
    }
}

/// Reads notices from the cloud API until told to stop.
pub fn watch(entry: &Entry) {
    let clients = entry.settings.cloud.iter().map(|peer| CloudClient::new(*peer, TIMEOUT));
    let clients: Vec<CloudClient> = clients.collect();
    let mut looks: u64 = 0;
    while !entry.stop.load(Ordering::Relaxed) {
        if !clients.is_empty() {
            // One address a look, so that one that doesn't answer never delays the others beyond the bound.
            look(entry, &clients[looks as usize % clients.len()]);
        }
        let view = entry.current.view();
        for (host, incarnation) in &view.config.drains {
            let sign = HostEvent::Leaves { left: None };
            entry.fleet.hosts.take(host, *incarnation, sign, entry.clock.now());
        }
        if looks.is_multiple_of(FORGET) {
            let known = view.config.upstreams.values().map(|spec| &spec.host.id).collect();
            entry.fleet.hosts.forget(&known, entry.clock.now());
        }
        looks += 1;
        std::thread::sleep(CHECK_INTERVAL);
    }
}

fn look(entry: &Entry, cloud: &CloudClient) {
    let Ok(notices) = cloud.notices() else {
        counter!("gentian_cloud_failures_total").increment(1);
        return;
    };
    let now = entry.clock.now();
    for notice in notices {
        let sign = from_notice(notice);
        entry.fleet.sign(&sign, now);
        drain::hear(entry, &sign);
    }
}

fn from_notice(notice: ReclaimNotice) -> HostSignal {
    HostSignal {
        host: notice.host,
        incarnation: notice.incarnation,
        sign: wire_entry::Sign::Notice {
            left_ms: notice.left_ms,
        },
    }
}

const fn from_wire(sign: wire_entry::Sign) -> HostEvent {
    match sign {
        wire_entry::Sign::Notice { left_ms } => HostEvent::Leaves {
            left: Some(Duration::from_millis(left_ms)),
        },
        wire_entry::Sign::Leaving | wire_entry::Sign::Drain => HostEvent::Leaves { left: None },
        wire_entry::Sign::Gone => HostEvent::Gone,
        wire_entry::Sign::Serving => HostEvent::Answered,
    }
}
