//! Serves chat completion requests, streamed or as one response.

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

use super::checked_chat::CheckedChat;
use super::http::{CallerProbe, Reply};
use super::monitor::{RequestMonitor, WaitLimits};
use super::problem::{self, Problem};
use super::run::{ChatRun, DiscardTokens, EngineSearch, RunEnd};
use super::sse::SseStream;
use super::{CallerRequest, Response};
use crate::EntryHost;
use crate::admission::AdmissionRequest;
use crate::journal;

pub(super) fn answer(entry: &EntryHost, caller: &mut CallerRequest<'_>) -> Response {
    serve(entry, caller).unwrap_or_else(Response::from)
}

fn serve(entry: &EntryHost, caller: &mut CallerRequest<'_>) -> Result<Response, Problem> {
    let arrived = entry.clock.now();
    let view = entry.config.view();
    let (contract, account) = caller
        .head
        .bearer_key()
        .and_then(|key| view.account(key))
        .ok_or_else(Problem::unauthorized)?;
    let chat = CheckedChat::parse(&caller.body(entry, &contract.customer)?).map_err(Problem::bad_request)?;
    let model = &chat.request.model;
    if !view.config.upstreams.values().any(|spec| spec.serves_model(model)) {
        return Err(Problem::not_found(format!("no engine serves the model {model}")));
    }
    let class = request_class(contract, &chat)
        .ok_or_else(|| Problem::not_found("the contract has no class for this request"))?;
    let meter = entry.burn_counts.start_meter(&contract.customer, class, arrived);
    let admitted = entry
        .admission
        .admit(contract, &admission_request(&chat, class, arrived));
    let mut permit = admitted.map_err(|refusal| problem::count_problem(refusal.into(), &meter, entry.clock.now()))?;
    meter.record_admission(entry.clock.now());
    let probe = CallerProbe::of(caller.connection).map_err(|_gone| Problem::bad_request("the connection broke"))?;
    let id = entry.new_request_id();
    let owner = journal::owner(&contract.customer, account);
    let journal = entry.journals.open(&id, owner, &chat.request);
    let limits = WaitLimits::new(&class.targets, chat.prompt_tokens, arrived);
    let monitor = RequestMonitor::new(entry.clock.clone(), Some(probe), Arc::clone(&journal), limits);
    let run = ChatRun {
        entry,
        id: &id,
        customer: contract.customer.clone(),
        chat: &chat,
        journal,
        monitor: Arc::new(monitor),
        meter,
    };
    let response = if chat.request.stream {
        serve_stream(&run, caller)
    } else {
        serve_whole(&run)
    };
    entry.journals.end(&id, entry.clock.now());
    permit.record_usage((chat.prompt_tokens + run.journal.len() as u64) as f64);
    drop(permit);
    if run.journal.part_from(usize::MAX).complete {
        count_answer(contract, class);
    }
    Ok(response)
}

/// Returns the contract's class of a request; `None` if none matches.
pub(super) fn request_class<'a>(contract: &'a Contract, chat: &CheckedChat) -> Option<&'a Class> {
    contract.class_of(&contract::RequestAttributes {
        service: None,
        method: "POST",
        route: "/v1/chat/completions",
        model: Some(&chat.request.model),
        prompt_tokens: chat.prompt_tokens,
    })
}

fn count_answer(contract: &Contract, class: &Class) {
    let customer = contract.customer.to_string();
    counter!("gentian_answers_total", "customer" => customer, "class" => class.name.to_string()).increment(1);
}

fn admission_request(chat: &CheckedChat, class: &Class, arrived: Tick) -> AdmissionRequest {
    let target = class.targets.first_token_ms.unwrap_or(class.targets.whole_answer_ms);
    AdmissionRequest {
        target: Target::Model(chat.request.model.clone()),
        tokens: (chat.prompt_tokens + chat.request.max_tokens) as f64,
        deadline: arrived + Duration::from_millis(target),
        shed_priority: class.shed,
    }
}

fn serve_stream(run: &ChatRun<'_>, caller: &CallerRequest<'_>) -> Response {
    let stream = caller.connection.stream();
    let mut events = SseStream::new(stream, &caller.head, caller.keep_alive, run.id, &run.chat.request.model);
    let ended = record_end(run, run.run_attempts(&mut EngineSearch::default(), &mut events));
    let sent = match ended {
        RunEnd::CallerGone => {
            counter!("gentian_callers_gone_total").increment(1);
            return Response::Streamed(false);
        }
        RunEnd::Failed(problem) if !events.is_started() => return problem.into(),
        RunEnd::TakenOver if !events.is_started() => return Response::Reply(moved_reply(run)),
        RunEnd::Failed(problem) => events.fail(&problem),
        RunEnd::TakenOver => events.end_moved(&resume_path(run.id, run.journal.len())),
        RunEnd::Completed(usage) => events.complete(&usage, finish_reason(run)),
    };
    Response::Streamed(sent.is_ok())
}

fn serve_whole(run: &ChatRun<'_>) -> Response {
    match record_end(run, run.run_attempts(&mut EngineSearch::default(), &mut DiscardTokens)) {
        RunEnd::Completed(usage) => Response::Reply(completion(run, &usage)),
        RunEnd::TakenOver => Response::Reply(moved_reply(run)),
        RunEnd::Failed(problem) => problem.into(),
        RunEnd::CallerGone => {
            counter!("gentian_callers_gone_total").increment(1);
            Response::Streamed(false)
        }
    }
}

/// Records the end of the answer in the burn report and the journal. If a peer took the answer over in the last moment,
/// it counts as moved.
fn record_end(run: &ChatRun<'_>, ended: RunEnd) -> RunEnd {
    let end = match &ended {
        RunEnd::Completed(_) => Some(RequestEnd::Completed),
        RunEnd::CallerGone => Some(RequestEnd::CallerGone),
        RunEnd::Failed(problem) => problem.counted_end(),
        // The answer ends at a peer, which does not know when the request arrived.
        RunEnd::TakenOver => None,
    };
    if let Some(end) = end {
        run.meter.finish(end, run.entry.clock.now());
    }
    match run.journal.end(matches!(ended, RunEnd::Completed(_))) {
        Ok(()) => ended,
        Err(_) => RunEnd::TakenOver,
    }
}

fn finish_reason(run: &ChatRun<'_>) -> &'static str {
    if run.journal.len() as u64 >= run.chat.request.max_tokens {
        "length"
    } else {
        "stop"
    }
}

fn completion(run: &ChatRun<'_>, usage: &Usage) -> Reply {
    let message = json!({"role": "assistant", "content": run.journal.text()});
    let choice = json!({"index": 0, "finish_reason": finish_reason(run), "message": message});
    let body = json!({"id": run.id, "object": "chat.completion", "created": wall_ms() / 1_000,
        "model": run.chat.request.model, "choices": [choice], "usage": usage});
    Reply::new(200, "application/json", body.to_string().into_bytes()).with_header(REQUEST_ID_HEADER, run.id.as_str())
}

/// Builds the response that tells a caller where to fetch an answer that a peer continues.
fn moved_reply(run: &ChatRun<'_>) -> Reply {
    let resume = resume_path(run.id, 0);
    let body = json!({"id": run.id, "moved": {"resume": resume}});
    Reply::new(202, "application/json", body.to_string().into_bytes())
        .with_header(REQUEST_ID_HEADER, run.id.as_str())
        .with_header("Location", resume)
        .with_header("Retry-After", "1")
}

fn resume_path(id: &RequestId, from: usize) -> String {
    format!("/v1/requests/{id}?from={from}")
}
