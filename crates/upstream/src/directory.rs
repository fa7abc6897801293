//! Interfaces for reading the list of upstreams, and for asking engines about their planned end.

use std::net::SocketAddr;
use std::time::Duration;

use contract::ListedUpstream;
use derive_more::{Display, Error};

/// A source of the list of upstreams.
pub trait Directory: Send {
    /// Reads the whole list.
    ///
    /// # Errors
    /// Returns a human-readable cause if the list can't be read.
    fn read(&mut self) -> Result<Vec<ListedUpstream>, String>;

    /// Returns the most reads per second that all processes together may make.
    fn rate(&self) -> f64;
}

/// An engine that gave no answer about its planned end.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{reason}")]
pub struct ProbeError {
    /// Why there is no answer, for people.
    pub reason: String,
    /// For how long the engine wants no requests of this host; zero if it has not asked for a pause.
    pub pause: Duration,
}

/// A client that asks model engines about their planned end.
pub trait EngineProbe: Send {
    /// Returns the time until the engine is taken away, or `None` if that is not announced.
    ///
    /// # Errors
    /// Fails if the engine can't be asked, or turns the question away.
    fn left(&self, address: SocketAddr) -> Result<Option<Duration>, ProbeError>;
}
