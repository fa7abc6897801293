//! The administration API over HTTP.

mod access;
mod answer;
mod members;

use std::io::Read;

use contract::{
    Change, ChangeId, Config, Contract, CustomerId, HostId, HostRule, KeyHash, Revision, UpstreamId, UpstreamSpec,
};
use crossbeam_channel::Sender;
use rouille::{Request, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use telemetry::scrape::MetricsExporter;
use tokio::sync::oneshot;
use wire::state::Propose;

use crate::applied::{AppliedState, Command, Operator, PutOperator, Reply};
use crate::core::StateRequest;
use access::{Caller, Permission};
use answer::{problem, proposed, unavailable};

/// Longest request body.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Handler of the administration API.
#[derive(Clone, Debug)]
pub struct Admin {
    requests: Sender<StateRequest>,
    key: KeyHash,
    scrape: MetricsExporter,
}

impl Admin {
    /// Creates the handler; a caller with `key` as its bearer key has every permission.
    #[must_use]
    pub const fn new(requests: Sender<StateRequest>, key: KeyHash, scrape: MetricsExporter) -> Self {
        Self { requests, key, scrape }
    }

    /// Answers one request.
    #[must_use]
    pub fn answer(&self, request: &Request) -> Response {
        let url = request.url();
        match url.as_str() {
            "/livez" => return Response::text("ok"),
            "/metrics" => return Response::text(self.scrape.render()),
            _ => {}
        }
        let parts: Vec<&str> = url.trim_matches('/').split('/').collect();
        let caller = match self.authenticate(request) {
            Ok(caller) => caller,
            Err(refusal) => return refusal,
        };
        let needed = Permission::of(request.method(), &parts);
        if !caller.may(needed) {
            return problem(
                403,
                &format!("operator {} may not do this, it needs the role {needed}", caller.name),
            );
        }
        self.route(request, &parts, &caller)
    }

    fn route(&self, request: &Request, parts: &[&str], caller: &Caller) -> Response {
        match (request.method(), parts) {
            ("GET", ["v1", "config"]) => self.config_part(|config| Some(config.clone())),
            ("GET", ["v1", "contracts"]) => self.config_part(|config| Some(config.contracts.clone())),
            ("GET", ["v1", "contracts", id]) => {
                let id = CustomerId::from(*id);
                self.config_part(move |config| config.contracts.get(&id).cloned())
            }
            ("GET", ["v1", "upstreams"]) => self.config_part(|config| Some(config.upstreams.clone())),
            ("GET", ["v1", "history"]) => self.history(request),
            ("GET", ["v1", "operators"]) => self.respond_with(|applied| Some(applied.operators.clone())),
            ("GET", ["v1", "members"]) => self.members(),
            ("POST", ["v1", "members", "replace"]) => self.replace(request),
            ("PUT", ["v1", "contracts", id]) => self.put_item::<Contract>(request, caller, |contract| {
                (contract.customer.as_str() == *id).then_some(Change::PutContract(contract))
            }),
            ("PUT", ["v1", "upstreams", id]) => self.put_item::<UpstreamSpec>(request, caller, |spec| {
                (spec.id.as_str() == *id).then_some(Change::PutUpstream(spec))
            }),
            ("DELETE", ["v1", "contracts", id]) => self.propose(request, caller, Change::DropContract((*id).into())),
            ("DELETE", ["v1", "upstreams", id]) => {
                self.propose(request, caller, Change::DropUpstream(UpstreamId::from(*id)))
            }
            ("GET", ["v1", "rules"]) => self.config_part(|config| Some(config.rules.clone())),
            ("PUT", ["v1", "rules"]) => self.put_item::<HostRule>(request, caller, |rule| Some(Change::PutRule(rule))),
            ("DELETE", ["v1", "rules", model, zone, class]) => {
                self.propose(request, caller, Change::DropRule([*model, zone, class].join("/")))
            }
            ("PUT", ["v1", "drains", host, incarnation]) => match incarnation.parse() {
                Ok(incarnation) => {
                    let host = HostId::from(*host);
                    self.propose(request, caller, Change::DrainHost { host, incarnation })
                }
                Err(_) => problem(400, "the incarnation is not a number"),
            },
            ("PUT", ["v1", "operators", name]) => match json_body::<Operator>(request) {
                Ok(operator) => self.put_operator(request, caller, name, Some(operator)),
                Err(refusal) => refusal,
            },
            ("DELETE", ["v1", "operators", name]) => self.put_operator(request, caller, name, None),
            _ => problem(404, "no such path"),
        }
    }

    /// Responds with a part of the configuration as this node knows it, with its age.
    fn config_part<T: Serialize + Send + 'static>(
        &self,
        part: impl FnOnce(&Config) -> Option<T> + Send + 'static,
    ) -> Response {
        self.respond_with(|applied| part(&applied.config))
    }

    /// Responds with a part of the applied state, with the revision of the configuration and its age.
    fn respond_with<T: Serialize + Send + 'static>(
        &self,
        part: impl FnOnce(&AppliedState) -> Option<T> + Send + 'static,
    ) -> Response {
        let read = |applied: &AppliedState, age_ms| (applied.config.revision, part(applied), age_ms);
        match self.with_state(read) {
            Some((revision, Some(item), age_ms)) => {
                Response::json(&json!({"revision": revision, "age_ms": age_ms, "item": item}))
            }
            Some((_, None, _)) => problem(404, "no such item"),
            None => problem(503, "the node is blank, stopping or overloaded"),
        }
    }

    /// Runs a function on the applied state and its age in milliseconds; `None` if the node does not answer.
    fn with_state<T: Send + 'static>(&self, read: impl FnOnce(&AppliedState, u64) -> T + Send + 'static) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        let read = Box::new(move |applied: &AppliedState, age: std::time::Duration| {
            // A dropped receiver needs no answer.
            let _ = reply.send(read(applied, age.as_millis() as u64));
        });
        self.requests.try_send(StateRequest::Read(read)).ok()?;
        answer.blocking_recv().ok()
    }

    fn history(&self, request: &Request) -> Response {
        let after = request
            .get_param("after")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        self.respond_with(move |applied| {
            let news = applied
                .audits
                .iter()
                .filter(|audit| audit.revision.0 > after || after == 0);
            Some(news.cloned().collect::<Vec<_>>())
        })
    }

    /// Decodes the body into a change and proposes it; `change` returns `None` if the body names another item than the
    /// path.
    fn put_item<T: DeserializeOwned>(
        &self,
        request: &Request,
        caller: &Caller,
        change: impl FnOnce(T) -> Option<Change>,
    ) -> Response {
        match json_body(request).map(change) {
            Ok(Some(change)) => self.propose(request, caller, change),
            Ok(None) => problem(400, "the name in the path and the name in the body differ"),
            Err(refusal) => refusal,
        }
    }

    fn propose(&self, request: &Request, caller: &Caller, change: Change) -> Response {
        let id = match change_id(request) {
            Ok(id) => id,
            Err(refusal) => return refusal,
        };
        let base = match request.get_param("base").map(|text| text.parse().map(Revision)) {
            None => None,
            Some(Ok(base)) => Some(base),
            Some(Err(_)) => return problem(400, "base is not a revision"),
        };
        let operator = caller.name.clone();
        self.submit(Command::Propose(Propose {
            id,
            base,
            operator,
            change,
        }))
    }

    fn put_operator(&self, request: &Request, caller: &Caller, name: &str, operator: Option<Operator>) -> Response {
        match change_id(request) {
            Ok(id) => {
                let (by, name) = (caller.name.clone(), name.to_owned());
                self.submit(Command::Operator(PutOperator { id, by, name, operator }))
            }
            Err(refusal) => refusal,
        }
    }

    fn submit(&self, command: Command) -> Response {
        let (reply, answer) = oneshot::channel();
        let sent = self.requests.try_send(StateRequest::Command(Box::new(command), reply));
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

/// Reads and decodes a JSON body; returns the refusal otherwise.
fn json_body<T: DeserializeOwned>(request: &Request) -> Result<T, Response> {
    let mut text = String::new();
    let read = request
        .data()
        .map(|data| data.take(MAX_BODY_BYTES as u64).read_to_string(&mut text));
    if !matches!(read, Some(Ok(_))) {
        return Err(problem(400, "the body can't be read as text"));
    }
    serde_json::from_str(&text).map_err(|error| problem(400, &error.to_string()))
}

fn change_id(request: &Request) -> Result<ChangeId, Response> {
    let id = request
        .header("Change-Id")
        .map(ChangeId::from)
        .filter(ChangeId::is_valid);
    id.ok_or_else(|| problem(400, "header Change-Id is needed: a name of letters, digits and -_.:/"))
}
