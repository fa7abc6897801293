//! A customer's limits: token buckets, and the part of a limit that one entry host may admit.

mod bucket;

pub use bucket::{BURST, Bucket};
