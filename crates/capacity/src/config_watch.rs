//! Follows the replicated configuration by long polling the state group.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use contract::Config;
use metrics::counter;
use parking_lot::RwLock;
use wire::client::StateClient;
use wire::state::{Watch, Watched};

/// How long a state node may hold a long poll open before it answers without news.
const LONG_POLL_MS: u64 = 1_000;
/// Pause before the next state node is asked, after one didn't answer.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The latest configuration that this process has received.
#[derive(Debug, Default)]
pub struct LatestConfig {
    config: RwLock<Arc<Config>>,
}

impl LatestConfig {
    /// Returns the latest configuration; the default one until the first answer.
    #[must_use]
    pub fn config(&self) -> Arc<Config> {
        Arc::clone(&self.config.read())
    }

    /// Applies an answer of the state group; one that holds nothing newer is ignored.
    ///
    /// Records that don't follow directly on the configuration's revision are skipped.
    pub fn update(&self, answer: Watched) {
        let current = self.config();
        let mut config = answer.snapshot.unwrap_or_else(|| (*current).clone());
        for record in &answer.records {
            if record.revision == config.revision.next() {
                config.apply(record);
            }
        }
        if config.revision > current.revision {
            *self.config.write() = Arc::new(config);
        }
    }
}

/// Polls the state group until `stop` is set; goes on to the next node when one doesn't answer.
pub fn run(latest: &LatestConfig, state: &StateClient, stop: &AtomicBool) {
    let mut node = 0;
    while !stop.load(Ordering::Relaxed) {
        let after = latest.config().revision;
        let request = Watch {
            after,
            wait_ms: LONG_POLL_MS,
        };
        if let Ok(answer) = state.watch(node, after, request) {
            latest.update(answer.body);
        } else {
            counter!("gentian_watch_failures_total").increment(1);
            node += 1;
            std::thread::sleep(RETRY_PAUSE);
        }
    }
}
