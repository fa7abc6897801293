//! Serves calls to plain services: idempotent calls are retried at other upstreams, all others are sent at most once.

use std::time::{Duration, Instant};

use contract::{Class, Contract, RequestId, RetrySafety, UpstreamId, UpstreamSpec};
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
use super::{CallerRequest, Response};
use crate::EntryHost;
use crate::admission::AdmissionRequest;
use crate::attempt::{Attempt, Sent};
use crate::claims::{self, ClaimResult, KeyedCall};
use crate::upstreams::RouteRequest;

/// Request headers that are forwarded to a service.
const FORWARDED_HEADERS: [&str; 9] = [
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
/// Methods that are forwarded.
const FORWARDED_METHODS: [&str; 6] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];
/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// Shortest timeout of one attempt at an idempotent call.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(100);
/// Statuses after which an idempotent call is retried at another upstream.
const RETRY_STATUSES: [u16; 3] = [502, 503, 504];

pub(super) fn answer(entry: &EntryHost, caller: &mut CallerRequest<'_>) -> Response {
    match serve(entry, caller) {
        Ok((id, answer)) => Response::Reply(reply(&id, answer)),
        Err(refusal) => refusal.into(),
    }
}

fn serve(entry: &EntryHost, caller: &mut CallerRequest<'_>) -> Result<(RequestId, ServiceAnswer), Problem> {
    let arrived = entry.clock.now();
    let view = entry.config.view();
    let (contract, _) = caller
        .head
        .bearer_key()
        .and_then(|key| view.account(key))
        .ok_or_else(Problem::unauthorized)?;
    let target = caller.head.target.clone();
    let (service, path) = split_target(&target);
    check_forwardable(&caller.head, &path)?;
    if !view.config.upstreams.values().any(|spec| spec.serves_service(service)) {
        return Err(Problem::not_found(format!("there is no service {service}")));
    }
    let body = caller.body(entry, &contract.customer)?;
    let class = request_class(contract, &caller.head, service, &path)?;
    let time_limit = Duration::from_millis(class.targets.whole_answer_ms);
    let request = AdmissionRequest {
        target: Target::Service(service.to_owned()),
        tokens: 1.0,
        deadline: arrived + time_limit,
        shed_priority: class.shed,
    };
    let meter = entry.burn_counts.start_meter(&contract.customer, class, arrived);
    let admitted = entry.admission.admit(contract, &request);
    let _permit = admitted.map_err(|refusal| problem::count_problem(refusal.into(), &meter, entry.clock.now()))?;
    meter.record_admission(entry.clock.now());
    let headers = forwarded_headers(&caller.head);
    let id = entry.new_request_id();
    let run = ServiceRun {
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
        deadline: Instant::now() + time_limit.saturating_sub(entry.clock.now().since(arrived)),
        meter,
    };
    let answer = match class.repeat {
        RetrySafety::Idempotent => run.run_idempotent(),
        RetrySafety::AtMostOnce => run.run_once(caller.head.header(IDEMPOTENCY_HEADER)),
    };
    let answer = answer.map_err(|failure| problem::count_problem(failure, &run.meter, entry.clock.now()))?;
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

/// Splits a request target into the service's name and the path below it.
fn split_target(target: &str) -> (&str, String) {
    let rest = target.strip_prefix("/services/").unwrap_or_default();
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, below) = rest.split_at(end);
    if below.starts_with('/') {
        return (service, below.to_owned());
    }
    (service, format!("/{below}"))
}

fn request_class<'a>(contract: &'a Contract, head: &Head, service: &str, path: &str) -> Result<&'a Class, Problem> {
    let request = contract::RequestAttributes {
        service: Some(service),
        method: &head.method,
        route: path.split('?').next().unwrap_or_default(),
        model: None,
        prompt_tokens: 0,
    };
    let found = contract.class_of(&request);
    found.ok_or_else(|| Problem::not_found("the contract has no class for this"))
}

/// Rejects methods and paths that the HTTP client would not forward unchanged.
fn check_forwardable(head: &Head, path: &str) -> Result<(), Problem> {
    if !FORWARDED_METHODS.contains(&head.method.as_str()) {
        return Err(Problem::method_not_allowed("GET, HEAD, POST, PUT, PATCH, DELETE"));
    }
    if path.parse::<ureq::http::uri::PathAndQuery>().is_err() {
        return Err(Problem::bad_request("the path holds characters that must be encoded"));
    }
    Ok(())
}

fn forwarded_headers(head: &Head) -> Vec<(String, String)> {
    FORWARDED_HEADERS
        .iter()
        .filter_map(|name| head.header(name).map(|value| ((*name).to_owned(), value.to_owned())))
        .collect()
}

/// An admitted call.
struct ServiceRun<'a> {
    entry: &'a EntryHost,
    service: &'a str,
    contract: &'a Contract,
    class: &'a Class,
    id: &'a RequestId,
    call: ServiceCall<'a>,
    deadline: Instant,
    meter: RequestMeter<'a>,
}

impl ServiceRun<'_> {
    /// Sends an idempotent call and retries it at other upstreams within the retry budget.
    fn run_idempotent(&self) -> Result<ServiceAnswer, Problem> {
        let mut tried = Vec::new();
        let mut last = None;
        while Instant::now() < self.deadline
            && let Some(spec) = self.choose(&tried)
        {
            let attempt = self.send(&spec, self.attempt_timeout());
            let not_run = attempt.not_run();
            match attempt.into_answer() {
                Ok(answer) if !RETRY_STATUSES.contains(&answer.status) => {
                    if tried.is_empty() {
                        self.entry.retry_budget.lock().succeeded();
                    }
                    return Ok(answer);
                }
                result => last = Some(result),
            }
            tried.push(spec.id);
            if !not_run && !self.entry.retry_budget.lock().take() {
                counter!("gentian_retries_refused_total").increment(1);
                break;
            }
        }
        final_result(last)
    }

    /// Returns the timeout of one attempt: half of the time that is left, so that a stalled upstream leaves time for
    /// another attempt.
    fn attempt_timeout(&self) -> Duration {
        let left = self.deadline.saturating_duration_since(Instant::now());
        (left / 2)
            .max(MIN_ATTEMPT_TIMEOUT)
            .min(left.max(Duration::from_millis(1)))
    }

    /// Claims a call that must run at most once, and sends it only if the claim is granted.
    fn run_once(&self, key: Option<&str>) -> Result<ServiceAnswer, Problem> {
        let key = key.filter(|key| !key.is_empty() && key.len() <= MAX_KEY_BYTES);
        let key = key.ok_or_else(|| Problem::bad_request("an Idempotency-Key of 1 to 256 bytes is needed"))?;
        let keyed = KeyedCall {
            customer: &self.contract.customer,
            key,
            request: self.id,
        };
        let digest = claims::call_digest(self.call.method, self.call.path, self.call.body);
        let revision = self.entry.config.revision();
        let claimed = claims::claim(&self.entry.state_client, revision, &keyed, &digest, self.deadline);
        match claims::resolve_unknown(self.entry, self.service, &keyed, claimed) {
            ClaimResult::Granted => self.send_claimed(&keyed),
            ClaimResult::Done(Outcome::Answered { status, media, body }) => Ok(ServiceAnswer {
                status,
                media,
                headers: Vec::new(),
                body,
            }),
            ClaimResult::Done(Outcome::NotRun) | ClaimResult::Unavailable => Err(Problem::no_quorum()),
            ClaimResult::Done(Outcome::Unknown) => {
                Err(Problem::unknown_outcome("the earlier call's outcome is unknown"))
            }
            ClaimResult::Mismatch => Err(Problem::key_reused()),
            ClaimResult::Running => Err(Problem::still_running()),
        }
    }

    fn send_claimed(&self, keyed: &KeyedCall<'_>) -> Result<ServiceAnswer, Problem> {
        let mut tried = Vec::new();
        let mut outcome = Outcome::NotRun;
        let mut result = Err(Problem::overloaded(Duration::from_secs(1)));
        while Instant::now() < self.deadline
            && let Some(spec) = self.choose(&tried)
        {
            let attempt = self.send(&spec, self.deadline.saturating_duration_since(Instant::now()));
            outcome = attempt.outcome();
            if attempt.not_run() {
                tried.push(spec.id);
                continue;
            }
            result = attempt.into_answer().map_err(Problem::unknown_outcome);
            break;
        }
        if !claims::settle(&self.entry.state_client, self.entry.config.revision(), keyed, &outcome) {
            counter!("gentian_outcomes_unrecorded_total").increment(1);
        }
        result
    }

    fn choose(&self, tried: &[UpstreamId]) -> Option<UpstreamSpec> {
        let entry = self.entry;
        let view = entry.config.view();
        let route_request = RouteRequest {
            target: &Target::Service(self.service.to_owned()),
            prefix: &Prefix::default(),
            need: RequestNeed::default(),
            tried,
        };
        let choice = entry.upstreams.choose(&view, &route_request, entry.clock.now())?;
        view.config.upstreams.get(&choice.chosen).cloned()
    }

    fn send(&self, spec: &UpstreamSpec, timeout: Duration) -> Attempt<Sent> {
        let entry = self.entry;
        let _in_flight = entry.upstreams.start_request(&spec.id, entry.clock.now());
        self.meter.record_attempt(&spec.host);
        let attempt = Attempt::new(spec.address).send(&entry.service_client, &self.call, timeout);
        let succeeded = attempt.status().is_some_and(|status| status < 500);
        let now = entry.clock.now();
        entry.upstreams.record_result(&spec.id, succeeded, now);
        if let Some(error) = attempt.error() {
            self.meter.record_failure(!entry.upstreams.hosts.takes_work(&spec.host));
            entry.upstreams.hosts.record_failure(&spec.host, error, now);
        }
        if !succeeded {
            counter!("gentian_attempts_failed_total", "class" => self.class.name.to_string()).increment(1);
        }
        attempt
    }
}

/// Returns the last response or failure of an idempotent call.
fn final_result(last: Option<Result<ServiceAnswer, UpstreamError>>) -> Result<ServiceAnswer, Problem> {
    match last {
        None => Err(Problem::overloaded(Duration::from_secs(1))),
        Some(Ok(answer)) => Ok(answer),
        Some(Err(error)) if error.fate == upstream::Fate::NotRun => Err(Problem::overloaded(Duration::from_secs(1))),
        Some(Err(error)) => Err(Problem::upstream_failed(error)),
    }
}

fn reply(id: &RequestId, answer: ServiceAnswer) -> Reply {
    let reply = Reply::new(answer.status, &answer.media, answer.body).with_header(REQUEST_ID_HEADER, id.as_str());
    answer
        .headers
        .into_iter()
        .fold(reply, |reply, (name, value)| reply.with_header(name, value))
}
