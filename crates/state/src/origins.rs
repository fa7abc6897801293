//! Where streams began, as entry hosts have told this node. It is kept in memory only: hosts tell a node that was
//! restarted again.

use metrics::gauge;
use parking_lot::Mutex;
use policy::Tick;
use policy::origins::StreamOrigins;
use wire::origins::{AskOrigin, KnownOrigin, TellOrigins, ToldOrigins};

/// Origins of streams that this node is told of.
#[derive(Debug)]
pub struct OriginStore {
    /// Random number of the node's start.
    run: u64,
    origins: Mutex<StreamOrigins>,
}

impl Default for OriginStore {
    fn default() -> Self {
        Self {
            run: rand::random(),
            origins: Mutex::default(),
        }
    }
}

impl OriginStore {
    /// Records where streams began.
    pub fn record(&self, told: &TellOrigins, now: Tick) -> ToldOrigins {
        let mut origins = self.origins.lock();
        for (stream, origin) in &told.streams {
            origins.record(*stream, origin, now);
        }
        gauge!("gentian_state_origins_count").set(origins.len() as f64);
        ToldOrigins { run: self.run }
    }

    /// Returns where a stream began.
    #[must_use]
    pub fn find(&self, asked: &AskOrigin, now: Tick) -> KnownOrigin {
        KnownOrigin {
            origin: self.origins.lock().get(&asked.stream, now).cloned(),
        }
    }
}
