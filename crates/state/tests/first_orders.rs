//! Capacity before the first requests: sized by what operators have started, once all of it is listed.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use contract::{Catalog, Listed, NodeId, Scaling, Service, ServiceName, Zone};
use parking_lot::Mutex;
use slog::{Discard, Logger, o};
use state::applied::{AppliedState, Command, LogEntry, WindowUsage};
use state::core::{Ask, Lead, ring};
use state::duties::{CapacityOrder, DutyHolder, DutyTiming, LeaderDuties, PlatformApi, PlatformError};
use state::registry::EntryRegistry;
use telemetry::Clock;
use wire::catalog::Publish;

const TERM: u64 = 3;
/// Longest wait for orders; only a guard against hanging.
const PATIENCE: Duration = Duration::from_secs(20);

/// Notes orders.
#[derive(Clone, Default)]
struct Notes(Arc<Mutex<Vec<CapacityOrder>>>);

impl PlatformApi for Notes {
    fn report(&self, _seat: &DutyHolder<'_>, _usage: &WindowUsage) -> Result<(), PlatformError> {
        Ok(())
    }

    fn order(&self, _seat: &DutyHolder<'_>, order: &CapacityOrder) -> Result<(), PlatformError> {
        self.0.lock().push(order.clone());
        Ok(())
    }
}

fn upstreams(count: usize) -> Vec<Listed> {
    let one = |at: usize| Listed {
        id: format!("u{at}"),
        start: 1,
        service: ServiceName::from("m"),
        address: ([127, 0, 0, 1], 1).into(),
        zone: Zone::from(["a", "b"][at % 2]),
        slots: 4,
        leaving: false,
        reclaimable: false,
        cold: Duration::ZERO,
        left: None,
    };
    (0..count).map(one).collect()
}

/// Makes a state whose catalog has one service in two data centres.
fn applied() -> AppliedState {
    let zones = ["a", "b"].map(|zone| (Zone::from(zone), 1.0));
    let service = Service {
        name: ServiceName::from("m"),
        scaling: Some(Scaling {
            min: 1,
            max: 40,
            boot_ms: 4_000,
            spot_price: 0.2,
            prices: zones.into_iter().collect(),
        }),
        ..Service::default()
    };
    let catalog = Catalog {
        version: 1,
        services: vec![service],
        ..Catalog::default()
    };
    let document = b"{}".to_vec();
    let mut applied = AppliedState::default();
    applied.apply(&LogEntry {
        at_ms: 1,
        wall_ms: 1,
        command: Command::Publish(Publish { document, catalog }),
    });
    applied
}

/// Answers what the duties ask, as the leader.
fn lead(clock: &Clock) -> crossbeam_channel::Sender<Ask> {
    let (asks, questions) = ring();
    let since = clock.now();
    thread::spawn(move || {
        let applied = applied();
        for ask in questions {
            match ask {
                // An asker that has gone away needs no answer.
                Ask::Lead(reply) => drop(reply.send(Lead {
                    term: TERM,
                    since: Some(since),
                    leader: None,
                })),
                Ask::Read(read) => read(&applied, Duration::ZERO),
                _ => {}
            }
        }
    });
    asks
}

/// All upstreams start together with the system, and the first list names only the quickest of them. If capacity were ordered
/// by that list, most of the fleet would be taken away before the first requests, and these would wait until it is back.
#[test]
fn growing_list() {
    let clock = Clock::start();
    let registry = Arc::new(EntryRegistry::default());
    let notes = Notes::default();
    let parts = (lead(&clock), Arc::clone(&registry), clock.clone());
    let timing = DutyTiming {
        holder_lease: Duration::from_secs(3),
        usage_window: Duration::from_secs(5),
    };
    let logger = Logger::root(Discard, o!());
    let duties = LeaderDuties::new(NodeId::from("s1"), parts, timing, Box::new(notes.clone()), logger);
    duties.start().unwrap();
    let begun = Instant::now();
    while notes.0.lock().is_empty() {
        assert!(begun.elapsed() < PATIENCE, "nothing is ordered");
        // Some more are listed at each read, until there are forty.
        let listed = (begun.elapsed().as_millis() / 100) as usize;
        registry.set_list(TERM, upstreams(listed.min(40)), clock.now());
        thread::sleep(Duration::from_millis(50));
    }
    // All orders of one plan leave together.
    thread::sleep(Duration::from_millis(200));
    let orders = notes.0.lock().clone();
    let reclaimable: u32 = orders
        .iter()
        .filter(|order| order.reclaimable)
        .map(|order| order.count)
        .sum();
    // Half of the forty are taken to be needed, and twice that is ordered.
    assert_eq!(reclaimable, 40, "{orders:?}");
    let kept: Vec<u32> = orders
        .iter()
        .filter(|order| !order.reclaimable)
        .map(|order| order.count)
        .collect();
    assert_eq!(
        kept.iter().sum::<u32>(),
        20,
        "none is given up before others serve: {orders:?}"
    );
}
