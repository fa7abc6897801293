//! An entry host dies in the middle of a deposit, which then ran at most once, and whoever resends it learns the truth.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use common::ask::{Answer, call, send};
use common::fake::{Got, reply, serve};
use common::process::{Process, until};
use common::{PATIENCE, contract, free_address, service};
use contract::{Change, Revision};
use crossbeam_channel::{Receiver, Sender, bounded};
use wire::client::{RpcRuntime, StateClient};
use wire::state::{Propose, Proposed};

/// How long a deposit may take in these tests; its claim counts as overdue after that.
const WHOLE_MS: u64 = 1_500;

/// A state node, a till, and a relay before the node that keeps answers back when told to.
struct Bench {
    node: Process,
    state: SocketAddr,
    relay: SocketAddr,
    /// Name of the call whose answer is kept back; the relay tells when it did.
    kept: Receiver<()>,
    /// Whether the till keeps its answers back, and how often it ran a deposit.
    slow: Arc<AtomicBool>,
    ran: Arc<AtomicUsize>,
    started: Receiver<()>,
    folder: tempfile::TempDir,
}

impl Bench {
    fn start(keep: &'static str) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let state = free_address();
        let node = Process::state(state, folder.path());
        let (keeps, kept) = bounded(8);
        let (starts, started) = bounded(8);
        let (slow, ran) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        let relay = relay(state, keep, keeps);
        let till = till(&slow, &ran, starts);
        let bench = Self {
            node,
            state,
            relay,
            kept,
            slow,
            ran,
            started,
            folder,
        };
        bench.configure(till);
        bench
    }

    fn configure(&self, till: SocketAddr) {
        let calls = RpcRuntime::start(1, Duration::from_secs(2)).unwrap();
        let client = StateClient::new(&calls, &"tester".into(), &[self.state]).unwrap();
        let mut contract = contract();
        contract.classes[0].targets.whole_answer_ms = WHOLE_MS;
        contract.classes[0].targets.first_token_ms = None;
        contract.classes[0].targets.between_tokens_ms = None;
        let changes = [
            Change::PutContract(contract),
            Change::PutUpstream(service("t", "till", till)),
        ];
        for (number, change) in changes.into_iter().enumerate() {
            let id = format!("change-{number}").as_str().into();
            let ask = Propose {
                id,
                base: None,
                operator: "tester".to_owned(),
                change,
            };
            until("a change", || {
                matches!(client.propose(Revision(0), &ask), Ok(Proposed::Accepted(_)))
            });
        }
    }

    /// Sends a deposit through a host that is killed at the moment that the test waits for.
    fn kill_during(&self, moment: &Receiver<()>) {
        let (mut entry, address, _) = Process::entry("entry-1", self.relay, &[]);
        let connection = send(
            address,
            "POST",
            "/services/till/deposits",
            &[("Idempotency-Key", "labret-1")],
            b"50",
        );
        moment.recv_timeout(PATIENCE).unwrap();
        entry.kill();
        drop(connection);
    }

    /// Resends the deposit through another host until its end is known or it is known to be unknown.
    fn resend(&self) -> Answer {
        let (_entry, address, _) = Process::entry("entry-2", self.state, &[]);
        let begin = Instant::now();
        loop {
            let answer = deposit(address);
            if answer.status != 409 {
                return answer;
            }
            assert!(begin.elapsed() < PATIENCE, "{answer:?}");
        }
    }

    fn ran(&self) -> usize {
        self.ran.load(Ordering::SeqCst)
    }
}

fn deposit(entry: SocketAddr) -> Answer {
    call(
        entry,
        "POST",
        "/services/till/deposits",
        &[("Idempotency-Key", "labret-1")],
        b"50",
    )
}

/// Passes calls on to the state node; the answer to the named call is kept back for ever.
fn relay(state: SocketAddr, keep: &'static str, keeps: Sender<()>) -> SocketAddr {
    let kept = AtomicBool::new(false);
    serve(move |Got { body, .. }, stream| {
        let text = String::from_utf8(body).unwrap();
        let named = !keep.is_empty() && text.contains(keep);
        let request = ureq::post(format!("http://{state}/")).header("Content-Type", "application/json");
        let answer = request
            .send(&text)
            .ok()
            .and_then(|mut answer| answer.body_mut().read_to_string().ok());
        if named && !kept.swap(true, Ordering::SeqCst) {
            keeps.send(()).unwrap();
            std::thread::sleep(PATIENCE);
        }
        if let Some(answer) = answer {
            reply(&stream, "200 OK", "Content-Type: application/json\r\n", &answer);
        }
    })
}

/// A till that runs every deposit it gets and tells by key what became of it.
fn till(slow: &Arc<AtomicBool>, ran: &Arc<AtomicUsize>, starts: Sender<()>) -> SocketAddr {
    let (slow, ran) = (Arc::clone(slow), Arc::clone(ran));
    let tiny = rouille::Server::new("127.0.0.1:0", move |request| {
        let booked = || rouille::Response::text("booked").with_status_code(201);
        match (request.method(), request.url().as_str()) {
            ("GET", "/outcomes/labret-1") if ran.load(Ordering::SeqCst) > 0 => rouille::Response::text("booked"),
            ("GET", _) => rouille::Response::empty_404(),
            _ => {
                ran.fetch_add(1, Ordering::SeqCst);
                starts.send(()).unwrap();
                if slow.load(Ordering::SeqCst) {
                    std::thread::sleep(Duration::from_millis(WHOLE_MS));
                }
                booked()
            }
        }
    });
    let server = tiny.unwrap().pool_size(8);
    let address = server.server_addr();
    std::thread::spawn(move || server.run());
    address
}

/// The host dies when the claim is written and nothing is sent yet. The resend must not send the deposit either, as
/// nobody else can know whether the first host had; the caller is told that its end is unknown.
#[test]
fn before_sending() {
    let bench = Bench::start("state_claim");
    bench.kill_during(&bench.kept);
    let answer = bench.resend();
    assert_eq!(
        (answer.status, answer.header("Gentian-Outcome")),
        (504, Some("unknown")),
        "{answer:?}"
    );
    assert_eq!(bench.ran(), 0);
}

/// The host dies while the till works. The customer was charged, once; the resend tells so, from the till's own record.
#[test]
fn before_answer() {
    let bench = Bench::start("");
    bench.slow.store(true, Ordering::SeqCst);
    bench.kill_during(&bench.started);
    let answer = bench.resend();
    assert_eq!((answer.status, answer.text().as_str()), (200, "booked"));
    assert_eq!(bench.ran(), 1);
}

/// The host dies when the till has answered and the outcome is on its way to the log. It is written there, only the
/// answer to that is lost; the resend gets the first answer.
#[test]
fn before_record() {
    let bench = Bench::start("state_settle");
    bench.kill_during(&bench.kept);
    let answer = bench.resend();
    assert_eq!((answer.status, answer.text().as_str()), (201, "booked"));
    assert_eq!(bench.ran(), 1);
}

/// No state node can be reached, as on the small side of a cut. Deposits are refused as not run and the caller is told
/// when to come back, while lookups go on. Once the node is back, the same deposit runs, once.
#[test]
fn cut_off() {
    let mut bench = Bench::start("");
    let (_entry, address, _) = Process::entry("entry-1", bench.state, &[]);
    bench.node.kill();
    let refused = deposit(address);
    assert_eq!(
        (refused.status, refused.header("Gentian-Outcome")),
        (503, Some("not-run")),
        "{refused:?}"
    );
    assert!(refused.header("Retry-After").is_some());
    assert_eq!(call(address, "GET", "/services/till/stock", &[], &[]).status, 404);
    assert_eq!(bench.ran(), 0);
    bench.node = Process::state(bench.state, bench.folder.path());
    until("the deposit", || deposit(address).status == 201);
    assert_eq!(deposit(address).status, 201);
    assert_eq!(bench.ran(), 1);
}
