//! Reading of engines' cache events, within a bound on the bytes a second.
//!
//! Only engines to which requests went lately are asked, since of the others nothing is remembered. When there are more
//! events than the bound allows to read, engines drop some; the gap then lowers the trust in what is remembered.

use std::time::Duration;

use contract::UpstreamKind;
use metrics::counter;
use policy::Tick;
use policy::cache::CacheEvent;
use policy::limits::Bucket;
use policy::route::Ablation;
use upstream::engine::EngineClient;

use super::Fleet;
use super::index::Row;
use crate::Entry;

const CHECK_INTERVAL: Duration = Duration::from_millis(250);
const TIMEOUT: Duration = Duration::from_millis(500);
/// Bytes a second.
const BUDGET: f64 = 1_000.0;
/// Bytes of an answer without events, and of one event.
const BYTES: (f64, f64) = (900.0, 66.0);
/// How long after the last request an engine is asked.
const RECENT: Duration = Duration::from_mins(1);

/// Reads cache events until told to stop.
pub fn run(entry: &Entry) {
    let client = EngineClient::new(TIMEOUT);
    let mut budget = Bucket::new(BUDGET, entry.clock.now());
    while !entry.stopping() {
        std::thread::sleep(CHECK_INTERVAL);
        if !entry.fleet.rules.with(Ablation::CacheEvents) {
            continue;
        }
        let now = entry.clock.now();
        let Some(row) = entry.fleet.next_read(now) else {
            continue;
        };
        if budget.take(BYTES.0, now).is_err() {
            continue;
        }
        let after = row.member.state.lock().cursor.after();
        match client.cache_events(row.spec.address, after, TIMEOUT) {
            Ok(events) => {
                budget.correct(-BYTES.1 * events.len() as f64);
                let events = events.iter().map(|event| CacheEvent {
                    sequence: event.sequence,
                    block: event.block,
                    stored: event.stored,
                });
                entry
                    .fleet
                    .take_events(&row, &events.collect::<Vec<_>>(), entry.clock.now());
            }
            Err(_) => counter!("gentian_event_reads_failed_total").increment(1),
        }
    }
}

impl Fleet {
    /// Gives the engine whose events were not read for the longest time, among those that were used lately.
    fn next_read(&self, now: Tick) -> Option<Row> {
        let index = self.index.load();
        let engines = index
            .rows
            .values()
            .filter(|row| matches!(row.spec.kind, UpstreamKind::Engine { .. }));
        let waiting = engines.filter_map(|row| {
            let state = row.member.state.lock();
            let recent = state.sent.is_some_and(|at| now.since(at) < RECENT);
            recent.then_some((state.read_at, row))
        });
        let (_, row) = waiting.min_by_key(|(at, _)| *at)?;
        row.member.state.lock().read_at = now;
        Some(row.clone())
    }

    fn take_events(&self, row: &Row, events: &[CacheEvent], now: Tick) {
        let mut state = row.member.state.lock();
        let applied = state.cursor.apply(events);
        state.trust.record_lost(applied.lost, applied.fresh.len());
        drop(state);
        counter!("gentian_cache_events_total", "fate" => "read").increment(applied.fresh.len() as u64);
        counter!("gentian_cache_events_total", "fate" => "lost").increment(applied.lost);
        let number = row.member.number;
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
