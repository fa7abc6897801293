//! Threads that wait for admission: each gets one verdict, no more run than there are slots, and a full model does not
//! block a service.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{scope, sleep, spawn};
use std::time::Duration;

use contract::{Account, Class, Contract, CustomerLimits, KeyHash, Matcher, RetrySafety, Targets};
use entry::admission::{Admission, AdmissionRequest};
use entry::upstreams::TargetSlots;
use policy::Tick;
use policy::route::Target;
use telemetry::Clock;

const LONG_WAIT: Duration = Duration::from_mins(1);

fn contract(customer: &str) -> Contract {
    let targets = Targets {
        first_token_ms: None,
        between_tokens_ms: None,
        whole_answer_ms: 60_000,
    };
    let class = Class {
        name: "all".into(),
        matches: Matcher::default(),
        targets,
        repeat: RetrySafety::Idempotent,
        shed: 0,
    };
    let account = Account {
        name: "counter".into(),
        key_hash: KeyHash::of(customer),
    };
    Contract {
        customer: customer.into(),
        accounts: vec![account],
        limits: CustomerLimits {
            requests_per_s: 100_000.0,
            tokens_per_s: 100_000_000.0,
            concurrency: 10_000,
        },
        share: 1,
        classes: vec![class],
    }
}

fn model() -> Target {
    Target::Model("counter-1".to_owned())
}

fn request(target: Target, deadline: Tick) -> AdmissionRequest {
    AdmissionRequest {
        target,
        tokens: 10.0,
        deadline,
        shed_priority: 0,
    }
}

fn slots(target: Target, slots: usize) -> TargetSlots {
    TargetSlots {
        target,
        slots,
        first_token: Duration::ZERO,
    }
}

/// Hundreds of threads wait for four slots, and some time out just when their turn comes. Guards against a slot that is
/// granted to a thread that has given up: it would be lost, and the host would stop serving with idle engines.
#[test]
fn no_slot_lost() {
    let clock = Clock::start();
    let admission = Admission::new(clock.clone(), 100, 1_000);
    admission.set_slots(&[slots(model(), 4)]);
    let running = AtomicUsize::new(0);
    let (ran, refused) = (AtomicUsize::new(0), AtomicUsize::new(0));
    scope(|scope| {
        for number in 0..300_u64 {
            let (admission, clock) = (&admission, &clock);
            let (running, ran, refused) = (&running, &ran, &refused);
            scope.spawn(move || {
                let patience = if number % 3 == 0 {
                    Duration::from_millis(number / 4)
                } else {
                    LONG_WAIT
                };
                let request = request(model(), clock.now() + patience);
                let customer = contract(if number % 2 == 0 { "a" } else { "b" });
                let Ok(permit) = admission.admit(&customer, &request) else {
                    refused.fetch_add(1, Ordering::SeqCst);
                    return;
                };
                assert!(running.fetch_add(1, Ordering::SeqCst) < 4);
                sleep(Duration::from_millis(1));
                running.fetch_sub(1, Ordering::SeqCst);
                ran.fetch_add(1, Ordering::SeqCst);
                drop(permit);
            });
        }
    });
    assert_eq!(ran.load(Ordering::SeqCst) + refused.load(Ordering::SeqCst), 300);
    assert!(ran.load(Ordering::SeqCst) >= 200);
    assert!(!admission.is_busy());
    let permits: Vec<_> = (0..4).map(|_| enter(&admission, &clock, model())).collect();
    assert!(permits.iter().all(Option::is_some));
}

fn enter<'a>(admission: &'a Admission, clock: &Clock, target: Target) -> Option<entry::admission::Permit<'a>> {
    admission
        .admit(&contract("a"), &request(target, clock.now() + LONG_WAIT))
        .ok()
}

/// All engines of a model are full and a hundred requests wait for them. A request to an idle service must be admitted
/// at once.
#[test]
fn other_target_admitted() {
    let clock = Clock::start();
    let admission: &'static Admission = Box::leak(Box::new(Admission::new(clock.clone(), 8, 20)));
    let service = Target::Service("registration".to_owned());
    admission.set_slots(&[slots(model(), 2), slots(service.clone(), 50)]);
    let holders: Vec<_> = (0..2).map(|_| enter(admission, &clock, model())).collect();
    for _ in 0..100 {
        let clock = clock.clone();
        spawn(move || drop(enter(admission, &clock, model())));
    }
    sleep(Duration::from_millis(100));
    let lookup = enter(admission, &clock, service);
    assert!(lookup.is_some());
    assert!(holders.iter().all(Option::is_some));
}
