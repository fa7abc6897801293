//! Interfaces for reading the list of upstreams, and for asking engines about their planned end.

use std::net::SocketAddr;
use std::time::Duration;

use contract::ListedUpstream;

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

/// A client that asks model engines about their planned end.
pub trait EngineProbe: Send {
    /// Returns the time until the engine is taken away, or `None` if that is not announced.
    ///
    /// # Errors
    /// Returns a human-readable cause if the engine can't be asked.
    fn left(&self, address: SocketAddr) -> Result<Option<Duration>, String>;
}
