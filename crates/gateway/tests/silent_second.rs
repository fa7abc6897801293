//! Upstreams that are silent for a second and go on.

mod common;

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::{Host, Leader, Upstream, respond};
use contract::RetryMode;
use parking_lot::Mutex;

/// Time for which the upstreams are silent.
const SILENCE: Duration = Duration::from_secs(1);
/// Callers that ask one after the other, and the time between two of them.
const CALLERS: usize = 12;
const PAUSE: Duration = Duration::from_millis(50);

/// Guards against requests that are lost, or run a second time, since silent upstreams are taken for a cut of the host's
/// own link.
#[test]
fn nothing_doubled() {
    let silent_until: Arc<Mutex<Option<Instant>>> = Arc::default();
    let upstreams = [(); 3].map(|()| {
        let until = Arc::clone(&silent_until);
        Upstream::start(Box::new(move |request, stream| {
            let left = until
                .lock()
                .map(|until| until.saturating_duration_since(Instant::now()));
            thread::sleep(left.unwrap_or_default());
            respond(request, stream, "200 OK", "Signed: s\r\n", "done")
        }))
    });
    let listed: Vec<&Upstream> = upstreams.iter().collect();
    let shared = [(); 2].map(|()| Host::shared(RetryMode::Idempotent, 2, 5_000, &listed));
    let hosts = shared.clone().map(Host::run);
    let _leader = Leader::start(&shared);
    for _ in 0..3 {
        assert_eq!(hosts[0].request("", "warm").status, 200);
    }
    let before: usize = upstreams.iter().map(Upstream::request_count).sum();
    *silent_until.lock() = Some(Instant::now() + SILENCE);
    let statuses: Vec<u16> = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|index| {
                let host = &hosts[0];
                scope.spawn(move || {
                    thread::sleep(PAUSE * index as u32);
                    host.request("", "body").status
                })
            })
            .collect();
        callers.into_iter().map(|caller| caller.join().unwrap()).collect()
    });
    assert_eq!(statuses, vec![200; CALLERS]);
    let arrivals = upstreams.iter().map(Upstream::request_count).sum::<usize>() - before;
    assert_eq!(arrivals, CALLERS);
}
