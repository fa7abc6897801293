//! The state that the threads of an entry host share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use contract::RequestId;
use inbound::intake::SharedIntake;
use parking_lot::Mutex;
use policy::Tick;
use policy::budget::RetryBudget;
use policy::intake::IntakeBounds;
use policy::route::RoutingRules;
use slog::Logger;
use telemetry::Clock;
use telemetry::burn::RequestCounters;
use telemetry::clock::wall_ms;
use upstream::engine::EngineClient;
use upstream::service::ServiceClient;
use wire::client::{CallError, RpcRuntime, StateClient};

use crate::active_config::{ActiveConfig, ConfigView};
use crate::admission::Admission;
use crate::callers::RequestCounts;
use crate::exchange::LiveHosts;
use crate::journal::Journals;
use crate::peers::PeerClients;
use crate::rescue::StreamRescue;
use crate::settings::Settings;
use crate::upstreams::Upstreams;

/// Timeout of connecting to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Retries that each successful first attempt adds to the budget.
const RETRIES_PER_SUCCESS: f64 = 0.2;

/// The shared state of an entry host.
#[derive(Debug)]
pub struct EntryHost {
    /// Validated settings.
    pub settings: Settings,
    /// Monotonic clock that all ticks come from.
    pub clock: Clock,
    /// Root logger.
    pub logger: Logger,
    /// The active configuration.
    pub config: Arc<ActiveConfig>,
    /// Admission control of requests.
    pub admission: Admission,
    /// Runtime state of the upstreams.
    pub upstreams: Upstreams,
    /// The entry hosts that are live, set by the digest exchange.
    pub live_hosts: ArcSwap<LiveHosts>,
    /// Answers by request id, open and recently ended.
    pub journals: Journals,
    /// Counts for the burn report.
    pub burn_counts: RequestCounters,
    /// Client of the state group.
    pub state_client: StateClient,
    /// Client for the KV cache transfer of engines.
    pub engine_client: EngineClient,
    /// Clients of the other entry hosts.
    pub peers: PeerClients,
    /// Counters of callers' connections and requests.
    pub request_counts: RequestCounts,
    /// What the connections of callers hold.
    pub intake: SharedIntake,
    /// Running attempts that may have to move off a leaving host.
    pub rescue: StreamRescue,
    /// Retry budget of all requests.
    pub retry_budget: Mutex<RetryBudget>,
    /// Client of plain services.
    pub service_client: ServiceClient,
    /// Whether this host is leaving. Readiness is then false, but requests are served until the load balancer has
    /// noticed.
    pub leaving: AtomicBool,
    /// Whether new requests are refused.
    pub refusing: AtomicBool,
    announced_end: Mutex<Option<AnnouncedEnd>>,
    /// Whether a signal about this host asks the process to leave.
    pub leave_requested: AtomicBool,
    /// Whether all threads must exit.
    pub stop: AtomicBool,
    started_ms: u64,
    next_request: AtomicU64,
}

/// The announced end of this host.
#[derive(Clone, Copy, Debug)]
struct AnnouncedEnd {
    noticed_at: Tick,
    gone_at: Tick,
}

impl EntryHost {
    /// Creates the shared state.
    ///
    /// # Errors
    /// Fails if no client can be created for an address of the state group or of a peer.
    pub fn new(settings: Settings, logger: Logger, calls: &RpcRuntime) -> Result<Self, CallError> {
        let clock = Clock::start();
        let state_client = StateClient::new(calls, &settings.node, &settings.state)?;
        let rules = RoutingRules {
            routing: settings.routing,
            without: settings.without.clone(),
        };
        let upstreams = Upstreams::new(clock.clone(), rules, settings.data_center.clone());
        let admission = Admission::new(clock.clone(), settings.running, settings.waiting);
        let others = settings.peers.iter().filter(|peer| **peer != settings.inner);
        admission.apply_config(&ConfigView::default(), others.count() as u32 + 1, 0);
        let live = LiveHosts::new(&settings.data_center, &settings.node);
        let bounds = IntakeBounds::of_bytes(settings.intake, settings.connections);
        let intake = SharedIntake::new("callers", bounds, clock.clone(), logger.clone());
        Ok(Self {
            admission,
            live_hosts: ArcSwap::from_pointee(live),
            clock,
            logger,
            config: Arc::default(),
            upstreams,
            journals: Journals::default(),
            burn_counts: RequestCounters::default(),
            state_client,
            engine_client: EngineClient::new(CONNECT_TIMEOUT),
            peers: PeerClients::new(calls, &settings.node, &settings.peers)?,
            request_counts: RequestCounts::default(),
            intake,
            rescue: StreamRescue::default(),
            retry_budget: Mutex::new(RetryBudget::new(RETRIES_PER_SUCCESS)),
            service_client: ServiceClient::new(CONNECT_TIMEOUT),
            leaving: AtomicBool::new(false),
            refusing: AtomicBool::new(false),
            announced_end: Mutex::new(None),
            settings,
            leave_requested: AtomicBool::new(false),
            stop: AtomicBool::new(false),
            started_ms: wall_ms(),
            next_request: AtomicU64::new(0),
        })
    }

    /// Records that this host will be gone after `left`; an earlier end replaces a later one.
    pub fn announce_end(&self, left: Duration) {
        let noticed_at = self.clock.now();
        let gone_at = noticed_at + left;
        let mut announced = self.announced_end.lock();
        if announced.is_none_or(|known| gone_at < known.gone_at) {
            *announced = Some(AnnouncedEnd { noticed_at, gone_at });
        }
    }

    /// Returns the announced end of this host, if there is one.
    pub fn gone_at(&self) -> Option<Tick> {
        self.announced_end.lock().map(|announced| announced.gone_at)
    }

    /// Returns when the end of this host was announced; without an announcement, the current time.
    pub fn noticed_at(&self) -> Tick {
        self.announced_end
            .lock()
            .map_or_else(|| self.clock.now(), |announced| announced.noticed_at)
    }

    /// Returns whether all threads must exit.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
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
    pub fn new_request_id(&self) -> RequestId {
        let count = self.next_request.fetch_add(1, Ordering::Relaxed);
        RequestId::from(format!("{}-{:x}-{count}", self.settings.node, self.started_ms))
    }
}
