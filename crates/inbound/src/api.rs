//! Serves an HTTP API whose requests and responses are held whole, within an intake.

use std::fmt::Write as _;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use policy::intake::{IntakeFull, Phase};
use rouille::{Request, Response};
use serde_json::json;
use slog::{Logger, warn};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::{LocalSet, spawn_blocking, spawn_local};
use tokio::time::{Instant, sleep, timeout};

use crate::head::{Head, HeadError, RequestLine};
use crate::intake::{Held, Lease, SharedIntake};
use crate::listen::listen;
use crate::request_reader::{Body, ReadError, RequestReader};
use crate::status::reason_phrase;

/// Longest head of a request.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Longest time from the first byte of a head to its end.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time between two requests of a connection.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);
/// Longest time in which a body has to arrive.
const BODY_TIMEOUT: Duration = Duration::from_mins(1);
/// Longest time in which a peer has to take a part of a response.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes of a response that are sent at once.
const SEND_BYTES: usize = 64 * 1024;
/// Length from which a body counts as large. Handling one takes several times its length, so that only one is at a time.
const LARGE_BODY_BYTES: usize = 256 * 1024;
/// Most connections that wait to be accepted.
const BACKLOG: u32 = 256;
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Interval at which the intake is reported.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which the end of the last requests is checked.
const FINISH_POLL: Duration = Duration::from_millis(10);
/// Delay in seconds after which a refused peer should try again.
const RETRY_AFTER_S: u32 = 1;

/// Answers a request.
pub type Handler = dyn Fn(&Request) -> Response + Send + Sync;

/// How an API is served.
#[derive(Clone, Copy, Debug)]
pub struct ApiSettings {
    /// Address that is listened on.
    pub address: SocketAddr,
    /// Requests that are handled at once.
    pub threads: usize,
    /// Longest body.
    pub max_body: usize,
}

/// An API that is served.
#[derive(Clone, Debug)]
pub struct RunningApi {
    /// Address that is listened on.
    pub address: SocketAddr,
    calls: Arc<OpenCalls>,
}

impl RunningApi {
    /// Refuses what comes from now on, and waits until the requests that were read before have their responses, for
    /// `max_wait` at most. Returns how many have none.
    #[must_use]
    pub fn finish(&self, max_wait: Duration) -> usize {
        self.calls.stopping.store(true, Ordering::SeqCst);
        let started = std::time::Instant::now();
        while self.calls.count.load(Ordering::SeqCst) > 0 && started.elapsed() < max_wait {
            thread::sleep(FINISH_POLL);
        }
        self.calls.count.load(Ordering::SeqCst)
    }
}

/// Requests that were read and have no response yet.
#[derive(Debug, Default)]
struct OpenCalls {
    count: AtomicUsize,
    /// Whether no further requests are handled.
    stopping: AtomicBool,
}

/// Counts a request until its response is sent.
struct OpenCall(Arc<OpenCalls>);

impl OpenCall {
    fn begin(calls: &Arc<OpenCalls>) -> Self {
        calls.count.fetch_add(1, Ordering::SeqCst);
        Self(Arc::clone(calls))
    }

    /// Returns whether the request came too late to be handled. Asked after it was counted, so that none is missed.
    fn is_late(&self) -> bool {
        self.0.stopping.load(Ordering::SeqCst)
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.0.count.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Serves an API on threads of its own until the process ends.
///
/// # Errors
/// Fails if the address can't be listened on, or a thread can't be started.
pub fn start(
    settings: ApiSettings,
    intake: SharedIntake,
    handler: Arc<Handler>,
    logger: Logger,
) -> io::Result<RunningApi> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .max_blocking_threads(settings.threads)
        .build()?;
    let listener = {
        let _context = runtime.enter();
        listen(settings.address, BACKLOG)?
    };
    let address = listener.local_addr()?;
    let calls = Arc::new(OpenCalls::default());
    let open_calls = Arc::clone(&calls);
    let serve = move || {
        let api = Rc::new(Api {
            settings,
            intake,
            handler,
            large: Semaphore::new(1),
            calls: open_calls,
            logger,
        });
        LocalSet::new().block_on(&runtime, api.accept(listener));
    };
    thread::Builder::new().name("api".to_owned()).spawn(serve)?;
    Ok(RunningApi { address, calls })
}

struct Api {
    settings: ApiSettings,
    intake: SharedIntake,
    handler: Arc<Handler>,
    /// Permits the handling of a large body.
    large: Semaphore,
    calls: Arc<OpenCalls>,
    logger: Logger,
}

/// A response with its body.
struct Answer {
    response: Response,
    body: Vec<u8>,
    /// Memory of the body.
    _held: Option<Held>,
}

impl Answer {
    fn error(status: u16, reason: &str) -> Self {
        let body = json!({ "error": reason }).to_string().into_bytes();
        let mut response = Response::empty_204().with_status_code(status);
        response
            .headers
            .push(("Content-Type".into(), "application/json".into()));
        if status == 503 {
            let seconds = RETRY_AFTER_S.to_string();
            response.headers.push(("Retry-After".into(), seconds.into()));
        }
        Self {
            response,
            body,
            _held: None,
        }
    }

    fn head(&self, keep_alive: bool) -> Vec<u8> {
        let status = self.response.status_code;
        let mut head = format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status));
        for (name, value) in &self.response.headers {
            // Writing to a string never fails.
            let _ = write!(head, "{name}: {value}\r\n");
        }
        if !keep_alive {
            head += "Connection: close\r\n";
        }
        let _ = write!(head, "Content-Length: {}\r\n\r\n", self.body.len());
        head.into_bytes()
    }
}

impl Api {
    async fn accept(self: Rc<Self>, listener: TcpListener) {
        let reporting = Rc::clone(&self);
        spawn_local(async move {
            loop {
                sleep(REPORT_INTERVAL).await;
                reporting.intake.report();
            }
        });
        loop {
            match listener.accept().await {
                // A peer that is not admitted finds its connection closed before anything was read.
                Ok((stream, peer)) => {
                    if let Ok(lease) = self.intake.open() {
                        spawn_local(Rc::clone(&self).serve(stream, peer, lease));
                    }
                }
                Err(error) => {
                    warn!(self.logger, "accept failed"; "error" => %error);
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Serves the requests of one connection.
    async fn serve(self: Rc<Self>, stream: TcpStream, peer: SocketAddr, lease: Lease) {
        // If this fails, the connection is only slower.
        let _ = stream.set_nodelay(true);
        let (read_half, mut out) = stream.into_split();
        let Ok(mut reader) = RequestReader::new(read_half, lease.clone()) else {
            return;
        };
        while timeout(IDLE_TIMEOUT, reader.wait_for_data()).await.unwrap_or(false) {
            let read = self.read(&mut reader, &mut out).await;
            let call = OpenCall::begin(&self.calls);
            let (answer, keep_alive) = match read {
                Ok(_) if call.is_late() => (Answer::error(503, "the node stops"), false),
                Ok((head, body)) => {
                    let answer = self.handle(&head, body, peer, &lease).await;
                    (answer, head.keeps_alive())
                }
                Err(ReadError::Closed | ReadError::Full(IntakeFull::Closed)) => return,
                Err(reason) => (refusal(reason), false),
            };
            if !send(&mut out, &answer, keep_alive, &lease).await {
                return;
            }
            drop(call);
            if !keep_alive {
                // What was written stays sent; an error means that the peer is gone.
                let _ = out.shutdown().await;
                drop(answer);
                reader.drain().await;
                return;
            }
        }
    }

    async fn read(
        &self,
        reader: &mut RequestReader,
        out: &mut OwnedWriteHalf,
    ) -> Result<(Head<RequestLine>, Body), ReadError> {
        let head = reader.read_head(MAX_HEAD_BYTES, HEAD_TIMEOUT).await?;
        let framing = head.framing().map_err(ReadError::Head)?;
        if head.has_token("expect", "100-continue") {
            let go_on = out.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
            go_on.map_err(|_gone| ReadError::Closed)?;
        }
        let deadline = Instant::now() + BODY_TIMEOUT;
        let body = reader.read_body(framing, self.settings.max_body, deadline).await?;
        Ok((head, body))
    }

    /// Calls the handler on a thread of its own.
    async fn handle(&self, head: &Head<RequestLine>, body: Body, peer: SocketAddr, lease: &Lease) -> Answer {
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        let headers = head
            .headers
            .iter()
            .map(|header| (text(&header.name), text(&header.value)));
        let (method, target) = (text(&head.start.method), text(&head.start.target));
        let headers: Vec<(String, String)> = headers.collect();
        let is_head = method == "HEAD";
        let _permit = if body.bytes.len() > LARGE_BODY_BYTES {
            self.large.acquire().await.ok()
        } else {
            None
        };
        let (handler, lease) = (Arc::clone(&self.handler), lease.clone());
        let answering = spawn_blocking(move || {
            let bytes = Vec::from(body.bytes);
            let request = Request::fake_http_from(peer, method, target, headers, bytes);
            collect(handler(&request), &lease, is_head)
        });
        answering.await.unwrap_or_else(|error| {
            warn!(self.logger, "request handler failed"; "error" => %error);
            Answer::error(500, "the request could not be handled")
        })
    }
}

/// Reads the body of a response.
fn collect(mut response: Response, lease: &Lease, is_head: bool) -> Answer {
    let data = std::mem::replace(&mut response.data, rouille::ResponseBody::empty());
    let (mut data, size) = data.into_reader_and_size();
    let held = lease.hold(size.unwrap_or_default());
    let mut body = Vec::new();
    let read = if is_head { Ok(0) } else { data.read_to_end(&mut body) };
    match (held, read) {
        (Ok(held), Ok(_)) => Answer {
            response,
            body,
            _held: Some(held),
        },
        (Err(full), _) => Answer::error(503, &full.to_string()),
        (_, Err(error)) => Answer::error(500, &error.to_string()),
    }
}

fn refusal(reason: ReadError) -> Answer {
    match reason {
        ReadError::Head(HeadError::TooLarge) => Answer::error(431, "the head is too large"),
        ReadError::Head(HeadError::Malformed) => Answer::error(400, "the head is malformed"),
        ReadError::MalformedBody => Answer::error(400, "the body is malformed"),
        ReadError::BodyTooLarge => Answer::error(413, "the body is too large"),
        ReadError::Closed | ReadError::Timeout => Answer::error(408, "the request did not come in time"),
        ReadError::Full(full) => Answer::error(503, &full.to_string()),
    }
}

/// Sends a response in parts; returns whether the peer took all of it.
async fn send(out: &mut OwnedWriteHalf, answer: &Answer, keep_alive: bool, lease: &Lease) -> bool {
    lease.set_phase(Phase::Waiting);
    let head = answer.head(keep_alive);
    for part in std::iter::once(&*head).chain(answer.body.chunks(SEND_BYTES)) {
        let sent = tokio::select! {
            sent = timeout(SEND_TIMEOUT, out.write_all(part)) => sent.is_ok_and(|sent| sent.is_ok()),
            () = lease.wait_closed() => false,
        };
        if !sent {
            return false;
        }
        lease.advance(part.len());
    }
    true
}
