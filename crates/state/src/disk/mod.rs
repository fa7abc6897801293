//! The data folder: identity, log segments and snapshots.
//!
//! Nothing is acknowledged before it is synced. Segments are append-only: a record whose index is already in the log
//! replaces that record and all after it, so that no write changes bytes that were synced before.

mod check;
mod error;
mod folder;
mod frame;
mod identity;
mod recent;
mod segment;
mod snapshot;
mod space;

pub use check::{FolderReport, check_folder};
pub use error::DiskError;
pub use folder::{Folder, Limits};
pub use recent::RecentFile;
pub use space::{Space, Unlimited};
