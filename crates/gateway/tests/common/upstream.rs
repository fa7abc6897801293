//! A scripted upstream.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use contract::{Listed, ServiceName, Zone};
use load::trial::process::free_address;
use parking_lot::Mutex;

use super::PATIENCE;

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
