//! The copy of one stream's KV cache to another engine.

use std::time::Duration;

use contract::{RequestId, UpstreamId, UpstreamKind, UpstreamSpec};
use metrics::counter;
use policy::prefix::Prefix;
use policy::rescue::StreamAction;
use policy::route::{RequestNeed, Target};
use slog::warn;
use upstream::kv::{ExportScope, ExportedCache};

use super::{Job, Kept, Stage};
use crate::Entry;
use crate::fleet::Ask;

/// Longest time for an export or an import.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Engines that are tried for one import.
const TARGETS: usize = 3;

/// Carries out a job.
pub(super) fn run(entry: &Entry, job: Job) {
    match job {
        Job::Stream(id) => stream(entry, &id),
        Job::Ended(kept) => {
            ended(entry, &kept);
            entry.rescue.kept.lock().done(&kept);
        }
    }
}

/// Copies the cache of an answer that ended; the next turn of the conversation then goes where it is.
fn ended(entry: &Entry, kept: &Kept) {
    let began = entry.clock.now();
    let what = ExportScope::Request(kept.id.clone());
    let Ok(exported) = entry.engines.export(kept.spec.address, &what, TIMEOUT) else {
        return counter!("gentian_copies_failed_total").increment(1);
    };
    entry.rescue.measured(exported.tokens, entry.clock.now().since(began));
    match import(entry, &kept.id, &kept.spec, &exported) {
        Some(to) => {
            counter!("gentian_kv_moved_tokens_total").increment(exported.tokens);
            entry.fleet.holds(&to, &kept.prefix, entry.clock.now());
        }
        None => counter!("gentian_copies_failed_total").increment(1),
    }
}

/// Copies the cache of a stream and asks the stream to move there; on failure it rides on and is decided anew.
fn stream(entry: &Entry, id: &RequestId) {
    let source = entry.rescue.aboard.lock().get(id).map(|one| one.spec.clone());
    let Some(source) = source else { return };
    let began = entry.clock.now();
    let exported = match entry
        .engines
        .export(source.address, &ExportScope::Request(id.clone()), TIMEOUT)
    {
        Ok(exported) => exported,
        Err(error) => {
            warn!(entry.logger, "export failed"; "request" => %id, "error" => %error);
            return give_up(entry, id);
        }
    };
    let took = entry.clock.now().since(began);
    entry.rescue.measured(exported.tokens, took);
    if !step(entry, id, Stage::Importing) {
        return;
    }
    match import(entry, id, &source, &exported) {
        Some(to) => {
            counter!("gentian_kv_moved_tokens_total").increment(exported.tokens);
            arrive(entry, id, to);
        }
        None => give_up(entry, id),
    }
}

/// Imports into one engine after the other until one has it.
fn import(entry: &Entry, id: &RequestId, source: &UpstreamSpec, exported: &ExportedCache) -> Option<UpstreamId> {
    let mut avoid = vec![source.id.clone()];
    for _ in 0..TARGETS {
        let target = target(entry, source, exported, &avoid)?;
        match entry.engines.import(target.address, exported, TIMEOUT) {
            // The target may have got a notice of its own meanwhile; the cache still goes on to the next one.
            Ok(()) if entry.fleet.hosts.takes_work(&target.host) => return Some(target.id),
            Ok(()) => counter!("gentian_imports_failed_total", "cause" => "leaving").increment(1),
            Err(error) => {
                counter!("gentian_imports_failed_total", "cause" => "error").increment(1);
                warn!(entry.logger, "import failed"; "request" => %id, "error" => %error);
                entry.fleet.hosts.failed(&target.host, &error, entry.clock.now());
            }
        }
        avoid.push(target.id);
    }
    None
}

/// Chooses where the cache goes: first among the zones in which no host is leaving, then anywhere.
fn target(
    entry: &Entry,
    source: &UpstreamSpec,
    exported: &ExportedCache,
    avoid: &[UpstreamId],
) -> Option<UpstreamSpec> {
    let view = entry.current.view();
    let UpstreamKind::Engine { model, .. } = &source.kind else {
        return None;
    };
    let same = |spec: &&UpstreamSpec| spec.serves_model(model.as_str());
    let specs: Vec<&UpstreamSpec> = view.config.upstreams.values().filter(same).collect();
    let left: Vec<_> = specs
        .iter()
        .filter(|spec| !entry.fleet.hosts.takes_work(&spec.host))
        .map(|spec| &spec.host.zone)
        .chain([&source.host.zone])
        .collect();
    let in_wave = specs.iter().filter(|spec| left.contains(&&spec.host.zone));
    let outside: Vec<UpstreamId> = in_wave
        .map(|spec| spec.id.clone())
        .chain(avoid.iter().cloned())
        .collect();
    let find = |tried: &[UpstreamId]| {
        let ask = Ask {
            target: &Target::Model(model.to_string()),
            prefix: &Prefix::of([]),
            need: RequestNeed {
                prompt_tokens: exported.tokens,
                answer_tokens: 0,
                turn: 0,
            },
            tried,
        };
        entry.fleet.choose(&view, &ask, entry.clock.now())
    };
    let choice = find(&outside).or_else(|| find(avoid))?;
    view.config.upstreams.get(&choice.chosen).cloned()
}

/// Sets the stage of a stream; tells whether it's still there.
fn step(entry: &Entry, id: &RequestId, stage: Stage) -> bool {
    let mut aboard = entry.rescue.aboard.lock();
    aboard.get_mut(id).map(|one| one.stage = stage).is_some()
}

fn arrive(entry: &Entry, id: &RequestId, to: UpstreamId) {
    if let Some(one) = entry.rescue.aboard.lock().get_mut(id) {
        one.ask(Some(to), StreamAction::Export);
    }
    entry.rescue.changed.notify_all();
}

fn give_up(entry: &Entry, id: &RequestId) {
    counter!("gentian_copies_failed_total").increment(1);
    if let Some(one) = entry.rescue.aboard.lock().get_mut(id) {
        one.failed += 1;
        one.stage = Stage::Riding;
    }
    entry.rescue.changed.notify_all();
}
