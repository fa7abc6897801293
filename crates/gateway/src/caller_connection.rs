//! The connections of callers, request by request.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use contract::{Repeatable, Route};
use metrics::counter;
use policy::quota::OverQuota;
use slog::info;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::{Instant, sleep, timeout};

use crate::dialect::RequestInfo;
use crate::head::{Framing, HeadError};
use crate::refusal::Refusal;
use crate::request::{Progress, Request};
use crate::request_reader::{Input, NoRequest};
use crate::server::{EXCHANGE, MARGIN, NOTICED, Server};

/// Time after which a caller that was refused because of the stop finds another host.
const ELSEWHERE: Duration = Duration::from_millis(50);
/// Shortest and longest time after which a caller over its quota is asked to come back, in seconds.
const QUOTA_WAIT_S: (f64, f64) = (0.05, 30.0);
/// Longest wait for a body whose caller names no time.
const BODY: Duration = Duration::from_secs(30);
/// Longest wait of a request for a first catalog, and the share of its time that it may take. A group that has lost power
/// elects a leader within 0.8 s of its start.
const UNKNOWN: Duration = Duration::from_millis(900);
const UNKNOWN_SHARE: f64 = 0.35;
/// Pause between two looks whether a catalog is known.
const LOOK: Duration = Duration::from_millis(20);

impl Server {
    /// Serves the requests of one connection.
    pub(crate) async fn callers(self: Rc<Self>, stream: TcpStream) {
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
        let limits = self.gate.shared.table.load().as_ref().map(|table| table.limits());
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
            .map(|table| table.limits())
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
        self.wait_known(asked.timeout).await;
        let routed = gate.route(&head, &asked);
        let expects = head.has_word("expect", "100-continue");
        let until = came + asked.timeout.unwrap_or(BODY);
        let body = self
            .body((input, out), expects, framing, limits.body_bytes, until)
            .await?;
        let (route, service, account) = routed.map_err(|refusal| self.refused(refusal, &id, keep))?;
        if self.is_closed() && !self.ends_in_time(&route) {
            let refusal = Refusal::closing(503, "not run: the host stops").retry_in(ELSEWHERE);
            return Err(self.refused(refusal, &id, false));
        }
        gate.note_request(&service);
        let admitted = match &account {
            Some(account) => gate.admit(account, &asked).await,
            None => Ok(0.0),
        };
        let name = account.as_ref().map(|account| account.name.as_str());
        let units = admitted.map_err(|over| self.over_quota(&over, name, &asked, keep))?;
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
            units,
            keep,
            progress: Cell::new(Progress::default()),
            placed: RefCell::new(None),
        })
    }

    /// Reads the body; a caller that waits for it is told to send it.
    async fn body(
        &self,
        (input, out): (&mut Input, &mut OwnedWriteHalf),
        expects: bool,
        framing: Framing,
        most: usize,
        until: Instant,
    ) -> Result<bytes::Bytes, NoService> {
        if expects && out.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await.is_err() {
            return Err(NoService::Gone);
        }
        let body = input.body(framing, most, until).await;
        body.map_err(|why| self.malformed(&why))
    }

    /// Refuses a request that is over its account's quota.
    fn over_quota(&self, over: &OverQuota, account: Option<&str>, asked: &RequestInfo, keep: bool) -> NoService {
        let wait = Duration::from_secs_f64(over.wait_s.clamp(QUOTA_WAIT_S.0, QUOTA_WAIT_S.1));
        info!(self.gate.logger, "over quota"; "request" => &asked.id, "account" => account,
            "saved" => over.balance as i64, "rate" => over.rate as i64,
            "tokens" => asked.tokens.map(|tokens| tokens.prompt + tokens.max_output), "entries" => self.gate.entries());
        let refusal = Refusal::new(429, "not run: over the account's quota").retry_in(wait);
        self.refused(refusal, &asked.id, keep)
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
        let version = self.gate.shared.table.load().as_ref().map(|table| table.version());
        info!(self.gate.logger, "request refused"; "request" => id, "status" => refusal.status, "why" => &refusal.why,
            "retry_ms" => refusal.retry.map(|after| after.as_millis() as u64), "version" => version);
        NoService::Refused(refusal, keep)
    }
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
