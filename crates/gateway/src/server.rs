//! The listeners of an entry host and its planned stop.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::BytesMut;
use contract::{Repeatable, Route};
use metrics::{counter, gauge};
use slog::{info, warn};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

use crate::gate::Gate;
use crate::head::{self, Framing, Head, HeadError, RequestLine};
use crate::input::{Input, NoRequest};
use crate::refusal::Refusal;
use crate::request::{Progress, Request};

/// Pause between two looks at what other threads have brought.
const EXCHANGE: Duration = Duration::from_millis(100);
/// Time after the request to stop in which the balancer notices that the host is not ready; idle connections stay until
/// then, and requests are served. It asks once a second and wants two misses. What comes later and could be cut by the end
/// of the process is refused as not run.
const NOTICED: Duration = Duration::from_millis(2_700);
/// Time after which a caller that was refused because of the stop finds another host.
const ELSEWHERE: Duration = Duration::from_millis(50);
/// Time before the process is ended from outside at which it ends itself.
const MARGIN: Duration = Duration::from_millis(400);
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Longest wait of a request for a first catalog, and the share of its time that it may take. A group that has lost power
/// elects a leader within 0.8 s of its start.
const UNKNOWN: Duration = Duration::from_millis(900);
const UNKNOWN_SHARE: f64 = 0.35;
/// Pause between two looks whether a catalog is known.
const LOOK: Duration = Duration::from_millis(20);
/// Longest wait for a question of the balancer.
const QUESTION: Duration = Duration::from_secs(2);
/// Longest question of the balancer.
const MAX_QUESTION: usize = 8 * 1024;
/// Pause after a connection could not be accepted, for instance because there are no descriptors left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Where an entry host listens, and how long a stop may take.
#[derive(Clone, Copy, Debug)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer's question whether the host takes new connections.
    pub ready: SocketAddr,
    /// For scrapers.
    pub metrics: Option<SocketAddr>,
    /// Time from the request to stop until the process is ended from outside.
    pub grace: Duration,
}

/// What the connections of a process share besides the gate.
struct Server {
    gate: Rc<Gate>,
    stop: Arc<AtomicBool>,
    /// When the request to stop came.
    stopping: Cell<Option<Instant>>,
    /// Requests that are being served.
    active: Cell<usize>,
    grace: Duration,
    render: Box<dyn Fn() -> String>,
}

/// Serves callers until the process is told to stop; `render` gives the metrics.
///
/// # Errors
/// Fails when an address can't be listened on.
pub fn run(gate: Gate, listen: Listen, stop: Arc<AtomicBool>, render: Box<dyn Fn() -> String>) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let server = Rc::new(Server {
        gate: Rc::new(gate),
        stop,
        stopping: Cell::new(None),
        active: Cell::new(0),
        grace: listen.grace,
        render,
    });
    LocalSet::new().block_on(&runtime, server.serve(listen))
}

impl Server {
    async fn serve(self: Rc<Self>, listen: Listen) -> io::Result<()> {
        let callers = bind(listen.callers)?;
        let ready = bind(listen.ready)?;
        spawn_local(Rc::clone(&self).accept(ready, Kind::Question));
        if let Some(address) = listen.metrics {
            spawn_local(Rc::clone(&self).accept(bind(address)?, Kind::Question));
        }
        spawn_local(Rc::clone(&self).accept(callers, Kind::Caller));
        info!(self.gate.logger, "serving"; "callers" => %listen.callers, "ready" => %listen.ready);
        let mut told_ready = false;
        loop {
            sleep(EXCHANGE).await;
            self.gate.exchange();
            self.gate.fill_buckets();
            if self.stop.load(Ordering::Relaxed) && self.stopping.get().is_none() {
                self.stopping.set(Some(Instant::now()));
                info!(self.gate.logger, "stopping"; "active" => self.active.get());
            }
            let ready = self.is_ready();
            if ready != told_ready {
                info!(self.gate.logger, "readiness changed"; "ready" => ready);
                told_ready = ready;
            }
            gauge!("gentian_gateway_active_count").set(self.active.get() as f64);
            if self.has_ended() {
                info!(self.gate.logger, "stopped"; "active" => self.active.get());
                return Ok(());
            }
        }
    }

    fn is_ready(&self) -> bool {
        self.knows_enough() && self.stopping.get().is_none()
    }

    fn has_ended(&self) -> bool {
        let Some(since) = self.stopping.get() else {
            return false;
        };
        let passed = since.elapsed();
        (passed >= NOTICED + EXCHANGE * 2 && self.active.get() == 0) || passed >= self.grace.saturating_sub(MARGIN)
    }

    async fn accept(self: Rc<Self>, listener: TcpListener, kind: Kind) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let server = Rc::clone(&self);
                    match kind {
                        Kind::Caller => drop(spawn_local(server.callers(stream))),
                        Kind::Question => drop(spawn_local(server.question(stream))),
                    }
                }
                Err(error) => {
                    warn!(self.gate.logger, "accept failed"; "error" => %error);
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Answers the balancer or a scraper.
    async fn question(self: Rc<Self>, mut stream: TcpStream) {
        let mut buffer = BytesMut::new();
        loop {
            let head = match head::take_request(&mut buffer, MAX_QUESTION) {
                Ok(Some(head)) => head,
                Ok(None) => match timeout(QUESTION, stream.read_buf(&mut buffer)).await {
                    Ok(Ok(count)) if count > 0 => continue,
                    _ => return,
                },
                Err(_malformed) => return,
            };
            let (status, body) = self.reply(&head);
            let answer = format!(
                "HTTP/1.1 {status}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(answer.as_bytes()).await.is_err() || !head.keeps() {
                return;
            }
        }
    }

    fn reply(&self, head: &Head<RequestLine>) -> (&'static str, String) {
        let path = &*head.start.target;
        if path == b"/metrics" {
            ("200 OK", (self.render)())
        } else if path != self.gate.dialect.ready_path().as_bytes() {
            ("404 Not Found", String::new())
        } else if self.is_ready() {
            ("200 OK", "ready\n".to_owned())
        } else {
            ("503 Service Unavailable", "not ready\n".to_owned())
        }
    }

    /// Serves the requests of one connection.
    async fn callers(self: Rc<Self>, stream: TcpStream) {
        // Without it the connection only is slower.
        let _ = stream.set_nodelay(true);
        let (read, mut out) = stream.into_split();
        let mut input = Input::new(read);
        counter!("gentian_gateway_connections_total").increment(1);
        while self.wait(&mut input).await {
            self.active.set(self.active.get() + 1);
            let kept = self.one(&mut input, &mut out).await;
            self.active.set(self.active.get() - 1);
            match kept {
                Kept::Open => {}
                Kept::Closing => {
                    // What was written stays; an error means that the caller is gone.
                    let _ = out.shutdown().await;
                    input.drain().await;
                    return;
                }
                Kept::Gone => return,
            }
        }
    }

    /// Waits for the next request; tells whether it came.
    async fn wait(&self, input: &mut Input) -> bool {
        let limits = self
            .gate
            .shared
            .table
            .load()
            .as_ref()
            .map(|table| table.catalog().limits);
        let idle = Duration::from_millis(limits.unwrap_or_default().idle_ms);
        tokio::select! {
            begun = timeout(idle, input.begins()) => begun.unwrap_or(false),
            () = self.closes_idle() => false,
        }
    }

    /// Waits until idle connections are closed because the process stops.
    async fn closes_idle(&self) {
        loop {
            if self.is_closed() {
                return;
            }
            sleep(EXCHANGE).await;
        }
    }

    /// Tells whether the stop is so far that requests are no longer served.
    fn is_closed(&self) -> bool {
        self.stopping.get().is_some_and(|since| since.elapsed() >= NOTICED)
    }

    /// Waits a short time until a catalog, a list and the own part of the quotas are known.
    ///
    /// After a restart of the whole system they come within a second. A caller who is refused before that has used up its
    /// one repeat, or comes back later than it would have been served.
    async fn wait_known(&self, patience: Option<Duration>) {
        let share = patience.unwrap_or(UNKNOWN).mul_f64(UNKNOWN_SHARE);
        let until = Instant::now() + UNKNOWN.min(share);
        let told = || self.gate.shared.parts.load().is_some();
        while !(self.knows_enough() && told()) && Instant::now() < until {
            self.gate.exchange();
            sleep(LOOK).await;
        }
    }

    /// Tells whether a catalog and a list of upstreams are known.
    fn knows_enough(&self) -> bool {
        self.gate.shared.table.load().is_some() && self.gate.upstreams.borrow().listed.is_some()
    }

    /// Tells whether a request of a route surely ends before the process does.
    fn ends_in_time(&self, route: &Route) -> bool {
        let streams = matches!(route.repeat, Repeatable::Stream | Repeatable::ResumableStream);
        let passed = self.stopping.get().map_or(Duration::ZERO, |since| since.elapsed());
        !streams && passed + Duration::from_millis(route.timeout_ms) < self.grace.saturating_sub(MARGIN)
    }

    /// Serves one request.
    async fn one(&self, input: &mut Input, out: &mut OwnedWriteHalf) -> Kept {
        let request = match self.read(input, out).await {
            Ok(request) => request,
            Err(NoService::Gone) => return Kept::Gone,
            Err(NoService::Refused(refusal, keep)) => {
                let close = refusal.close || !keep;
                if out.write_all(&refusal.render(close)).await.is_err() {
                    return Kept::Gone;
                }
                return if close { Kept::Closing } else { Kept::Open };
            }
        };
        let keep = request.keep;
        let end = tokio::select! {
            end = request.serve(&self.gate, out) => end,
            () = input.gone() => {
                counter!("gentian_gateway_callers_left_total").increment(1);
                info!(self.gate.logger, "caller left"; "request" => &request.asked.id,
                    "after_ms" => request.came.elapsed().as_millis() as u64, "sends" => request.progress.get().sends);
                return Kept::Gone;
            }
        };
        match end {
            crate::request::End::Broken { .. } => Kept::Gone,
            _ if keep => Kept::Open,
            _ => Kept::Closing,
        }
    }

    /// Reads a request and finds who asks and which service it goes to.
    async fn read(&self, input: &mut Input, out: &mut OwnedWriteHalf) -> Result<Request, NoService> {
        let gate = &self.gate;
        let limits = gate
            .shared
            .table
            .load()
            .as_ref()
            .map(|table| table.catalog().limits)
            .unwrap_or_default();
        let came = Instant::now();
        let head = input
            .head(limits.head_bytes, Duration::from_millis(limits.head_ms))
            .await;
        let head = head.map_err(|why| self.malformed(&why))?;
        let framing = head
            .framing()
            .map_err(|error| self.malformed(&NoRequest::Head(error)))?;
        let keep = head.keeps() && self.stopping.get().is_none();
        if head.all("host").count() != 1 {
            return Err(self.refused(Refusal::closing(400, "one host is needed"), "", keep));
        }
        let asked = match gate.dialect.asked(&head) {
            Ok(asked) => asked,
            Err(why) => return Err(self.refused(Refusal::closing(400, why), "", keep)),
        };
        let id = asked.id.clone();
        self.wait_known(asked.patience).await;
        let routed = gate.route(&head, &asked);
        let body = self
            .body(input, out, &head, framing, limits.body_bytes, came, &asked)
            .await?;
        let (route, service, account) = routed.map_err(|refusal| self.refused(refusal, &id, keep))?;
        if self.is_closed() && !self.ends_in_time(&route) {
            let refusal = Refusal::closing(503, "not run: the host stops").retry_in(ELSEWHERE);
            return Err(self.refused(refusal, &id, false));
        }
        gate.note_request(&service);
        if let Some(account) = &account
            && let Err(over) = gate.admit(account, &asked).await
        {
            let wait = Duration::from_secs_f64(over.wait_s.clamp(0.05, 30.0));
            info!(gate.logger, "over quota"; "request" => &id, "account" => &account.name, "saved" => over.saved as i64,
                "rate" => over.rate as i64, "tokens" => asked.tokens.map(|tokens| tokens.prompt + tokens.answer),
                "entries" => gate.entries());
            let refusal = Refusal::new(429, "not run: over the account's quota").retry_in(wait);
            return Err(self.refused(refusal, &id, keep));
        }
        let until = gate.until(came, &asked, &route);
        Ok(Request {
            head,
            asked,
            body,
            route,
            service,
            account,
            came,
            until,
            keep,
            progress: Cell::new(Progress::default()),
            placed: RefCell::new(None),
        })
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "each says one thing about the body that is read"
    )]
    async fn body(
        &self,
        input: &mut Input,
        out: &mut OwnedWriteHalf,
        head: &Head<RequestLine>,
        framing: Framing,
        most: usize,
        came: Instant,
        asked: &crate::dialect::Asked,
    ) -> Result<bytes::Bytes, NoService> {
        if head.has_word("expect", "100-continue") && out.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await.is_err() {
            return Err(NoService::Gone);
        }
        let until = came + asked.patience.unwrap_or(Duration::from_secs(30));
        input
            .body(framing, most, until)
            .await
            .map_err(|why| self.malformed(&why))
    }

    fn malformed(&self, why: &NoRequest) -> NoService {
        let refusal = match why {
            NoRequest::Ended => return NoService::Gone,
            NoRequest::Head(HeadError::TooLarge) => Refusal::closing(431, "the head is too large"),
            NoRequest::Head(HeadError::Malformed) => Refusal::closing(400, "the head is malformed"),
            NoRequest::Body => Refusal::closing(400, "the body is malformed"),
            NoRequest::TooLarge => Refusal::closing(413, "the body is too large"),
            NoRequest::Late => Refusal::closing(408, "not run: the request did not come in time"),
        };
        self.refused(refusal, "", false)
    }

    fn refused(&self, refusal: Refusal, id: &str, keep: bool) -> NoService {
        counter!("gentian_gateway_refused_total", "status" => refusal.status.to_string()).increment(1);
        let version = self
            .gate
            .shared
            .table
            .load()
            .as_ref()
            .map(|table| table.catalog().version);
        info!(self.gate.logger, "request refused"; "request" => id, "status" => refusal.status, "why" => &refusal.why,
            "retry_ms" => refusal.retry.map(|after| after.as_millis() as u64), "version" => version);
        NoService::Refused(refusal, keep)
    }
}

/// Who connects to a listener.
#[derive(Clone, Copy)]
enum Kind {
    Caller,
    Question,
}

/// What becomes of a connection after a request.
enum Kept {
    Open,
    Closing,
    Gone,
}

/// A request that is not passed on.
enum NoService {
    Gone,
    Refused(Refusal, bool),
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
