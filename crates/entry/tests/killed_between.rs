//! An entry host dies during a non-idempotent call: the call runs at most once, and a retry gets its true outcome.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use common::client::{Response, call, send};
use common::fake::{ReceivedRequest, reply, serve};
use common::process::{Process, until};
use common::{TIMEOUT, contract, free_address, service};
use contract::{Change, Revision};
use crossbeam_channel::{Receiver, Sender, bounded};
use wire::client::{RpcRuntime, StateClient};
use wire::state::{Propose, Proposed};

/// Target of the whole answer to a deposit; after that its claim expires.
const ANSWER_TARGET_MS: u64 = 1_500;

/// A state node, a service, and a proxy in front of the node that can withhold a response.
struct Setup {
    node: Process,
    state: SocketAddr,
    proxy: SocketAddr,
    /// Receives a message when the proxy has withheld the response.
    withheld: Receiver<()>,
    /// Whether the service delays its responses.
    slow: Arc<AtomicBool>,
    /// How often the service ran a deposit.
    ran: Arc<AtomicUsize>,
    /// Receives a message when the service starts a deposit.
    started: Receiver<()>,
    folder: tempfile::TempDir,
}

impl Setup {
    fn start(withheld_call: &'static str) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let state = free_address();
        let node = Process::state(state, folder.path());
        let (withheld_sender, withheld) = bounded(8);
        let (started_sender, started) = bounded(8);
        let (slow, ran) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        let proxy = withholding_proxy(state, withheld_call, withheld_sender);
        let deposit_service = deposit_service(&slow, &ran, started_sender);
        let setup = Self {
            node,
            state,
            proxy,
            withheld,
            slow,
            ran,
            started,
            folder,
        };
        setup.configure(deposit_service);
        setup
    }

    fn configure(&self, deposit_service: SocketAddr) {
        let calls = RpcRuntime::start(1, Duration::from_secs(2)).unwrap();
        let client = StateClient::new(&calls, &"tester".into(), &[self.state]).unwrap();
        let mut contract = contract();
        contract.classes[0].targets.whole_answer_ms = ANSWER_TARGET_MS;
        contract.classes[0].targets.first_token_ms = None;
        contract.classes[0].targets.between_tokens_ms = None;
        let changes = [
            Change::PutContract(contract),
            Change::PutUpstream(service("t", "till", deposit_service)),
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

    /// Sends a deposit through an entry host and kills the host when `moment` receives a message.
    fn kill_during(&self, moment: &Receiver<()>) {
        let (mut entry, address, _) = Process::entry("entry-1", self.proxy, &[]);
        let connection = send(
            address,
            "POST",
            "/services/till/deposits",
            &[("Idempotency-Key", "labret-1")],
            b"50",
        );
        moment.recv_timeout(TIMEOUT).unwrap();
        entry.kill();
        drop(connection);
    }

    /// Resends the deposit through another host until it no longer counts as running.
    fn resend(&self) -> Response {
        let (_entry, address, _) = Process::entry("entry-2", self.state, &[]);
        let begin = Instant::now();
        loop {
            let answer = deposit(address);
            if answer.status != 409 {
                return answer;
            }
            assert!(begin.elapsed() < TIMEOUT, "{answer:?}");
        }
    }

    fn ran(&self) -> usize {
        self.ran.load(Ordering::SeqCst)
    }
}

fn deposit(entry: SocketAddr) -> Response {
    call(
        entry,
        "POST",
        "/services/till/deposits",
        &[("Idempotency-Key", "labret-1")],
        b"50",
    )
}

/// Forwards RPCs to the state node; the response to the first RPC that contains `withheld_call` is withheld.
fn withholding_proxy(state: SocketAddr, withheld_call: &'static str, withheld_sender: Sender<()>) -> SocketAddr {
    let withheld = AtomicBool::new(false);
    serve(move |ReceivedRequest { body, .. }, stream| {
        let text = String::from_utf8(body).unwrap();
        let named = !withheld_call.is_empty() && text.contains(withheld_call);
        let request = ureq::post(format!("http://{state}/")).header("Content-Type", "application/json");
        let answer = request
            .send(&text)
            .ok()
            .and_then(|mut answer| answer.body_mut().read_to_string().ok());
        if named && !withheld.swap(true, Ordering::SeqCst) {
            withheld_sender.send(()).unwrap();
            std::thread::sleep(TIMEOUT);
        }
        if let Some(answer) = answer {
            reply(&stream, "200 OK", "Content-Type: application/json\r\n", &answer);
        }
    })
}

/// Starts a service that runs every deposit and reports its outcome by key.
fn deposit_service(slow: &Arc<AtomicBool>, ran: &Arc<AtomicUsize>, started_sender: Sender<()>) -> SocketAddr {
    let (slow, ran) = (Arc::clone(slow), Arc::clone(ran));
    let server = rouille::Server::new("127.0.0.1:0", move |request| {
        let booked = || rouille::Response::text("booked").with_status_code(201);
        match (request.method(), request.url().as_str()) {
            ("GET", "/outcomes/labret-1") if ran.load(Ordering::SeqCst) > 0 => rouille::Response::text("booked"),
            ("GET", _) => rouille::Response::empty_404(),
            _ => {
                ran.fetch_add(1, Ordering::SeqCst);
                started_sender.send(()).unwrap();
                if slow.load(Ordering::SeqCst) {
                    std::thread::sleep(Duration::from_millis(ANSWER_TARGET_MS));
                }
                booked()
            }
        }
    });
    let server = server.unwrap().pool_size(8);
    let address = server.server_addr();
    std::thread::spawn(move || server.run());
    address
}

/// The host dies after the claim was written and before the call was sent. Nobody can know whether it was sent, so the
/// retry must not send it either, and the caller is told that the outcome is unknown.
#[test]
fn before_sending() {
    let setup = Setup::start("state_claim");
    setup.kill_during(&setup.withheld);
    let answer = setup.resend();
    assert_eq!(
        (answer.status, answer.header("Gentian-Outcome")),
        (504, Some("unknown")),
        "{answer:?}"
    );
    assert_eq!(setup.ran(), 0);
}

/// The host dies while the service runs the call. The retry must get the outcome from the service's own record, and the
/// call must have run once.
#[test]
fn before_answer() {
    let setup = Setup::start("");
    setup.slow.store(true, Ordering::SeqCst);
    setup.kill_during(&setup.started);
    let answer = setup.resend();
    assert_eq!((answer.status, answer.text().as_str()), (200, "booked"));
    assert_eq!(setup.ran(), 1);
}

/// The host dies after the service responded, while the outcome is being recorded. The record is written and only the
/// reply to it is lost; the retry must get the first response.
#[test]
fn before_record() {
    let setup = Setup::start("state_settle");
    setup.kill_during(&setup.withheld);
    let answer = setup.resend();
    assert_eq!((answer.status, answer.text().as_str()), (201, "booked"));
    assert_eq!(setup.ran(), 1);
}

/// No state node is reachable, as in the minority of a partition. Non-idempotent calls must be refused as not run with
/// a retry time, while idempotent ones still work. When the node is back, the same deposit runs once.
#[test]
fn state_unreachable() {
    let mut setup = Setup::start("");
    let (_entry, address, _) = Process::entry("entry-1", setup.state, &[]);
    setup.node.kill();
    let refused = deposit(address);
    assert_eq!(
        (refused.status, refused.header("Gentian-Outcome")),
        (503, Some("not-run")),
        "{refused:?}"
    );
    assert!(refused.header("Retry-After").is_some());
    assert_eq!(call(address, "GET", "/services/till/stock", &[], &[]).status, 404);
    assert_eq!(setup.ran(), 0);
    setup.node = Process::state(setup.state, setup.folder.path());
    until("the deposit", || deposit(address).status == 201);
    assert_eq!(deposit(address).status, 201);
    assert_eq!(setup.ran(), 1);
}
