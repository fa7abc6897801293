//! Finds out whether an upstream whose connections broke has crashed.

use std::rc::Rc;
use std::time::Duration;

use contract::ServiceName;
use policy::Tick;
use slog::info;
use tokio::sync::OnceCell;
use tokio::time::{sleep, timeout};

use crate::dial::DialError;
use crate::gate::Gateway;
use crate::pool::Connection;
use crate::quarantine::BrokenAttempt;
use crate::upstreams::ChosenUpstream;

/// Longest wait for a connection that shows that an upstream still exists.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which an upstream counts as crashed after such a check; all its requests break within it.
const CHECK_TIME: Duration = Duration::from_millis(200);
/// Time that a new connection has to stay open: an upstream that is crashing may accept it and close it at once.
const SETTLE_TIME: Duration = Duration::from_millis(10);
/// Most connections that are opened to find out; an upstream that closes them all has too many, but goes on.
const MAX_CONNECTIONS: usize = 3;

/// A check of whether an upstream has crashed.
#[derive(Debug)]
pub(super) struct CrashCheck {
    begun: Tick,
    /// The outcome; unset until it is known.
    crashed: OnceCell<bool>,
}

impl CrashCheck {
    /// Returns whether the check also tells of a connection that broke at some time.
    fn covers(&self, broken_at: Tick) -> bool {
        self.crashed.get() == Some(&true) || broken_at.since(self.begun) < SETTLE_TIME
    }
}

impl Gateway {
    /// Returns whether an upstream is listed and no end of it was announced.
    pub(super) fn stays_listed(&self, id: &str) -> bool {
        let now = self.clock.now();
        let mut upstreams = self.upstreams.borrow_mut();
        upstreams
            .get_mut(id)
            .is_some_and(|upstream| !upstream.is_leaving() && upstream.notice().time_left(now).is_none())
    }

    /// Returns whether an upstream takes no connection any more. Requests that break together share a check.
    pub(super) async fn has_crashed(&self, broken: &BrokenAttempt) -> bool {
        let now = self.clock.now();
        let check = {
            let mut checks = self.crashes.checks.borrow_mut();
            checks.retain(|id, check| {
                now.since(check.begun) < CHECK_TIME && (*id != broken.upstream.id || check.covers(broken.at))
            });
            let new = || {
                Rc::new(CrashCheck {
                    begun: now,
                    crashed: OnceCell::new(),
                })
            };
            Rc::clone(checks.entry(broken.upstream.id.clone()).or_insert_with(new))
        };
        *check
            .crashed
            .get_or_init(|| self.refuses_connection(&broken.service, &broken.upstream, &broken.request))
            .await
    }

    /// Returns whether an upstream still runs whose connection has just ended in order, so that a response which ends with
    /// it is whole. Only a new connection that stays open shows it: an upstream that leaves takes none, and one that closes
    /// it at once may be dying.
    pub(crate) async fn still_runs(&self, service: &ServiceName, chosen: &ChosenUpstream, request_id: &str) -> bool {
        let error = if self.turns.get().may_be_late(self.clock.now()) {
            // Another process may have started at the address since the connection ended.
            "this host has stood still".to_owned()
        } else {
            match self.dial(service, chosen, request_id, CHECK_TIMEOUT).await {
                Ok(connection) if stays_open(&connection).await => {
                    self.pool.borrow_mut().put(connection, None);
                    return true;
                }
                Ok(_closed) => "a new connection was closed at once".to_owned(),
                Err(error) => error.to_string(),
            }
        };
        info!(self.logger, "end of a response not confirmed"; "request" => request_id, "service" => %service,
            "upstream" => &chosen.id, "error" => error);
        false
    }

    async fn refuses_connection(&self, service: &ServiceName, chosen: &ChosenUpstream, request_id: &str) -> bool {
        for _ in 0..MAX_CONNECTIONS {
            match self.dial(service, chosen, request_id, CHECK_TIMEOUT).await {
                Ok(connection) if stays_open(&connection).await => {
                    self.pool.borrow_mut().put(connection, None);
                    return false;
                }
                Ok(_closed) => sleep(SETTLE_TIME).await,
                Err(error) => return self.is_gone(service, chosen, request_id, &error).await,
            }
        }
        false
    }

    /// Returns whether an upstream that took no connection is gone, and not this host cut off from it.
    async fn is_gone(
        &self,
        service: &ServiceName,
        chosen: &ChosenUpstream,
        request_id: &str,
        error: &DialError,
    ) -> bool {
        let is_in_doubt = self.is_isolated(service) && !error.is_confirmed();
        let is_cut = is_in_doubt && !self.reaches_another(service, &chosen.id).await;
        info!(self.logger, "upstream takes no connection"; "request" => request_id, "service" => %service,
            "upstream" => &chosen.id, "cut_off" => is_cut, "error" => %error);
        if is_cut {
            return false;
        }
        let now = self.clock.now();
        if let Some(upstream) = self.upstreams.borrow_mut().get_mut(&chosen.id) {
            upstream.record_connect_failure(now);
        }
        true
    }
}

/// Returns whether the other side leaves a new connection open.
async fn stays_open(connection: &Connection) -> bool {
    timeout(SETTLE_TIME, connection.stream.peek(&mut [0])).await.is_err()
}
