//! Chat completions, streamed and whole.

use std::sync::Arc;
use std::time::Duration;

use contract::{Class, Contract, RequestId};
use metrics::counter;
use policy::Tick;
use policy::route::Target;
use serde_json::json;
use telemetry::burn::RequestEnd;
use telemetry::clock::wall_ms;
use upstream::engine::{REQUEST_ID_HEADER, Usage};

use super::ask::Ask;
use super::http::{PeerDemand, Reply};
use super::problem::{self, Problem};
use super::run::{Ended, Nowhere, Run, Search};
use super::sse::Events;
use super::watch::{Limits, Watch};
use super::{Answered, Caller};
use crate::Entry;
use crate::admission::Work;
use crate::journal;

pub(super) fn answer(entry: &Entry, caller: &mut Caller<'_>) -> Answered {
    serve(entry, caller).unwrap_or_else(Answered::from)
}

fn serve(entry: &Entry, caller: &mut Caller<'_>) -> Result<Answered, Problem> {
    let arrived = entry.clock.now();
    let view = entry.current.view();
    let (contract, account) = caller
        .head
        .bearer()
        .and_then(|key| view.account(key))
        .ok_or_else(Problem::unauthorized)?;
    let ask = Ask::read(&caller.body(entry)?).map_err(Problem::bad_request)?;
    let model = &ask.chat.model;
    if !view.config.upstreams.values().any(|spec| spec.serves_model(model)) {
        return Err(Problem::not_found(format!("no engine serves the model {model}")));
    }
    let class =
        class(contract, &ask).ok_or_else(|| Problem::not_found("the contract has no class for this request"))?;
    let meter = entry.burn.start_meter(&contract.customer, class, arrived);
    let admitted = entry.admission.enter(contract, &work(&ask, class, arrived));
    let mut permit = admitted.map_err(|refusal| problem::counted(refusal.into(), &meter, entry.clock.now()))?;
    meter.record_admission(entry.clock.now());
    let peer = PeerDemand::of(caller.connection).map_err(|_gone| Problem::bad_request("the connection broke"))?;
    let id = entry.request_id();
    let owner = journal::owner(&contract.customer, account);
    let journal = entry.journals.open(&id, owner, &ask.chat);
    let limits = Limits::new(&class.targets, ask.prompt_tokens, arrived);
    let watch = Watch::new(entry.clock.clone(), Some(peer), Arc::clone(&journal), limits);
    let run = Run {
        entry,
        id: &id,
        customer: contract.customer.clone(),
        ask: &ask,
        journal,
        watch: Arc::new(watch),
        meter,
    };
    let answered = if ask.chat.stream {
        stream(&run, caller)
    } else {
        whole(&run)
    };
    entry.journals.end(&id, entry.clock.now());
    permit.used((ask.prompt_tokens + run.journal.len() as u64) as f64);
    drop(permit);
    if run.journal.from(usize::MAX).whole {
        count(contract, class);
    }
    Ok(answered)
}

/// Finds the class of a request.
pub(super) fn class<'a>(contract: &'a Contract, ask: &Ask) -> Option<&'a Class> {
    contract.class_of(&contract::Request {
        service: None,
        method: "POST",
        route: "/v1/chat/completions",
        model: Some(&ask.chat.model),
        prompt_tokens: ask.prompt_tokens,
    })
}

fn count(contract: &Contract, class: &Class) {
    let customer = contract.customer.to_string();
    counter!("gentian_answers_total", "customer" => customer, "class" => class.name.to_string()).increment(1);
}

fn work(ask: &Ask, class: &Class, arrived: Tick) -> Work {
    let target = class.targets.first_token_ms.unwrap_or(class.targets.whole_answer_ms);
    Work {
        target: Target::Model(ask.chat.model.clone()),
        tokens: (ask.prompt_tokens + ask.chat.max_tokens) as f64,
        latest: arrived + Duration::from_millis(target),
        shed: class.shed,
    }
}

fn stream(run: &Run<'_>, caller: &Caller<'_>) -> Answered {
    let stream = caller.connection.stream();
    let mut events = Events::new(stream, &caller.head, caller.keep, run.id, &run.ask.chat.model);
    let ended = close(run, run.drive(&mut Search::default(), &mut events));
    let sent = match ended {
        Ended::CallerGone => {
            counter!("gentian_callers_gone_total").increment(1);
            return Answered::Streamed(false);
        }
        Ended::Failed(problem) if !events.is_begun() => return problem.into(),
        Ended::Moved if !events.is_begun() => return Answered::Reply(moved(run)),
        Ended::Failed(problem) => events.fail(&problem),
        Ended::Moved => events.moved(&resume(run.id, run.journal.len())),
        Ended::Whole(usage) => events.end(&usage, finish(run)),
    };
    Answered::Streamed(sent.is_ok())
}

fn whole(run: &Run<'_>) -> Answered {
    match close(run, run.drive(&mut Search::default(), &mut Nowhere)) {
        Ended::Whole(usage) => Answered::Reply(completion(run, &usage)),
        Ended::Moved => Answered::Reply(moved(run)),
        Ended::Failed(problem) => problem.into(),
        Ended::CallerGone => {
            counter!("gentian_callers_gone_total").increment(1);
            Answered::Streamed(false)
        }
    }
}

/// Closes the journal; an answer that a peer took over at the last moment ends there.
fn close(run: &Run<'_>, ended: Ended) -> Ended {
    let end = match &ended {
        Ended::Whole(_) => Some(RequestEnd::Completed),
        Ended::CallerGone => Some(RequestEnd::CallerGone),
        Ended::Failed(problem) => problem.burns(),
        // The peer that goes on with the answer has no arrival to measure from.
        Ended::Moved => None,
    };
    if let Some(end) = end {
        run.meter.finish(end, run.entry.clock.now());
    }
    match run.journal.end(matches!(ended, Ended::Whole(_))) {
        Ok(()) => ended,
        Err(_) => Ended::Moved,
    }
}

fn finish(run: &Run<'_>) -> &'static str {
    if run.journal.len() as u64 >= run.ask.chat.max_tokens {
        "length"
    } else {
        "stop"
    }
}

fn completion(run: &Run<'_>, usage: &Usage) -> Reply {
    let message = json!({"role": "assistant", "content": run.journal.text()});
    let choice = json!({"index": 0, "finish_reason": finish(run), "message": message});
    let body = json!({"id": run.id, "object": "chat.completion", "created": wall_ms() / 1_000,
        "model": run.ask.chat.model, "choices": [choice], "usage": usage});
    Reply::new(200, "application/json", body.to_string().into_bytes()).with(REQUEST_ID_HEADER, run.id.as_str())
}

/// Tells a caller whose answer goes on at a peer where to get it.
fn moved(run: &Run<'_>) -> Reply {
    let resume = resume(run.id, 0);
    let body = json!({"id": run.id, "moved": {"resume": resume}});
    Reply::new(202, "application/json", body.to_string().into_bytes())
        .with(REQUEST_ID_HEADER, run.id.as_str())
        .with("Location", resume)
        .with("Retry-After", "1")
}

fn resume(id: &RequestId, from: usize) -> String {
    format!("/v1/requests/{id}?from={from}")
}
