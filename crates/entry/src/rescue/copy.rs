//! Copies the KV cache of one stream or ended answer to another engine.

use std::time::Duration;

use contract::{RequestId, UpstreamId, UpstreamKind, UpstreamSpec};
use metrics::counter;
use policy::prefix::Prefix;
use policy::rescue::StreamAction;
use policy::route::{RequestNeed, Target};
use slog::warn;
use upstream::kv::{ExportScope, ExportedCache};

use super::{CopyJob, EndedAnswer, MoveStage};
use crate::EntryHost;
use crate::upstreams::RouteRequest;

/// Timeout of one export and of one import.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(20);
/// Engines that are tried as the target of one copy.
const MAX_TARGETS: usize = 3;

/// Runs a copy job.
pub(super) fn run(entry: &EntryHost, job: CopyJob) {
    match job {
        CopyJob::Stream(id) => copy_stream(entry, &id),
        CopyJob::Ended(answer) => {
            copy_ended_answer(entry, &answer);
            entry.rescue.ended.lock().copy_done(&answer);
        }
    }
}

/// Copies the cache of an ended answer; the next turn of the conversation is then routed to the copy.
fn copy_ended_answer(entry: &EntryHost, answer: &EndedAnswer) {
    let began = entry.clock.now();
    let scope = ExportScope::Request(answer.id.clone());
    let Ok(exported) = entry
        .engine_client
        .export(answer.spec.address, &scope, TRANSFER_TIMEOUT)
    else {
        return counter!("gentian_copies_failed_total").increment(1);
    };
    entry
        .rescue
        .record_export(exported.tokens, entry.clock.now().since(began));
    match import_cache(entry, &answer.id, &answer.spec, &exported) {
        Some(target) => {
            counter!("gentian_kv_moved_tokens_total").increment(exported.tokens);
            entry.upstreams.record_copy(&target, &answer.prefix, entry.clock.now());
        }
        None => counter!("gentian_copies_failed_total").increment(1),
    }
}

/// Copies the cache of a stream and asks the stream to move there. After a failure the stream continues and is decided
/// about again.
fn copy_stream(entry: &EntryHost, id: &RequestId) {
    let source = entry.rescue.attempts.lock().get(id).map(|attempt| attempt.spec.clone());
    let Some(source) = source else { return };
    let began = entry.clock.now();
    let exported = match entry
        .engine_client
        .export(source.address, &ExportScope::Request(id.clone()), TRANSFER_TIMEOUT)
    {
        Ok(exported) => exported,
        Err(error) => {
            warn!(entry.logger, "KV cache export failed"; "request" => %id, "error" => %error);
            return fail_copy(entry, id);
        }
    };
    let took = entry.clock.now().since(began);
    entry.rescue.record_export(exported.tokens, took);
    if !set_stage(entry, id, MoveStage::Importing) {
        return;
    }
    match import_cache(entry, id, &source, &exported) {
        Some(target) => {
            counter!("gentian_kv_moved_tokens_total").increment(exported.tokens);
            finish_copy(entry, id, target);
        }
        None => fail_copy(entry, id),
    }
}

/// Tries one engine after the other until an import succeeds, and returns that engine.
fn import_cache(
    entry: &EntryHost,
    id: &RequestId,
    source: &UpstreamSpec,
    exported: &ExportedCache,
) -> Option<UpstreamId> {
    let mut avoid = vec![source.id.clone()];
    for _ in 0..MAX_TARGETS {
        let target = choose_target(entry, source, exported, &avoid)?;
        match entry.engine_client.import(target.address, exported, TRANSFER_TIMEOUT) {
            // The target may have got a reclaim notice meanwhile; then the next engine is tried.
            Ok(()) if entry.upstreams.hosts.takes_work(&target.host) => return Some(target.id),
            Ok(()) => counter!("gentian_imports_failed_total", "cause" => "leaving").increment(1),
            Err(error) => {
                counter!("gentian_imports_failed_total", "cause" => "error").increment(1);
                warn!(entry.logger, "KV cache import failed"; "request" => %id, "error" => %error);
                entry
                    .upstreams
                    .hosts
                    .record_failure(&target.host, &error, entry.clock.now());
            }
        }
        avoid.push(target.id);
    }
    None
}

/// Chooses the target of a copy: preferably in a zone where no host is leaving, otherwise anywhere.
fn choose_target(
    entry: &EntryHost,
    source: &UpstreamSpec,
    exported: &ExportedCache,
    avoid: &[UpstreamId],
) -> Option<UpstreamSpec> {
    let view = entry.config.view();
    let UpstreamKind::Engine { model, .. } = &source.kind else {
        return None;
    };
    let same_model = |spec: &&UpstreamSpec| spec.serves_model(model.as_str());
    let specs: Vec<&UpstreamSpec> = view.config.upstreams.values().filter(same_model).collect();
    let leaving_zones: Vec<_> = specs
        .iter()
        .filter(|spec| !entry.upstreams.hosts.takes_work(&spec.host))
        .map(|spec| &spec.host.zone)
        .chain([&source.host.zone])
        .collect();
    let affected = specs.iter().filter(|spec| leaving_zones.contains(&&spec.host.zone));
    let excluded: Vec<UpstreamId> = affected
        .map(|spec| spec.id.clone())
        .chain(avoid.iter().cloned())
        .collect();
    let find = |tried: &[UpstreamId]| {
        let request = RouteRequest {
            target: &Target::Model(model.to_string()),
            prefix: &Prefix::of([]),
            need: RequestNeed {
                prompt_tokens: exported.tokens,
                answer_tokens: 0,
                turn: 0,
            },
            tried,
        };
        entry.upstreams.choose(&view, &request, entry.clock.now())
    };
    let choice = find(&excluded).or_else(|| find(avoid))?;
    view.config.upstreams.get(&choice.chosen).cloned()
}

/// Sets the stage of a stream; returns whether its attempt still runs.
fn set_stage(entry: &EntryHost, id: &RequestId, stage: MoveStage) -> bool {
    let mut attempts = entry.rescue.attempts.lock();
    attempts.get_mut(id).map(|attempt| attempt.stage = stage).is_some()
}

fn finish_copy(entry: &EntryHost, id: &RequestId, target: UpstreamId) {
    if let Some(attempt) = entry.rescue.attempts.lock().get_mut(id) {
        attempt.request_move(Some(target), StreamAction::Export);
    }
    entry.rescue.copy_finished.notify_all();
}

fn fail_copy(entry: &EntryHost, id: &RequestId) {
    counter!("gentian_copies_failed_total").increment(1);
    if let Some(attempt) = entry.rescue.attempts.lock().get_mut(id) {
        attempt.failed_copies += 1;
        attempt.stage = MoveStage::Running;
    }
    entry.rescue.copy_finished.notify_all();
}
