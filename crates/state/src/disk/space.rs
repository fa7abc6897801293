//! Limits of disk space.

use std::fmt::Debug;
use std::io;

/// Decides whether bytes may be written, so that tests can simulate a full disk.
pub trait Space: Debug + Send + Sync {
    /// Reserves space for a write.
    ///
    /// # Errors
    /// Fails with `StorageFull` when there is no space.
    fn reserve(&self, bytes: usize) -> io::Result<()>;
}

/// Sets no limit besides that of the file system.
#[derive(Clone, Copy, Debug, Default)]
pub struct Unlimited;

impl Space for Unlimited {
    fn reserve(&self, _bytes: usize) -> io::Result<()> {
        Ok(())
    }
}
