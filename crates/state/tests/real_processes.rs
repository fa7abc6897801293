//! Real state processes under a stream of claims and changes, killed one after the other.

#[expect(dead_code, reason = "the measuring example uses more of it")]
mod nodes;

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use contract::{Change, ChangeId, CustomerId, Revision};
use nodes::{KEY, Nodes, PORTS, own_addresses, wait};
use serde_json::{Value, json};
use state::applied::KEPT_AUDITS;
use wire::client::{RpcRuntime, StateClient};
use wire::state::{Claim, Claimed, Outcome, Propose, Proposed, Settle, Settled};

const PROGRAM: &str = env!("CARGO_BIN_EXE_gentian-state");
/// Pause between two faults, in which some work completes.
const FAULT_PAUSE: Duration = Duration::from_millis(300);
/// Changes that all callers together make: as many as the audit trail keeps, so that it still contains each of them.
const MAX_CHANGES: usize = KEPT_AUDITS;

/// Answers that a caller received.
#[derive(Debug, Default)]
struct Answers {
    /// Keys of granted claims whose outcome was stored.
    settled: Vec<String>,
    /// Accepted changes with their revisions.
    accepted: BTreeMap<ChangeId, Revision>,
}

fn claim(key: &str, request: &str) -> Claim {
    Claim {
        group: 0,
        customer: "customer".into(),
        key: key.to_owned(),
        digest: "digest".to_owned(),
        request: request.into(),
        hold_ms: 60_000,
    }
}

fn outcome(key: &str) -> Outcome {
    Outcome::Answered {
        status: 201,
        media: "text/plain".to_owned(),
        body: key.as_bytes().to_vec(),
    }
}

/// Claims and settles calls until `stop` is set, and changes the configuration until [`MAX_CHANGES`] is reached;
/// retries after every lost answer.
fn run_caller(client: &StateClient, caller: usize, changes: &AtomicUsize, stop: &AtomicBool) -> Answers {
    let mut answers = Answers::default();
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let key = format!("key-{caller}-{number}");
        let asked = claim(&key, &format!("request-{key}"));
        wait("a claim", || {
            (client.claim(Revision(1), &asked).ok()? == Claimed::Granted).then_some(())
        });
        let settle = Settle {
            group: 0,
            customer: "customer".into(),
            key: key.clone(),
            request: asked.request.clone(),
            outcome: outcome(&key),
        };
        wait("an outcome", || {
            (client.settle(Revision(1), &settle).ok()? == Settled::Stored).then_some(())
        });
        answers.settled.push(key);
        if changes.fetch_add(1, Ordering::Relaxed) >= MAX_CHANGES {
            continue;
        }
        let id = ChangeId::from(format!("change-{caller}-{number}"));
        let change = Change::DropContract(CustomerId::from(format!("customer-{caller}")));
        let ask = Propose {
            id: id.clone(),
            base: None,
            operator: "tester".to_owned(),
            change,
        };
        let revision = wait("a change", || match client.propose(Revision(1), &ask).ok()? {
            Proposed::Accepted(revision) => Some(revision),
            _ => None,
        });
        answers.accepted.insert(id, revision);
    }
    answers
}

fn get(nodes: &Nodes, n: usize, path: &str) -> Value {
    let request = ureq::get(format!("http://{}{path}", nodes.admin[n]));
    let mut answer = request.header("Authorization", format!("Bearer {KEY}")).call().unwrap();
    answer.body_mut().read_json().unwrap()
}

/// Replaces a node's member by its new, blank disk and waits until that is a voter.
fn replace(nodes: &Nodes, n: usize) {
    let body = json!({"old": format!("state-{n}")}).to_string();
    wait("the replacement to begin", || {
        let path = format!("http://{}/v1/members/replace", nodes.admin[nodes.leader()]);
        let request = ureq::post(path).header("Authorization", format!("Bearer {KEY}"));
        request.send(&body).ok()
    });
    wait("the replacement to end", || {
        let list = get(nodes, nodes.leader(), "/v1/members");
        let members = list["item"]["members"].as_array()?.clone();
        let done = members.len() == nodes.inner.len() && members.iter().all(|member| member["votes"] == true);
        (done && members.iter().all(|member| member["replaces"].is_null())).then_some(())
    });
}

/// Checks that every answer that callers received still holds.
fn check_answers(nodes: &Nodes, answers: &[Answers]) {
    for key in answers.iter().flat_map(|answers| &answers.settled) {
        let asked = claim(key, "somebody else");
        // A leader that has just stepped down answers `Unavailable`; any other answer must be the stored outcome.
        let again = wait("a decision", || match nodes.client.claim(Revision(1), &asked).ok()? {
            Claimed::Unavailable(_) => None,
            decided => Some(decided),
        });
        assert_eq!(again, Claimed::Done(outcome(key)), "{key}");
    }
    let history = get(nodes, nodes.leader(), "/v1/history");
    let rows = history["item"].as_array().unwrap();
    let accepted: Vec<_> = answers.iter().flat_map(|answers| &answers.accepted).collect();
    for (id, revision) in &accepted {
        let times = rows.iter().filter(|row| row["id"] == id.as_str()).count();
        assert_eq!(times, 1, "{id} is in the history {times} times");
        assert!(
            rows.iter()
                .any(|row| row["id"] == id.as_str() && row["revision"] == revision.0),
            "{id}"
        );
    }
    let settled: usize = answers.iter().map(|answers| answers.settled.len()).sum();
    println!("{settled} claims and {} changes are all there", accepted.len());
    assert!(settled > 0 && !accepted.is_empty());
}

/// The leader is killed, then a follower; then a disk is lost and replaced, and right after that a second one. Callers
/// and operators retry under the same ids meanwhile. Nothing that was acknowledged may be lost or applied twice.
#[test]
fn kills_and_wipes() {
    let mut nodes = Nodes::start(Path::new(PROGRAM), 3);
    let calls = RpcRuntime::start(2, Duration::from_secs(2)).unwrap();
    let client = StateClient::new(&calls, &"callers".into(), &nodes.inner).unwrap();
    let (changes, stop) = (AtomicUsize::new(0), AtomicBool::new(false));
    let answers: Vec<Answers> = thread::scope(|scope| {
        let (client, changes, stop) = (&client, &changes, &stop);
        let callers: Vec<_> = (0..4)
            .map(|caller| scope.spawn(move || run_caller(client, caller, changes, stop)))
            .collect();
        for round in 0..2 {
            let leader = nodes.leader();
            for n in [leader, (leader + 1 + round) % 3] {
                thread::sleep(FAULT_PAUSE);
                nodes.kill(n);
                nodes.leader();
                thread::sleep(FAULT_PAUSE);
                nodes.run(n);
                nodes.caught_up(n);
            }
        }
        let first = (nodes.leader() + 1) % 3;
        for n in [first, (first + 1) % 3] {
            nodes.kill(n);
            nodes.wipe(n);
            nodes.run(n);
            nodes.leader();
            replace(&nodes, n);
        }
        thread::sleep(FAULT_PAUSE);
        stop.store(true, Ordering::Relaxed);
        callers.into_iter().map(|caller| caller.join().unwrap()).collect()
    });
    check_answers(&nodes, &answers);
    (0..3).for_each(|n| nodes.kill(n));
    for n in 0..3 {
        assert!(state::disk::check_folder(&nodes.data(n)).unwrap().log_end.index.0 > 0);
    }
    (0..3).for_each(|n| nodes.run(n));
    nodes.leader();
    check_answers(&nodes, &answers);
}

/// Two of three nodes are down. The third must answer that nothing was written, so that callers know that nothing was
/// run, and must still serve the configuration that it has.
#[test]
fn lost_majority() {
    let mut nodes = Nodes::start(Path::new(PROGRAM), 3);
    let remaining = nodes.leader();
    (0..3).filter(|n| *n != remaining).for_each(|n| nodes.kill(n));
    let calls = RpcRuntime::start(1, Duration::from_secs(2)).unwrap();
    let client = StateClient::new(&calls, &"caller".into(), &nodes.inner[remaining..=remaining]).unwrap();
    let refused = wait("a refusal", || {
        match client.claim(Revision(1), &claim("key", "request")).ok()? {
            Claimed::Unavailable(why) => matches!(why, wire::state::Unavailable::NoQuorum { .. }).then_some(why),
            _ => None,
        }
    });
    println!("{refused}");
    assert!(get(&nodes, remaining, "/v1/contracts")["age_ms"].is_u64());
    let first = (remaining + 1) % 3;
    nodes.run(first);
    nodes.leader();
    let asked = claim("key", "request");
    wait("a claim", || {
        (nodes.client.claim(Revision(1), &asked).ok()? == Claimed::Granted).then_some(())
    });
}

/// An operator may do what the operator's role covers and nothing else; a request with a missing or wrong key is
/// refused.
#[test]
fn operator_roles() {
    let nodes = Nodes::start(Path::new(PROGRAM), 1);
    let call = |method: &str, path: &str, key: &str, body: &Value| -> (u16, Value) {
        let request = ureq::http::Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", nodes.admin[0]))
            .header("Authorization", format!("Bearer {key}"))
            .header("Change-Id", format!("{method}{}", path.replace('/', "-")));
        let agent: ureq::Agent = ureq::Agent::config_builder().http_status_as_error(false).build().into();
        let mut answer = agent.run(request.body(body.to_string()).unwrap()).unwrap();
        (
            answer.status().as_u16(),
            answer.body_mut().read_json().unwrap_or_default(),
        )
    };
    let key = "a-key-of-the-operator-amina";
    let operator = json!({"role": "contract", "key_hash": contract::KeyHash::of(key)});
    assert_eq!(call("GET", "/v1/contracts", key, &Value::Null).0, 401);
    assert_eq!(call("PUT", "/v1/operators/amina", KEY, &operator).0, 200);
    assert_eq!(call("GET", "/v1/contracts", key, &Value::Null).0, 200);
    assert_eq!(call("DELETE", "/v1/contracts/nobody", key, &Value::Null).0, 200);
    assert_eq!(call("DELETE", "/v1/upstreams/nothing", key, &Value::Null).0, 403);
    assert_eq!(call("PUT", "/v1/operators/juma", key, &operator).0, 403);
    let (_, history) = call("GET", "/v1/history", key, &Value::Null);
    let who: Vec<_> = history["item"]
        .as_array()
        .unwrap()
        .iter()
        .map(|row| row["operator"].clone())
        .collect();
    assert_eq!(who, ["root", "amina"]);
    assert_eq!(call("DELETE", "/v1/operators/amina", KEY, &Value::Null).0, 200);
    assert_eq!(call("GET", "/v1/contracts", key, &Value::Null).0, 401);
}

/// Another process takes ports that the system gives out between the choice of a node's addresses and its start; the node
/// ends with "Address already in use", and the test waits for a leader in vain.
#[test]
fn own_ports() {
    let addresses: BTreeSet<_> = (0..100).flat_map(|_| own_addresses(3)).collect();
    assert_eq!(addresses.len(), 300, "an address is given out twice");
    assert!(addresses.iter().all(|address| PORTS.contains(&address.port())));
    // Outgoing connections and ports of the system's choice are at the first address of the loopback network.
    assert!(addresses.iter().all(|address| address.ip() != Ipv4Addr::LOCALHOST));
}
