//! Serves answers by request id to callers that lost their connection. Any entry host of the data centre can serve
//! them.

use std::time::Duration;

use contract::RequestId;
use serde_json::json;

use super::http::Reply;
use super::problem::Problem;
use super::{CallerRequest, Response};
use crate::EntryHost;
use crate::journal::{self, AnswerPart};

/// Most concurrent lookups of requests at the peers.
const MAX_LOOKUPS: usize = 16;

pub(super) fn answer(entry: &EntryHost, caller: &mut CallerRequest<'_>, id: &str) -> Response {
    match find(entry, caller, id) {
        Ok(reply) => Response::Reply(reply),
        Err(problem) => problem.into(),
    }
}

fn find(entry: &EntryHost, caller: &CallerRequest<'_>, id: &str) -> Result<Reply, Problem> {
    let view = entry.config.view();
    let (contract, account) = caller
        .head
        .bearer_key()
        .and_then(|key| view.account(key))
        .ok_or_else(Problem::unauthorized)?;
    let id = RequestId::from(id);
    let from = from_parameter(caller.head.query())?;
    let owner = journal::owner(&contract.customer, account);
    // An account must not learn whether another account has a request of that id, so both cases give the same response.
    let part = match find_local(entry, &id, &owner, from) {
        Some(part) => Some(part),
        None => find_at_peers(entry, &id, &owner, from)?,
    };
    let part = part.ok_or_else(|| Problem::not_found("there is no such request of this account"))?;
    let next = from + part.tokens.len();
    let body = json!({"id": id, "from": from, "next": next, "text": part.tokens.concat(), "whole": part.complete,
        "failed": part.failed});
    let reply =
        Reply::new(200, "application/json", body.to_string().into_bytes()).with_header("Cache-Control", "no-store");
    Ok(if part.complete || part.failed {
        reply
    } else {
        reply.with_header("Retry-After", "1")
    })
}

fn from_parameter(query: &str) -> Result<usize, Problem> {
    let value = query.split('&').find_map(|pair| pair.strip_prefix("from="));
    value.map_or(Ok(0), |text| {
        text.parse()
            .map_err(|_cause| Problem::bad_request(format!("from: {text} is not a number of tokens")))
    })
}

fn find_local(entry: &EntryHost, id: &RequestId, owner: &str, from: usize) -> Option<AnswerPart> {
    let journal = entry.journals.find(id)?;
    (journal.owner == owner && !journal.is_elsewhere()).then(|| journal.part_from(from))
}

fn find_at_peers(entry: &EntryHost, id: &RequestId, owner: &str, from: usize) -> Result<Option<AnswerPart>, Problem> {
    if !id.is_valid() {
        return Ok(None);
    }
    // A lookup may ask every peer, so callers that guess ids must not keep them all busy.
    let _lookup = entry
        .request_counts
        .count_lookup(MAX_LOOKUPS)
        .ok_or_else(|| Problem::overloaded(Duration::from_secs(1)))?;
    let found = entry.peers.find_journal(entry.config.revision(), id, from);
    let matching = found.filter(|found| found.owner == owner);
    Ok(matching.map(|found| AnswerPart {
        tokens: found.tokens,
        complete: found.done,
        failed: found.failed,
    }))
}
