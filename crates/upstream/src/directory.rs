//! Reading the list of upstreams.

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
