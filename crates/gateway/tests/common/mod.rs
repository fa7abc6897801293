//! An entry host with scripted upstreams on loopback.
#![allow(dead_code, reason = "each test uses another part of it")]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use contract::{
    Catalog, ClientAccount, KeyHash, Listed, NodeId, Quota, Repeatable, Route, Service, ServiceName, Share, Zone,
};
use gateway::dialect::{Asked, Attempt, Copying, Dialect, Tokens, Told};
use gateway::gate::{Gate, Place, Shared};
use gateway::head::{Head, RequestLine, StatusLine};
use gateway::lender::Lender;
use gateway::server::{self, Listen};
use gateway::table::Table;
use load::trial::process::free_address;
use parking_lot::Mutex;
use policy::Tick;
use policy::parts::Slack;
use policy::retries::Bounds;
use slog::{Discard, Logger, o};
use telemetry::Clock;
use wire::registry::Parts;

/// Longest wait for anything; only a guard against hanging.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Headers of the tests' own.
struct Words;

impl Dialect for Words {
    fn asked(&self, head: &Head<RequestLine>) -> Result<Asked, String> {
        let number = |name| head.get(name).and_then(|text| text.parse().ok());
        Ok(Asked {
            id: head.get("id").unwrap_or_default().to_owned(),
            patience: number("wait-ms").map(Duration::from_millis),
            key: head.get("key").map(KeyHash::of),
            after: number("after"),
            tokens: number("prompt")
                .zip(number("most"))
                .map(|(prompt, answer)| Tokens { prompt, answer }),
            ..Asked::default()
        })
    }

    fn passes(&self, name: &[u8]) -> bool {
        !["key", "after", "wait-ms", "account"]
            .iter()
            .any(|own| name.eq_ignore_ascii_case(own.as_bytes()))
    }

    fn write(&self, out: &mut Vec<u8>, attempt: &Attempt<'_>) {
        let after = attempt
            .after
            .map(|after| format!("After: {after}\r\n"))
            .unwrap_or_default();
        let (left, upstream) = (attempt.left.as_millis(), attempt.upstream);
        let copy = attempt
            .copy
            .map(|copy| format!("Copy: {}/{}\r\n", copy.source, copy.handle));
        let copy = copy.unwrap_or_default();
        let lines = format!("Wait-Ms: {left}\r\nMeant: {upstream}\r\n{after}{copy}");
        out.extend_from_slice(lines.as_bytes());
    }

    fn write_copy(&self, out: &mut Vec<u8>, copying: &Copying) {
        let Copying { request, to, last, .. } = copying;
        let text =
            format!("POST /copy HTTP/1.1\r\nOf: {request}\r\nTo: {to}\r\nLast: {last}\r\nContent-Length: 0\r\n\r\n");
        out.extend_from_slice(text.as_bytes());
    }

    fn copied(&self, body: &[u8]) -> Option<String> {
        String::from_utf8(body.to_vec()).ok()
    }

    fn told(&self, head: &Head<StatusLine>) -> Told {
        Told {
            id: head.get("id").map(str::to_owned),
            refused: head.get("not-run").is_some(),
            other: head.start.status == 421,
            signed: head.get("signed").is_some(),
            load: None,
            idle: None,
        }
    }

    fn ready_path(&self) -> &'static str {
        "/ready"
    }
}

/// A request as an upstream read it.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Its head.
    pub head: String,
    /// Its body.
    pub body: Vec<u8>,
}

impl Seen {
    /// Gives the value of a header.
    pub fn get(&self, name: &str) -> Option<String> {
        let start = format!("{name}: ");
        let line = self.head.lines().find(|line| line.starts_with(&start));
        line.map(|line| line[start.len()..].to_owned())
    }
}

/// What an upstream does with a request; it returns whether the connection stays open.
pub type Script = Box<dyn Fn(&Seen, &mut TcpStream) -> bool + Send + Sync>;

/// A scripted upstream.
pub struct Upstream {
    /// Where it answers.
    pub address: SocketAddr,
    /// Requests that it read.
    pub seen: Arc<Mutex<Vec<Seen>>>,
    /// Connections whose other side has closed.
    pub closed: Arc<Mutex<Vec<Instant>>>,
}

impl Upstream {
    /// Starts one.
    pub fn start(script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (seen, closed) = (Arc::default(), Arc::default());
        let (notes, ends) = (Arc::clone(&seen), Arc::clone(&closed));
        let script = Arc::new(script);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (script, notes, ends) = (Arc::clone(&script), Arc::clone(&notes), Arc::clone(&ends));
                thread::spawn(move || serve(stream, &**script, &notes, &ends));
            }
        });
        Self { address, seen, closed }
    }

    /// Gives the number of requests that it read.
    pub fn count(&self) -> usize {
        self.seen.lock().len()
    }
}

fn serve(
    mut stream: TcpStream,
    script: &(dyn Fn(&Seen, &mut TcpStream) -> bool + Send + Sync),
    notes: &Mutex<Vec<Seen>>,
    ends: &Mutex<Vec<Instant>>,
) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(seen) = read_request(&mut reader) {
        notes.lock().push(seen.clone());
        if !script(&seen, &mut stream) {
            return;
        }
    }
    ends.lock().push(Instant::now());
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Seen> {
    let mut seen = Seen::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line == "\r\n" {
            break;
        }
        seen.head += &line;
    }
    let length = seen.get("Content-Length").and_then(|text| text.trim().parse().ok());
    seen.body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut seen.body).ok()?;
    Some(seen)
}

/// Writes an answer with a length.
pub fn answer(seen: &Seen, stream: &mut TcpStream, status: &str, lines: &str, body: &str) -> bool {
    let id = seen.get("Id").unwrap_or_default();
    let text = format!(
        "HTTP/1.1 {status}\r\nId: {id}\r\n{lines}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).is_ok()
}

/// Writes the head of a stream that ends with its connection or its last chunk.
pub fn begin_stream(seen: &Seen, stream: &mut TcpStream) {
    let id = seen.get("Id").unwrap_or_default();
    let head = format!("HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: s\r\nTransfer-Encoding: chunked\r\n\r\n");
    stream.write_all(head.as_bytes()).unwrap();
}

/// Writes one event as a chunk.
pub fn send_event(stream: &mut TcpStream, id: u64) {
    let event = format!("id: {id}\ndata: piece {id}\n\n");
    // The other side may have closed, which some tests want.
    let _ = stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes());
}

/// Lists upstreams as ready, under the names `u0`, `u1` and so on.
pub fn listed(upstreams: &[&Upstream]) -> Vec<Listed> {
    let one = |(at, upstream): (usize, &&Upstream)| Listed {
        id: format!("u{at}"),
        start: 1,
        service: ServiceName::from("till"),
        address: upstream.address,
        zone: Zone::from("z"),
        slots: 4,
        leaving: false,
        reclaimable: false,
        cold: Duration::ZERO,
        left: None,
    };
    upstreams.iter().enumerate().map(one).collect()
}

/// A running entry host.
pub struct Host {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks.
    pub ready: SocketAddr,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Host {
    /// Starts one whose single route leads to the upstreams.
    pub fn start(repeat: Repeatable, attempts: u32, upstreams: &[&Upstream]) -> Self {
        Self::with(repeat, attempts, 5_000, upstreams)
    }

    /// Starts one with a timeout of its route.
    pub fn with(repeat: Repeatable, attempts: u32, timeout_ms: u64, upstreams: &[&Upstream]) -> Self {
        Self::run(Self::shared(repeat, attempts, timeout_ms, upstreams))
    }

    /// Starts one that lets an account with the key `k` use so many requests a second.
    pub fn with_quota(upstreams: &[&Upstream], per_s: f64) -> Self {
        let shared = Self::shared(Repeatable::Once, 1, 5_000, upstreams);
        let mut catalog = shared.table.load_full().unwrap().catalog().clone();
        catalog.accounts = vec![ClientAccount {
            name: "a".to_owned(),
            keys: vec![KeyHash::of("k")],
            priority: None,
            quota: Some(Quota {
                per_s,
                burst: 5.0,
                tokens: false,
                plain: 1.0,
            }),
        }];
        shared.table.store(Some(Arc::new(Table::new(catalog))));
        Self::run(shared)
    }

    /// Makes what such a host knows.
    pub fn shared(repeat: Repeatable, attempts: u32, timeout_ms: u64, upstreams: &[&Upstream]) -> Arc<Shared> {
        let service = ServiceName::from("till");
        let route = Route {
            name: "r".to_owned(),
            host: "a.example".to_owned(),
            prefix: "/x/".to_owned(),
            repeat,
            timeout_ms,
            target_ms: 500,
            attempts,
            split: vec![Share {
                service: service.clone(),
                weight: 1,
            }],
            ..Route::default()
        };
        let catalog = Catalog {
            version: 1,
            routes: vec![route],
            services: vec![Service {
                name: service.clone(),
                ..Service::default()
            }],
            ..Catalog::default()
        };
        let shared = Arc::new(Shared::default());
        shared.table.store(Some(Arc::new(Table::new(catalog))));
        shared.parts.store(Arc::new(Some(Parts { entries: 1, floor: 1.0 })));
        *shared.list.lock() = Some((listed(upstreams), Tick::default()));
        shared
    }

    /// Starts one that knows nothing yet.
    pub fn run(shared: Arc<Shared>) -> Self {
        // Not a port that the system gives out: another test or process would be given it before the host listens there.
        let (callers, ready) = (free_address(), free_address());
        let stop = Arc::new(AtomicBool::new(false));
        let flag = Arc::clone(&stop);
        let work = move || {
            let place = Place {
                zone: Zone::from("z"),
                repeats: Bounds {
                    ratio: 0.2,
                    extra: 50.0,
                    window: Duration::from_secs(10),
                },
                slack: Slack::default(),
                window: Duration::from_secs(5),
            };
            let lender = Lender::new(NodeId::from("e"), Arc::clone(&shared));
            let log = (Clock::start(), Logger::root(Discard, o!()));
            let gate = Gate::new(Box::new(Words), shared, place, lender, log);
            let listen = Listen {
                callers,
                ready,
                metrics: None,
                grace: Duration::from_secs(8),
            };
            server::run(gate, listen, flag, Box::new(String::new)).unwrap();
        };
        let host = Self {
            callers,
            ready,
            stop,
            thread: Some(thread::spawn(work)),
        };
        host.wait_listening();
        host
    }

    fn wait_listening(&self) {
        let begun = Instant::now();
        while TcpStream::connect(self.callers).is_err() {
            assert!(begun.elapsed() < PATIENCE, "the host does not listen");
            thread::sleep(Duration::from_millis(5));
        }
        // The list is taken over at the next exchange.
        thread::sleep(Duration::from_millis(250));
    }

    /// Tells the host to stop.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    /// Opens a connection.
    pub fn connect(&self) -> Caller {
        let stream = TcpStream::connect(self.callers).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Caller(BufReader::new(stream))
    }

    /// Sends a request on a new connection and reads its answer.
    pub fn ask(&self, lines: &str, body: &str) -> Reply {
        let mut caller = self.connect();
        caller.send(lines, body);
        caller.reply()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.stop();
        drop(self.thread.take());
    }
}

/// A caller's connection.
pub struct Caller(pub BufReader<TcpStream>);

/// An answer as a caller read it.
#[derive(Debug)]
pub struct Reply {
    /// Status code; zero when the connection ended before an answer.
    pub status: u16,
    /// Its head.
    pub head: String,
    /// Its body as far as it came.
    pub body: String,
    /// Whether the body came whole.
    pub whole: bool,
}

impl Caller {
    /// Sends a request.
    pub fn send(&mut self, lines: &str, body: &str) {
        let head = format!("POST /x/1 HTTP/1.1\r\nHost: a.example\r\nId: q1\r\n{lines}");
        let text = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
        self.write(&text);
    }

    /// Sends bytes as they are.
    pub fn write(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Reads an answer.
    pub fn reply(&mut self) -> Reply {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            let mut line = String::new();
            if self.0.read_line(&mut line).unwrap_or(0) == 0 {
                return Reply {
                    status: 0,
                    head,
                    body: String::new(),
                    whole: false,
                };
            }
            head += &line;
        }
        let status = head.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
        let (body, whole) = if head.contains("Transfer-Encoding: chunked") {
            self.chunks()
        } else {
            let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "));
            let mut body = vec![0; length.map_or(0, |text| text.parse().unwrap())];
            let whole = self.0.read_exact(&mut body).is_ok();
            (String::from_utf8(body).unwrap(), whole)
        };
        Reply {
            status,
            head,
            body,
            whole,
        }
    }

    fn chunks(&mut self) -> (String, bool) {
        let mut body = String::new();
        loop {
            let mut line = String::new();
            if self.0.read_line(&mut line).unwrap_or(0) == 0 {
                return (body, false);
            }
            let size = usize::from_str_radix(line.trim(), 16).unwrap();
            let mut chunk = vec![0; size + 2];
            if self.0.read_exact(&mut chunk).is_err() {
                return (body, false);
            }
            if size == 0 {
                return (body, true);
            }
            body += std::str::from_utf8(&chunk[..size]).unwrap();
        }
    }
}
