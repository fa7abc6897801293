//! Calls to plain services: idempotent ones are sent elsewhere again, the others at most once.

use std::io::Read;
use std::time::{Duration, Instant};

use contract::{Class, Contract, Repeat, RequestId, UpstreamId, UpstreamSpec};
use metrics::counter;
use policy::prefix::Prefix;
use policy::route::{Need, Target};
use tiny_http::{Header, Request, Response, StatusCode};
use upstream::service::{Answer, Call, KEY_HEADER};
use wire::state::Outcome;

use super::problem::{self, Problem};
use super::{MAX_BODY, bearer, header};
use crate::Entry;
use crate::admission::Work;
use crate::attempt::Attempt;
use crate::claims::{self, Keyed, Verdict};
use crate::fleet::Ask;

/// Headers that are passed on to a service.
const PASSED: [&str; 4] = ["Accept", "Accept-Language", "Content-Type", KEY_HEADER];
/// Most upstreams that one call is tried at.
const ATTEMPTS: usize = 3;
/// Longest key of a caller, in bytes.
const MAX_KEY: usize = 256;

pub(super) fn answer(entry: &Entry, mut request: Request, url: &str) {
    match serve(entry, &mut request, url) {
        Ok((id, answer)) => respond(request, &id, &answer),
        Err(refusal) => problem::respond(request, &refusal),
    }
}

fn serve(entry: &Entry, request: &mut Request, url: &str) -> Result<(RequestId, Answer), Problem> {
    let arrived = entry.clock.now();
    let view = entry.current.view();
    let (contract, _) = bearer(request)
        .and_then(|key| view.account(key))
        .ok_or_else(Problem::unauthorized)?;
    let rest = url.trim_start_matches("/services/");
    let (service, below) = rest.split_once('/').unwrap_or((rest, ""));
    let path = format!("/{below}");
    let method = request.method().to_string();
    let body = read(request)?;
    let asked = contract::Request {
        service: Some(service),
        method: &method,
        route: &path,
        model: None,
        prompt_tokens: 0,
    };
    let class = contract
        .class_of(&asked)
        .ok_or_else(|| Problem::not_found("the contract has no class for this"))?;
    let whole = Duration::from_millis(class.targets.whole_answer_ms);
    let work = Work {
        target: Target::Service(service.to_owned()),
        tokens: 1.0,
        latest: arrived + whole,
        shed: class.shed,
    };
    let _permit = entry.admission.enter(contract, &work)?;
    let headers: Vec<(String, String)> = PASSED
        .iter()
        .filter_map(|name| header(request, name).map(|value| ((*name).to_owned(), value.to_owned())))
        .collect();
    let id = entry.request_id();
    let call = Call {
        method: &method,
        path: &path,
        headers: &headers,
        body: &body,
    };
    let run = Run {
        entry,
        service,
        contract,
        class,
        id: &id,
        call,
        until: Instant::now() + whole,
    };
    let answer = match class.repeat {
        Repeat::Idempotent => run.repeatable()?,
        Repeat::AtMostOnce => run.once(header(request, KEY_HEADER))?,
    };
    let customer = contract.customer.to_string();
    counter!("gentian_answers_total", "customer" => customer, "class" => class.name.to_string()).increment(1);
    Ok((id, answer))
}

fn read(request: &mut Request) -> Result<Vec<u8>, Problem> {
    let mut bytes = Vec::new();
    let read = request.as_reader().take(MAX_BODY + 1).read_to_end(&mut bytes);
    read.map_err(|error| Problem::bad_request(format!("the body can't be read: {error}")))?;
    if bytes.len() as u64 > MAX_BODY {
        Err(Problem::too_large(MAX_BODY))
    } else {
        Ok(bytes)
    }
}

/// One admitted call.
struct Run<'a> {
    entry: &'a Entry,
    service: &'a str,
    contract: &'a Contract,
    class: &'a Class,
    id: &'a RequestId,
    call: Call<'a>,
    until: Instant,
}

impl Run<'_> {
    /// Sends a call that may run twice, elsewhere again when it fails.
    fn repeatable(&self) -> Result<Answer, Problem> {
        let mut tried = Vec::new();
        let mut last = None;
        while tried.len() < ATTEMPTS
            && let Some(spec) = self.choose(&tried)
        {
            match self.send(&spec).into_answer() {
                Ok(answer) => return Ok(answer),
                Err(error) => last = Some(error),
            }
            tried.push(spec.id);
        }
        Err(last.map_or_else(|| Problem::overloaded(Duration::from_secs(1)), Problem::broken))
    }

    /// Claims a call that must run at most once, and sends it only with the claim.
    fn once(&self, key: Option<&str>) -> Result<Answer, Problem> {
        let key = key.filter(|key| !key.is_empty() && key.len() <= MAX_KEY);
        let key = key.ok_or_else(|| Problem::bad_request("an Idempotency-Key of 1 to 256 bytes is needed"))?;
        let keyed = Keyed {
            customer: &self.contract.customer,
            key,
            request: self.id,
        };
        let digest = claims::digest(self.call.method, self.call.path, self.call.body);
        let revision = self.entry.current.revision();
        match claims::claim(&self.entry.state, revision, &keyed, &digest, self.until) {
            Verdict::Granted => self.send_claimed(&keyed),
            Verdict::Done(Outcome::Answered { status, media, body }) => Ok(Answer { status, media, body }),
            Verdict::Done(Outcome::NotRun) | Verdict::Unavailable => Err(Problem::no_quorum()),
            Verdict::Done(Outcome::Unknown) => Err(Problem::unknown_outcome("the earlier call's outcome is unknown")),
            Verdict::Mismatch => Err(Problem::key_reused()),
            Verdict::Running => Err(Problem::under_way()),
        }
    }

    fn send_claimed(&self, keyed: &Keyed<'_>) -> Result<Answer, Problem> {
        let mut tried = Vec::new();
        let mut outcome = Outcome::NotRun;
        let mut result = Err(Problem::overloaded(Duration::from_secs(1)));
        while tried.len() < ATTEMPTS
            && let Some(spec) = self.choose(&tried)
        {
            let sent = self.send(&spec);
            outcome = sent.outcome();
            if sent.not_run() {
                tried.push(spec.id);
                continue;
            }
            result = sent.into_answer().map_err(Problem::unknown_outcome);
            break;
        }
        if !claims::settle(&self.entry.state, self.entry.current.revision(), keyed, &outcome) {
            counter!("gentian_outcomes_unrecorded_total").increment(1);
        }
        result
    }

    fn choose(&self, tried: &[UpstreamId]) -> Option<UpstreamSpec> {
        let entry = self.entry;
        let view = entry.current.view();
        let ask = Ask {
            target: &Target::Service(self.service.to_owned()),
            prefix: &Prefix::default(),
            need: Need::default(),
            tried,
        };
        let choice = entry.fleet.choose(&view, &ask, entry.clock.now())?;
        view.config.upstreams.get(&choice.chosen).cloned()
    }

    fn send(&self, spec: &UpstreamSpec) -> Attempt<crate::attempt::Sent> {
        let entry = self.entry;
        let _visit = entry.fleet.visit(&spec.id, entry.clock.now());
        let left = self.until.saturating_duration_since(Instant::now());
        let sent = Attempt::new(spec.address).send(&entry.services, &self.call, left);
        let good = matches!(sent.outcome(), Outcome::Answered { status, .. } if status < 500);
        entry.fleet.ended(&spec.id, good, entry.clock.now());
        if !good {
            counter!("gentian_attempts_failed_total", "class" => self.class.name.to_string()).increment(1);
        }
        sent
    }
}

fn respond(request: Request, id: &RequestId, answer: &Answer) {
    let mut response = Response::from_data(answer.body.as_slice()).with_status_code(StatusCode(answer.status));
    for (name, value) in [("Content-Type", answer.media.as_str()), ("X-Request-Id", id.as_str())] {
        if let Ok(header) = Header::from_bytes(name, value) {
            response.add_header(header);
        }
    }
    // A caller that has gone away needs no answer.
    let _ = request.respond(response);
}
