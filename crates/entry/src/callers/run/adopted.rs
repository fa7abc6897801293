//! Requests that a leaving peer handed over.

use std::sync::Arc;

use contract::RequestId;
use metrics::counter;
use slog::info;
use wire::entry::Handover;

use super::{Ended, Nowhere, Run, Search};
use crate::Entry;
use crate::callers::ask::Ask;
use crate::callers::chat;
use crate::callers::shared::Counted;
use crate::callers::watch::{Limits, Watch};
use crate::journal::Journal;

/// Stack of the thread of an adopted request, in bytes.
const STACK: usize = 512 * 1024;

/// Goes on with a request of a peer; tells whether it is or was taken over.
///
/// A peer that lost our answer asks again: the request is known then and must not be run twice.
pub fn adopt(entry: &Arc<Entry>, handover: &Handover) -> bool {
    if entry.leaving.load(std::sync::atomic::Ordering::Relaxed) {
        return false;
    }
    let Ok(ask) = Ask::read(handover.body.as_bytes()) else {
        return false;
    };
    let Some(work) = entry.callers.adopt(entry.settings.connections) else {
        counter!("gentian_refused_total", "cause" => "adoptions").increment(1);
        return false;
    };
    let owner = handover.owner.clone();
    let Some(journal) = entry.journals.open_new(&handover.request, owner, &ask.chat) else {
        return true;
    };
    for token in &handover.tokens {
        // A journal that was just opened is nowhere else.
        let _ = journal.push(token);
    }
    let (shared, id) = (Arc::clone(entry), handover.request.clone());
    let thread = std::thread::Builder::new().name("adopted".to_owned()).stack_size(STACK);
    let spawned = thread.spawn(move || go_on(&shared, &id, &ask, &journal, &work));
    spawned.is_ok()
}

fn go_on(entry: &Entry, id: &RequestId, ask: &Ask, journal: &Arc<Journal>, _work: &Counted) {
    let now = entry.clock.now();
    let view = entry.current.view();
    let customer = journal.customer();
    let class = view
        .config
        .contracts
        .get(&customer)
        .and_then(|contract| chat::class(contract, ask));
    let ended = class.map(|class| {
        let limits = Limits::new(&class.targets, ask.prompt_tokens, now);
        let watch = Watch::new(entry.clock.clone(), None, Arc::clone(journal), limits);
        let run = Run {
            entry,
            id,
            customer,
            ask,
            journal: Arc::clone(journal),
            watch: Arc::new(watch),
            meter: entry.burn.start_meter(&journal.customer(), class, now),
        };
        run.drive(&mut Search::adopted(), &mut Nowhere)
    });
    let whole = matches!(ended, Some(Ended::Whole(_)));
    // A request that was handed on once more ends at the next peer.
    let _ = journal.end(whole);
    entry.journals.end(id, entry.clock.now());
    counter!("gentian_adopted_total", "whole" => whole.to_string()).increment(1);
    info!(entry.logger, "adopted request ended"; "request" => %id, "whole" => whole);
}
