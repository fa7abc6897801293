//! Orders to one engine: its state is read before each, so that none is given on a guess.
//!
//! An order whose answer is lost may have been carried out, and may even arrive later. Giving it again on the strength of
//! "no answer" would load weights twice; believing in it would register an engine that has nothing loaded. So an engine
//! is known only by what it tells, and that knowledge is used up by the next order.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error};
use metrics::counter;
use policy::Tick;
use upstream::engine::EngineClient;
use upstream::orders::{EngineAction, EngineOrder, EngineState};
use upstream::{Fate, UpstreamError};

use crate::lease::{DRIFT, Tenure};

/// Longest time that an order may be on its way.
pub const TIMEOUT: Duration = Duration::from_secs(2);
/// Time after the beginning of a tenure in which orders of the holder before may still arrive.
const LATE: Duration = TIMEOUT.saturating_add(DRIFT);

/// Nothing is known of the engine.
#[derive(Clone, Copy, Debug)]
pub struct Unread;

/// The engine's state was read after the last order.
#[derive(Clone, Debug)]
pub struct Read {
    state: EngineState,
}

/// An engine that orders are given to.
#[derive(Debug)]
pub struct Engine<'a, S> {
    client: &'a EngineClient,
    peer: SocketAddr,
    checks: bool,
    stage: S,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Given {
    /// The engine took it.
    #[display("taken")]
    Taken,
    /// It must not be given yet.
    #[display("waits until older orders can no longer arrive")]
    Waits,
    /// The engine refused it.
    #[display("refused")]
    Refused,
    /// No answer came; only reading tells.
    #[display("unanswered")]
    Unanswered,
}

/// The engine has taken orders of a newer holder, so this process is not the holder any more.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("engine at {peer} has seen token {seen}, newer than {own}")]
pub struct Superseded {
    /// The engine.
    pub peer: SocketAddr,
    /// The newest token that it has seen.
    pub seen: u64,
    /// The token of this process.
    pub own: u64,
}

impl<'a> Engine<'a, Unread> {
    /// Names an engine of which nothing is known.
    #[must_use]
    pub const fn new(client: &'a EngineClient, peer: SocketAddr, checks: bool) -> Self {
        Self {
            client,
            peer,
            checks,
            stage: Unread,
        }
    }

    /// Reads what the engine has.
    ///
    /// # Errors
    /// Fails when the engine doesn't answer.
    pub fn read(self) -> Result<Engine<'a, Read>, UpstreamError> {
        let state = self.client.state(self.peer, TIMEOUT)?;
        Ok(Engine {
            client: self.client,
            peer: self.peer,
            checks: self.checks,
            stage: Read { state },
        })
    }
}

impl<'a> Engine<'a, Read> {
    /// Gives what the engine has.
    #[must_use]
    pub const fn state(&self) -> &EngineState {
        &self.stage.state
    }

    /// Gives an order under a tenure; what was read is used up by it.
    ///
    /// An engine that doesn't check tokens would carry out an order that the holder before had sent at its last moment,
    /// after ours, and keep the wrong model. For such engines we wait until nothing of his can arrive any more.
    ///
    /// # Errors
    /// Fails when the engine knows of a newer holder.
    pub fn give(
        self,
        tenure: &Tenure,
        now: Tick,
        action: &EngineAction,
    ) -> Result<(Given, Engine<'a, Unread>), Superseded> {
        let seen = self.stage.state.token;
        if seen > tenure.token {
            return Err(Superseded {
                peer: self.peer,
                seen,
                own: tenure.token,
            });
        }
        let given = if !self.checks && now < tenure.since + LATE {
            Given::Waits
        } else {
            self.send(tenure, action)
        };
        counter!("gentian_orders_total", "result" => given.to_string()).increment(1);
        let unread = Engine::new(self.client, self.peer, self.checks);
        Ok((given, unread))
    }

    fn send(&self, tenure: &Tenure, action: &EngineAction) -> Given {
        let order = EngineOrder {
            id: format!("{}/{action}", tenure.token).replace(' ', "-"),
            token: tenure.token,
            action: action.clone(),
        };
        match self.client.order(self.peer, &order, TIMEOUT) {
            Ok(_) => Given::Taken,
            Err(error) if error.fate == Fate::NotRun => Given::Refused,
            Err(_) => Given::Unanswered,
        }
    }
}
