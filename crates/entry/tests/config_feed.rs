//! The active configuration of an entry host only moves forward, whatever source the news comes from.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::client::call;
use common::free_address;
use common::process::{Process, until};
use contract::{Change, Config, Revision};
use entry::active_config::ActiveConfig;
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
            _ => Change::PutUpstream(common::service("t", "till", upstream_address(number))),
        },
    }
}

fn upstream_address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + number as u16))
}

/// Returns the state of a node after each change.
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

/// A host gets news from nodes and peers at different revisions, in any order and repeatedly. The active configuration
/// must always be one that the log produced, and never an older one than before: a lowered limit must not come back.
#[test]
fn config_never_reverts() {
    let states = history(300);
    let configs: Vec<Config> = states.iter().map(|state| state.config.clone()).collect();
    let property = move |reads: Vec<(u16, u16)>| {
        let config = ActiveConfig::default();
        let mut newest = Revision::default();
        for (node, after) in reads {
            let node = &states[usize::from(node) % states.len()];
            // The host may have a newer revision than it asked for by the time the news arrives.
            let after = Revision(u64::from(after) % (newest.0 + 1));
            config.apply_news(node.since(after, 0), Tick::from_millis(1));
            let view = config.view();
            assert!(view.config.revision >= newest);
            assert_eq!(view.config, configs[view.config.revision.0 as usize]);
            newest = view.config.revision;
        }
        true
    };
    let random = Gen::from_size_and_seed(40, 7);
    QuickCheck::new().rng(random).tests(100).quickcheck(Property(property));
}

/// A property with captured state, which a plain function can't have.
struct Property<F>(F);

impl<F: Fn(Vec<(u16, u16)>) -> bool + 'static> quickcheck::Testable for Property<F> {
    fn result(&self, random: &mut Gen) -> quickcheck::TestResult {
        quickcheck::TestResult::from_bool((self.0)(quickcheck::Arbitrary::arbitrary(random)))
    }
}

fn apply_change(client: &StateClient, number: usize) {
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

/// A host is down during 500 changes, more than the nodes keep as single records; after its restart it must have the
/// newest revision. Then the state group is lost, and a host that starts now must get the configuration from its peer.
#[test]
fn missed_changes() {
    let folder = tempfile::tempdir().unwrap();
    let address = free_address();
    let mut node = Process::state(address, folder.path());
    let calls = RpcRuntime::start(1, Duration::from_secs(2)).unwrap();
    let client = StateClient::new(&calls, &"tester".into(), &[address]).unwrap();
    apply_change(&client, 0);
    let (mut first, _, ops) = Process::entry("entry-1", address, &[]);
    until("the first change", || revision(ops) == "1");
    first.kill();
    (1..=500).for_each(|number| apply_change(&client, number));
    let inner = free_address().to_string();
    let (_first, _, ops) = Process::entry("entry-1", address, &["--inner", &inner]);
    until("all changes", || revision(ops) == "501");
    node.kill();
    let (_second, _, ops) = Process::entry("entry-2", address, &["--peers", &inner]);
    until("the peer's configuration", || revision(ops) == "501");
}
