//! A planned stop: leave the balancer, take nothing new, finish or hand over everything, then end.

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

/// Pause between two looks at what is still open.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Looks in a row that must find nothing open; a request that was read just before the first one shows by the second.
const QUIET: u32 = 3;
/// Longest time before the host is gone in which streams are handed over; until then they go on.
const MARGIN: Duration = Duration::from_secs(5);
/// Handovers under way at the same time.
const MOVERS: usize = 8;

/// Takes in a sign about a host: the process leaves when it is the one that it runs on.
///
/// A sign about an earlier host of the same name comes late when the new one already serves, and must not end it.
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

/// Leaves: returns when nothing is open any more.
///
/// Readiness turns false first. The balancer needs some time to notice, so requests that it still sends are served in
/// that time; later ones get a refusal that says that they were not run.
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

/// Gives the time before the end at which streams are handed over: half of what was left at the notice, at most.
fn margin(entry: &Entry, gone_at: Tick) -> Duration {
    (gone_at.since(entry.noticed_at()) / 2).min(MARGIN)
}

/// Hands every open answer to a peer; what no peer takes goes on here.
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
            // The movers live until the ring is closed.
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
