//! A planned stop: leaves the load balancer, refuses new requests, finishes or hands over all open ones, then ends.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use contract::RequestId;
use crossbeam_channel::bounded;
use policy::Tick;
use slog::info;
use wire::entry::{Handover, HostSignal, HostSignalKind};

use crate::EntryHost;
use crate::journal::Journal;

/// Pause between two checks for open requests.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Consecutive checks that must find no open request. A request that was read just before the first check is counted by
/// the second.
const MIN_IDLE_CHECKS: u32 = 3;
/// Longest time before the announced end at which streams are handed over; until then they continue here.
const MAX_HANDOVER_TIME: Duration = Duration::from_secs(5);
/// Number of concurrent handovers.
const HANDOVER_THREADS: usize = 8;

/// Handles a signal about the life cycle of a host: this process leaves if its own host does.
///
/// A signal about an earlier host with the same name can arrive when the new one already serves, and must not stop it.
pub fn handle_signal(entry: &EntryHost, signal: &HostSignal) {
    let is_own_host = signal.host == entry.settings.host && signal.incarnation >= entry.settings.incarnation;
    if !is_own_host || signal.sign == HostSignalKind::Serving {
        return;
    }
    if let HostSignalKind::Notice { left_ms } = signal.sign {
        entry.announce_end(Duration::from_millis(left_ms));
    }
    entry.leave_requested.store(true, Ordering::SeqCst);
}

/// Drains this process; returns when no request is open.
///
/// Readiness turns false first. The load balancer needs some time to notice, so requests that it still sends are served
/// during that time; later ones are refused as not run.
pub fn drain(entry: &Arc<EntryHost>) {
    entry.leaving.store(true, Ordering::SeqCst);
    info!(entry.logger, "draining"; "open" => entry.request_counts.open_requests());
    let refuse_at = entry.clock.now() + entry.settings.notice;
    let mut idle_checks = 0;
    let mut handed_over = false;
    while idle_checks < MIN_IDLE_CHECKS {
        thread::sleep(CHECK_INTERVAL);
        let now = entry.clock.now();
        if now >= refuse_at && !entry.refusing.swap(true, Ordering::SeqCst) {
            info!(entry.logger, "taking nothing new"; "open" => entry.request_counts.open_requests());
        }
        if let Some(gone_at) = entry.gone_at()
            && now + handover_time(entry, gone_at) >= gone_at
            && !handed_over
        {
            handed_over = true;
            entry.refusing.store(true, Ordering::SeqCst);
            hand_over_all(entry);
        }
        let is_busy = !entry.refusing.load(Ordering::SeqCst) || entry.request_counts.open_requests() > 0;
        idle_checks = if is_busy { 0 } else { idle_checks + 1 };
    }
}

/// Returns how long before the announced end streams are handed over: half of the notice period, at most
/// [`MAX_HANDOVER_TIME`].
fn handover_time(entry: &EntryHost, gone_at: Tick) -> Duration {
    (gone_at.since(entry.noticed_at()) / 2).min(MAX_HANDOVER_TIME)
}

/// Hands every open answer over to a peer; an answer that no peer accepts continues here.
fn hand_over_all(entry: &Arc<EntryHost>) {
    let open = entry.journals.open_journals();
    info!(entry.logger, "handing over open answers"; "answers" => open.len());
    let (sender, receiver) = bounded::<(RequestId, Arc<Journal>)>(HANDOVER_THREADS);
    thread::scope(|scope| {
        for _ in 0..HANDOVER_THREADS {
            let receiver = receiver.clone();
            scope.spawn(move || {
                for (id, journal) in receiver {
                    hand_over_one(entry, &id, &journal);
                }
            });
        }
        drop(receiver);
        for item in open {
            // The receivers live until the channel is closed.
            let _ = sender.send(item);
        }
        drop(sender);
    });
}

fn hand_over_one(entry: &EntryHost, id: &RequestId, journal: &Journal) {
    journal.hand_over(|request, tokens| {
        let Ok(body) = serde_json::to_string(request) else {
            return false;
        };
        let handover = Handover {
            request: id.clone(),
            owner: journal.owner.clone(),
            body,
            tokens,
        };
        entry.peers.hand_over(entry.config.revision(), &handover)
    });
}
