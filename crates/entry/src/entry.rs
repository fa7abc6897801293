//! Everything that the threads of an entry host share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use contract::RequestId;
use parking_lot::Mutex;
use policy::Tick;
use policy::budget::RetryBudget;
use policy::route::RoutingRules;
use slog::Logger;
use telemetry::Clock;
use telemetry::burn::RequestCounters;
use telemetry::clock::wall_ms;
use upstream::engine::EngineClient;
use upstream::service::ServiceClient;
use wire::client::{CallError, RpcRuntime, StateClient};

use crate::admission::Admission;
use crate::callers::Shared;
use crate::current::{Current, View};
use crate::exchange::Live;
use crate::fleet::Fleet;
use crate::journal::Journals;
use crate::peers::Peers;
use crate::rescue::Rescue;
use crate::settings::Settings;

/// Longest wait for a connection to an upstream.
const CONNECT: Duration = Duration::from_secs(1);
/// Retries that each first attempt which succeeds pays for.
const RETRY_SHARE: f64 = 0.2;

/// The shared state of an entry host.
#[derive(Debug)]
pub struct Entry {
    /// Checked settings.
    pub settings: Settings,
    /// The clock of the process.
    pub clock: Clock,
    /// The root logger.
    pub logger: Logger,
    /// The configuration in force.
    pub current: Arc<Current>,
    /// Admission of requests.
    pub admission: Admission,
    /// What is known of the upstreams.
    pub fleet: Fleet,
    /// The entry hosts that were heard lately.
    pub live: ArcSwap<Live>,
    /// Streamed answers.
    pub journals: Journals,
    /// What the burn report counts.
    pub burn: RequestCounters,
    /// The state group.
    pub state: StateClient,
    /// Engines.
    pub engines: EngineClient,
    /// The other entry hosts.
    pub peers: Peers,
    /// What the connections of all callers share.
    pub callers: Shared,
    /// Streams that may have to move.
    pub rescue: Rescue,
    /// The budget for retries.
    pub retries: Mutex<RetryBudget>,
    /// Services.
    pub services: ServiceClient,
    /// Whether the host is leaving; the balancer is told, and new work is still taken until it has noticed.
    pub leaving: AtomicBool,
    /// Whether new work is refused.
    pub refusing: AtomicBool,
    going: Mutex<Option<Going>>,
    /// Whether the process was told to leave.
    pub told: AtomicBool,
    /// Whether the threads are to end.
    pub stop: AtomicBool,
    started_ms: u64,
    requests: AtomicU64,
}

/// The announced end of this host.
#[derive(Clone, Copy, Debug)]
struct Going {
    noticed: Tick,
    gone: Tick,
}

impl Entry {
    /// Makes the shared state.
    ///
    /// # Errors
    /// Fails when an address of the state group can't be used.
    pub fn new(settings: Settings, logger: Logger, calls: &RpcRuntime) -> Result<Self, CallError> {
        let clock = Clock::start();
        let state = StateClient::new(calls, &settings.node, &settings.state)?;
        let rules = RoutingRules {
            routing: settings.routing,
            without: settings.without.clone(),
        };
        let fleet = Fleet::new(clock.clone(), rules, settings.data_center.clone());
        let admission = Admission::new(clock.clone(), settings.running, settings.waiting);
        let others = settings.peers.iter().filter(|peer| **peer != settings.inner);
        admission.refresh(&View::default(), others.count() as u32 + 1, 0);
        let live = Live::new(&settings.data_center, &settings.node);
        Ok(Self {
            admission,
            live: ArcSwap::from_pointee(live),
            clock,
            logger,
            current: Arc::default(),
            fleet,
            journals: Journals::default(),
            burn: RequestCounters::default(),
            state,
            engines: EngineClient::new(CONNECT),
            peers: Peers::new(calls, &settings.node, &settings.peers)?,
            callers: Shared::default(),
            rescue: Rescue::default(),
            retries: Mutex::new(RetryBudget::new(RETRY_SHARE)),
            services: ServiceClient::new(CONNECT),
            leaving: AtomicBool::new(false),
            refusing: AtomicBool::new(false),
            going: Mutex::new(None),
            settings,
            told: AtomicBool::new(false),
            stop: AtomicBool::new(false),
            started_ms: wall_ms(),
            requests: AtomicU64::new(0),
        })
    }

    /// Notes that this host will be taken away; an earlier end replaces a later one.
    pub fn will_go(&self, left: Duration) {
        let noticed = self.clock.now();
        let gone = noticed + left;
        let mut going = self.going.lock();
        if going.is_none_or(|known| gone < known.gone) {
            *going = Some(Going { noticed, gone });
        }
    }

    /// Gives the time at which this host will be gone, if that was announced.
    pub fn gone_at(&self) -> Option<Tick> {
        self.going.lock().map(|going| going.gone)
    }

    /// Gives the time at which the end of this host was announced.
    pub fn noticed_at(&self) -> Tick {
        self.going
            .lock()
            .map_or_else(|| self.clock.now(), |going| going.noticed)
    }

    /// Tells whether the threads are to end.
    #[must_use]
    pub fn stopping(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Tells whether the process takes no new work.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Gives a number by which this process is told from earlier ones of the same name.
    #[must_use]
    pub const fn incarnation(&self) -> u64 {
        self.started_ms
    }

    /// Makes a request id that no other entry host and no earlier process of this one has used.
    pub fn request_id(&self) -> RequestId {
        let count = self.requests.fetch_add(1, Ordering::Relaxed);
        RequestId::from(format!("{}-{:x}-{count}", self.settings.node, self.started_ms))
    }
}
