//! Serves the connections of callers, request by request.

use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use inbound::intake::Lease;
use inbound::request_reader::{Body, ReadError, RequestReader};
use metrics::counter;
use policy::duration_from_secs;
use policy::quota::OverQuota;
use slog::info;
use telemetry::panics;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::{Instant, sleep, timeout};

use crate::answer_writer::write_bytes;
use crate::dialect::{RequestInfo, log_text};
use crate::head::{Framing, HeadError};
use crate::refusal::Refusal;
use crate::request::{Outcome, Progress, Request};
use crate::server::{FULL_RETRY_AFTER, Server};

/// Retry delay for a caller whose stream can't go on now.
const NOT_RESUMED_RETRY: Duration = Duration::from_millis(500);
/// Shortest and longest retry delay for a caller over its quota, in seconds.
const QUOTA_RETRY_S: (f64, f64) = (0.05, 30.0);
/// Longest body that is read although its request is refused, so that the connection can be used again.
const MAX_REFUSED_BODY_BYTES: u64 = 16 * 1024;
/// Longest wait for a body whose caller sets no timeout.
const DEFAULT_BODY_WAIT: Duration = Duration::from_secs(30);
/// Longest time that a request waits for the first catalog, as a duration and as a share of its timeout. After a power
/// loss the state group elects a leader within 0.8 s of its start.
const MAX_CONFIG_WAIT: Duration = Duration::from_millis(900);
const MAX_CONFIG_WAIT_SHARE: f64 = 0.35;
/// Interval at which a waiting request checks for a catalog.
const CONFIG_POLL_INTERVAL: Duration = Duration::from_millis(20);

impl Server {
    /// Serves the requests of one connection.
    pub(crate) async fn serve_caller(self: Rc<Self>, stream: TcpStream, lease: Lease) {
        // If this fails, the connection is only slower.
        let _ = stream.set_nodelay(true);
        let (read_half, mut out) = stream.into_split();
        let Ok(mut reader) = RequestReader::new(read_half, lease.clone()) else {
            return;
        };
        counter!("gentian_gateway_connections_total").increment(1);
        while self.wait_request(&mut reader).await {
            self.active.set(self.active.get() + 1);
            // Boxed, so that idle connections don't take the memory of a request.
            let served = panics::catch(Box::pin(self.serve_request(&mut reader, &mut out, &lease))).await;
            self.active.set(self.active.get() - 1);
            let state = served.unwrap_or(ConnectionState::Gone);
            match state {
                ConnectionState::KeepAlive => {}
                ConnectionState::Close => {
                    self.closing.set(self.closing.get() + 1);
                    // What was written stays sent; an error means that the caller is gone.
                    let _ = out.shutdown().await;
                    reader.drain().await;
                    self.closing.set(self.closing.get() - 1);
                    return;
                }
                ConnectionState::Gone => return,
            }
        }
    }

    /// Waits for the next request; returns whether it came.
    async fn wait_request(&self, reader: &mut RequestReader) -> bool {
        let limits = self.gateway.shared.table.load().as_ref().map(|table| table.limits());
        let idle = Duration::from_millis(limits.unwrap_or_default().idle_ms);
        timeout(idle, reader.wait_for_data()).await.unwrap_or(false)
    }

    /// Waits a short time until a catalog, an upstream list and the host's quota share are known.
    ///
    /// After a restart of the whole system they arrive within a second. A caller refused before that would use up its
    /// only retry, or come back later than it would have been served.
    async fn wait_configured(&self, max_wait: Option<Duration>) {
        let share = max_wait.unwrap_or(MAX_CONFIG_WAIT).mul_f64(MAX_CONFIG_WAIT_SHARE);
        let deadline = Instant::now() + MAX_CONFIG_WAIT.min(share);
        let has_share = || self.gateway.shared.quota_share.load().is_some();
        while !(self.has_config() && has_share()) && Instant::now() < deadline {
            self.gateway.exchange_state();
            sleep(CONFIG_POLL_INTERVAL).await;
        }
    }

    /// Serves one request.
    async fn serve_request(
        &self,
        reader: &mut RequestReader,
        out: &mut OwnedWriteHalf,
        lease: &Lease,
    ) -> ConnectionState {
        let request = match self.read_request(reader, out, lease).await {
            Ok(request) => request,
            Err(NotForwarded::CallerGone) => return ConnectionState::Gone,
            Err(NotForwarded::Refused(refusal, keep_alive)) => {
                let close = refusal.close || !keep_alive;
                let rendered = refusal.render(close);
                if lease.is_closed() {
                    // The memory is needed now, so that the caller gets what fits without waiting.
                    let _ = out.try_write(&rendered);
                    return ConnectionState::Gone;
                }
                if write_bytes(out, &rendered, lease).await.is_err() {
                    return ConnectionState::Gone;
                }
                return if close {
                    ConnectionState::Close
                } else {
                    ConnectionState::KeepAlive
                };
            }
        };
        let keep_alive = request.keep_alive;
        let outcome = tokio::select! {
            outcome = request.serve(&self.gateway, out) => outcome,
            () = reader.wait_closed() => {
                counter!("gentian_gateway_callers_left_total").increment(1);
                info!(self.gateway.logger, "caller left"; "request" => request.info.log_id(),
                    "after_ms" => request.arrived.elapsed().as_millis() as u64,
                    "sends" => request.progress.get().sends);
                return ConnectionState::Gone;
            }
        };
        match outcome {
            Outcome::Broken { .. } => ConnectionState::Gone,
            Outcome::Refused(refusal) if refusal.close => ConnectionState::Close,
            _ if keep_alive => ConnectionState::KeepAlive,
            _ => ConnectionState::Close,
        }
    }

    /// Reads a request, and determines its account, route and service.
    async fn read_request(
        &self,
        reader: &mut RequestReader,
        out: &mut OwnedWriteHalf,
        lease: &Lease,
    ) -> Result<Request, NotForwarded> {
        let gateway = &self.gateway;
        let limits = gateway
            .shared
            .table
            .load()
            .as_ref()
            .map(|table| table.limits())
            .unwrap_or_default();
        let arrived = Instant::now();
        let head = reader
            .read_head(limits.head_bytes, Duration::from_millis(limits.head_ms))
            .await;
        let head = head.map_err(|reason| self.refuse_unreadable(reason, ""))?;
        let framing = head
            .framing()
            .map_err(|error| self.refuse_unreadable(ReadError::Head(error), ""))?;
        let keep_alive = head.keeps_alive() && gateway.planned_stop().is_none();
        if head.values("host").count() != 1 {
            return Err(self.refuse(Refusal::closing(400, "one host is needed"), "", keep_alive));
        }
        let info = match gateway.codec.asked(&head) {
            Ok(info) => info,
            Err(reason) => return Err(self.refuse(Refusal::closing(400, reason), "", keep_alive)),
        };
        let id = info.id.clone();
        let head_held = lease.hold(head.size() + info.size());
        let head_held = head_held.map_err(|full| self.refuse_unreadable(ReadError::Full(full), &id))?;
        self.wait_configured(info.timeout).await;
        let routed = gateway.route_request(&head, &info);
        if let Ok((_, _, account)) = &routed {
            lease.set_account(account.as_ref().map(|account| account.name.as_str()));
        }
        let routed = match routed {
            // Nothing of a body is read whose request is refused anyway, unless it is short enough to go on after it.
            Err(refusal) if !is_short(framing) => {
                return Err(self.refuse(Refusal { close: true, ..refusal }, &id, false));
            }
            routed => routed,
        };
        let expects_continue = head.has_token("expect", "100-continue");
        let deadline = arrived + info.timeout.unwrap_or(DEFAULT_BODY_WAIT);
        // From the moment of the decision on, so that it holds however slowly the request came.
        let longest = routed
            .as_ref()
            .map_or(Duration::ZERO, |(route, ..)| gateway.longest(&info, route));
        if !gateway.takes(longest) {
            return Err(self.refuse(Refusal::stopping(), &id, false));
        }
        let body = tokio::select! {
            biased;
            body = self.read_body((reader, out), expects_continue, framing, limits.body_bytes, deadline) => body,
            () = gateway.wait_untaken(longest) => return Err(self.refuse(Refusal::stopping(), &id, false)),
        };
        let body = body.map_err(|reason| self.refuse_unreadable(reason, &id))?;
        let (route, service, account) = routed.map_err(|refusal| self.refuse(refusal, &id, keep_alive))?;
        if !gateway.takes(longest) {
            return Err(self.refuse(Refusal::stopping(), &id, false));
        }
        let origin = gateway.find_origin(&info, account.as_ref(), (&route, &service)).await;
        let origin = origin.map_err(|reason| {
            let refusal = Refusal::new(503, format!("not run: {reason}"));
            self.refuse(refusal.with_retry_after(NOT_RESUMED_RETRY), &id, keep_alive)
        })?;
        let service = origin.as_ref().map_or(service, |origin| origin.service.clone());
        let permit = gateway.record_request(&service);
        let admitted = match &account {
            Some(account) => gateway.admit(account, (&service, route.priority), &info).await,
            None => Ok(0.0),
        };
        let name = account.as_ref().map(|account| account.name.as_str());
        let quota_units = admitted.map_err(|exceeded| self.refuse_over_quota(&exceeded, name, &info, keep_alive))?;
        let deadline = gateway.deadline(arrived, &info, &route);
        let passed = gateway.record_timeout(&route, info.timeout);
        Ok(Request {
            head,
            info,
            body,
            lease: lease.clone(),
            head_held,
            route,
            service,
            account,
            arrived,
            deadline,
            quota_units,
            keep_alive,
            progress: Cell::new(Progress::default()),
            permit: RefCell::new(Some(permit)),
            last_upstream: RefCell::new(None),
            last_times: Cell::default(),
            last_reused: Cell::new(false),
            last_relay: Cell::new(None),
            origin: RefCell::new(origin),
            fingerprint: OnceCell::new(),
            place: RefCell::default(),
            passed,
            start: Cell::default(),
            forwarded: Cell::default(),
        })
    }

    /// Reads the body, after a `100 Continue` if the caller waits for one.
    async fn read_body(
        &self,
        (reader, out): (&mut RequestReader, &mut OwnedWriteHalf),
        expects_continue: bool,
        framing: Framing,
        max_bytes: usize,
        deadline: Instant,
    ) -> Result<Body, ReadError> {
        if expects_continue && out.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await.is_err() {
            return Err(ReadError::Closed);
        }
        reader.read_body(framing, max_bytes, deadline).await
    }

    /// Refuses a request that is over its account's quota.
    fn refuse_over_quota(
        &self,
        exceeded: &OverQuota,
        account: Option<&str>,
        info: &RequestInfo,
        keep_alive: bool,
    ) -> NotForwarded {
        let wait = duration_from_secs(exceeded.wait_s.clamp(QUOTA_RETRY_S.0, QUOTA_RETRY_S.1));
        info!(self.gateway.logger, "over quota"; "request" => info.log_id(), "account" => account,
            "saved" => exceeded.balance as i64, "rate" => exceeded.rate as i64, "held_back" => exceeded.held_back,
            "tokens" => info.tokens.map(|tokens| tokens.prompt + tokens.max_output),
            "entries" => self.gateway.entry_count());
        let refusal = Refusal::new(429, "not run: over the account's quota").with_retry_after(wait);
        self.refuse(refusal, &info.id, keep_alive)
    }

    fn refuse_unreadable(&self, reason: ReadError, id: &str) -> NotForwarded {
        let refusal = match reason {
            ReadError::Closed => return NotForwarded::CallerGone,
            ReadError::Head(HeadError::TooLarge) => Refusal::closing(431, "the head is too large"),
            ReadError::Head(HeadError::Malformed) => Refusal::closing(400, "the head is malformed"),
            ReadError::MalformedBody => Refusal::closing(400, "the body is malformed"),
            ReadError::BodyTooLarge => Refusal::closing(413, "the body is too large"),
            ReadError::Timeout => Refusal::closing(408, "not run: the request did not come in time"),
            ReadError::Full(full) => {
                Refusal::closing(503, format!("not run: {full}")).with_retry_after(FULL_RETRY_AFTER)
            }
        };
        self.refuse(refusal, id, false)
    }

    fn refuse(&self, refusal: Refusal, id: &str, keep_alive: bool) -> NotForwarded {
        counter!("gentian_gateway_refused_total", "status" => refusal.status.to_string()).increment(1);
        let version = self.gateway.shared.table.load().as_ref().map(|table| table.version());
        info!(self.gateway.logger, "request refused"; "request" => log_text(id), "status" => refusal.status,
            "why" => &refusal.reason,
            "retry_ms" => refusal.retry_after.map(|after| after.as_millis() as u64), "version" => version);
        NotForwarded::Refused(refusal, keep_alive)
    }
}

/// Returns whether a body is short enough to be read although its request is refused.
const fn is_short(framing: Framing) -> bool {
    matches!(framing, Framing::Length(length) if length <= MAX_REFUSED_BODY_BYTES)
}

/// What happens to a connection after a request.
enum ConnectionState {
    KeepAlive,
    Close,
    Gone,
}

/// Why a request was not forwarded.
enum NotForwarded {
    CallerGone,
    Refused(Refusal, bool),
}
