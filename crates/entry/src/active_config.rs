//! The active configuration, and the thread that keeps it up to date.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use contract::{AccountName, Config, Contract, CustomerId, KeyHash, Revision};
use metrics::gauge;
use policy::Tick;
use slog::{info, warn};
use wire::state::{Watch, Watched};

use crate::EntryHost;

/// Longest time for which a state node holds a watch request without news.
const WATCH_WAIT_MS: u64 = 2_000;
/// Age of the news from which another state node is asked.
const STALE_MS: u64 = 2_000;
/// Pause after a state node failed to respond.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);

/// One revision of the configuration with an index of its accounts.
#[derive(Debug, Default)]
pub struct ConfigView {
    /// The configuration itself.
    pub config: Config,
    accounts: HashMap<KeyHash, (CustomerId, AccountName)>,
}

/// The newest configuration that this process has received.
#[derive(Debug, Default)]
pub struct ActiveConfig {
    view: ArcSwap<ConfigView>,
    confirmed_ms: AtomicU64,
}

impl ConfigView {
    /// Indexes a configuration.
    #[must_use]
    pub fn new(config: Config) -> Self {
        let rows = config.contracts.values().flat_map(|contract| {
            let owner = |name: &AccountName| (contract.customer.clone(), name.clone());
            contract
                .accounts
                .iter()
                .map(move |account| (account.key_hash.clone(), owner(&account.name)))
        });
        let accounts = rows.collect();
        Self { config, accounts }
    }

    /// Returns the contract and account of a bearer key.
    #[must_use]
    pub fn account(&self, key: &str) -> Option<(&Contract, &AccountName)> {
        // The map is keyed by the hash, so the time of a lookup reveals nothing about a key.
        let (customer, account) = self.accounts.get(&KeyHash::of(key))?;
        Some((self.config.contracts.get(customer)?, account))
    }
}

impl ActiveConfig {
    /// Returns the active view.
    #[must_use]
    pub fn view(&self) -> Arc<ConfigView> {
        self.view.load_full()
    }

    /// Returns the active revision.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.view.load().config.revision
    }

    /// Returns whether any configuration was received.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.confirmed_ms.load(Ordering::Relaxed) > 0
    }

    /// Returns the time since the active revision was last confirmed as the newest.
    #[must_use]
    pub fn age(&self, now: Tick) -> Duration {
        now.since(Tick::from_millis(self.confirmed_ms.load(Ordering::Relaxed)))
    }

    /// Returns the news for a peer: the active configuration if it is newer than `after`, and its age.
    #[must_use]
    pub fn news_since(&self, after: Revision, now: Tick) -> Watched {
        let view = self.view();
        Watched {
            snapshot: (view.config.revision > after).then(|| view.config.clone()),
            records: Vec::new(),
            age_ms: self.age(now).as_millis() as u64,
        }
    }

    /// Applies news. A configuration older than the active one is ignored, so that the active one never reverts.
    pub fn apply_news(&self, news: Watched, now: Tick) {
        let previous = self.view();
        let mut config = news.snapshot.unwrap_or_else(|| previous.config.clone());
        for record in &news.records {
            if record.revision == config.revision.next() {
                config.apply(record);
            }
        }
        if config.revision > previous.config.revision {
            self.view.store(Arc::new(ConfigView::new(config)));
        }
        let confirmed = now - Duration::from_millis(news.age_ms);
        let confirmed_ms = u64::try_from(confirmed.0.as_millis()).unwrap_or(u64::MAX).max(1);
        self.confirmed_ms.fetch_max(confirmed_ms, Ordering::Relaxed);
    }
}

/// Watches the state group until the process stops; asks a peer whenever a state node fails to respond.
pub fn watch_state(entry: &EntryHost) {
    let (active, state, logger) = (&entry.config, &entry.state_client, &entry.logger);
    let mut node = state.preferred_node();
    let mut failing = false;
    while !entry.stop.load(Ordering::Relaxed) {
        let after = active.revision();
        let request = Watch {
            after,
            wait_ms: WATCH_WAIT_MS,
        };
        match state.watch(node, after, request) {
            Ok(news) => {
                // A partitioned node keeps answering with its last state; another node may have a newer one.
                if news.body.age_ms > STALE_MS {
                    node += 1;
                }
                active.apply_news(news.body, entry.clock.now());
                if std::mem::take(&mut failing) {
                    info!(logger, "state group answers again"; "revision" => active.revision().0);
                }
            }
            Err(error) => {
                if !std::mem::replace(&mut failing, true) {
                    warn!(logger, "state node does not respond"; "error" => %error);
                }
                node += 1;
                fetch_from_peer(entry);
                std::thread::sleep(FAILURE_PAUSE);
            }
        }
        gauge!("gentian_config_revision").set(active.revision().0 as f64);
        gauge!("gentian_config_age_seconds").set(active.age(entry.clock.now()).as_secs_f64());
    }
}

/// Takes a newer configuration from a peer, which may have received it before a network partition or be on its other
/// side.
///
/// Otherwise a host that starts during a partition would have no contracts and refuse every caller.
fn fetch_from_peer(entry: &EntryHost) {
    if let Some(news) = entry.peers.newer_config(entry.config.revision()) {
        // News from a peer without a configuration would make this host count as ready.
        if news.snapshot.is_some() || entry.config.is_ready() {
            entry.config.apply_news(news, entry.clock.now());
        }
    }
}
