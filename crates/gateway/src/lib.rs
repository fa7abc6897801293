//! Forwards requests of client accounts to upstreams by host and path, and streams event by event.
//!
//! One event loop serves all callers of an entry host. Background threads follow the state group and read the upstream
//! list. Header names are left to an implementation of [`dialect::HeaderCodec`].

mod answer_writer;
pub mod attempt;
pub mod attempt_head;
mod caller_connection;
pub mod catalog_copy;
mod catalog_follower;
mod dial;
pub mod dialect;
pub mod events;
pub mod exchange;
mod fingerprint;
pub mod gate;
mod intake_report;
pub mod lender;
pub mod link;
pub mod moving;
mod node_clients;
mod origins;
mod own_links;
mod placing;
pub mod pool;
mod prefill_samples;
pub mod quarantine;
mod rate_limits;
mod rate_reporter;
pub mod reclaim_notice;
pub mod refusal;
pub mod relay;
pub mod request;
mod response_head;
mod response_room;
pub mod rollouts;
mod routing;
pub mod routing_table;
pub mod server;
mod slots;
mod stop_watch;
pub mod stream;
pub mod upstream_list;
mod upstream_news;
pub mod upstreams;
pub mod usage;
pub mod waiting;

pub use inbound::{body, head};
