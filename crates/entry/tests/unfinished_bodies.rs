//! Crowds of callers of the product's own interface that send large bodies and don't end them, or leave connections open.

mod common;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use common::fake::{reply, serve};
use common::process::{Process, until};
use common::{KEY, contract, free_address, service};
use contract::{Change, Revision};
use parking_lot::{Mutex, MutexGuard};
use standin::crowd::{Crowd, UsageWatch};
use wire::client::{RpcRuntime, StateClient};
use wire::state::{Propose, Proposed};

/// Most memory that the host may take, in megabytes.
const MEMORY_MB: u64 = 96;
/// Bytes that connections of the host may hold, in megabytes, and how many there may be.
const LIMITS: [(&str, &str); 2] = [("GENTIAN_INTAKE_MB", "16"), ("GENTIAN_CONNECTIONS", "256")];
/// Size of a crowd with large bodies, and of one with many connections.
const CALLERS: usize = 120;
const CONNECTIONS: usize = 400;
/// Length of a body, a quarter of the largest allowed, and the largest.
const BODY_BYTES: usize = 1024 * 1024;
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Bytes that a caller sends in turn with the others.
const PIECE_BYTES: usize = 64 * 1024;
/// Longest wait for an answer to an ordinary caller.
const ASK_TIMEOUT: Duration = Duration::from_secs(4);

/// Keeps the tests of this file from running at once.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// A host with lowered limits, its state node and a service.
struct Host {
    entry: Process,
    address: SocketAddr,
    ops: SocketAddr,
    _node: Process,
    _folder: tempfile::TempDir,
    watch: UsageWatch,
    _alone: MutexGuard<'static, ()>,
}

impl Host {
    fn start() -> Self {
        let alone = ONE_AT_A_TIME.lock();
        let folder = tempfile::tempdir().unwrap();
        let state = free_address();
        let node = Process::state(state, folder.path());
        let answering = serve(|_, connection| reply(&connection, "200 OK", "", "done"));
        let calls = RpcRuntime::start(1, Duration::from_secs(2)).unwrap();
        let client = StateClient::new(&calls, &"tester".into(), &[state]).unwrap();
        let changes = [
            Change::PutContract(contract()),
            Change::PutUpstream(service("t", "till", answering)),
        ];
        for (number, change) in changes.into_iter().enumerate() {
            let ask = Propose {
                id: format!("change-{number}").as_str().into(),
                base: None,
                operator: "tester".to_owned(),
                change,
            };
            until("a change", || {
                matches!(client.propose(Revision(0), &ask), Ok(Proposed::Accepted(_)))
            });
        }
        let (entry, address, ops) = Process::entry_with("entry-1", state, &[], &LIMITS);
        let watch = UsageWatch::start(entry.id(), &[address, ops]);
        let host = Self {
            entry,
            address,
            ops,
            _node: node,
            _folder: folder,
            watch,
            _alone: alone,
        };
        host.wait_answered(4);
        host
    }

    /// Sends requests with a body of a length as an ordinary caller until one is served.
    fn wait_answered(&self, body_bytes: usize) {
        until("an answer", || ask(self.address, body_bytes) == Some(200));
    }

    /// Checks that ordinary requests and scrapers are answered while a crowd stays, and that the host lives and stayed within
    /// its memory.
    fn check(mut self, crowd: Crowd) {
        self.wait_answered(4);
        self.wait_answered(MAX_BODY_BYTES);
        until("a health check", || {
            let head = "GET /readyz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
            status_of(self.ops, head.as_bytes()) == Some(200)
        });
        drop(crowd);
        assert!(!self.entry.has_ended(), "the host has ended");
        let megabytes = self.watch.finish().memory_bytes / 1_000_000;
        assert!(megabytes <= MEMORY_MB, "the host took {megabytes} MB of {MEMORY_MB}");
    }
}

fn head(key: &str, framing: &str) -> Vec<u8> {
    let head = format!(
        "POST /services/till/deposits HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {KEY}\r\nConnection: close\r\n\
         Idempotency-Key: {key}\r\n{framing}\r\n\r\n"
    );
    head.into_bytes()
}

fn ask(address: SocketAddr, body_bytes: usize) -> Option<u16> {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let key = format!("ordinary-{}", NEXT.fetch_add(1, Ordering::Relaxed));
    let mut request = head(&key, &format!("Content-Length: {body_bytes}"));
    request.resize(request.len() + body_bytes, b'x');
    status_of(address, &request)
}

/// Sends a request; returns the status, `None` without an answer.
fn status_of(address: SocketAddr, request: &[u8]) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, ASK_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(ASK_TIMEOUT)).ok()?;
    stream.set_write_timeout(Some(ASK_TIMEOUT)).ok()?;
    // A host that refuses may answer before it has read everything.
    let _ = stream.write_all(request);
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).ok()?;
    line.split(' ').nth(1)?.parse().ok()
}

/// Guards against bodies of legal size that all are kept until their callers go on.
#[test]
fn body_pieces() {
    let host = Host::start();
    let mut crowd = Crowd::connect(host.address, CALLERS);
    let mut request = head("crowd", &format!("Content-Length: {BODY_BYTES}"));
    request.resize(request.len() + BODY_BYTES - 1, b'x');
    crowd.send(&request, PIECE_BYTES);
    host.check(crowd);
}

/// Guards against chunked bodies, which announce no length.
#[test]
fn large_chunks() {
    let host = Host::start();
    let mut crowd = Crowd::connect(host.address, CALLERS);
    let mut request = head("crowd", "Transfer-Encoding: chunked");
    let chunk = [b"10000\r\n", &*vec![b'x'; 0x1_0000], b"\r\n"].concat();
    for _ in 0..BODY_BYTES / 0x1_0000 {
        request.extend_from_slice(&chunk);
    }
    crowd.send(&request, PIECE_BYTES);
    host.check(crowd);
}

/// Guards against connections on which nothing is asked, and that leave none for others.
#[test]
fn idle_connections() {
    let host = Host::start();
    let crowd = Crowd::connect(host.address, CONNECTIONS);
    host.check(crowd);
}

/// Guards against heads without end at the address of the balancer and the scrapers.
#[test]
fn endless_probes() {
    let host = Host::start();
    let mut crowd = Crowd::connect(host.ops, CALLERS);
    let mut head = b"GET /readyz HTTP/1.1\r\nLong: ".to_vec();
    head.resize(BODY_BYTES, b'x');
    crowd.send(&head, PIECE_BYTES);
    host.check(crowd);
}
