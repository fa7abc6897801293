//! Takes over requests from a peer that leaves.

use std::sync::Arc;

use contract::RequestId;
use metrics::counter;
use slog::info;
use wire::entry::Handover;

use super::{ChatRun, DiscardTokens, EngineSearch, RunEnd};
use crate::EntryHost;
use crate::callers::chat;
use crate::callers::checked_chat::CheckedChat;
use crate::callers::monitor::{RequestMonitor, WaitLimits};
use crate::callers::request_counts::CountGuard;
use crate::journal::Journal;

/// Stack size of the thread of an adopted request, in bytes.
const STACK_BYTES: usize = 512 * 1024;

/// Takes over a request from a peer and continues it; returns whether this host has it now.
///
/// A peer that lost the reply sends the handover again. The request is then known here and must not be run twice.
pub fn adopt(entry: &Arc<EntryHost>, handover: &Handover) -> bool {
    if entry.leaving.load(std::sync::atomic::Ordering::Relaxed) {
        return false;
    }
    let Ok(chat) = CheckedChat::parse(handover.body.as_bytes()) else {
        return false;
    };
    let Some(guard) = entry.request_counts.count_adopted(entry.settings.connections) else {
        counter!("gentian_refused_total", "cause" => "adoptions").increment(1);
        return false;
    };
    let owner = handover.owner.clone();
    let Some(journal) = entry.journals.open_new(&handover.request, owner, &chat.request) else {
        return true;
    };
    for token in &handover.tokens {
        // A new journal can't have been taken over by a peer.
        let _ = journal.push(token);
    }
    let (shared, id) = (Arc::clone(entry), handover.request.clone());
    let thread = std::thread::Builder::new()
        .name("adopted".to_owned())
        .stack_size(STACK_BYTES);
    let spawned = thread.spawn(move || run_adopted(&shared, &id, &chat, &journal, &guard));
    spawned.is_ok()
}

fn run_adopted(entry: &EntryHost, id: &RequestId, chat: &CheckedChat, journal: &Arc<Journal>, _guard: &CountGuard) {
    let now = entry.clock.now();
    let view = entry.config.view();
    let customer = journal.customer();
    let class = view
        .config
        .contracts
        .get(&customer)
        .and_then(|contract| chat::request_class(contract, chat));
    let end = class.map(|class| {
        let limits = WaitLimits::new(&class.targets, chat.prompt_tokens, now);
        let monitor = RequestMonitor::new(entry.clock.clone(), None, Arc::clone(journal), limits);
        let run = ChatRun {
            entry,
            id,
            customer,
            chat,
            journal: Arc::clone(journal),
            monitor: Arc::new(monitor),
            meter: entry.burn_counts.start_meter(&journal.customer(), class, now),
        };
        run.run_attempts(&mut EngineSearch::adopted(), &mut DiscardTokens)
    });
    let complete = matches!(end, Some(RunEnd::Completed(_)));
    // If the request was handed on to another peer, it ends there.
    let _ = journal.end(complete);
    entry.journals.end(id, entry.clock.now());
    counter!("gentian_adopted_total", "whole" => complete.to_string()).increment(1);
    info!(entry.logger, "adopted request ended"; "request" => %id, "whole" => complete);
}
