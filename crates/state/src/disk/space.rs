//! Room on the disk.

use std::fmt::Debug;
use std::io;

/// Decides whether bytes may be written; tests let a disk run full with it.
pub trait Space: Debug + Send + Sync {
    /// Asks for room.
    ///
    /// # Errors
    /// Fails with `StorageFull` when there is none.
    fn take(&self, bytes: usize) -> io::Result<()>;
}

/// Leaves the decision to the file system.
#[derive(Clone, Copy, Debug, Default)]
pub struct Unlimited;

impl Space for Unlimited {
    fn take(&self, _bytes: usize) -> io::Result<()> {
        Ok(())
    }
}
