//! The configuration in force on an entry host only moves forward, whoever it hears it from.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::ask::call;
use common::free_address;
use common::process::{Process, until};
use contract::{Change, Config, Revision};
use entry::current::Current;
use policy::Tick;
use quickcheck::{Gen, QuickCheck};
use state::applied::{AppliedState, Command, LogEntry};
use wire::client::{RpcRuntime, StateClient};
use wire::state::{Propose, Proposed};

fn propose(number: usize) -> Propose {
    Propose {
        id: format!("change-{number}").as_str().into(),
        base: None,
        operator: "tester".to_owned(),
        change: match number % 3 {
            0 => Change::PutContract(common::contract()),
            1 => Change::DropContract(common::contract().customer),
            _ => Change::PutUpstream(common::service("t", "till", free(number))),
        },
    }
}

fn free(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + number as u16))
}

/// Gives a node's state after each change.
fn history(count: usize) -> Vec<AppliedState> {
    let mut applied = AppliedState::default();
    let mut states = vec![applied.clone()];
    for number in 0..count {
        let command = Command::Propose(propose(number));
        applied.apply(&LogEntry {
            at_ms: 0,
            wall_ms: 0,
            command,
        });
        states.push(applied.clone());
    }
    states
}

/// A host hears from nodes and peers that are at different points, some far behind, in any order and repeatedly. What it
/// has in force must be what the log produced at some point, and never an older point than before: a limit that was
/// lowered must not come back.
#[test]
fn never_reverts() {
    let states = history(300);
    let configs: Vec<Config> = states.iter().map(|state| state.config.clone()).collect();
    let property = move |hops: Vec<(u16, u16)>| {
        let current = Current::default();
        let mut newest = Revision::default();
        for (node, asked) in hops {
            let node = &states[usize::from(node) % states.len()];
            // A question may be older than what the host has by the time the answer comes.
            let asked = Revision(u64::from(asked) % (newest.0 + 1));
            current.take(node.since(asked, 0), Tick::from_millis(1));
            let view = current.view();
            assert!(view.config.revision >= newest);
            assert_eq!(view.config, configs[view.config.revision.0 as usize]);
            newest = view.config.revision;
        }
        true
    };
    let random = Gen::from_size_and_seed(40, 7);
    QuickCheck::new().rng(random).tests(100).quickcheck(Feeds(property));
}

/// The property owns what it compares with, which a plain function could not.
struct Feeds<F>(F);

impl<F: Fn(Vec<(u16, u16)>) -> bool + 'static> quickcheck::Testable for Feeds<F> {
    fn result(&self, random: &mut Gen) -> quickcheck::TestResult {
        quickcheck::TestResult::from_bool((self.0)(quickcheck::Arbitrary::arbitrary(random)))
    }
}

fn change(client: &StateClient, number: usize) {
    let ask = propose(number);
    until("a change", || {
        matches!(client.propose(Revision(0), &ask), Ok(Proposed::Accepted(_)))
    });
}

fn revision(ops: SocketAddr) -> String {
    let text = call(ops, "GET", "/metrics", &[], &[]).text();
    let line = text.lines().find(|line| line.starts_with("gentian_config_revision "));
    line.and_then(|line| line.split(' ').nth(1))
        .unwrap_or_default()
        .to_owned()
}

/// A host is away while 500 changes are made, more than the nodes keep one by one. On its return it has the newest. Then
/// the state group is lost; a host that starts only now has nobody to ask but its peer, which must be enough to serve.
#[test]
fn missed_changes() {
    let folder = tempfile::tempdir().unwrap();
    let address = free_address();
    let mut node = Process::state(address, folder.path());
    let calls = RpcRuntime::start(1, Duration::from_secs(2)).unwrap();
    let client = StateClient::new(&calls, &"tester".into(), &[address]).unwrap();
    change(&client, 0);
    let (mut first, _, ops) = Process::entry("entry-1", address, &[]);
    until("the first change", || revision(ops) == "1");
    first.kill();
    (1..=500).for_each(|number| change(&client, number));
    let inner = free_address().to_string();
    let (_first, _, ops) = Process::entry("entry-1", address, &["--inner", &inner]);
    until("all changes", || revision(ops) == "501");
    node.kill();
    let (_second, _, ops) = Process::entry("entry-2", address, &["--peers", &inner]);
    until("the peer's configuration", || revision(ops) == "501");
}
