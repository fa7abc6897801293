//! Polls load reports from upstreams. The entry hosts of a data centre divide its upstreams among themselves.

use std::sync::Arc;
use std::time::Duration;

use contract::Revision;
use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use metrics::{counter, gauge};
use policy::divide::polling_host;
use policy::load::LoadReport;
use policy::{Tick, duration_from_secs};
use telemetry::panics;
use upstream::engine::EngineClient;

use super::Upstreams;
use super::index::{Upstream, UpstreamIndex};
use crate::EntryHost;
use crate::exchange::LiveHosts;

/// Pause between two checks for polls that are due.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of one poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// Network bytes of one poll in both directions with the headers of TCP and IP: about 350 of HTTP, and ten packets with
/// 52 bytes of headers each.
const POLL_BYTES: f64 = 900.0;
/// Network budget of polling in bytes a second: without peers, the deduction for each peer (which digests use), and the
/// minimum.
const BYTES_PER_S: (f64, f64, f64) = (6_400.0, 400.0, 2_000.0);
/// Shortest interval between two polls of one upstream.
const MIN_INTERVAL: Duration = Duration::from_millis(250);
/// Lower and upper bound of the age at which a load report expires.
const EXPIRY_BOUNDS: (Duration, Duration) = (Duration::from_secs(3), Duration::from_secs(15));
/// Concurrent polls, so that one unresponsive upstream doesn't delay the others.
const POLL_THREADS: usize = 4;
/// Polls that may wait for a poller thread; further ones are skipped.
const MAX_QUEUED_POLLS: usize = 64;

/// The upstreams that this host polls, recomputed when the live entry hosts or the upstreams change.
#[derive(Debug, Default)]
struct OwnPolls {
    inputs: Option<(Revision, Arc<LiveHosts>)>,
    upstreams: Vec<Upstream>,
}

/// Polls this host's part of the upstreams and sets the slots of admission control, until the process stops.
///
/// # Errors
/// Fails if a thread can't be started.
pub fn run(entry: &Arc<EntryHost>) -> std::io::Result<()> {
    let (sender, receiver) = bounded(MAX_QUEUED_POLLS);
    for _ in 0..POLL_THREADS {
        let entry = Arc::clone(entry);
        let receiver: Receiver<Upstream> = receiver.clone();
        let logger = entry.logger.clone();
        panics::spawn_restarting("load", &logger, move || poll_upstreams(&entry, &receiver))?;
    }
    let mut own_polls = OwnPolls::default();
    while !entry.is_stopping() {
        let live = entry.live_hosts.load_full();
        entry.upstreams.refresh(&entry.config.view());
        let now = entry.clock.now();
        own_polls.refresh(entry, &live);
        let interval = poll_interval(own_polls.upstreams.len(), live.count());
        entry
            .upstreams
            .set_expiry((3 * (interval + live.cycle)).clamp(EXPIRY_BOUNDS.0, EXPIRY_BOUNDS.1));
        gauge!("gentian_polled_upstreams").set(own_polls.upstreams.len() as f64);
        gauge!("gentian_poll_interval_seconds").set(interval.as_secs_f64());
        own_polls.queue_due(&sender, interval, now);
        // Every entry host may send to every upstream, including those of other data centres.
        entry
            .admission
            .set_slots(&entry.upstreams.slot_shares(live.count(), now));
        std::thread::sleep(CHECK_INTERVAL);
    }
    Ok(())
}

/// Returns the interval between two polls of one upstream that keeps all polls within the network budget.
fn poll_interval(upstreams: usize, hosts: usize) -> Duration {
    let peers = hosts.saturating_sub(1) as f64;
    let budget = (BYTES_PER_S.0 - peers * BYTES_PER_S.1).max(BYTES_PER_S.2);
    duration_from_secs(upstreams as f64 * POLL_BYTES / budget).max(MIN_INTERVAL)
}

impl OwnPolls {
    fn refresh(&mut self, entry: &EntryHost, live: &Arc<LiveHosts>) {
        let index = entry.upstreams.index.load_full();
        let inputs = (index.revision, Arc::clone(live));
        if self.inputs.as_ref() != Some(&inputs) {
            self.upstreams = own_upstreams(entry, &index, live);
            self.inputs = Some(inputs);
        }
    }

    fn queue_due(&self, queue: &Sender<Upstream>, interval: Duration, now: Tick) {
        for upstream in &self.upstreams {
            let mut stats = upstream.state.stats.lock();
            if stats.next_poll > now {
                continue;
            }
            stats.next_poll = now + interval;
            drop(stats);
            if let Err(TrySendError::Full(_)) = queue.try_send(upstream.clone()) {
                counter!("gentian_polls_skipped_total").increment(1);
            }
        }
    }
}

fn own_upstreams(entry: &EntryHost, index: &UpstreamIndex, live: &LiveHosts) -> Vec<Upstream> {
    let node = &entry.settings.node;
    let upstreams = index.upstreams.values().filter(|upstream| {
        let pollers = live.pollers(&upstream.spec.host.data_center);
        polling_host(&upstream.spec.id, pollers) == Some(node)
    });
    upstreams.cloned().collect()
}

fn poll_upstreams(entry: &EntryHost, queue: &Receiver<Upstream>) {
    let client = EngineClient::new(POLL_TIMEOUT);
    // The channel is closed when the sending thread ends.
    for upstream in queue {
        counter!("gentian_polls_total").increment(1);
        let result = client.load(upstream.spec.address, POLL_TIMEOUT);
        let now = entry.clock.now();
        match result {
            Ok(load) => {
                let report = LoadReport {
                    measured_at: now - Duration::from_millis(load.age_ms),
                    running: load.running,
                    waiting: load.waiting,
                    kv_used: load.kv_used,
                };
                let mut stats = upstream.state.stats.lock();
                stats.load.update(report);
                stats.last_poll = Some(now);
                drop(stats);
                entry.upstreams.hosts.record_response(&upstream.spec.host, now);
            }
            Err(error) => {
                counter!("gentian_polls_failed_total").increment(1);
                entry.upstreams.hosts.record_failure(&upstream.spec.host, &error, now);
            }
        }
    }
}

impl Upstreams {
    fn set_expiry(&self, expiry: Duration) {
        let ms = u64::try_from(expiry.as_millis()).unwrap_or(u64::MAX);
        self.expiry_ms.store(ms, std::sync::atomic::Ordering::Relaxed);
    }
}
