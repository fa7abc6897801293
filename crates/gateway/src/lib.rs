//! Passes requests of client accounts to upstreams by host and path, with streams event by event.
//!
//! One event loop serves all callers of an entry host; the threads beside it follow the state group and read the list of
//! upstreams. Which headers say what is the business of a [`dialect::Dialect`].

mod answer;
pub mod attempt;
pub mod body;
mod callers;
pub mod dialect;
pub mod events;
pub mod exchange;
mod follow;
pub mod gate;
pub mod head;
pub mod input;
mod learnt;
pub mod lender;
pub mod link;
pub mod listing;
pub mod mirror;
pub mod moving;
pub mod notice;
pub mod pool;
pub mod refusal;
pub mod request;
mod routing;
pub mod server;
pub mod stream;
pub mod table;
pub mod upstreams;
pub mod usage;
