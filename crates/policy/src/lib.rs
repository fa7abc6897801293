//! Decision logic without I/O: admission, rate limits, routing, retries, capacity plans and the life cycle of hosts.
//!
//! Nothing in this crate reads a clock: callers pass the current time as a [`Tick`], so that every decision can be
//! tested and replayed.

pub mod backlog;
pub mod backoff;
pub mod breaker;
pub mod budget;
pub mod cache;
pub mod catalog_lag;
pub mod divide;
pub mod drain;
pub mod event_ids;
pub mod fair;
pub mod fetch;
pub mod first_reads;
pub mod fleet;
pub mod home_speed;
pub mod homes;
pub mod intake;
pub mod isolation;
pub mod lane;
pub mod life;
pub mod limits;
pub mod load;
pub mod origins;
pub mod pace;
pub mod paging;
pub mod parts;
pub mod place;
pub mod plan;
pub mod prefix;
pub mod quarantine;
pub mod quota;
pub mod rate_limit;
pub mod reach;
pub mod reclaim;
pub mod relays;
pub mod rescue;
pub mod retries;
pub mod returns;
pub mod rollout;
pub mod room;
pub mod route;
pub mod send_gate;
pub mod slots;
pub mod sources;
pub mod spread;
pub mod stop;
mod time;
pub mod turns;
pub mod urgency;

pub use time::{Tick, duration_from_secs};
