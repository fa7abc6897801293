//! Serves answers by request id to callers that lost their connection. Any entry host of the data centre can serve
//! them.

use std::time::Duration;

use contract::RequestId;
use serde_json::json;

use super::http::Reply;
use super::problem::Problem;
use super::{Answered, Caller};
use crate::Entry;
use crate::journal::{self, Part};

/// Most concurrent lookups of requests at the peers.
const MAX_ASKERS: usize = 16;

pub(super) fn answer(entry: &Entry, caller: &mut Caller<'_>, id: &str) -> Answered {
    match find(entry, caller, id) {
        Ok(reply) => Answered::Reply(reply),
        Err(problem) => problem.into(),
    }
}

fn find(entry: &Entry, caller: &Caller<'_>, id: &str) -> Result<Reply, Problem> {
    let view = entry.current.view();
    let (contract, account) = caller
        .head
        .bearer()
        .and_then(|key| view.account(key))
        .ok_or_else(Problem::unauthorized)?;
    let id = RequestId::from(id);
    let from = offset(caller.head.query())?;
    let owner = journal::owner(&contract.customer, account);
    // An account must not learn whether another account has a request of that id, so both cases give the same response.
    let part = match local(entry, &id, &owner, from) {
        Some(part) => Some(part),
        None => at_peers(entry, &id, &owner, from)?,
    };
    let part = part.ok_or_else(|| Problem::not_found("there is no such request of this account"))?;
    let next = from + part.tokens.len();
    let body = json!({"id": id, "from": from, "next": next, "text": part.tokens.concat(), "whole": part.whole,
        "failed": part.failed});
    let reply = Reply::new(200, "application/json", body.to_string().into_bytes()).with("Cache-Control", "no-store");
    Ok(if part.whole || part.failed {
        reply
    } else {
        reply.with("Retry-After", "1")
    })
}

fn offset(query: &str) -> Result<usize, Problem> {
    let value = query.split('&').find_map(|pair| pair.strip_prefix("from="));
    value.map_or(Ok(0), |text| {
        text.parse()
            .map_err(|_cause| Problem::bad_request(format!("from: {text} is not a number of tokens")))
    })
}

fn local(entry: &Entry, id: &RequestId, owner: &str, from: usize) -> Option<Part> {
    let journal = entry.journals.find(id)?;
    (journal.owner == owner && !journal.is_moved()).then(|| journal.from(from))
}

fn at_peers(entry: &Entry, id: &RequestId, owner: &str, from: usize) -> Result<Option<Part>, Problem> {
    if !id.is_valid() {
        return Ok(None);
    }
    // A lookup may ask every peer, so callers that guess ids must not keep them all busy.
    let _asking = entry
        .callers
        .ask(MAX_ASKERS)
        .ok_or_else(|| Problem::overloaded(Duration::from_secs(1)))?;
    let found = entry.peers.journal(entry.current.revision(), id, from);
    let own = found.filter(|found| found.owner == owner);
    Ok(own.map(|found| Part {
        tokens: found.tokens,
        whole: found.done,
        failed: found.failed,
    }))
}
