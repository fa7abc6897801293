//! A planned stop: leaves the load balancer, refuses new requests, finishes or hands over all open ones, then ends.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use contract::RequestId;
use crossbeam_channel::bounded;
use policy::Tick;
use slog::info;
use wire::entry::{Handover, HostSignal, Sign};

use crate::Entry;
use crate::journal::Journal;

/// Pause between two checks for open requests.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Consecutive checks that must find no open request. A request that was read just before the first check is counted by
/// the second.
const QUIET: u32 = 3;
/// Longest time before the announced end at which streams are handed over; until then they continue here.
const MARGIN: Duration = Duration::from_secs(5);
/// Number of concurrent handovers.
const MOVERS: usize = 8;

/// Handles a life-cycle event of a host: this process leaves if its own host leaves.
///
/// An event of an earlier host with the same name can arrive when the new one already serves, and must not stop it.
pub fn hear(entry: &Entry, sign: &HostSignal) {
    let own = sign.host == entry.settings.host && sign.incarnation >= entry.settings.incarnation;
    if !own || sign.sign == Sign::Serving {
        return;
    }
    if let Sign::Notice { left_ms } = sign.sign {
        entry.will_go(Duration::from_millis(left_ms));
    }
    entry.told.store(true, Ordering::SeqCst);
}

/// Drains this process; returns when no request is open.
///
/// Readiness turns false first. The load balancer needs some time to notice, so requests that it still sends are served
/// during that time; later ones are refused as not run.
pub fn leave(entry: &Arc<Entry>) {
    entry.leaving.store(true, Ordering::SeqCst);
    info!(entry.logger, "leaving"; "open" => entry.callers.working());
    let refuse_at = entry.clock.now() + entry.settings.notice;
    let mut quiet = 0;
    let mut moved = false;
    while quiet < QUIET {
        thread::sleep(CHECK_INTERVAL);
        let now = entry.clock.now();
        if now >= refuse_at && !entry.refusing.swap(true, Ordering::SeqCst) {
            info!(entry.logger, "taking nothing new"; "open" => entry.callers.working());
        }
        if let Some(gone_at) = entry.gone_at()
            && now + margin(entry, gone_at) >= gone_at
            && !moved
        {
            moved = true;
            entry.refusing.store(true, Ordering::SeqCst);
            hand_over(entry);
        }
        let open = !entry.refusing.load(Ordering::SeqCst) || entry.callers.working() > 0;
        quiet = if open { 0 } else { quiet + 1 };
    }
}

/// Returns how long before the announced end streams are handed over: half of the notice period, at most
/// [`MAX_HANDOVER_TIME`].
fn margin(entry: &Entry, gone_at: Tick) -> Duration {
    (gone_at.since(entry.noticed_at()) / 2).min(MARGIN)
}

/// Hands every open answer over to a peer; an answer that no peer accepts continues here.
fn hand_over(entry: &Arc<Entry>) {
    let open = entry.journals.open_ones();
    info!(entry.logger, "handing over"; "answers" => open.len());
    let (sender, receiver) = bounded::<(RequestId, Arc<Journal>)>(MOVERS);
    thread::scope(|scope| {
        for _ in 0..MOVERS {
            let receiver = receiver.clone();
            scope.spawn(move || {
                for (id, journal) in receiver {
                    move_one(entry, &id, &journal);
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

fn move_one(entry: &Entry, id: &RequestId, journal: &Journal) {
    journal.hand_over(|ask, tokens| {
        let Ok(body) = serde_json::to_string(ask) else {
            return false;
        };
        let handover = Handover {
            request: id.clone(),
            owner: journal.owner.clone(),
            body,
            tokens,
        };
        entry.peers.hand_over(entry.current.revision(), &handover)
    });
}
