//! Which ends of connections count as crashes of upstreams under a request.

mod common;

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::{Host, TEST_TIMEOUT, Upstream, listed};
use contract::RetryMode;
use policy::Tick;

/// Tries of a caller, each of which may reach two upstreams.
const TRIES: usize = 5;
const UPSTREAMS: usize = 12;
/// Time for which an upstream that crashes accepts connections.
const LINGER: Duration = Duration::from_millis(6);

/// Returns an upstream that closes the connection of each request without a response, and lives on.
fn closing() -> Upstream {
    Upstream::start(Box::new(|_, _| false))
}

/// Guards against a caller who is refused because connections were closed, although no upstream has crashed.
#[test]
fn closed_connections() {
    let upstreams: Vec<Upstream> = (0..UPSTREAMS).map(|_| closing()).collect();
    let host = Host::start(RetryMode::Idempotent, 2, &upstreams.iter().collect::<Vec<_>>());
    let statuses: Vec<u16> = (0..TRIES).map(|_| host.request("", "lookup").status).collect();
    let arrivals: usize = upstreams.iter().map(Upstream::request_count).sum();
    assert!(arrivals >= TRIES, "{arrivals} arrivals, responses {statuses:?}");
    assert!(statuses.iter().all(|status| *status == 502), "{statuses:?}");
}

/// Guards against a request that crashed three upstreams and is sent again, or makes the host refuse others.
#[test]
fn one_host() {
    let mortal: Vec<Upstream> = (0..UPSTREAMS)
        .map(|_| Upstream::start_mortal("deadly", Duration::ZERO))
        .collect();
    let host = Host::start(RetryMode::Idempotent, 2, &mortal.iter().collect::<Vec<_>>());
    let statuses: Vec<u16> = (0..TRIES).map(|_| host.request("", "deadly").status).collect();
    let arrivals: usize = mortal.iter().map(Upstream::request_count).sum();
    assert_eq!(arrivals, 3, "responses {statuses:?}");
    assert_eq!(
        statuses[2..],
        [503, 503, 503],
        "it is known that the request is not sent"
    );
    let response = host.request("", "deadly");
    assert!(response.head.contains("Retry-After: "), "{}", response.head);
    assert_eq!(host.request("", "other").status, 200);
}

/// Guards against an announced end of upstreams that counts as a crash.
#[test]
fn announced_end() {
    let mortal: Vec<Upstream> = (0..TRIES)
        .map(|_| Upstream::start_mortal("deadly", Duration::from_millis(400)))
        .collect();
    let all: Vec<&Upstream> = mortal.iter().collect();
    let shared = Host::shared(RetryMode::Idempotent, 1, 5_000, &all);
    let host = Host::run(Arc::clone(&shared));
    let mut statuses = Vec::new();
    for arrivals in 1..=TRIES {
        let mut caller = host.connect();
        caller.send("", "deadly");
        let started = Instant::now();
        while all.iter().map(|upstream| upstream.request_count()).sum::<usize>() < arrivals {
            assert!(started.elapsed() < TEST_TIMEOUT, "no arrival, responses {statuses:?}");
            thread::sleep(Duration::from_millis(5));
        }
        let mut list = listed(&all);
        for (entry, upstream) in list.iter_mut().zip(&all) {
            entry.leaving = upstream.request_count() > 0;
            entry.left = entry.leaving.then_some(Duration::from_secs(5));
        }
        *shared.new_list.lock() = Some((list, Tick::from_millis(arrivals as u64)));
        statuses.push(caller.read_response().status);
    }
    assert_eq!(statuses, [502; TRIES]);
}

/// Guards against a crash that goes unnoticed because the upstream accepted a last connection and closed it.
#[test]
fn slow_crash() {
    let dying: Vec<Upstream> = (0..UPSTREAMS)
        .map(|_| Upstream::start_dying("deadly", LINGER))
        .collect();
    let host = Host::start(RetryMode::Idempotent, 2, &dying.iter().collect::<Vec<_>>());
    let statuses: Vec<u16> = (0..TRIES).map(|_| host.request("", "deadly").status).collect();
    let arrivals: usize = dying.iter().map(Upstream::request_count).sum();
    assert_eq!(arrivals, 3, "responses {statuses:?}");
}
