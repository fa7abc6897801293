//! Reads cache events from engines within a network budget.
//!
//! Only engines that recently got requests are asked, because nothing is remembered of the others. If there are more
//! events than the budget allows, engines drop some; the gap then lowers the trust in the remembered cache contents.

use std::time::Duration;

use contract::UpstreamKind;
use metrics::counter;
use policy::Tick;
use policy::cache::CacheEvent;
use policy::limits::Bucket;
use policy::route::Ablation;
use upstream::engine::EngineClient;

use super::Upstreams;
use super::index::Upstream;
use crate::EntryHost;

/// Pause between two reads.
const READ_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of one read.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Network budget of reading events, in bytes a second.
const BYTES_PER_S: f64 = 1_000.0;
/// Network bytes of a response without events, and of each event in it.
const READ_BYTES: (f64, f64) = (900.0, 66.0);
/// Time after the last request for which an engine is asked.
const RECENT_TIME: Duration = Duration::from_mins(1);

/// Reads cache events until the process stops.
pub fn run(entry: &EntryHost) {
    let client = EngineClient::new(READ_TIMEOUT);
    let mut budget = Bucket::new(BYTES_PER_S, entry.clock.now());
    while !entry.is_stopping() {
        std::thread::sleep(READ_INTERVAL);
        if !entry.upstreams.rules.with(Ablation::CacheEvents) {
            continue;
        }
        let now = entry.clock.now();
        let Some(upstream) = entry.upstreams.next_engine(now) else {
            continue;
        };
        if budget.take(READ_BYTES.0, now).is_err() {
            continue;
        }
        let after = upstream.state.stats.lock().cursor.after();
        match client.cache_events(upstream.spec.address, after, READ_TIMEOUT) {
            Ok(events) => {
                budget.correct(-READ_BYTES.1 * events.len() as f64);
                let events = events.iter().map(|event| CacheEvent {
                    sequence: event.sequence,
                    block: event.block,
                    stored: event.stored,
                });
                entry
                    .upstreams
                    .apply_events(&upstream, &events.collect::<Vec<_>>(), entry.clock.now());
            }
            Err(_) => counter!("gentian_event_reads_failed_total").increment(1),
        }
    }
}

impl Upstreams {
    /// Returns the engine whose events were read the longest ago, among those that recently got requests.
    fn next_engine(&self, now: Tick) -> Option<Upstream> {
        let index = self.index.load();
        let engines = index
            .upstreams
            .values()
            .filter(|upstream| matches!(upstream.spec.kind, UpstreamKind::Engine { .. }));
        let waiting = engines.filter_map(|upstream| {
            let stats = upstream.state.stats.lock();
            let recent = stats.last_request.is_some_and(|at| now.since(at) < RECENT_TIME);
            recent.then_some((stats.last_read, upstream))
        });
        let (_, upstream) = waiting.min_by_key(|(at, _)| *at)?;
        upstream.state.stats.lock().last_read = now;
        Some(upstream.clone())
    }

    fn apply_events(&self, upstream: &Upstream, events: &[CacheEvent], now: Tick) {
        let mut stats = upstream.state.stats.lock();
        let applied = stats.cursor.apply(events);
        stats.trust.record_lost(applied.lost, applied.fresh.len());
        drop(stats);
        counter!("gentian_cache_events_total", "fate" => "read").increment(applied.fresh.len() as u64);
        counter!("gentian_cache_events_total", "fate" => "lost").increment(applied.lost);
        let number = upstream.state.number;
        let mut history = self.history.lock();
        if applied.restarted {
            history.forget(number);
        }
        for event in applied.fresh {
            if event.stored {
                history.store_block(event.block, number, now);
            } else {
                history.evict_block(event.block, number);
            }
        }
    }
}
