//! The configuration in force, and the thread that keeps it current.

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

use crate::Entry;

/// How long a node of the state group may hold the question.
const WAIT_MS: u64 = 2_000;
/// Age from which another node of the state group is asked.
const STALE_MS: u64 = 2_000;
/// Pause after a node that didn't answer.
const PAUSE: Duration = Duration::from_millis(100);

/// One revision of the configuration with what is looked up in it.
#[derive(Debug, Default)]
pub struct View {
    /// Contracts and upstreams.
    pub config: Config,
    accounts: HashMap<KeyHash, (CustomerId, AccountName)>,
}

/// The newest configuration that the process has seen.
#[derive(Debug, Default)]
pub struct Current {
    view: ArcSwap<View>,
    heard_ms: AtomicU64,
}

impl View {
    /// Makes the view of a configuration.
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

    /// Finds the contract and account of a bearer key.
    #[must_use]
    pub fn account(&self, key: &str) -> Option<(&Contract, &AccountName)> {
        // The map is keyed by the hash, so the time of a look-up tells nothing about a key.
        let (customer, account) = self.accounts.get(&KeyHash::of(key))?;
        Some((self.config.contracts.get(customer)?, account))
    }
}

impl Current {
    /// Gives the view in force.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Gives the revision in force.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.view.load().config.revision
    }

    /// Tells whether any configuration was heard yet.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.heard_ms.load(Ordering::Relaxed) > 0
    }

    /// Gives the time since the newest revision was last confirmed.
    #[must_use]
    pub fn age(&self, now: Tick) -> Duration {
        now.since(Tick::from_millis(self.heard_ms.load(Ordering::Relaxed)))
    }

    /// Gives a peer what is in force here, if that is newer than what it has.
    #[must_use]
    pub fn since(&self, after: Revision, now: Tick) -> Watched {
        let view = self.view();
        Watched {
            snapshot: (view.config.revision > after).then(|| view.config.clone()),
            records: Vec::new(),
            age_ms: self.age(now).as_millis() as u64,
        }
    }

    /// Takes over news; a configuration that is older than the one in force is dropped, so that none ever reverts.
    pub fn take(&self, news: Watched, now: Tick) {
        let before = self.view();
        let mut config = news.snapshot.unwrap_or_else(|| before.config.clone());
        for record in &news.records {
            if record.revision == config.revision.next() {
                config.apply(record);
            }
        }
        if config.revision > before.config.revision {
            self.view.store(Arc::new(View::new(config)));
        }
        let heard = now - Duration::from_millis(news.age_ms);
        let heard_ms = u64::try_from(heard.0.as_millis()).unwrap_or(u64::MAX).max(1);
        self.heard_ms.fetch_max(heard_ms, Ordering::Relaxed);
    }
}

/// Follows the state group until told to stop; while no node of it answers, the peers are asked.
pub fn follow(entry: &Entry) {
    let (current, state, logger) = (&entry.current, &entry.state, &entry.logger);
    let mut node = state.preferred_node();
    let mut lost = false;
    while !entry.stop.load(Ordering::Relaxed) {
        let after = current.revision();
        let ask = Watch {
            after,
            wait_ms: WAIT_MS,
        };
        match state.watch(node, after, ask) {
            Ok(news) => {
                // A node that is cut off from the others answers for ever with what it had; another may know more.
                if news.body.age_ms > STALE_MS {
                    node += 1;
                }
                current.take(news.body, entry.clock.now());
                if std::mem::take(&mut lost) {
                    info!(logger, "state group answers again"; "revision" => current.revision().0);
                }
            }
            Err(error) => {
                if !std::mem::replace(&mut lost, true) {
                    warn!(logger, "state node does not answer"; "error" => %error);
                }
                node += 1;
                ask_peer(entry);
                std::thread::sleep(PAUSE);
            }
        }
        gauge!("gentian_config_revision").set(current.revision().0 as f64);
        gauge!("gentian_config_age_seconds").set(current.age(entry.clock.now()).as_secs_f64());
    }
}

/// Takes a newer configuration from a peer, which may have heard of it before the cut, or be on its other side.
///
/// A host that starts during a cut would otherwise have no contract at all and refuse every caller.
fn ask_peer(entry: &Entry) {
    if let Some(news) = entry.peers.config(entry.current.revision()) {
        // A peer that has no configuration either would make this host look ready.
        if news.snapshot.is_some() || entry.current.is_ready() {
            entry.current.take(news, entry.clock.now());
        }
    }
}
