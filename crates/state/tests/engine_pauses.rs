//! Questions of the leader to engines that ask for pauses.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use contract::{ListedUpstream, ServiceName, Zone};
use crossbeam_channel::{Receiver, bounded};
use parking_lot::Mutex;
use policy::Tick;
use slog::{Discard, Logger, o};
use state::core::{Leadership, StateRequest};
use state::notices::ReclaimPoller;
use state::registry::EntryRegistry;
use telemetry::Clock;
use upstream::directory::{EngineProbe, ProbeError};

const TERM: u64 = 3;
/// Time for which the leader asks, several of its rounds and shorter than the pause that the engine asks for.
const ASK_TIME: Duration = Duration::from_millis(1_500);

/// Engines of which the first asks for a pause.
#[derive(Clone, Default)]
struct Engines(Arc<Mutex<HashMap<SocketAddr, usize>>>);

impl EngineProbe for Engines {
    fn left(&self, address: SocketAddr) -> Result<Option<Duration>, ProbeError> {
        *self.0.lock().entry(address).or_default() += 1;
        if address.port() > 1 {
            return Ok(None);
        }
        Err(ProbeError {
            reason: "status 503".to_owned(),
            pause: Duration::from_secs(30),
        })
    }
}

fn listed(port: u16) -> ListedUpstream {
    ListedUpstream {
        id: format!("u{port}"),
        start: 1,
        service: ServiceName::from("m"),
        address: ([127, 0, 0, 1], port).into(),
        zone: Zone::from("z"),
        version: String::new(),
        slots: 4,
        leaving: false,
        reclaimable: true,
        cold: Duration::ZERO,
        left: None,
    }
}

fn lead(requests: &Receiver<StateRequest>) {
    for request in requests {
        if let StateRequest::Leadership(reply) = request {
            let leadership = Leadership {
                term: TERM,
                since: Some(Tick::default()),
                leader: None,
                nodes: 1,
            };
            let _ = reply.send(leadership);
        }
    }
}

/// Guards against a leader that goes on asking an engine which wants no requests, and against one that asks nobody then.
#[test]
fn pausing_engine() {
    let (requests, receiver) = bounded(8);
    thread::spawn(move || lead(&receiver));
    let (registry, clock, engines) = (Arc::new(EntryRegistry::default()), Clock::start(), Engines::default());
    registry.set_list(TERM, vec![listed(1), listed(2)], clock.now());
    let poller = ReclaimPoller {
        requests,
        registry,
        clock,
        engines: Box::new(engines.clone()),
        logger: Logger::root(Discard, o!()),
    };
    poller.start().unwrap();
    thread::sleep(ASK_TIME);
    let asked = engines.0.lock().clone();
    assert_eq!(asked.get(&listed(1).address), Some(&1), "{asked:?}");
    assert!(asked[&listed(2).address] > 2, "{asked:?}");
}
