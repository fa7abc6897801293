//! One call to a service as a type-state: claimed, then sent.
//!
//! Sending consumes the claimed attempt, so that the type system prevents sending a call twice that must run at most
//! once.

use std::net::SocketAddr;
use std::time::Duration;

use upstream::service::{ServiceAnswer, ServiceCall, ServiceClient};
use upstream::{Fate, UpstreamError};
use wire::state::Outcome;

/// State of an attempt that may be sent.
#[derive(Debug)]
pub struct Claimed;

/// State of an attempt after sending, with the response or the error.
#[derive(Debug)]
pub struct Sent {
    result: Result<ServiceAnswer, UpstreamError>,
}

/// One attempt at a call.
#[derive(Debug)]
pub struct Attempt<S> {
    address: SocketAddr,
    stage: S,
}

impl Attempt<Claimed> {
    /// Creates an attempt at the upstream at an address.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            stage: Claimed,
        }
    }

    /// Sends the call and waits for the response.
    #[must_use]
    pub fn send(self, client: &ServiceClient, call: &ServiceCall<'_>, timeout: Duration) -> Attempt<Sent> {
        let result = client.send(self.address, call, timeout);
        Attempt {
            address: self.address,
            stage: Sent { result },
        }
    }
}

impl Attempt<Sent> {
    /// Returns whether the call certainly was not run, so that another upstream may run it.
    #[must_use]
    pub fn not_run(&self) -> bool {
        matches!(&self.stage.result, Err(error) if error.fate == Fate::NotRun)
    }

    /// Returns the status of the response, if there is one.
    #[must_use]
    pub fn status(&self) -> Option<u16> {
        self.stage.result.as_ref().ok().map(|answer| answer.status)
    }

    /// Returns the error, if there is no response.
    #[must_use]
    pub fn error(&self) -> Option<&UpstreamError> {
        self.stage.result.as_ref().err()
    }

    /// Returns the outcome to record for the call.
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

    /// Returns the response.
    ///
    /// # Errors
    /// Returns the error if there is none.
    pub fn into_answer(self) -> Result<ServiceAnswer, UpstreamError> {
        self.stage.result
    }
}
