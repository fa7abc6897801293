//! Reading the list of upstreams, and what engines tell of themselves.

use std::net::SocketAddr;
use std::time::Duration;

use contract::Listed;

/// Reads the list of upstreams.
pub trait Directory: Send {
    /// Reads the whole list.
    ///
    /// # Errors
    /// Tells what failed.
    fn read(&mut self) -> Result<Vec<Listed>, String>;

    /// Gives the reads a second that all processes together may make.
    fn rate(&self) -> f64;
}

/// Asks model engines about themselves.
pub trait EngineProbe: Send {
    /// Gives the time that is left to an engine, if it is taken away.
    ///
    /// # Errors
    /// Tells what failed.
    fn left(&self, address: SocketAddr) -> Result<Option<Duration>, String>;
}
