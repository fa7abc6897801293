//! A caller: sends a request when it is due, reads the answer and records its outcome and latency.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use ureq::http::Response;
use ureq::{Agent, Body};

use super::balancer::Balancer;
use super::sse::{Event, EventReader};
use crate::workload::{Arrival, Call, bearer_key};

/// Time after the target of the complete answer at which a caller gives up.
const READ_GRACE: Duration = Duration::from_secs(2);
/// Pause between two attempts to fetch the rest of an answer.
const RESUME_INTERVAL: Duration = Duration::from_millis(50);
const REQUEST_HEADER: &str = "X-Request-Id";
const OUTCOME_HEADER: &str = "Gentian-Outcome";
const KEY_HEADER: &str = "Idempotency-Key";

/// Final outcome of a request, as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The complete and correct answer arrived.
    Complete,
    /// The caller was told that the request did not run.
    NotRun,
    /// The caller was told that the outcome is unknown.
    Unknown,
    /// An answer arrived that is not the expected one.
    Wrong(String),
    /// The connection broke, or the response named no outcome, after the request may have been accepted.
    Broken(String),
    /// No entry host accepted the connection.
    Unreachable,
}

/// Outcome and latency of a request; times count from when it was due.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// Final outcome.
    pub outcome: Outcome,
    /// Time to the first token; absent without one and for services.
    pub first_token: Option<Duration>,
    /// Gaps between successive tokens.
    pub token_gaps: Vec<Duration>,
    /// Time to the final outcome.
    pub total: Duration,
}

/// Sends requests through a balancer.
#[derive(Debug)]
pub struct Caller<'a> {
    balancer: &'a Balancer,
    model: &'static str,
    agent: Agent,
}

/// The part of a streamed answer received so far.
struct AnswerProgress {
    due: Instant,
    first_token: Option<Duration>,
    last_token: Option<Instant>,
    token_gaps: Vec<Duration>,
    text: String,
    token_count: usize,
}

impl<'a> Caller<'a> {
    /// Creates a caller that sends its chats to a model.
    #[must_use]
    pub fn new(balancer: &'a Balancer, model: &'static str) -> Self {
        // Each request opens its own connection, so that a refused connection proves that nothing was sent.
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_idle_connections(0)
            .proxy(None)
            .build();
        Self {
            balancer,
            model,
            agent: config.into(),
        }
    }

    /// Sends a request, which is due at the given time, and waits for its outcome.
    #[must_use]
    pub fn call(&self, arrival: &Arrival, due: Instant) -> CallResult {
        let mut progress = AnswerProgress {
            due,
            first_token: None,
            last_token: None,
            token_gaps: Vec::new(),
            text: String::new(),
            token_count: 0,
        };
        let outcome = match &arrival.call {
            Call::Chat { messages, tokens } => self.chat(arrival, messages, *tokens, &mut progress),
            Call::Lookup { service, path } => {
                let rest = format!("{service}{path}");
                self.service(arrival, &rest, None, path.trim_start_matches('/'))
            }
            Call::Write { service, path, key } => self.service(arrival, &format!("{service}{path}"), Some(key), key),
        };
        CallResult {
            outcome,
            first_token: progress.first_token,
            token_gaps: progress.token_gaps,
            total: due.elapsed(),
        }
    }

    fn chat(
        &self,
        arrival: &Arrival,
        messages: &[(String, String)],
        tokens: u64,
        progress: &mut AnswerProgress,
    ) -> Outcome {
        let messages: Vec<Value> = messages
            .iter()
            .map(|(role, content)| json!({"role": role, "content": content}))
            .collect();
        let body = json!({"model": self.model, "stream": true, "max_tokens": tokens, "messages": messages});
        let deadline = progress.due + arrival.targets.total + READ_GRACE;
        let response = self.send(arrival, "v1/chat/completions", deadline, None, Some(&body));
        let answer = match response {
            Ok(answer) => answer,
            Err(outcome) => return outcome,
        };
        if answer.status() != 200 {
            return refusal_outcome(answer);
        }
        let request = header(&answer, REQUEST_HEADER).unwrap_or_default();
        let outcome = read_stream(answer, progress);
        let outcome = match outcome {
            Outcome::Broken(_) if !request.is_empty() => self.resume(arrival, &request, deadline, progress, outcome),
            outcome => outcome,
        };
        let is_expected = || arrival.expected_text() == progress.text;
        match outcome {
            Outcome::Complete if is_expected() => Outcome::Complete,
            Outcome::Complete => Outcome::Wrong(format!(
                "{} tokens of {tokens}, request {request}",
                progress.text.split_whitespace().count()
            )),
            outcome => outcome,
        }
    }

    /// Fetches the rest of an answer whose connection broke, from any entry host; returns `broken` after the deadline.
    fn resume(
        &self,
        arrival: &Arrival,
        request: &str,
        deadline: Instant,
        progress: &mut AnswerProgress,
        broken: Outcome,
    ) -> Outcome {
        while Instant::now() < deadline {
            for entry in self.balancer.candidates(arrival.entry) {
                let url = format!("http://{entry}/v1/requests/{request}?from={}", progress.token_count);
                let response = self
                    .agent
                    .get(url)
                    .header("Authorization", format!("Bearer {}", bearer_key(arrival.account)))
                    .config()
                    .timeout_global(Some(Duration::from_secs(1)))
                    .build()
                    .call();
                let Ok(mut answer) = response else { continue };
                if answer.status() != 200 {
                    continue;
                }
                let Ok(rest) = answer.body_mut().read_json::<Value>() else {
                    continue;
                };
                if let Some(text) = rest["text"].as_str().filter(|text| !text.is_empty()) {
                    progress.add_text(text);
                    progress.token_count = rest["next"].as_u64().unwrap_or_default() as usize;
                }
                if rest["whole"] == true {
                    return Outcome::Complete;
                }
                if rest["failed"] == true {
                    return Outcome::Unknown;
                }
            }
            std::thread::sleep(RESUME_INTERVAL);
        }
        broken
    }

    fn service(&self, arrival: &Arrival, rest: &str, key: Option<&str>, expected: &str) -> Outcome {
        let deadline = Instant::now() + arrival.targets.total.max(Duration::from_secs(5)) + READ_GRACE;
        let body = key.map(|key| json!({"amount": 50, "for": key}));
        let response = self.send(arrival, &format!("services/{rest}"), deadline, key, body.as_ref());
        let mut answer = match response {
            Ok(answer) => answer,
            Err(outcome) => return outcome,
        };
        if !answer.status().is_success() {
            return refusal_outcome(answer);
        }
        match answer.body_mut().read_to_string() {
            Ok(text) if contains_word(&text, expected) => Outcome::Complete,
            Ok(_) => Outcome::Wrong(format!("no {expected} in the answer")),
            Err(error) => Outcome::Broken(format!("read: {error}")),
        }
    }

    /// Sends a request to the first entry host that accepts the connection.
    fn send(
        &self,
        arrival: &Arrival,
        path: &str,
        deadline: Instant,
        key: Option<&str>,
        body: Option<&Value>,
    ) -> Result<Response<Body>, Outcome> {
        for entry in self.balancer.candidates(arrival.entry) {
            let timeout = deadline.saturating_duration_since(Instant::now());
            match self.send_to(entry, arrival, path, timeout, key, body) {
                Ok(answer) => return Ok(answer),
                Err(error) if not_connected(&error) => {}
                Err(error) => return Err(Outcome::Broken(format!("send: {error}"))),
            }
        }
        Err(Outcome::Unreachable)
    }

    fn send_to(
        &self,
        entry: SocketAddr,
        arrival: &Arrival,
        path: &str,
        timeout: Duration,
        key: Option<&str>,
        body: Option<&Value>,
    ) -> Result<Response<Body>, ureq::Error> {
        let url = format!("http://{entry}/{path}");
        let bearer = format!("Bearer {}", bearer_key(arrival.account));
        let Some(body) = body else {
            let get = self.agent.get(url).header("Authorization", bearer);
            return get.config().timeout_global(Some(timeout)).build().call();
        };
        let mut post = self.agent.post(url).header("Authorization", bearer);
        if let Some(key) = key {
            post = post.header(KEY_HEADER, key);
        }
        post.config().timeout_global(Some(timeout)).build().send_json(body)
    }
}

impl AnswerProgress {
    fn add_text(&mut self, text: &str) {
        let now = Instant::now();
        if let Some(last) = self.last_token {
            self.token_gaps.push(now - last);
        }
        self.first_token
            .get_or_insert_with(|| now.saturating_duration_since(self.due));
        self.last_token = Some(now);
        self.text.push_str(text);
    }
}

fn read_stream(answer: Response<Body>, progress: &mut AnswerProgress) -> Outcome {
    let mut events = EventReader::new(answer.into_body().into_reader());
    loop {
        match events.next_event() {
            Ok(Event::Token(token)) => {
                progress.add_text(&token);
                progress.token_count += 1;
            }
            Ok(Event::Done) => return Outcome::Complete,
            Ok(Event::Failed) => return Outcome::Unknown,
            Err(error) => return Outcome::Broken(format!("stream: {error}")),
        }
    }
}

/// Returns the outcome that an error response states.
fn refusal_outcome(mut answer: Response<Body>) -> Outcome {
    if header(&answer, OUTCOME_HEADER).as_deref() == Some("not-run") {
        return Outcome::NotRun;
    }
    let status = answer.status();
    match answer.body_mut().read_json::<Value>() {
        Ok(body) if body["outcome"] == "unknown" => Outcome::Unknown,
        Ok(_) | Err(_) => Outcome::Broken(format!("status {status} without an outcome")),
    }
}

fn header(answer: &Response<Body>, name: &str) -> Option<String> {
    let value = answer.headers().get(name)?;
    value.to_str().ok().map(str::to_owned)
}

/// Returns whether a text contains a word, not merely a longer word that starts with it.
fn contains_word(text: &str, expected: &str) -> bool {
    let at_word_end = |rest: &str| !rest.starts_with(|c: char| c.is_ascii_alphanumeric());
    text.match_indices(expected)
        .any(|(at, _)| at_word_end(&text[at + expected.len()..]))
}

fn not_connected(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::Io(error) => error.kind() == ErrorKind::ConnectionRefused,
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => true,
        _ => false,
    }
}
