//! Requests that wait at a host for a full upstream: guards against requests that are sent before there is room, that are
//! sent although their caller has left or was refused, or that run twice.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::{Caller, Host, TEST_TIMEOUT, Upstream, listed, respond};
use contract::RetryMode;
use gateway::waiting::WaitingBounds;

const BOUNDS: WaitingBounds = WaitingBounds {
    requests: 16,
    bytes: 1_000_000,
};

/// An upstream with one slot that answers when it is told to, and a host whose callers fill it.
struct FullUpstream {
    upstream: Upstream,
    host: Host,
    released: Arc<AtomicBool>,
    running: Vec<Caller>,
}

impl FullUpstream {
    fn start(bounds: WaitingBounds) -> Self {
        let released = Arc::new(AtomicBool::new(false));
        let (may_answer, count) = (Arc::clone(&released), AtomicUsize::new(0));
        let upstream = Upstream::start(Box::new(move |request, stream| {
            count.fetch_add(1, Ordering::Relaxed);
            let started = Instant::now();
            while !may_answer.load(Ordering::Relaxed) && started.elapsed() < TEST_TIMEOUT {
                thread::sleep(Duration::from_millis(2));
            }
            respond(request, stream, "200 OK", "Signed: s\r\n", "done")
        }));
        let shared = Host::shared(RetryMode::Once, 1, 15_000, &[&upstream]);
        let mut list = listed(&[&upstream]);
        list[0].slots = 1;
        *shared.new_list.lock() = Some((list, policy::Tick::default()));
        let host = Host::run_with(shared, bounds);
        let mut full = Self {
            upstream,
            host,
            released,
            running: Vec::new(),
        };
        // A service without prompts takes twice its slots.
        for _ in 0..2 {
            let caller = full.send("");
            full.running.push(caller);
        }
        full.wait_requests(2);
        full
    }

    fn send(&self, headers: &str) -> Caller {
        let mut caller = self.host.connect();
        caller.send(headers, "work");
        caller
    }

    fn wait_requests(&self, count: usize) {
        let started = Instant::now();
        while self.upstream.request_count() < count {
            assert!(
                started.elapsed() < TEST_TIMEOUT,
                "{} came",
                self.upstream.request_count()
            );
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// Lets the upstream answer everything, and returns the statuses of `callers` and of those that filled it.
    fn release(mut self, callers: Vec<Caller>) -> (Vec<u16>, usize) {
        self.released.store(true, Ordering::Relaxed);
        let all = std::mem::take(&mut self.running).into_iter().chain(callers);
        let statuses = all.map(|mut caller| caller.read_response().status).collect();
        (statuses, self.upstream.request_count())
    }
}

/// Guards against requests that are refused although the upstream has room soon, that are sent to a full upstream, or that
/// are woken together for the same place and run twice.
#[test]
fn served_later() {
    let full = FullUpstream::start(BOUNDS);
    let waiting: Vec<Caller> = (0..6).map(|_| full.send("")).collect();
    thread::sleep(Duration::from_millis(300));
    assert_eq!(full.upstream.request_count(), 2, "the upstream was full");
    let (statuses, requests) = full.release(waiting);
    assert_eq!((statuses, requests), (vec![200; 8], 8));
}

/// Guards against requests that are sent for a caller who has left the queue.
#[test]
fn caller_leaves() {
    let full = FullUpstream::start(BOUNDS);
    let stays = full.send("");
    drop(full.send(""));
    // The host has to see the end of the connection.
    thread::sleep(Duration::from_millis(300));
    let (statuses, requests) = full.release(vec![stays]);
    assert_eq!((statuses, requests), (vec![200; 3], 3));
}

/// Guards against a request that waits until its caller has given up, or is sent after it was refused.
#[test]
fn time_is_up() {
    let full = FullUpstream::start(BOUNDS);
    let response = full.send("Wait-Ms: 400\r\n").read_response();
    assert_eq!(response.status, 503, "{response:?}");
    assert!(response.body.starts_with("not run:"), "{response:?}");
    let (statuses, requests) = full.release(Vec::new());
    assert_eq!((statuses, requests), (vec![200; 2], 2));
}

/// Guards against callers that wait at a stopping host until it ends.
#[test]
fn planned_stop() {
    let full = FullUpstream::start(BOUNDS);
    let mut waiting = full.send("");
    thread::sleep(Duration::from_millis(200));
    full.host.stop();
    let response = waiting.read_response();
    assert_eq!(response.status, 503, "{response:?}");
    assert!(response.head.contains("Retry-After: 0.05"), "{response:?}");
    let (statuses, requests) = full.release(Vec::new());
    assert_eq!((statuses, requests), (vec![200; 2], 2));
}

/// Guards against hosts without a queue on which requests wait, and against queues that are longer than their bound.
#[test]
fn bounds_kept() {
    for (requests, refused) in [(0, 4), (3, 1)] {
        let full = FullUpstream::start(WaitingBounds { requests, ..BOUNDS });
        let mut callers: Vec<Caller> = Vec::new();
        for _ in 0..4 {
            callers.push(full.send(""));
            thread::sleep(Duration::from_millis(50));
        }
        let (statuses, sent) = full.release(callers);
        assert_eq!(statuses.iter().filter(|status| **status == 503).count(), refused);
        assert_eq!(sent, 6 - refused);
    }
}
