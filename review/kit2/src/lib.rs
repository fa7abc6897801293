//! Starts the programs of the deploy file as processes on loopback addresses, with a stand-in of the platform's API.

pub mod client;
pub mod cloud;
pub mod http;
pub mod record;
pub mod replica;
pub mod system;

/// Returns whether the script injects its disruption; `TROUBLE=0` leaves it out.
#[must_use]
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}
