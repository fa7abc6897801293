//! The administration API over HTTP.

use std::io::Read;

use contract::{Change, ChangeId, Contract, CustomerId, KeyHash, Revision, UpstreamId, UpstreamSpec};
use crossbeam_channel::Sender;
use rouille::{Request, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use tokio::sync::oneshot;
use wire::state::{Propose, Proposed, Unavailable};

use crate::applied::{Command, Reply};
use crate::core::Ask;

/// Largest body, in bytes.
const MAX_BODY: u64 = 1024 * 1024;

/// Answers operators.
#[derive(Clone, Debug)]
pub struct Admin {
    ring: Sender<Ask>,
    key: KeyHash,
}

impl Admin {
    /// Makes the API for a ring; operators show the key as a bearer token.
    #[must_use]
    pub const fn new(ring: Sender<Ask>, key: KeyHash) -> Self {
        Self { ring, key }
    }

    /// Answers one request.
    #[must_use]
    pub fn answer(&self, request: &Request) -> Response {
        let url = request.url();
        if url == "/livez" {
            return Response::text("ok");
        }
        if !self.allowed(request) {
            return problem(401, "a valid operator key is needed in the Authorization header");
        }
        let parts: Vec<&str> = url.trim_matches('/').split('/').collect();
        match (request.method(), parts.as_slice()) {
            ("GET", ["v1", "config"]) => self.read(Some),
            ("GET", ["v1", "contracts"]) => self.read(|config| Some(config.contracts)),
            ("GET", ["v1", "contracts", id]) => self.read(|mut config| config.contracts.remove(&CustomerId::from(*id))),
            ("GET", ["v1", "upstreams"]) => self.read(|config| Some(config.upstreams)),
            ("PUT", ["v1", "contracts", id]) => self.put::<Contract>(request, |contract| {
                (contract.customer.as_str() == *id).then_some(Change::PutContract(contract))
            }),
            ("PUT", ["v1", "upstreams", id]) => self.put::<UpstreamSpec>(request, |spec| {
                (spec.id.as_str() == *id).then_some(Change::PutUpstream(spec))
            }),
            ("DELETE", ["v1", "contracts", id]) => self.change(request, Change::DropContract((*id).into())),
            ("DELETE", ["v1", "upstreams", id]) => self.change(request, Change::DropUpstream(UpstreamId::from(*id))),
            _ => problem(404, "no such path"),
        }
    }

    fn allowed(&self, request: &Request) -> bool {
        let key = request
            .header("Authorization")
            .and_then(|value| value.strip_prefix("Bearer "));
        key.is_some_and(|key| KeyHash::of(key).matches(&self.key))
    }

    fn read<T: Serialize>(&self, part: impl FnOnce(contract::Config) -> Option<T>) -> Response {
        let (reply, answer) = oneshot::channel();
        let sent = self.ring.try_send(Ask::Config(reply));
        let Some(config) = sent.ok().and_then(|()| answer.blocking_recv().ok()) else {
            return problem(503, "the node is stopping or overloaded");
        };
        let revision = config.revision;
        match part(config) {
            Some(item) => Response::json(&json!({"revision": revision, "item": item})),
            None => problem(404, "no such item"),
        }
    }

    fn put<T: DeserializeOwned>(&self, request: &Request, change: impl FnOnce(T) -> Option<Change>) -> Response {
        let mut text = String::new();
        let read = request.data().map(|data| data.take(MAX_BODY).read_to_string(&mut text));
        if !matches!(read, Some(Ok(_))) {
            return problem(400, "the body can't be read as text");
        }
        match serde_json::from_str(&text).map(change) {
            Ok(Some(change)) => self.change(request, change),
            Ok(None) => problem(400, "the name in the path and the name in the body differ"),
            Err(error) => problem(400, &error.to_string()),
        }
    }

    fn change(&self, request: &Request, change: Change) -> Response {
        let Some(id) = request
            .header("Change-Id")
            .map(ChangeId::from)
            .filter(ChangeId::is_valid)
        else {
            return problem(400, "header Change-Id is needed: a name of letters, digits and -_.:/");
        };
        let base = match request.get_param("base").map(|text| text.parse().map(Revision)) {
            None => None,
            Some(Ok(base)) => Some(base),
            Some(Err(_)) => return problem(400, "base is not a revision"),
        };
        let operator = request.header("Operator").unwrap_or("operator").to_owned();
        let (reply, answer) = oneshot::channel();
        let command = Command::Propose(Propose {
            id,
            base,
            operator,
            change,
        });
        let sent = self.ring.try_send(Ask::Command(Box::new(command), reply));
        match sent.ok().and_then(|()| answer.blocking_recv().ok()) {
            Some(Ok(Reply::Proposed(answer))) => proposed(&answer),
            Some(Err(why)) => unavailable(&why),
            _ => problem(
                503,
                "the node is stopping or overloaded; resend with the same Change-Id",
            ),
        }
    }
}

fn proposed(answer: &Proposed) -> Response {
    match answer {
        Proposed::Accepted(revision) => Response::json(&json!({"revision": revision})),
        Proposed::Conflict(revision) => problem(409, &format!("another change came first, at revision {revision}")),
        Proposed::Invalid(problems) => problem(422, problems),
        Proposed::Unavailable(why) => unavailable(why),
    }
}

fn unavailable(why: &Unavailable) -> Response {
    let leader = match why {
        Unavailable::NotLeader { leader } => *leader,
        _ => None,
    };
    let body = json!({"title": "unavailable", "status": 503, "detail": why.to_string(), "leader": leader});
    Response::json(&body)
        .with_status_code(503)
        .with_unique_header("Content-Type", "application/problem+json")
}

fn problem(status: u16, detail: &str) -> Response {
    let body = json!({"title": "refused", "status": status, "detail": detail});
    Response::json(&body)
        .with_status_code(status)
        .with_unique_header("Content-Type", "application/problem+json")
}
