//! One caller: sends its request when it is due, reads the answer and notes what it was told.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use ureq::http::Response;
use ureq::{Agent, Body};

use super::balancer::Balancer;
use super::sse::{Event, Events};
use crate::workload::{Arrival, Call, bearer_key};

/// Time beyond the promise after which a caller stops listening.
const GRACE: Duration = Duration::from_secs(2);
/// Pause between two questions for the rest of an answer.
const PAUSE: Duration = Duration::from_millis(50);
const REQUEST_HEADER: &str = "X-Request-Id";
const OUTCOME_HEADER: &str = "Gentian-Outcome";
const KEY_HEADER: &str = "Idempotency-Key";

/// What a caller was told in the end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// The whole answer.
    Whole,
    /// That it was not run.
    NotRun,
    /// That the outcome is unknown.
    Unknown,
    /// An answer that is not the one to its own request.
    Wrong(String),
    /// Nothing, after the request may have been accepted.
    Cut(String),
    /// Nothing, since no entry host took the connection.
    Unreached,
}

/// What a caller saw; times count from when the request was due.
#[derive(Clone, Debug)]
pub struct Told {
    /// What it was told in the end.
    pub end: End,
    /// Until the first token.
    pub first: Option<Duration>,
    /// Between tokens.
    pub gaps: Vec<Duration>,
    /// Until the end.
    pub whole: Duration,
}

/// Sends requests through a balancer.
#[derive(Debug)]
pub struct Caller<'a> {
    balancer: &'a Balancer,
    model: &'static str,
    agent: Agent,
}

/// The answer as it comes.
struct Reading {
    due: Instant,
    first: Option<Duration>,
    last: Option<Instant>,
    gaps: Vec<Duration>,
    text: String,
    count: usize,
}

impl<'a> Caller<'a> {
    /// Makes a caller of a model.
    #[must_use]
    pub fn new(balancer: &'a Balancer, model: &'static str) -> Self {
        // Each request has a connection of its own: a refused one then surely brought nothing to anybody.
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

    /// Makes one request, which was due at a time.
    #[must_use]
    pub fn call(&self, arrival: &Arrival, due: Instant) -> Told {
        let mut reading = Reading {
            due,
            first: None,
            last: None,
            gaps: Vec::new(),
            text: String::new(),
            count: 0,
        };
        let end = match &arrival.call {
            Call::Chat { messages, tokens } => self.chat(arrival, messages, *tokens, &mut reading),
            Call::Lookup { service, path } => {
                let rest = format!("{service}{path}");
                self.service(arrival, &rest, None, path.trim_start_matches('/'))
            }
            Call::Once { service, path, key } => self.service(arrival, &format!("{service}{path}"), Some(key), key),
        };
        Told {
            end,
            first: reading.first,
            gaps: reading.gaps,
            whole: due.elapsed(),
        }
    }

    fn chat(&self, arrival: &Arrival, messages: &[(String, String)], tokens: u64, reading: &mut Reading) -> End {
        let messages: Vec<Value> = messages
            .iter()
            .map(|(role, content)| json!({"role": role, "content": content}))
            .collect();
        let body = json!({"model": self.model, "stream": true, "max_tokens": tokens, "messages": messages});
        let until = reading.due + arrival.promise.whole + GRACE;
        let sent = self.send(arrival, "v1/chat/completions", until, None, Some(&body));
        let answer = match sent {
            Ok(answer) => answer,
            Err(end) => return end,
        };
        if answer.status() != 200 {
            return refused(answer);
        }
        let request = header(&answer, REQUEST_HEADER).unwrap_or_default();
        let end = read(answer, reading);
        let end = match end {
            End::Cut(_) if !request.is_empty() => self.resume(arrival, &request, until, reading, end),
            end => end,
        };
        let right = || arrival.right_text() == reading.text;
        match end {
            End::Whole if right() => End::Whole,
            End::Whole => End::Wrong(format!(
                "{} tokens of {tokens}, request {request}",
                reading.text.split_whitespace().count()
            )),
            other => other,
        }
    }

    /// Asks every entry host for the rest of an answer whose connection broke.
    fn resume(&self, arrival: &Arrival, request: &str, until: Instant, reading: &mut Reading, cut: End) -> End {
        while Instant::now() < until {
            for entry in self.balancer.order(arrival.entry) {
                let url = format!("http://{entry}/v1/requests/{request}?from={}", reading.count);
                let asked = self
                    .agent
                    .get(url)
                    .header("Authorization", format!("Bearer {}", bearer_key(arrival.account)))
                    .config()
                    .timeout_global(Some(Duration::from_secs(1)))
                    .build()
                    .call();
                let Ok(mut answer) = asked else { continue };
                if answer.status() != 200 {
                    continue;
                }
                let Ok(part) = answer.body_mut().read_json::<Value>() else {
                    continue;
                };
                if let Some(text) = part["text"].as_str().filter(|text| !text.is_empty()) {
                    reading.token(text);
                    reading.count = part["next"].as_u64().unwrap_or_default() as usize;
                }
                if part["whole"] == true {
                    return End::Whole;
                }
                if part["failed"] == true {
                    return End::Unknown;
                }
            }
            std::thread::sleep(PAUSE);
        }
        cut
    }

    fn service(&self, arrival: &Arrival, rest: &str, key: Option<&str>, own: &str) -> End {
        let until = Instant::now() + arrival.promise.whole.max(Duration::from_secs(5)) + GRACE;
        let body = key.map(|key| json!({"amount": 50, "for": key}));
        let sent = self.send(arrival, &format!("services/{rest}"), until, key, body.as_ref());
        let mut answer = match sent {
            Ok(answer) => answer,
            Err(end) => return end,
        };
        if !answer.status().is_success() {
            return refused(answer);
        }
        match answer.body_mut().read_to_string() {
            Ok(text) if names(&text, own) => End::Whole,
            Ok(_) => End::Wrong(format!("no {own} in the answer")),
            Err(error) => End::Cut(format!("read: {error}")),
        }
    }

    /// Sends a request to the first entry host that takes the connection.
    fn send(
        &self,
        arrival: &Arrival,
        path: &str,
        until: Instant,
        key: Option<&str>,
        body: Option<&Value>,
    ) -> Result<Response<Body>, End> {
        for entry in self.balancer.order(arrival.entry) {
            let left = until.saturating_duration_since(Instant::now());
            match self.send_to(entry, arrival, path, left, key, body) {
                Ok(answer) => return Ok(answer),
                Err(error) if no_connection(&error) => {}
                Err(error) => return Err(End::Cut(format!("send: {error}"))),
            }
        }
        Err(End::Unreached)
    }

    fn send_to(
        &self,
        entry: SocketAddr,
        arrival: &Arrival,
        path: &str,
        left: Duration,
        key: Option<&str>,
        body: Option<&Value>,
    ) -> Result<Response<Body>, ureq::Error> {
        let url = format!("http://{entry}/{path}");
        let bearer = format!("Bearer {}", bearer_key(arrival.account));
        let Some(body) = body else {
            let get = self.agent.get(url).header("Authorization", bearer);
            return get.config().timeout_global(Some(left)).build().call();
        };
        let mut post = self.agent.post(url).header("Authorization", bearer);
        if let Some(key) = key {
            post = post.header(KEY_HEADER, key);
        }
        post.config().timeout_global(Some(left)).build().send_json(body)
    }
}

impl Reading {
    fn token(&mut self, text: &str) {
        let now = Instant::now();
        if let Some(last) = self.last {
            self.gaps.push(now - last);
        }
        self.first
            .get_or_insert_with(|| now.saturating_duration_since(self.due));
        self.last = Some(now);
        self.text.push_str(text);
    }
}

fn read(answer: Response<Body>, reading: &mut Reading) -> End {
    let mut events = Events::new(answer.into_body().into_reader());
    loop {
        match events.next_event() {
            Ok(Event::Token(token)) => {
                reading.token(&token);
                reading.count += 1;
            }
            Ok(Event::Done) => return End::Whole,
            Ok(Event::Failed) => return End::Unknown,
            Err(error) => return End::Cut(format!("stream: {error}")),
        }
    }
}

/// Reads from a refusal what it says about the request.
fn refused(mut answer: Response<Body>) -> End {
    if header(&answer, OUTCOME_HEADER).as_deref() == Some("not-run") {
        return End::NotRun;
    }
    let status = answer.status();
    match answer.body_mut().read_json::<Value>() {
        Ok(body) if body["outcome"] == "unknown" => End::Unknown,
        Ok(_) | Err(_) => End::Cut(format!("status {status} without an outcome")),
    }
}

fn header(answer: &Response<Body>, name: &str) -> Option<String> {
    let value = answer.headers().get(name)?;
    value.to_str().ok().map(str::to_owned)
}

/// Tells whether a text names something and not merely something longer.
fn names(text: &str, own: &str) -> bool {
    let ends = |rest: &str| !rest.starts_with(|c: char| c.is_ascii_alphanumeric());
    text.match_indices(own).any(|(at, _)| ends(&text[at + own.len()..]))
}

fn no_connection(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::Io(error) => error.kind() == ErrorKind::ConnectionRefused,
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => true,
        _ => false,
    }
}
