//! The catalog: routes, services, client accounts and limits that one versioned document puts in force together.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{KeyHash, Problems, ServiceName, Zone};

/// Everything that operators publish under one version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// Number of the document; the highest one is in force.
    pub version: u64,
    /// Routes in the order of the document.
    pub routes: Vec<Route>,
    /// Services that the routes lead to.
    pub services: Vec<Service>,
    /// Client accounts; without any, requests need no key.
    pub accounts: Vec<ClientAccount>,
    /// What callers may send.
    pub limits: CallerLimits,
}

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeatable {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    #[default]
    Once,
    /// A stream that another upstream can continue after the last event that was passed on.
    ResumableStream,
    /// A stream that runs at most once.
    Stream,
}

/// One route: which requests it takes and how they are served.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name for logs.
    pub name: String,
    /// Host that callers name.
    pub host: String,
    /// Beginning of the path, from slash to slash.
    pub prefix: String,
    /// What may be repeated.
    pub repeat: Repeatable,
    /// Longest time that a request may take, in milliseconds.
    pub timeout_ms: u64,
    /// Time in which an answer, or a stream's first event, is on time, in milliseconds.
    pub target_ms: u64,
    /// Longest pause between two events of a stream that is on time, in milliseconds; zero for none.
    pub pause_ms: u64,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Upstreams that one request may be sent to.
    pub attempts: u32,
    /// Whether no key is needed.
    pub public: bool,
    /// Services with their weights.
    pub split: Vec<Share>,
}

/// A service's part of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// The service.
    pub service: ServiceName,
    /// Its weight among those of the route.
    pub weight: u32,
}

/// One service and its upstreams' properties.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Connections that one upstream accepts from all callers together.
    pub connections: u32,
    /// Properties of model engines; nothing for a plain service.
    pub engine: Option<EngineSpec>,
    /// How many upstreams may be ordered; nothing where their number is fixed.
    pub scaling: Option<Scaling>,
}

/// Properties of model engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that the KV cache holds.
    pub kv_tokens: u64,
    /// Tokens of one event of a stream.
    pub event_tokens: u32,
    /// Nanoseconds to copy the KV cache of one token to another engine of the same data centre; nothing where engines can't.
    pub copy_ns: Option<u64>,
}

/// Bounds and prices of a service's upstreams.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Scaling {
    /// Fewest in each data centre.
    pub min: u32,
    /// Most in each data centre.
    pub max: u32,
    /// Time until a new one serves, in milliseconds.
    pub boot_ms: u64,
    /// Price of a reclaimable one as a part of an on-demand one's.
    pub spot_price: f64,
    /// Price by data centre.
    pub prices: BTreeMap<Zone, f64>,
}

/// A client account with its keys and quota.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClientAccount {
    /// Its name.
    pub name: String,
    /// Hashes of its keys.
    pub keys: Vec<KeyHash>,
    /// Rank that goes before the route's.
    pub priority: Option<u8>,
    /// Tokens or requests a second over all entry hosts; nothing for no limit.
    pub quota: Option<Quota>,
}

/// A limit of what an account may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Units a second.
    pub per_s: f64,
    /// Units that may be used at once after a pause.
    pub burst: f64,
    /// Whether units are tokens; else each request is one unit.
    pub tokens: bool,
    /// Tokens that a request without a token count is taken for.
    pub plain: f64,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Bytes of a request head.
    pub head_bytes: usize,
    /// Bytes of a request body.
    pub body_bytes: usize,
    /// Time for a whole head, in milliseconds.
    pub head_ms: u64,
    /// Time that a kept connection may stay idle, in milliseconds.
    pub idle_ms: u64,
}

impl Default for CallerLimits {
    /// Gives the limits that hold before a catalog is known: those of common HTTP servers.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_ms: 3_000,
            idle_ms: 15_000,
        }
    }
}

impl Catalog {
    /// Checks that every request finds one route, and every route a service.
    ///
    /// # Errors
    /// Returns every field that is wrong.
    pub fn check(&self) -> Result<(), Problems> {
        let mut problems = Problems::default();
        let services: BTreeSet<&ServiceName> = self.services.iter().map(|service| &service.name).collect();
        let mut places = BTreeSet::new();
        for (at, route) in self.routes.iter().enumerate() {
            check_route(route, at, &services, &mut problems);
            let first = places.insert((route.host.to_ascii_lowercase(), &route.prefix));
            let field = format!("routes[{at}].prefix");
            problems.check(
                first,
                &field,
                &route.prefix,
                "a host and prefix that no other route has",
            );
        }
        let mut holders: BTreeMap<String, usize> = BTreeMap::new();
        for (at, account) in self.accounts.iter().enumerate() {
            let unique = account
                .keys
                .iter()
                .all(|key| *holders.entry(key.to_string()).or_insert(at) == at);
            let field = format!("accounts[{at}].keys");
            problems.check(unique, &field, &"(masked)", "keys that no other account has");
        }
        problems.into_result()
    }
}

fn check_route(route: &Route, at: usize, services: &BTreeSet<&ServiceName>, problems: &mut Problems) {
    let field = |name: &str| format!("routes[{at}].{name}");
    problems.check(
        route.timeout_ms > 0,
        &field("timeout_ms"),
        &route.timeout_ms,
        "1 or more",
    );
    let bounded = route.prefix.starts_with('/') && route.prefix.ends_with('/');
    problems.check(bounded, &field("prefix"), &route.prefix, "a path from slash to slash");
    let weight: u64 = route.split.iter().map(|share| u64::from(share.weight)).sum();
    problems.check(weight > 0, &field("split"), &weight, "weights that add up to 1 or more");
    for share in &route.split {
        let known = services.contains(&share.service);
        problems.check(known, &field("split"), &share.service, "a service of the document");
    }
}
