//! Answers by request id, for callers that lost their connection.

use contract::RequestId;
use serde_json::json;
use tiny_http::{Header, Request, Response};

use super::bearer;
use super::problem::{self, Problem};
use crate::Entry;

pub(super) fn answer(entry: &Entry, request: Request, url: &str) {
    let view = entry.current.view();
    let Some((contract, account)) = bearer(&request).and_then(|key| view.account(key)) else {
        return problem::respond(request, &Problem::unauthorized());
    };
    let (path, query) = url.split_once('?').unwrap_or((url, ""));
    let id = RequestId::from(path.trim_start_matches("/v1/requests/"));
    let Ok(from) = query.strip_prefix("from=").map_or(Ok(0), str::parse) else {
        return problem::respond(request, &Problem::bad_request("from is not a number of tokens"));
    };
    let owner = format!("{}/{account}", contract.customer);
    let Some(journal) = entry.journals.find(&id).filter(|journal| journal.owner == owner) else {
        return problem::respond(request, &Problem::not_found("there is no such request of this account"));
    };
    let part = journal.from(from);
    let next = from + part.tokens.len();
    let body = json!({"id": id, "from": from, "next": next, "text": part.tokens.concat(), "whole": part.whole,
        "failed": part.failed});
    let header = Header::from_bytes("Content-Type", "application/json").expect("a constant header is valid");
    // A caller that has gone away needs no answer.
    let _ = request.respond(Response::from_string(body.to_string()).with_header(header));
}
