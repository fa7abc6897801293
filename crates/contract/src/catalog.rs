//! The gateway's catalog: one versioned document of routes, services, client accounts and caller limits.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{KeyHash, ServiceName, ValidationErrors, Zone};

/// Gateway configuration that operators publish as one versioned document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// Version of the document; the highest published version is in force.
    pub version: u64,
    /// Routes, in document order.
    pub routes: Vec<Route>,
    /// Services that routes refer to.
    pub services: Vec<Service>,
    /// Client accounts; when empty, requests need no API key.
    pub accounts: Vec<ClientAccount>,
    /// Limits on requests and connections of callers.
    pub limits: CallerLimits,
}

/// Whether, and how, the gateway may resend a route's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetryMode {
    /// A request may run more than once without further effect.
    Idempotent,
    /// A request must run at most once.
    #[default]
    Once,
    /// A streamed response that another upstream can resume after the last forwarded event.
    ResumableStream,
    /// A streamed response that can't be resumed; the request must run at most once.
    Stream,
}

/// A route: matches requests by host and path prefix, and defines how they are served.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name shown in logs.
    pub name: String,
    /// Value of the `Host` header, compared without regard to case.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Whether requests may be resent.
    pub repeat: RetryMode,
    /// Request timeout in milliseconds; 1 or more.
    pub timeout_ms: u64,
    /// Latency target for the response, or for the first event of a stream, in milliseconds.
    pub target_ms: u64,
    /// Target for the gap between two events of a stream, in milliseconds; zero for no target.
    pub pause_ms: u64,
    /// Default priority of the route's requests; 0 is the most urgent.
    pub priority: u8,
    /// Most attempts, each at an upstream, for one request.
    pub attempts: u32,
    /// Whether requests are accepted without an API key.
    pub public: bool,
    /// Services that share the route's traffic, with their weights.
    pub split: Vec<WeightedService>,
}

/// A service with its weight in a route's traffic split.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of a service in the same catalog.
    pub service: ServiceName,
    /// Relative weight; the weights of a route add up to 1 or more.
    pub weight: u32,
}

/// A service and the properties that its upstreams have in common.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name by which routes and listed upstreams refer to the service.
    pub name: ServiceName,
    /// Most connections that one upstream accepts from all callers together.
    pub connections: u32,
    /// Properties of model engines; `None` for a plain service.
    pub engine: Option<EngineSpec>,
    /// Autoscaling bounds; `None` when the number of upstreams is fixed.
    pub scaling: Option<Scaling>,
}

/// Capacity of the model engines of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Requests that one engine runs concurrently.
    pub slots: u32,
    /// Capacity of the KV cache, in tokens.
    pub kv_tokens: u64,
    /// Tokens in one stream event.
    pub event_tokens: u32,
    /// Nanoseconds to copy the KV cache of one token to another engine in the same data centre; `None` when engines
    /// can't copy it.
    pub copy_ns: Option<u64>,
}

/// Autoscaling bounds and prices of a service's upstreams.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Scaling {
    /// Fewest upstreams in each data centre.
    pub min: u32,
    /// Most upstreams in each data centre.
    pub max: u32,
    /// Time from the start of an upstream until it serves, in milliseconds.
    pub boot_ms: u64,
    /// Price of a reclaimable upstream as a fraction of the on-demand price.
    pub spot_price: f64,
    /// Price of an upstream by data centre.
    pub prices: BTreeMap<Zone, f64>,
}

/// A client account with its API keys and quota.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClientAccount {
    /// Account name; identifies the account in a delta.
    pub name: String,
    /// Hashes of the account's API keys; no other account may have the same one.
    pub keys: Vec<KeyHash>,
    /// Priority that overrides the route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Rate limit over all entry hosts together; `None` for no limit.
    pub quota: Option<Quota>,
}

/// A token bucket limit on tokens or requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Refill rate in units per second.
    pub per_s: f64,
    /// Bucket size: units that can be used at once after an idle time.
    pub burst: f64,
    /// Whether units are tokens; otherwise each request counts as one unit.
    pub tokens: bool,
    /// Tokens charged for a request that states no token count.
    pub plain: f64,
}

/// Limits on what callers may send, and for how long they may stay connected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Most bytes of a request line with its headers.
    pub head_bytes: usize,
    /// Most bytes of a request body.
    pub body_bytes: usize,
    /// Timeout for receiving the request line and headers, in milliseconds.
    pub head_ms: u64,
    /// Idle timeout of a keep-alive connection, in milliseconds.
    pub idle_ms: u64,
}

impl Default for CallerLimits {
    /// Returns the limits that apply before a catalog is known, as common HTTP servers have them.
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
    /// Checks that no two routes match the same host and prefix, every route leads to known services, and no two
    /// accounts share an API key.
    ///
    /// # Errors
    /// Returns every invalid field.
    pub fn check(&self) -> Result<(), ValidationErrors> {
        let mut problems = ValidationErrors::default();
        let service_names: BTreeSet<&ServiceName> = self.services.iter().map(|service| &service.name).collect();
        let mut prefixes = BTreeSet::new();
        for (at, route) in self.routes.iter().enumerate() {
            check_route(route, at, &service_names, &mut problems);
            let unique = prefixes.insert((route.host.to_ascii_lowercase(), &route.prefix));
            let field = format!("routes[{at}].prefix");
            problems.check(
                unique,
                &field,
                &route.prefix,
                "a host and prefix that no other route has",
            );
        }
        let mut key_owners: BTreeMap<String, usize> = BTreeMap::new();
        for (at, account) in self.accounts.iter().enumerate() {
            let unique = account
                .keys
                .iter()
                .all(|key| *key_owners.entry(key.to_string()).or_insert(at) == at);
            let field = format!("accounts[{at}].keys");
            problems.check(unique, &field, &"(masked)", "keys that no other account has");
        }
        problems.into_result()
    }
}

fn check_route(route: &Route, at: usize, service_names: &BTreeSet<&ServiceName>, problems: &mut ValidationErrors) {
    let field = |name: &str| format!("routes[{at}].{name}");
    problems.check(
        route.timeout_ms > 0,
        &field("timeout_ms"),
        &route.timeout_ms,
        "1 or more",
    );
    let slash_bounded = route.prefix.starts_with('/') && route.prefix.ends_with('/');
    problems.check(
        slash_bounded,
        &field("prefix"),
        &route.prefix,
        "a path from slash to slash",
    );
    let weight: u64 = route.split.iter().map(|share| u64::from(share.weight)).sum();
    problems.check(weight > 0, &field("split"), &weight, "weights that add up to 1 or more");
    for share in &route.split {
        let known = service_names.contains(&share.service);
        problems.check(known, &field("split"), &share.service, "a service of the document");
    }
}
