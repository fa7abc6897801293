//! The list of upstreams as the platform gives it.

use std::net::SocketAddr;
use std::time::Duration;

use contract::{ServiceName, Zone};

/// An upstream as the list names it.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    /// Its name.
    pub id: String,
    /// Tells its starts apart: an upstream may start again under the name that it had, knowing nothing of before.
    pub start: u64,
    /// The service.
    pub service: ServiceName,
    /// Where it answers.
    pub address: SocketAddr,
    /// Its data centre.
    pub zone: Zone,
    /// Requests that run at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether it can be reclaimed.
    pub reclaimable: bool,
    /// How much longer it is slow after its start.
    pub cold: Duration,
}

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
