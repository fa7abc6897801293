//! The configuration in force, as far as this process has heard.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use contract::Config;
use metrics::counter;
use parking_lot::RwLock;
use wire::client::StateClient;
use wire::state::{Watch, Watched};

/// How long a node of the state group may hold the question.
const WAIT_MS: u64 = 1_000;
/// Pause after a node that didn't answer.
const PAUSE: Duration = Duration::from_millis(200);

/// The newest configuration that was heard.
#[derive(Debug, Default)]
pub struct Followed {
    config: RwLock<Arc<Config>>,
}

impl Followed {
    /// Gives the newest configuration.
    #[must_use]
    pub fn config(&self) -> Arc<Config> {
        Arc::clone(&self.config.read())
    }

    /// Takes over news; an older configuration is dropped.
    pub fn take(&self, news: Watched) {
        let before = self.config();
        let mut config = news.snapshot.unwrap_or_else(|| (*before).clone());
        for record in &news.records {
            if record.revision == config.revision.next() {
                config.apply(record);
            }
        }
        if config.revision > before.revision {
            *self.config.write() = Arc::new(config);
        }
    }
}

/// Follows the state group until told to stop.
pub fn run(followed: &Followed, state: &StateClient, stop: &AtomicBool) {
    let mut node = 0;
    while !stop.load(Ordering::Relaxed) {
        let after = followed.config().revision;
        let ask = Watch {
            after,
            wait_ms: WAIT_MS,
        };
        if let Ok(news) = state.watch(node, after, ask) {
            followed.take(news.body);
        } else {
            counter!("gentian_watch_failures_total").increment(1);
            node += 1;
            std::thread::sleep(PAUSE);
        }
    }
}
