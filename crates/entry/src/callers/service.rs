//! Calls to plain services: idempotent ones are sent elsewhere again, the others at most once.

use std::time::{Duration, Instant};

use contract::{Class, Contract, Repeat, RequestId, UpstreamId, UpstreamSpec};
use metrics::counter;
use policy::prefix::Prefix;
use policy::route::{RequestNeed, Target};
use telemetry::burn::{RequestEnd, RequestMeter};
use upstream::UpstreamError;
use upstream::engine::REQUEST_ID_HEADER;
use upstream::service::{IDEMPOTENCY_HEADER, ServiceAnswer, ServiceCall};
use wire::state::Outcome;

use super::http::{Head, Reply};
use super::problem::{self, Problem};
use super::{Answered, Caller};
use crate::Entry;
use crate::admission::Work;
use crate::attempt::{Attempt, Sent};
use crate::claims::{self, Keyed, Verdict};
use crate::fleet::Ask;

/// Headers that are passed on to a service.
const PASSED: [&str; 9] = [
    "Accept",
    "Accept-Language",
    "Content-Encoding",
    "Content-Language",
    "Content-Type",
    "If-Match",
    "If-Modified-Since",
    "If-None-Match",
    IDEMPOTENCY_HEADER,
];
/// Methods that are passed on.
const METHODS: [&str; 6] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];
/// Longest key of a caller, in bytes.
const MAX_KEY: usize = 256;
/// Shortest time that one attempt at an idempotent call is given.
const MIN_ATTEMPT: Duration = Duration::from_millis(100);
/// Statuses by which a service says that it can't answer now, while another one may.
const ELSEWHERE: [u16; 3] = [502, 503, 504];

pub(super) fn answer(entry: &Entry, caller: &mut Caller<'_>) -> Answered {
    match serve(entry, caller) {
        Ok((id, answer)) => Answered::Reply(reply(&id, answer)),
        Err(refusal) => refusal.into(),
    }
}

fn serve(entry: &Entry, caller: &mut Caller<'_>) -> Result<(RequestId, ServiceAnswer), Problem> {
    let arrived = entry.clock.now();
    let view = entry.current.view();
    let (contract, _) = caller
        .head
        .bearer()
        .and_then(|key| view.account(key))
        .ok_or_else(Problem::unauthorized)?;
    let target = caller.head.target.clone();
    let (service, path) = split(&target);
    check(&caller.head, &path)?;
    if !view.config.upstreams.values().any(|spec| spec.serves_service(service)) {
        return Err(Problem::not_found(format!("there is no service {service}")));
    }
    let body = caller.body(entry)?;
    let class = class(contract, &caller.head, service, &path)?;
    let whole = Duration::from_millis(class.targets.whole_answer_ms);
    let work = Work {
        target: Target::Service(service.to_owned()),
        tokens: 1.0,
        latest: arrived + whole,
        shed: class.shed,
    };
    let meter = entry.burn.start_meter(&contract.customer, class, arrived);
    let admitted = entry.admission.enter(contract, &work);
    let _permit = admitted.map_err(|refusal| problem::counted(refusal.into(), &meter, entry.clock.now()))?;
    meter.record_admission(entry.clock.now());
    let headers = passed(&caller.head);
    let id = entry.request_id();
    let run = Run {
        entry,
        service,
        contract,
        class,
        id: &id,
        call: ServiceCall {
            method: &caller.head.method,
            path: &path,
            headers: &headers,
            body: &body,
        },
        until: Instant::now() + whole.saturating_sub(entry.clock.now().since(arrived)),
        meter,
    };
    let answer = match class.repeat {
        Repeat::Idempotent => run.repeatable(),
        Repeat::AtMostOnce => run.once(caller.head.header(IDEMPOTENCY_HEADER)),
    };
    let answer = answer.map_err(|failure| problem::counted(failure, &run.meter, entry.clock.now()))?;
    let end = if answer.status < 500 {
        RequestEnd::Completed
    } else {
        RequestEnd::Failed
    };
    run.meter.finish(end, entry.clock.now());
    let customer = contract.customer.to_string();
    counter!("gentian_answers_total", "customer" => customer, "class" => class.name.to_string()).increment(1);
    Ok((id, answer))
}

/// Splits a target into the service's name and the path below it.
fn split(target: &str) -> (&str, String) {
    let rest = target.strip_prefix("/services/").unwrap_or_default();
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, below) = rest.split_at(end);
    if below.starts_with('/') {
        return (service, below.to_owned());
    }
    (service, format!("/{below}"))
}

fn class<'a>(contract: &'a Contract, head: &Head, service: &str, path: &str) -> Result<&'a Class, Problem> {
    let asked = contract::Request {
        service: Some(service),
        method: &head.method,
        route: path.split('?').next().unwrap_or_default(),
        model: None,
        prompt_tokens: 0,
    };
    let found = contract.class_of(&asked);
    found.ok_or_else(|| Problem::not_found("the contract has no class for this"))
}

/// Checks what the client library would not pass on as it is.
fn check(head: &Head, path: &str) -> Result<(), Problem> {
    if !METHODS.contains(&head.method.as_str()) {
        return Err(Problem::method("GET, HEAD, POST, PUT, PATCH, DELETE"));
    }
    if path.parse::<ureq::http::uri::PathAndQuery>().is_err() {
        return Err(Problem::bad_request("the path holds characters that must be encoded"));
    }
    Ok(())
}

fn passed(head: &Head) -> Vec<(String, String)> {
    PASSED
        .iter()
        .filter_map(|name| head.header(name).map(|value| ((*name).to_owned(), value.to_owned())))
        .collect()
}

/// One admitted call.
struct Run<'a> {
    entry: &'a Entry,
    service: &'a str,
    contract: &'a Contract,
    class: &'a Class,
    id: &'a RequestId,
    call: ServiceCall<'a>,
    until: Instant,
    meter: RequestMeter<'a>,
}

impl Run<'_> {
    /// Sends a call that may run twice, elsewhere again when it fails and the retry budget allows it.
    fn repeatable(&self) -> Result<ServiceAnswer, Problem> {
        let mut tried = Vec::new();
        let mut last = None;
        while Instant::now() < self.until
            && let Some(spec) = self.choose(&tried)
        {
            let sent = self.send(&spec, self.part_of_time());
            let free = sent.not_run();
            match sent.into_answer() {
                Ok(answer) if !ELSEWHERE.contains(&answer.status) => {
                    if tried.is_empty() {
                        self.entry.retries.lock().succeeded();
                    }
                    return Ok(answer);
                }
                result => last = Some(result),
            }
            tried.push(spec.id);
            if !free && !self.entry.retries.lock().take() {
                counter!("gentian_retries_refused_total").increment(1);
                break;
            }
        }
        ended(last)
    }

    /// Gives the time for one attempt: half of what is left, so that a frozen service leaves time for another.
    fn part_of_time(&self) -> Duration {
        let left = self.until.saturating_duration_since(Instant::now());
        (left / 2).max(MIN_ATTEMPT).min(left.max(Duration::from_millis(1)))
    }

    /// Claims a call that must run at most once, and sends it only with the claim.
    fn once(&self, key: Option<&str>) -> Result<ServiceAnswer, Problem> {
        let key = key.filter(|key| !key.is_empty() && key.len() <= MAX_KEY);
        let key = key.ok_or_else(|| Problem::bad_request("an Idempotency-Key of 1 to 256 bytes is needed"))?;
        let keyed = Keyed {
            customer: &self.contract.customer,
            key,
            request: self.id,
        };
        let digest = claims::digest(self.call.method, self.call.path, self.call.body);
        let revision = self.entry.current.revision();
        let verdict = claims::claim(&self.entry.state, revision, &keyed, &digest, self.until);
        match claims::ask_if_unknown(self.entry, self.service, &keyed, verdict) {
            Verdict::Granted => self.send_claimed(&keyed),
            Verdict::Done(Outcome::Answered { status, media, body }) => Ok(ServiceAnswer {
                status,
                media,
                headers: Vec::new(),
                body,
            }),
            Verdict::Done(Outcome::NotRun) | Verdict::Unavailable => Err(Problem::no_quorum()),
            Verdict::Done(Outcome::Unknown) => Err(Problem::unknown_outcome("the earlier call's outcome is unknown")),
            Verdict::Mismatch => Err(Problem::key_reused()),
            Verdict::Running => Err(Problem::under_way()),
        }
    }

    fn send_claimed(&self, keyed: &Keyed<'_>) -> Result<ServiceAnswer, Problem> {
        let mut tried = Vec::new();
        let mut outcome = Outcome::NotRun;
        let mut result = Err(Problem::overloaded(Duration::from_secs(1)));
        while Instant::now() < self.until
            && let Some(spec) = self.choose(&tried)
        {
            let sent = self.send(&spec, self.until.saturating_duration_since(Instant::now()));
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
            need: RequestNeed::default(),
            tried,
        };
        let choice = entry.fleet.choose(&view, &ask, entry.clock.now())?;
        view.config.upstreams.get(&choice.chosen).cloned()
    }

    fn send(&self, spec: &UpstreamSpec, timeout: Duration) -> Attempt<Sent> {
        let entry = self.entry;
        let _visit = entry.fleet.visit(&spec.id, entry.clock.now());
        self.meter.record_attempt(&spec.host);
        let sent = Attempt::new(spec.address).send(&entry.services, &self.call, timeout);
        let good = sent.status().is_some_and(|status| status < 500);
        let now = entry.clock.now();
        entry.fleet.ended(&spec.id, good, now);
        if let Some(error) = sent.error() {
            self.meter.record_failure(!entry.fleet.hosts.takes_work(&spec.host));
            entry.fleet.hosts.failed(&spec.host, error, now);
        }
        if !good {
            counter!("gentian_attempts_failed_total", "class" => self.class.name.to_string()).increment(1);
        }
        sent
    }
}

/// Gives the last answer or failure of an idempotent call.
fn ended(last: Option<Result<ServiceAnswer, UpstreamError>>) -> Result<ServiceAnswer, Problem> {
    match last {
        None => Err(Problem::overloaded(Duration::from_secs(1))),
        Some(Ok(answer)) => Ok(answer),
        Some(Err(error)) if error.fate == upstream::Fate::NotRun => Err(Problem::overloaded(Duration::from_secs(1))),
        Some(Err(error)) => Err(Problem::broken(error)),
    }
}

fn reply(id: &RequestId, answer: ServiceAnswer) -> Reply {
    let reply = Reply::new(answer.status, &answer.media, answer.body).with(REQUEST_ID_HEADER, id.as_str());
    answer
        .headers
        .into_iter()
        .fold(reply, |reply, (name, value)| reply.with(name, value))
}
