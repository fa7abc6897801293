//! The cloud API: prices, hosts that start and stop, a list that lags, and reclaim notices.

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

/// Threads that answer.
const THREADS: usize = 16;
/// How long a notice is shown after the host is gone.
const NOTICE_STAYS: Duration = Duration::from_secs(5);

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Host {
    #[serde(default)]
    id: String,
    #[serde(default)]
    incarnation: u64,
    zone: String,
    class: String,
    #[serde(default = "serving")]
    stage: String,
    #[serde(default)]
    price: u64,
    address: Option<SocketAddr>,
    /// Whatever the one who started it wants to find again.
    #[serde(default)]
    tag: String,
    /// The same token again gives the same host, so that a start whose answer was lost can be asked for again.
    #[serde(default, skip_serializing)]
    token: Option<String>,
}

#[derive(Debug, Deserialize)]
struct Reclaim {
    zone: Option<String>,
    host: Option<String>,
    notice_ms: u64,
}

/// What goes wrong at the cloud until it's told otherwise.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct CloudFaults {
    /// Every call fails.
    cut: bool,
    /// Zones and classes in which every start is refused, as ZONE:CLASS.
    refuse: Vec<String>,
}

#[derive(Debug)]
struct Cloud {
    options: CloudOptions,
    hosts: BTreeMap<String, Host>,
    ready_at: BTreeMap<String, Instant>,
    #[debug(skip)]
    engines: BTreeMap<String, engine::Running>,
    notices: BTreeMap<String, (u64, Instant)>,
    incarnations: BTreeMap<String, u64>,
    shown: Vec<Host>,
    shown_at: Option<Instant>,
    faults: CloudFaults,
    refused: u64,
    started: u64,
}

/// Starts a cloud.
///
/// # Errors
/// Fails when the address can't be listened on.
pub fn start(options: &CloudOptions) -> anyhow::Result<Running> {
    let cloud = Arc::new(Mutex::new(Cloud::new(options.clone())));
    Running::start(options.listen, THREADS, move |request| answer(&cloud, request))
}

/// Serves until the process is told to stop.
///
/// # Errors
/// Fails when the address can't be listened on.
pub fn serve(options: &CloudOptions) -> anyhow::Result<()> {
    http::until_stopped(&start(options)?)
}

fn answer(cloud: &Mutex<Cloud>, request: &Request) -> Response {
    let mut cloud = cloud.lock();
    cloud.turn();
    let url = request.url();
    if cloud.faults.cut && !url.starts_with("/_standin/") {
        return Response::text("cut off").with_status_code(500);
    }
    match (request.method(), url.as_str()) {
        ("GET", "/v1/hosts") => Response::json(&cloud.list()),
        ("GET", "/v1/prices") => Response::json(&cloud.options.pool),
        ("GET", "/v1/notices") => Response::json(&cloud.open_notices()),
        ("POST", "/v1/hosts") => http::body(request).map_or_else(|refusal| refusal, |host| cloud.start(host)),
        ("DELETE", path) if path.starts_with("/v1/hosts/") => cloud.stop(path.trim_start_matches("/v1/hosts/")),
        ("POST", "/_standin/reclaim") => {
            http::body(request).map_or_else(|refusal| refusal, |reclaim| cloud.reclaim(&reclaim))
        }
        ("POST", "/_standin/faults") => http::body(request).map_or_else(
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
            shown: Vec::new(),
            shown_at: None,
            faults: CloudFaults::default(),
            refused: 0,
            started: 0,
        }
    }

    /// Carries out what time has brought: hosts that are ready and hosts that are gone.
    fn turn(&mut self) {
        let now = Instant::now();
        let ready = |at: &Instant| *at <= now;
        let due: Vec<String> = self
            .ready_at
            .iter()
            .filter(|(_, at)| ready(at))
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            self.ready_at.remove(&id);
            self.make_ready(&id);
        }
        let gone: Vec<String> = self
            .notices
            .iter()
            .filter(|(_, (_, at))| ready(at))
            .map(|(id, _)| id.clone())
            .collect();
        for id in gone {
            self.remove(&id);
        }
        self.notices.retain(|_, (_, at)| now < *at + NOTICE_STAYS);
    }

    fn make_ready(&mut self, id: &str) {
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
        if self.shown_at.is_none_or(|at| at.elapsed() >= lag) {
            self.shown = self.hosts.values().cloned().collect();
            self.shown_at = Some(Instant::now());
        }
        self.shown.clone()
    }

    /// Starts a host in a pool, or notes one that a test has given a name.
    fn start(&mut self, mut host: Host) -> Response {
        let same = |known: &&Host| host.token.is_some() && known.token == host.token;
        if let Some(known) = self.hosts.values().find(same) {
            return Response::json(known).with_status_code(200);
        }
        if host.id.is_empty() {
            let Some(price) = self.room(&host) else {
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

    /// Gives the price in a pool that has room.
    fn room(&self, host: &Host) -> Option<u64> {
        let refused = format!("{}:{}", host.zone, host.class);
        if self.faults.refuse.contains(&refused) {
            return None;
        }
        let held = |known: &&Host| known.zone == host.zone && known.class == host.class;
        let count = self.hosts.values().filter(held).count() as u64;
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

    fn reclaim(&mut self, reclaim: &Reclaim) -> Response {
        let left = Duration::from_millis(reclaim.notice_ms);
        let hit = |host: &Host| Some(&host.zone) == reclaim.zone.as_ref() || Some(&host.id) == reclaim.host.as_ref();
        let mut count = 0;
        for host in self.hosts.values_mut().filter(|host| hit(host)) {
            "leaving".clone_into(&mut host.stage);
            self.notices
                .insert(host.id.clone(), (host.incarnation, Instant::now() + left));
            if let Some(engine) = self.engines.get(&host.id) {
                engine.leave(left);
            }
            count += 1;
        }
        Response::json(&json!({"reclaimed": count}))
    }

    fn open_notices(&self) -> Vec<serde_json::Value> {
        let open = self.notices.iter().map(|(id, (incarnation, gone_at))| {
            let left = gone_at.saturating_duration_since(Instant::now());
            json!({"host": id, "incarnation": incarnation, "left_ms": left.as_millis() as u64})
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
