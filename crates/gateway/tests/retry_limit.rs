//! Bound on the requests that upstreams get beyond the first of each caller's request.

mod common;

use std::sync::Arc;

use common::{Host, Upstream, respond};
use contract::RetryMode;
use wire::registry::QuotaShare;

/// Entry hosts among which the fixed part of the retry budget is divided.
const ENTRY_HOSTS: u32 = 58;
/// Retries for each request, and retries beyond that over all entry hosts, as the test host is configured.
const RETRY_RATIO: f64 = 0.2;
const EXTRA_RETRIES: f64 = 50.0;

/// Returns an upstream that was started again under another name at its old address.
fn replaced() -> Upstream {
    Upstream::start(Box::new(|request, stream| {
        respond(request, stream, "421 Misdirected", "", "")
    }))
}

/// Guards against requests that walk from one replaced upstream to the next outside of the retry budget: each of them
/// answers that it is another incarnation and did not run the request.
#[test]
fn replaced_upstreams() {
    let replaced: Vec<Upstream> = (0..20).map(|_| replaced()).collect();
    let shared = Host::shared(RetryMode::Idempotent, 2, 5_000, &replaced.iter().collect::<Vec<_>>());
    shared.quota_share.store(Arc::new(Some(QuotaShare {
        entries: ENTRY_HOSTS,
        floor: 1.0,
    })));
    let host = Host::run(shared);
    let requests = 5;
    for _ in 0..requests {
        assert_eq!(host.request("", "").status, 503);
    }
    let arrivals: usize = replaced.iter().map(Upstream::request_count).sum();
    let retries = arrivals as f64 - f64::from(requests);
    let allowed = RETRY_RATIO * f64::from(requests) + EXTRA_RETRIES / f64::from(ENTRY_HOSTS);
    assert!(retries <= allowed, "{retries} retries, {allowed:.1} allowed");
}
