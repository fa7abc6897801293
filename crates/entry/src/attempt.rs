//! The life of one call to a service: claimed, then sent.
//!
//! Sending consumes the claimed attempt, so that a call that must run at most once can't be sent twice.

use std::net::SocketAddr;
use std::time::Duration;

use upstream::service::{ServiceAnswer, ServiceCall, ServiceClient};
use upstream::{Fate, UpstreamError};
use wire::state::Outcome;

/// The call may be sent.
#[derive(Debug)]
pub struct Claimed;

/// The call was sent, or it is certain that it wasn't.
#[derive(Debug)]
pub struct Sent {
    result: Result<ServiceAnswer, UpstreamError>,
}

/// One attempt at a call.
#[derive(Debug)]
pub struct Attempt<S> {
    peer: SocketAddr,
    stage: S,
}

impl Attempt<Claimed> {
    /// Begins an attempt at an upstream.
    #[must_use]
    pub const fn new(peer: SocketAddr) -> Self {
        Self { peer, stage: Claimed }
    }

    /// Sends the call.
    #[must_use]
    pub fn send(self, client: &ServiceClient, call: &ServiceCall<'_>, timeout: Duration) -> Attempt<Sent> {
        let result = client.send(self.peer, call, timeout);
        Attempt {
            peer: self.peer,
            stage: Sent { result },
        }
    }
}

impl Attempt<Sent> {
    /// Tells whether the call truly was not run, so that another upstream may take it.
    #[must_use]
    pub fn not_run(&self) -> bool {
        matches!(&self.stage.result, Err(error) if error.fate == Fate::NotRun)
    }

    /// Gives the status that the service answered with.
    #[must_use]
    pub fn status(&self) -> Option<u16> {
        self.stage.result.as_ref().ok().map(|answer| answer.status)
    }

    /// Gives why there is no answer, if there is none.
    #[must_use]
    pub fn error(&self) -> Option<&UpstreamError> {
        self.stage.result.as_ref().err()
    }

    /// Gives what is to be recorded of the call.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        match &self.stage.result {
            Ok(answer) => Outcome::Answered {
                status: answer.status,
                media: answer.media.clone(),
                body: answer.body.clone(),
            },
            Err(error) if error.fate == Fate::NotRun => Outcome::NotRun,
            Err(_) => Outcome::Unknown,
        }
    }

    /// Gives the answer.
    ///
    /// # Errors
    /// Returns why there is none.
    pub fn into_answer(self) -> Result<ServiceAnswer, UpstreamError> {
        self.stage.result
    }
}
