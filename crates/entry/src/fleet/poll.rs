//! Reading of load reports, divided among the entry hosts of a data centre.

use std::sync::Arc;
use std::time::Duration;

use contract::Revision;
use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use metrics::{counter, gauge};
use policy::Tick;
use policy::divide::polling_host;
use policy::load::LoadReport;
use upstream::engine::EngineClient;

use super::Fleet;
use super::index::{Index, Row};
use crate::Entry;
use crate::exchange::Live;

/// Pause between two looks at what is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
const TIMEOUT: Duration = Duration::from_millis(500);
/// Bytes of one poll both ways, with the headers of TCP and IP: about 350 of HTTP and ten packets of 52.
const BYTES: f64 = 900.0;
/// Bytes a second that polls may take when there are no peers; each peer takes some of it for digests, down to a least.
const BUDGET: (f64, f64, f64) = (6_400.0, 400.0, 2_000.0);
/// Shortest pause between two polls of one upstream.
const SHORTEST: Duration = Duration::from_millis(250);
/// Bounds of the age at which a report no longer counts.
const EXPIRY: (Duration, Duration) = (Duration::from_secs(3), Duration::from_secs(15));
/// Polls under way at the same time, so that one dead upstream doesn't hold the others up.
const READERS: usize = 4;
/// Polls that may wait for a reader.
const RING: usize = 64;

/// The upstreams that this host polls, worked out anew when hosts or upstreams change.
#[derive(Debug, Default)]
struct Owned {
    made_for: Option<(Revision, Arc<Live>)>,
    rows: Vec<Row>,
}

/// Polls what is this host's part, and sizes admission by what is known, until told to stop.
///
/// # Errors
/// Fails when the operating system refuses a thread.
pub fn run(entry: &Arc<Entry>) -> std::io::Result<()> {
    let (sender, receiver) = bounded(RING);
    for _ in 0..READERS {
        let entry = Arc::clone(entry);
        let receiver: Receiver<Row> = receiver.clone();
        let reader = std::thread::Builder::new().name("load".to_owned());
        reader.spawn(move || read(&entry, &receiver))?;
    }
    let mut owned = Owned::default();
    while !entry.stopping() {
        let live = entry.live.load_full();
        entry.fleet.refresh(&entry.current.view());
        let now = entry.clock.now();
        owned.refresh(entry, &live);
        let interval = interval(owned.rows.len(), live.count());
        entry
            .fleet
            .set_expiry((3 * (interval + live.cycle)).clamp(EXPIRY.0, EXPIRY.1));
        gauge!("gentian_polled_upstreams").set(owned.rows.len() as f64);
        gauge!("gentian_poll_interval_seconds").set(interval.as_secs_f64());
        owned.poll(&sender, interval, now);
        // Any entry host may send to any upstream, those of other data centres included.
        entry.admission.resize(&entry.fleet.sizes(live.count(), now));
        std::thread::sleep(CHECK_INTERVAL);
    }
    Ok(())
}

/// Gives the pause between two polls of one upstream that keeps all polls within the budget.
fn interval(upstreams: usize, hosts: usize) -> Duration {
    let peers = hosts.saturating_sub(1) as f64;
    let budget = (BUDGET.0 - peers * BUDGET.1).max(BUDGET.2);
    Duration::from_secs_f64(upstreams as f64 * BYTES / budget).max(SHORTEST)
}

impl Owned {
    fn refresh(&mut self, entry: &Entry, live: &Arc<Live>) {
        let index = entry.fleet.index.load_full();
        let made_for = (index.revision, Arc::clone(live));
        if self.made_for.as_ref() != Some(&made_for) {
            self.rows = mine(entry, &index, live);
            self.made_for = Some(made_for);
        }
    }

    fn poll(&self, ring: &Sender<Row>, interval: Duration, now: Tick) {
        for row in &self.rows {
            let mut state = row.member.state.lock();
            if state.poll_at > now {
                continue;
            }
            state.poll_at = now + interval;
            drop(state);
            if let Err(TrySendError::Full(_)) = ring.try_send(row.clone()) {
                counter!("gentian_polls_skipped_total").increment(1);
            }
        }
    }
}

fn mine(entry: &Entry, index: &Index, live: &Live) -> Vec<Row> {
    let node = &entry.settings.node;
    let rows = index.rows.values().filter(|row| {
        let pollers = live.pollers(&row.spec.host.data_center);
        polling_host(&row.spec.id, pollers) == Some(node)
    });
    rows.cloned().collect()
}

fn read(entry: &Entry, ring: &Receiver<Row>) {
    let client = EngineClient::new(TIMEOUT);
    // The ring is closed when the thread that fills it ends.
    for row in ring {
        counter!("gentian_polls_total").increment(1);
        let result = client.load(row.spec.address, TIMEOUT);
        let now = entry.clock.now();
        match result {
            Ok(load) => {
                let report = LoadReport {
                    measured_at: now - Duration::from_millis(load.age_ms),
                    running: load.running,
                    waiting: load.waiting,
                    kv_used: load.kv_used,
                };
                let mut state = row.member.state.lock();
                state.load.update(report);
                state.polled = Some(now);
                drop(state);
                entry.fleet.hosts.answered(&row.spec.host, now);
            }
            Err(error) => {
                counter!("gentian_polls_failed_total").increment(1);
                entry.fleet.hosts.failed(&row.spec.host, &error, now);
            }
        }
    }
}

impl Fleet {
    fn set_expiry(&self, expiry: Duration) {
        let ms = u64::try_from(expiry.as_millis()).unwrap_or(u64::MAX);
        self.expiry_ms.store(ms, std::sync::atomic::Ordering::Relaxed);
    }
}
