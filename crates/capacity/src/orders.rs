//! Orders to one engine; its state has to be read before each order.
//!
//! An order whose answer is lost may have been executed, or may still arrive later. Repeating it blindly would load the
//! weights twice; assuming that it was executed would register an engine that has nothing loaded. The types therefore
//! allow an order only after the engine's state was read, and each order uses that state up.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error};
use metrics::counter;
use policy::Tick;
use upstream::engine::EngineClient;
use upstream::orders::{EngineAction, EngineOrder, EngineState};
use upstream::{Fate, UpstreamError};

use crate::lease::{DRIFT_MARGIN, HeldLease};

/// Longest wait for an engine's answer, and so the longest time that an order is in flight.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after the lease was acquired in which orders of the previous holder may still arrive.
const STALE_WINDOW: Duration = ORDER_TIMEOUT.saturating_add(DRIFT_MARGIN);

/// The engine's state was not read, or an order was sent since.
#[derive(Clone, Copy, Debug)]
pub struct StateUnknown;

/// The engine's state was read, and no order was sent since.
#[derive(Clone, Debug)]
pub struct StateKnown {
    state: EngineState,
}

/// An engine that orders are sent to; `S` says whether its state is known.
#[derive(Debug)]
pub struct Engine<'a, S> {
    client: &'a EngineClient,
    peer: SocketAddr,
    checks_fencing: bool,
    knowledge: S,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine accepted the order.
    #[display("taken")]
    Accepted,
    /// The order was not sent, since orders of the previous lease holder may still arrive.
    #[display("waits until older orders can no longer arrive")]
    Deferred,
    /// The engine refused the order and didn't execute it.
    #[display("refused")]
    Refused,
    /// No answer came; only reading the state shows whether the order was executed.
    #[display("unanswered")]
    Unanswered,
}

/// The engine has accepted orders of a newer lease holder, so this process no longer holds the lease.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("engine at {peer} has seen fencing token {seen_token}, newer than {own_token}")]
pub struct Superseded {
    /// Address of the engine.
    pub peer: SocketAddr,
    /// The newest fencing token that the engine has seen.
    pub seen_token: u64,
    /// The fencing token of this process.
    pub own_token: u64,
}

impl<'a> Engine<'a, StateUnknown> {
    /// Creates an engine whose state is not known yet; `checks_fencing` says whether it refuses old fencing tokens.
    #[must_use]
    pub const fn new(client: &'a EngineClient, peer: SocketAddr, checks_fencing: bool) -> Self {
        Self {
            client,
            peer,
            checks_fencing,
            knowledge: StateUnknown,
        }
    }

    /// Reads the engine's state.
    ///
    /// # Errors
    /// Fails when the engine doesn't answer.
    pub fn read(self) -> Result<Engine<'a, StateKnown>, UpstreamError> {
        let state = self.client.state(self.peer, ORDER_TIMEOUT)?;
        Ok(Engine {
            client: self.client,
            peer: self.peer,
            checks_fencing: self.checks_fencing,
            knowledge: StateKnown { state },
        })
    }
}

impl<'a> Engine<'a, StateKnown> {
    /// Returns the state that was read.
    #[must_use]
    pub const fn state(&self) -> &EngineState {
        &self.knowledge.state
    }

    /// Sends an order under a lease, after which the engine's state is no longer known.
    ///
    /// An engine that doesn't check fencing tokens might execute a delayed order of the previous lease holder after
    /// this one, and keep the wrong model. Orders to such engines are deferred until none of the previous holder can
    /// arrive.
    ///
    /// # Errors
    /// Fails when the engine has seen the token of a newer lease holder.
    pub fn send(
        self,
        lease: &HeldLease,
        now: Tick,
        action: &EngineAction,
    ) -> Result<(OrderOutcome, Engine<'a, StateUnknown>), Superseded> {
        let seen_token = self.knowledge.state.token;
        if seen_token > lease.token {
            return Err(Superseded {
                peer: self.peer,
                seen_token,
                own_token: lease.token,
            });
        }
        let outcome = if !self.checks_fencing && now < lease.acquired + STALE_WINDOW {
            OrderOutcome::Deferred
        } else {
            self.post(lease, action)
        };
        counter!("gentian_orders_total", "result" => outcome.to_string()).increment(1);
        let engine = Engine::new(self.client, self.peer, self.checks_fencing);
        Ok((outcome, engine))
    }

    fn post(&self, lease: &HeldLease, action: &EngineAction) -> OrderOutcome {
        let order = EngineOrder {
            id: format!("{}/{action}", lease.token).replace(' ', "-"),
            token: lease.token,
            action: action.clone(),
        };
        match self.client.order(self.peer, &order, ORDER_TIMEOUT) {
            Ok(_) => OrderOutcome::Accepted,
            Err(error) if error.fate == Fate::NotRun => OrderOutcome::Refused,
            Err(_) => OrderOutcome::Unanswered,
        }
    }
}
