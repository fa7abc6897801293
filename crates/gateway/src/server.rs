//! The listeners of an entry host, and its planned stop.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use bytes::BytesMut;
use inbound::intake::Lease;
use inbound::listen::listen;
use metrics::gauge;
use policy::intake::{IntakeFull, Phase};
use slog::{error, info, warn};
use telemetry::panics;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::gate::Gateway;
use crate::head::{self, Head, RequestLine};
use crate::rate_reporter::RateReporter;
use crate::refusal::Refusal;
use crate::relay;
use crate::stop_watch::StopWatch;

/// Interval at which the event loop exchanges state with the background threads.
pub(crate) const SYNC_INTERVAL: Duration = Duration::from_millis(100);
/// Most connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Longest wait for a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest request head of a probe.
const MAX_PROBE_HEAD_BYTES: usize = 8 * 1024;
/// Retry delay for a caller that found no room; a connection that has stalled may be closed for another one by then.
pub(crate) const FULL_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Pause after a connection could not be accepted, for instance for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Pause before a task that panicked begins anew.
const RESTART_PAUSE: Duration = Duration::from_secs(1);

/// Where an entry host listens, and how long a stop may take.
#[derive(Clone, Copy, Debug)]
pub struct ServerSettings {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for the balancer's readiness probe.
    pub ready: SocketAddr,
    /// Address for metrics scrapes; `None` to serve no metrics.
    pub metrics: Option<SocketAddr>,
    /// Time from the request to stop until the process is killed from outside.
    pub stop_grace: Duration,
}

/// State that the connections of a process share.
pub(crate) struct Server {
    pub(crate) gateway: Rc<Gateway>,
    /// Number of requests that are being served.
    pub(crate) active: Cell<usize>,
    /// Number of connections whose last response is on its way.
    pub(crate) closing: Cell<usize>,
    render_metrics: Box<dyn Fn() -> String>,
}

/// Serves callers until `stop` is set; `render_metrics` returns the metrics as text.
///
/// # Errors
/// Fails when an address can't be listened on.
pub fn run(
    mut gateway: Gateway,
    settings: ServerSettings,
    stop: Arc<AtomicBool>,
    render_metrics: Box<dyn Fn() -> String>,
) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    gateway.stop = StopWatch::new(stop, settings.stop_grace, gateway.clock.now());
    let server = Rc::new(Server {
        gateway: Rc::new(gateway),
        active: Cell::new(0),
        closing: Cell::new(0),
        render_metrics,
    });
    LocalSet::new().block_on(&runtime, server.serve(settings))
}

impl Server {
    async fn serve(self: Rc<Self>, settings: ServerSettings) -> io::Result<()> {
        let callers = listen(settings.callers, BACKLOG)?;
        let ready = listen(settings.ready, BACKLOG)?;
        self.start_accepting(ready, ListenerKind::Probe);
        if let Some(address) = settings.metrics {
            self.start_accepting(listen(address, BACKLOG)?, ListenerKind::Probe);
        }
        self.start_accepting(callers, ListenerKind::Caller);
        if let Some(address) = self.gateway.settings.relay {
            self.start_accepting(listen(address, BACKLOG)?, ListenerKind::Host);
        }
        info!(self.gateway.logger, "serving"; "callers" => %settings.callers, "ready" => %settings.ready);
        let gateway = &self.gateway;
        spawn_restarting("slots", gateway, Gateway::release_slots);
        spawn_restarting("crashes", gateway, Gateway::report_crashes);
        spawn_restarting("origins", gateway, Gateway::tell_origins);
        spawn_restarting("waiting", gateway, Gateway::start_waiting);
        let (mut was_ready, mut was_stopping) = (false, false);
        let rate_reporter = RateReporter::default();
        loop {
            sleep(SYNC_INTERVAL).await;
            self.gateway.exchange_state();
            self.gateway.fill_buckets();
            self.gateway.check_links();
            self.gateway.report_waiting();
            self.gateway.report_intake();
            rate_reporter.report(
                &self.gateway.upstreams.borrow(),
                &self.gateway.logger,
                self.gateway.clock.now(),
            );
            let stop = self.gateway.planned_stop();
            if let Some(stop) = stop.filter(|_| !was_stopping) {
                was_stopping = true;
                info!(self.gateway.logger, "stopping"; "active" => self.active.get(),
                    "relayed" => self.gateway.relayed.get(),
                    "left_ms" => stop.left(self.gateway.clock.now()).as_millis() as u64);
            }
            let ready = self.is_ready();
            if ready != was_ready {
                info!(self.gateway.logger, "readiness changed"; "ready" => ready);
                was_ready = ready;
            }
            gauge!("gentian_gateway_active_count").set(self.active.get() as f64);
            let open = self.active.get() + self.closing.get() + self.gateway.relayed.get();
            if stop.is_some_and(|stop| stop.is_over(open, self.gateway.clock.now())) {
                info!(self.gateway.logger, "stopped"; "active" => self.active.get());
                return Ok(());
            }
        }
    }

    fn is_ready(&self) -> bool {
        self.has_config() && self.gateway.planned_stop().is_none()
    }

    /// Starts the task that accepts the connections of a listener.
    fn start_accepting(self: &Rc<Self>, listener: TcpListener, kind: ListenerKind) {
        let (server, listener) = (Rc::clone(self), Rc::new(listener));
        spawn_restarting("accept", &self.gateway, move |_| {
            Rc::clone(&server).accept(Rc::clone(&listener), kind)
        });
    }

    async fn accept(self: Rc<Self>, listener: Rc<TcpListener>, kind: ListenerKind) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let server = Rc::clone(&self);
                    let gateway = &self.gateway;
                    let intake = match kind {
                        ListenerKind::Caller => &gateway.intake,
                        ListenerKind::Probe => &gateway.probes,
                        ListenerKind::Host => &gateway.hosts,
                    };
                    match (kind, intake.open()) {
                        (ListenerKind::Caller, Ok(lease)) => drop(spawn_local(server.serve_caller(stream, lease))),
                        (ListenerKind::Caller, Err(full)) => refuse_connection(&stream, full),
                        (ListenerKind::Probe, Ok(lease)) => drop(spawn_local(server.serve_probe(stream, lease))),
                        (ListenerKind::Host, Ok(lease)) => {
                            drop(spawn_local(relay::serve(Rc::clone(gateway), stream, lease)));
                        }
                        // The balancer, and the host that asked, try again on a new connection.
                        (ListenerKind::Probe | ListenerKind::Host, Err(_full)) => {}
                    }
                }
                Err(error) => {
                    warn!(self.gateway.logger, "accept failed"; "error" => %error);
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Answers a readiness probe or a metrics scrape.
    async fn serve_probe(self: Rc<Self>, stream: TcpStream, lease: Lease) {
        tokio::select! {
            () = self.answer_probes(stream, &lease) => {}
            () = lease.wait_closed() => {}
        }
    }

    async fn answer_probes(&self, mut stream: TcpStream, lease: &Lease) {
        let mut buffer = BytesMut::new();
        let mut deadline = Instant::now() + PROBE_TIMEOUT;
        loop {
            let head = match head::take_request(&mut buffer, MAX_PROBE_HEAD_BYTES) {
                Ok(Some(head)) => head,
                Ok(None) => match timeout_at(deadline, stream.read_buf(&mut buffer)).await {
                    Ok(Ok(count)) if count > 0 => continue,
                    _ => return,
                },
                Err(_malformed) => return,
            };
            let (status, body) = self.probe_response(&head);
            let response = format!(
                "HTTP/1.1 {status}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            let written = timeout(PROBE_TIMEOUT, stream.write_all(response.as_bytes())).await;
            if !written.is_ok_and(|written| written.is_ok()) || !head.keeps_alive() {
                return;
            }
            lease.set_phase(Phase::Waiting);
            deadline = Instant::now() + PROBE_TIMEOUT;
        }
    }

    fn probe_response(&self, head: &Head<RequestLine>) -> (&'static str, String) {
        let path = &*head.start.target;
        if path == b"/metrics" {
            ("200 OK", (self.render_metrics)())
        } else if path != self.gateway.codec.ready_path().as_bytes() {
            ("404 Not Found", String::new())
        } else if self.is_ready() {
            ("200 OK", "ready\n".to_owned())
        } else {
            ("503 Service Unavailable", "not ready\n".to_owned())
        }
    }

    /// Returns whether a catalog and an upstream list are known.
    pub(crate) fn has_config(&self) -> bool {
        self.gateway.shared.table.load().is_some() && self.gateway.upstreams.borrow().list_time.is_some()
    }
}

/// Who connects to a listener.
#[derive(Clone, Copy)]
enum ListenerKind {
    Caller,
    Probe,
    /// An entry host that is cut off from upstreams.
    Host,
}

/// Tells a caller that nothing was read of its request, as far as that fits without waiting.
fn refuse_connection(stream: &TcpStream, full: IntakeFull) {
    let refusal = Refusal::closing(503, format!("not run: {full}")).with_retry_after(FULL_RETRY_AFTER);
    // The caller takes a connection that ends without an answer for one whose request was not read.
    let _ = stream.try_write(&refusal.render(true));
}

/// Starts a task that begins anew after a panic.
fn spawn_restarting<F: Future<Output = ()> + 'static>(
    name: &'static str,
    gateway: &Rc<Gateway>,
    start: impl Fn(Rc<Gateway>) -> F + 'static,
) {
    let gateway = Rc::clone(gateway);
    spawn_local(async move {
        while panics::catch(start(Rc::clone(&gateway))).await.is_err() {
            error!(gateway.logger, "task begins anew"; "task" => name);
            sleep(RESTART_PAUSE).await;
        }
    });
}
