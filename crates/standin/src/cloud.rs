//! The cloud API: prices, starting and stopping hosts, a host list that lags, and reclaim notices.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use argh::FromArgs;
use derive_more::Debug;
use parking_lot::Mutex;
use rouille::{Request, Response};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::cli::{CloudOptions, EngineOptions};
use crate::engine;
use crate::http::{self, Running};

mod pool;

pub use pool::Pool;

/// Size of the thread pool of the server.
const SERVER_THREADS: usize = 16;
/// Time for which a reclaim notice is still listed after its deadline.
const NOTICE_RETENTION: Duration = Duration::from_secs(5);

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Host {
    #[serde(default)]
    id: String,
    /// Distinguishes successive hosts with the same id.
    #[serde(default)]
    incarnation: u64,
    zone: String,
    class: String,
    /// `starting`, `serving` or `leaving`.
    #[serde(default = "serving")]
    stage: String,
    #[serde(default)]
    price: u64,
    /// Address of the engine on the host, if it runs one.
    address: Option<SocketAddr>,
    /// Label set by whoever starts the host, returned unchanged.
    #[serde(default)]
    tag: String,
    /// Idempotency token: a start with the token of a known host returns that host, so that a start whose answer was
    /// lost can be retried.
    #[serde(default, skip_serializing)]
    token: Option<String>,
}

#[derive(Debug, Deserialize)]
struct ReclaimRequest {
    zone: Option<String>,
    host: Option<String>,
    notice_ms: u64,
}

/// Faults injected into the cloud API until others are set.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct CloudFaults {
    /// Every call fails with status 500.
    cut: bool,
    /// Pools in which every start is refused, as ZONE:CLASS.
    refuse: Vec<String>,
}

#[derive(Debug)]
struct Cloud {
    options: CloudOptions,
    hosts: BTreeMap<String, Host>,
    /// When each starting host is ready.
    ready_at: BTreeMap<String, Instant>,
    #[debug(skip)]
    engines: BTreeMap<String, engine::Running>,
    /// Incarnation and deadline of each reclaimed host.
    notices: BTreeMap<String, (u64, Instant)>,
    /// Newest incarnation of each host, gone ones included.
    incarnations: BTreeMap<String, u64>,
    /// Host list as of `listed_at`, answered until it is `lag_ms` old.
    listed: Vec<Host>,
    listed_at: Option<Instant>,
    faults: CloudFaults,
    /// Number of starts refused for lack of capacity.
    refused: u64,
    /// Number of hosts started in a pool.
    started: u64,
}

/// Starts a cloud API on its own threads.
///
/// # Errors
/// Fails when the server can't listen on the address.
pub fn start(options: &CloudOptions) -> anyhow::Result<Running> {
    let cloud = Arc::new(Mutex::new(Cloud::new(options.clone())));
    Running::start(options.listen, SERVER_THREADS, move |request| answer(&cloud, request))
}

/// Serves until the process gets a stop signal.
///
/// # Errors
/// Fails when the server can't listen on the address.
pub fn serve(options: &CloudOptions) -> anyhow::Result<()> {
    http::run_until_stopped(&start(options)?)
}

fn answer(cloud: &Mutex<Cloud>, request: &Request) -> Response {
    let mut cloud = cloud.lock();
    cloud.apply_due();
    let url = request.url();
    if cloud.faults.cut && !url.starts_with("/_standin/") {
        return Response::text("cut off").with_status_code(500);
    }
    match (request.method(), url.as_str()) {
        ("GET", "/v1/hosts") => Response::json(&cloud.list()),
        ("GET", "/v1/prices") => Response::json(&cloud.options.pool),
        ("GET", "/v1/notices") => Response::json(&cloud.open_notices()),
        ("POST", "/v1/hosts") => http::json_body(request).map_or_else(|refusal| refusal, |host| cloud.start(host)),
        ("DELETE", path) if path.starts_with("/v1/hosts/") => cloud.stop(path.trim_start_matches("/v1/hosts/")),
        ("POST", "/_standin/reclaim") => {
            http::json_body(request).map_or_else(|refusal| refusal, |reclaim| cloud.reclaim(&reclaim))
        }
        ("POST", "/_standin/faults") => http::json_body(request).map_or_else(
            |refusal| refusal,
            |faults| {
                cloud.faults = faults;
                Response::json(&cloud.faults)
            },
        ),
        ("GET", "/_standin/seen") => {
            Response::json(&json!({"started": cloud.started, "refused": cloud.refused, "hosts": cloud.hosts}))
        }
        _ => Response::empty_404(),
    }
}

impl Cloud {
    fn new(options: CloudOptions) -> Self {
        Self {
            options,
            hosts: BTreeMap::new(),
            ready_at: BTreeMap::new(),
            engines: BTreeMap::new(),
            notices: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            listed: Vec::new(),
            listed_at: None,
            faults: CloudFaults::default(),
            refused: 0,
            started: 0,
        }
    }

    /// Applies everything that is due: hosts that have started, reclaimed hosts whose deadline has passed, and notices
    /// that expire.
    fn apply_due(&mut self) {
        let now = Instant::now();
        let is_due = |at: &Instant| *at <= now;
        let started: Vec<String> = self
            .ready_at
            .iter()
            .filter(|(_, at)| is_due(at))
            .map(|(id, _)| id.clone())
            .collect();
        for id in started {
            self.ready_at.remove(&id);
            self.finish_start(&id);
        }
        let expired: Vec<String> = self
            .notices
            .iter()
            .filter(|(_, (_, at))| is_due(at))
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            self.remove(&id);
        }
        self.notices.retain(|_, (_, at)| now < *at + NOTICE_RETENTION);
    }

    fn finish_start(&mut self, id: &str) {
        let engine = self.options.engine.as_deref().and_then(start_engine);
        if let Some(host) = self.hosts.get_mut(id) {
            if host.stage == "starting" {
                host.stage = serving();
            }
            if let Some(engine) = engine {
                host.address = Some(engine.address());
                self.engines.insert(id.to_owned(), engine);
            }
        }
    }

    fn remove(&mut self, id: &str) {
        self.hosts.remove(id);
        self.ready_at.remove(id);
        if let Some(engine) = self.engines.remove(id) {
            engine.die();
        }
    }

    fn list(&mut self) -> Vec<Host> {
        let lag = Duration::from_millis(self.options.lag_ms);
        if self.listed_at.is_none_or(|at| at.elapsed() >= lag) {
            self.listed = self.hosts.values().cloned().collect();
            self.listed_at = Some(Instant::now());
        }
        self.listed.clone()
    }

    /// Starts a host in a pool, or registers one that comes with an id, as tests do.
    fn start(&mut self, mut host: Host) -> Response {
        let same_token = |known: &&Host| host.token.is_some() && known.token == host.token;
        if let Some(known) = self.hosts.values().find(same_token) {
            return Response::json(known).with_status_code(200);
        }
        if host.id.is_empty() {
            let Some(price) = self.available_price(&host) else {
                self.refused += 1;
                return Response::json(&json!({"error": "no capacity"})).with_status_code(503);
            };
            self.started += 1;
            host.price = price;
            host.id = format!("host-{}", self.started);
            "starting".clone_into(&mut host.stage);
            let ready = Instant::now() + Duration::from_millis(self.options.start_ms);
            self.ready_at.insert(host.id.clone(), ready);
        }
        let next = self
            .incarnations
            .get(&host.id)
            .map_or(host.incarnation, |last| last + 1);
        host.incarnation = next;
        self.incarnations.insert(host.id.clone(), next);
        self.notices.remove(&host.id);
        self.hosts.insert(host.id.clone(), host.clone());
        Response::json(&host).with_status_code(201)
    }

    /// Returns the price of the pool of a host; `None` when the pool is unknown, full or set to refuse.
    fn available_price(&self, host: &Host) -> Option<u64> {
        let refused = format!("{}:{}", host.zone, host.class);
        if self.faults.refuse.contains(&refused) {
            return None;
        }
        let in_pool = |known: &&Host| known.zone == host.zone && known.class == host.class;
        let count = self.hosts.values().filter(in_pool).count() as u64;
        let pool = self
            .options
            .pool
            .iter()
            .find(|pool| pool.covers(&host.zone, &host.class))?;
        (count < pool.most).then_some(pool.price)
    }

    fn stop(&mut self, id: &str) -> Response {
        let known = self.hosts.contains_key(id);
        self.remove(id);
        Response::json(&json!({"stopped": known}))
    }

    fn reclaim(&mut self, reclaim: &ReclaimRequest) -> Response {
        let remaining = Duration::from_millis(reclaim.notice_ms);
        let is_target =
            |host: &Host| Some(&host.zone) == reclaim.zone.as_ref() || Some(&host.id) == reclaim.host.as_ref();
        let mut count = 0;
        for host in self.hosts.values_mut().filter(|host| is_target(host)) {
            "leaving".clone_into(&mut host.stage);
            self.notices
                .insert(host.id.clone(), (host.incarnation, Instant::now() + remaining));
            if let Some(engine) = self.engines.get(&host.id) {
                engine.leave(remaining);
            }
            count += 1;
        }
        Response::json(&json!({"reclaimed": count}))
    }

    fn open_notices(&self) -> Vec<serde_json::Value> {
        let open = self.notices.iter().map(|(id, (incarnation, deadline))| {
            let remaining = deadline.saturating_duration_since(Instant::now());
            json!({"host": id, "incarnation": incarnation, "left_ms": remaining.as_millis() as u64})
        });
        open.collect()
    }
}

fn start_engine(flags: &str) -> Option<engine::Running> {
    let flags: Vec<&str> = flags.split_whitespace().collect();
    let options = EngineOptions::from_args(&["engine"], &flags).ok()?;
    engine::start(&options).ok()
}

fn serving() -> String {
    "serving".to_owned()
}
