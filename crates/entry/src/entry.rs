//! The state that the threads of an entry host share.

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

/// Timeout of connecting to an upstream.
const CONNECT: Duration = Duration::from_secs(1);
/// Retries that each successful first attempt adds to the budget.
const RETRY_SHARE: f64 = 0.2;

/// The shared state of an entry host.
#[derive(Debug)]
pub struct Entry {
    /// Validated settings.
    pub settings: Settings,
    /// Monotonic clock that all ticks come from.
    pub clock: Clock,
    /// Root logger.
    pub logger: Logger,
    /// The active configuration.
    pub current: Arc<Current>,
    /// Admission control of requests.
    pub admission: Admission,
    /// Runtime state of the upstreams.
    pub fleet: Fleet,
    /// The entry hosts that are live, set by the digest exchange.
    pub live: ArcSwap<Live>,
    /// Answers by request id, open and recently ended.
    pub journals: Journals,
    /// Counts for the burn report.
    pub burn: RequestCounters,
    /// Client of the state group.
    pub state: StateClient,
    /// Client for the KV cache transfer of engines.
    pub engines: EngineClient,
    /// Clients of the other entry hosts.
    pub peers: Peers,
    /// Counters of callers' connections and requests.
    pub callers: Shared,
    /// Running attempts that may have to move off a leaving host.
    pub rescue: Rescue,
    /// Retry budget of all requests.
    pub retries: Mutex<RetryBudget>,
    /// Client of plain services.
    pub services: ServiceClient,
    /// Whether this host is leaving. Readiness is then false, but requests are served until the load balancer has
    /// noticed.
    pub leaving: AtomicBool,
    /// Whether new requests are refused.
    pub refusing: AtomicBool,
    going: Mutex<Option<Going>>,
    /// Whether a life-cycle event of this host asks the process to leave.
    pub told: AtomicBool,
    /// Whether all threads must exit.
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
    /// Creates the shared state.
    ///
    /// # Errors
    /// Fails if no client can be created for an address of the state group or of a peer.
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

    /// Records that this host will be gone after `left`; an earlier end replaces a later one.
    pub fn will_go(&self, left: Duration) {
        let noticed = self.clock.now();
        let gone = noticed + left;
        let mut going = self.going.lock();
        if going.is_none_or(|known| gone < known.gone) {
            *going = Some(Going { noticed, gone });
        }
    }

    /// Returns the announced end of this host, if there is one.
    pub fn gone_at(&self) -> Option<Tick> {
        self.going.lock().map(|going| going.gone)
    }

    /// Returns when the end of this host was announced; without an announcement, the current time.
    pub fn noticed_at(&self) -> Tick {
        self.going
            .lock()
            .map_or_else(|| self.clock.now(), |going| going.noticed)
    }

    /// Returns whether all threads must exit.
    #[must_use]
    pub fn stopping(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Returns whether this host is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Returns a number that distinguishes this process from earlier ones of the same name; it only grows.
    #[must_use]
    pub const fn incarnation(&self) -> u64 {
        self.started_ms
    }

    /// Creates a request id that no other entry host and no earlier process of this one has used.
    pub fn request_id(&self) -> RequestId {
        let count = self.requests.fetch_add(1, Ordering::Relaxed);
        RequestId::from(format!("{}-{:x}-{count}", self.settings.node, self.started_ms))
    }
}
