//! A scripted upstream.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use contract::{ListedUpstream, ServiceName, Zone};
use load::trial::process::free_address;
use parking_lot::Mutex;

use super::TEST_TIMEOUT;

/// A request as an upstream reads it.
#[derive(Clone, Debug, Default)]
pub struct ReceivedRequest {
    /// Request line and headers.
    pub head: String,
    /// The whole body.
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    /// Returns the value of a header.
    pub fn get(&self, name: &str) -> Option<String> {
        let prefix = format!("{name}: ");
        let line = self.head.lines().find(|line| line.starts_with(&prefix));
        line.map(|line| line[prefix.len()..].to_owned())
    }
}

/// Responds to a request; returns whether the connection stays open.
pub type Script = Box<dyn Fn(&ReceivedRequest, &mut TcpStream) -> bool + Send + Sync>;

/// A scripted upstream.
pub struct Upstream {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Requests received so far.
    pub requests: Arc<Mutex<Vec<ReceivedRequest>>>,
    /// When connections were closed by the other side.
    pub closed: Arc<Mutex<Vec<Instant>>>,
}

impl Upstream {
    /// Starts an upstream.
    pub fn start(script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (requests, closed) = (Arc::default(), Arc::default());
        let (received, closed_at) = (Arc::clone(&requests), Arc::clone(&closed));
        let script = Arc::new(script);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (script, received, closed_at) =
                    (Arc::clone(&script), Arc::clone(&received), Arc::clone(&closed_at));
                thread::spawn(move || serve(stream, &**script, &received, &closed_at));
            }
        });
        Self {
            address,
            requests,
            closed,
        }
    }

    /// Starts an upstream that gets the id of a request and the connection as soon as it has read the head, and closes the
    /// connection afterwards.
    pub fn start_early(script: impl Fn(&str, &mut TcpStream) + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let requests: Arc<Mutex<Vec<ReceivedRequest>>> = Arc::default();
        let (received, script) = (Arc::clone(&requests), Arc::new(script));
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let (received, script) = (Arc::clone(&received), Arc::clone(&script));
                thread::spawn(move || {
                    let Some(request) = read_head(&mut stream) else {
                        return;
                    };
                    received.lock().push(request.clone());
                    script(&request.get("Id").unwrap_or_default(), &mut stream);
                });
            }
        });
        Self {
            address,
            requests,
            closed: Arc::default(),
        }
    }

    /// Starts an upstream that answers with 200; some time after a request with a certain body it closes its listener and
    /// the connection.
    pub fn start_mortal(deadly_body: &'static str, delay: Duration) -> Self {
        Self::start_crashing(deadly_body, delay, Duration::ZERO)
    }

    /// Starts an upstream that closes the connection of a request with a certain body, and its listener some time later;
    /// it closes the connections that it accepts meanwhile.
    pub fn start_dying(deadly_body: &'static str, linger: Duration) -> Self {
        Self::start_crashing(deadly_body, Duration::ZERO, linger)
    }

    /// Starts an upstream whose process is killed when the script returns `false`: its listener closes, then the
    /// connection, in order.
    pub fn start_killed(script: Script) -> Self {
        Self::start_until(script, Duration::ZERO)
    }

    /// Starts such an upstream whose listener goes on for some time, and closes the connections that it accepts.
    pub fn start_lingering(script: Script, linger: Duration) -> Self {
        Self::start_until(script, linger)
    }

    fn start_crashing(deadly_body: &'static str, delay: Duration, linger: Duration) -> Self {
        let script = move |request: &ReceivedRequest, stream: &mut TcpStream| {
            if request.body == deadly_body.as_bytes() {
                thread::sleep(delay);
                return false;
            }
            // A caller that leaves does not end the process.
            respond(request, stream, "200 OK", "Signed: s\r\n", "");
            true
        };
        Self::start_until(Box::new(script), linger)
    }

    /// Starts an upstream that ends when the script returns `false`. Its listener closes some time later; until then it
    /// closes the connections that it accepts.
    fn start_until(script: Script, linger: Duration) -> Self {
        let address = free_address();
        let listener = TcpListener::bind(address).unwrap();
        let (requests, closed) = (Arc::default(), Arc::default());
        let (received, closed_at) = (Arc::clone(&requests), Arc::clone(&closed));
        let script = Arc::new(script);
        thread::spawn(move || {
            let listener = Arc::new(Mutex::new(Some(listener)));
            let dying = Arc::new(AtomicBool::new(false));
            loop {
                let accepted = listener.lock().as_ref().map(|open| {
                    open.set_nonblocking(true).unwrap();
                    open.accept()
                });
                let Some(accepted) = accepted else {
                    return;
                };
                let Ok((stream, _)) = accepted else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                if dying.load(Ordering::Relaxed) {
                    continue;
                }
                stream.set_nonblocking(false).unwrap();
                let (own, received, closed_at) = (Arc::clone(&listener), Arc::clone(&received), Arc::clone(&closed_at));
                let (dying, script) = (Arc::clone(&dying), Arc::clone(&script));
                let script = move |request: &ReceivedRequest, stream: &mut TcpStream| {
                    if script(request, stream) {
                        return true;
                    }
                    dying.store(true, Ordering::Relaxed);
                    let own = Arc::clone(&own);
                    let close = move || {
                        thread::sleep(linger);
                        *own.lock() = None;
                    };
                    if linger.is_zero() {
                        close();
                    } else {
                        thread::spawn(close);
                    }
                    false
                };
                thread::spawn(move || serve(stream, &script, &received, &closed_at));
            }
        });
        Self {
            address,
            requests,
            closed,
        }
    }

    /// Returns the number of requests received so far.
    pub fn request_count(&self) -> usize {
        self.requests.lock().len()
    }
}

fn serve(
    mut stream: TcpStream,
    script: &(dyn Fn(&ReceivedRequest, &mut TcpStream) -> bool + Send + Sync),
    received: &Mutex<Vec<ReceivedRequest>>,
    closed_at: &Mutex<Vec<Instant>>,
) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(request) = read_request(&mut reader) {
        received.lock().push(request.clone());
        if !script(&request, &mut stream) {
            return;
        }
    }
    closed_at.lock().push(Instant::now());
}

/// Reads a head byte by byte, so that nothing of the body is taken.
fn read_head(stream: &mut TcpStream) -> Option<ReceivedRequest> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    Some(ReceivedRequest {
        head: String::from_utf8(head).ok()?,
        body: Vec::new(),
    })
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<ReceivedRequest> {
    let mut request = ReceivedRequest::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line == "\r\n" {
            break;
        }
        request.head += &line;
    }
    let length = request.get("Content-Length").and_then(|text| text.trim().parse().ok());
    request.body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut request.body).ok()?;
    Some(request)
}

/// Writes a response with a length.
pub fn respond(request: &ReceivedRequest, stream: &mut TcpStream, status: &str, headers: &str, body: &str) -> bool {
    let id = request.get("Id").unwrap_or_default();
    let text = format!(
        "HTTP/1.1 {status}\r\nId: {id}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).is_ok()
}

/// Writes the head of a chunked stream.
pub fn start_stream(request: &ReceivedRequest, stream: &mut TcpStream) {
    let id = request.get("Id").unwrap_or_default();
    let head = format!("HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: s\r\nTransfer-Encoding: chunked\r\n\r\n");
    stream.write_all(head.as_bytes()).unwrap();
}

/// Writes one event as a chunk.
pub fn send_event(stream: &mut TcpStream, id: u64) {
    let event = format!("id: {id}\ndata: piece {id}\n\n");
    // Some tests close the other side.
    let _ = stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes());
}

/// Returns list entries of upstreams that are ready, with the ids `u0`, `u1` and so on.
pub fn listed(upstreams: &[&Upstream]) -> Vec<ListedUpstream> {
    let entry = |(index, upstream): (usize, &&Upstream)| ListedUpstream {
        id: format!("u{index}"),
        start: 1,
        service: ServiceName::from("till"),
        address: upstream.address,
        zone: Zone::from("z"),
        version: String::new(),
        slots: 4,
        leaving: false,
        reclaimable: false,
        cold: Duration::ZERO,
        left: None,
    };
    upstreams.iter().enumerate().map(entry).collect()
}
