//! Chat completions: streamed and whole, resumed on another engine when one dies.

use std::io::{Read, Write};
use std::time::Duration;

use contract::{Class, Contract, RequestId, UpstreamId};
use metrics::counter;
use policy::Tick;
use policy::prefix::Prefix;
use policy::route::{Need, Target};
use serde_json::json;
use slog::warn;
use tiny_http::{Header, Request, Response};
use upstream::UpstreamError;
use upstream::engine::{Chat, Event, Message, REQUEST_HEADER, Usage};

use super::problem::{self, Problem};
use super::{MAX_BODY, bearer};
use crate::Entry;
use crate::admission::Work;
use crate::fleet::{Ask, Visit};
use crate::journal::Journal;

/// Most engines that one request is sent to.
const ATTEMPTS: usize = 4;

/// Where tokens go as they come.
trait Sink {
    fn token(&mut self, token: &str) -> std::io::Result<()>;
}

/// How an answer ended.
enum Ended {
    Whole(Usage),
    CallerGone,
    Failed(Problem),
}

pub(super) fn answer(entry: &Entry, mut request: Request) {
    let arrived = entry.clock.now();
    let view = entry.current.view();
    let Some((contract, account)) = bearer(&request).and_then(|key| view.account(key)) else {
        return problem::respond(request, &Problem::unauthorized());
    };
    let chat = match read(&mut request) {
        Ok(chat) => chat,
        Err(refusal) => return problem::respond(request, &refusal),
    };
    let prompt_tokens = chat
        .messages
        .iter()
        .map(|message| message.content.split_whitespace().count() as u64)
        .sum();
    let asked = contract::Request {
        service: None,
        method: "POST",
        route: "/v1/chat/completions",
        model: Some(&chat.model),
        prompt_tokens,
    };
    let Some(class) = contract.class_of(&asked) else {
        return problem::respond(
            request,
            &Problem::not_found("the contract has no class for this request"),
        );
    };
    let permit = match entry
        .admission
        .enter(contract, &work(&chat, class, prompt_tokens, arrived))
    {
        Ok(permit) => permit,
        Err(refusal) => return problem::respond(request, &refusal.into()),
    };
    let id = entry.request_id();
    let journal = entry.journals.open(&id, format!("{}/{account}", contract.customer));
    let run = Run {
        entry,
        id: &id,
        class,
        chat: &chat,
        journal: &journal,
        prompt_tokens,
        arrived,
    };
    if chat.stream {
        run.stream(request);
    } else {
        run.whole(request);
    }
    entry.journals.end(&id);
    count(contract, class);
    drop(permit);
}

fn count(contract: &Contract, class: &Class) {
    let customer = contract.customer.to_string();
    counter!("gentian_answers_total", "customer" => customer, "class" => class.name.to_string()).increment(1);
}

fn read(request: &mut Request) -> Result<Chat, Problem> {
    let mut bytes = Vec::new();
    let read = request.as_reader().take(MAX_BODY + 1).read_to_end(&mut bytes);
    read.map_err(|error| Problem::bad_request(format!("the body can't be read: {error}")))?;
    if bytes.len() as u64 > MAX_BODY {
        return Err(Problem::too_large(MAX_BODY));
    }
    let mut chat: Chat = serde_json::from_slice(&bytes).map_err(Problem::bad_request)?;
    // Urgency follows from the contract alone.
    chat.priority = 0;
    Ok(chat)
}

fn work(chat: &Chat, class: &Class, prompt_tokens: u64, arrived: Tick) -> Work {
    let target = class.targets.first_token_ms.unwrap_or(class.targets.whole_answer_ms);
    Work {
        target: Target::Model(chat.model.clone()),
        tokens: (prompt_tokens + chat.max_tokens) as f64,
        latest: arrived + Duration::from_millis(target),
        shed: class.shed,
    }
}

/// One admitted request.
struct Run<'a> {
    entry: &'a Entry,
    id: &'a RequestId,
    class: &'a Class,
    chat: &'a Chat,
    journal: &'a Journal,
    prompt_tokens: u64,
    arrived: Tick,
}

impl Run<'_> {
    fn stream(&self, request: Request) {
        let mut sink = Stream {
            id: self.id,
            request: Some(request),
            out: None,
        };
        let ended = self.drive(&mut sink);
        self.journal.end(matches!(ended, Ended::Whole(_)));
        // A caller that has gone away needs no end of the stream.
        let _ = sink.end(ended);
    }

    fn whole(&self, request: Request) {
        let ended = self.drive(&mut Nowhere);
        self.journal.end(matches!(ended, Ended::Whole(_)));
        match ended {
            Ended::Whole(usage) => {
                let message = json!({"role": "assistant", "content": self.journal.text()});
                let choice = json!({"index": 0, "finish_reason": "length", "message": message});
                let body = json!({"id": self.id, "object": "chat.completion", "model": self.chat.model,
                    "choices": [choice], "usage": usage});
                let header = |name: &str, value: &str| Header::from_bytes(name, value).expect("header text is plain");
                let response = Response::from_string(body.to_string())
                    .with_header(header("Content-Type", "application/json"))
                    .with_header(header(REQUEST_HEADER, self.id.as_str()));
                // A caller that has gone away needs no answer.
                let _ = request.respond(response);
            }
            Ended::CallerGone => {}
            Ended::Failed(failure) => problem::respond(request, &failure),
        }
    }

    /// Sends the request to engines until one of them ends the answer.
    fn drive(&self, sink: &mut dyn Sink) -> Ended {
        let entry = self.entry;
        let mut tried: Vec<UpstreamId> = Vec::new();
        for _ in 0..ATTEMPTS {
            let view = entry.current.view();
            let chat = self.continued();
            let prefix = blocks(&chat.messages);
            let need = Need {
                prompt_tokens: self.prompt_tokens,
                answer_tokens: self.chat.max_tokens,
                turn: 0,
            };
            let now = entry.clock.now();
            let ask = Ask {
                target: &Target::Model(self.chat.model.clone()),
                prefix: &prefix,
                need,
                tried: &tried,
            };
            let Some(choice) = entry.fleet.choose(&view, &ask, now) else {
                break;
            };
            let Some(spec) = view.config.upstreams.get(&choice.chosen) else {
                break;
            };
            self.journal.chose(choice.clone());
            let visit = entry.fleet.visit(&spec.id, now);
            let trip = Trip {
                visit: &visit,
                prefix: &prefix,
                believed: choice.cached,
            };
            let result = self.attempt(spec.address, &chat, &trip, sink);
            drop(visit);
            match result {
                Ok(ended) => {
                    entry.fleet.ended(&spec.id, true, entry.clock.now());
                    return ended;
                }
                Err(error) => {
                    entry.fleet.ended(&spec.id, false, entry.clock.now());
                    counter!("gentian_attempts_failed_total").increment(1);
                    warn!(entry.logger, "attempt failed"; "request" => %self.id, "error" => %error);
                    tried.push(spec.id.clone());
                }
            }
        }
        if self.journal.is_empty() && tried.is_empty() {
            return Ended::Failed(Problem::overloaded(Duration::from_secs(1)));
        }
        Ended::Failed(Problem::broken("no engine could end the answer"))
    }

    fn attempt(
        &self,
        peer: std::net::SocketAddr,
        chat: &Chat,
        trip: &Trip<'_>,
        sink: &mut dyn Sink,
    ) -> Result<Ended, UpstreamError> {
        let whole = Duration::from_millis(self.class.targets.whole_answer_ms);
        let left = (self.arrived + whole).since(self.entry.clock.now());
        let mut stream = self.entry.engines.stream(peer, self.id, chat, left)?;
        let mut first = true;
        let mut usage = Usage::default();
        loop {
            match stream.next_event()? {
                Event::Token(token) => {
                    if std::mem::take(&mut first) {
                        trip.visit
                            .first_token(trip.prefix, trip.believed, self.entry.clock.now());
                    }
                    self.journal.push(&token);
                    // Dropping the stream closes its connection, by which the engine stops making tokens for nobody.
                    if sink.token(&token).is_err() {
                        return Ok(Ended::CallerGone);
                    }
                }
                Event::Usage(counts) => {
                    trip.visit.counted(trip.believed, counts.cached_tokens);
                    usage = counts;
                }
                Event::Done => {
                    let whole = blocks(&self.continued().messages);
                    trip.visit.whole(&whole, self.entry.clock.now());
                    usage.completion_tokens = self.journal.len() as u64;
                    usage.prompt_tokens = self.prompt_tokens;
                    return Ok(Ended::Whole(usage));
                }
            }
        }
    }

    /// Gives the request with the tokens that were made already as the beginning of the answer.
    fn continued(&self) -> Chat {
        let mut chat = Chat {
            stream: true,
            ..self.chat.clone()
        };
        if !self.journal.is_empty() {
            chat.messages.push(Message {
                role: "assistant".to_owned(),
                content: self.journal.text(),
            });
            chat.max_tokens -= self.journal.len() as u64;
            chat.continue_final_message = true;
            chat.add_generation_prompt = false;
        }
        chat
    }
}

/// What one attempt tells the fleet.
struct Trip<'a> {
    visit: &'a Visit<'a>,
    prefix: &'a Prefix,
    believed: u64,
}

/// Hashes the blocks of a conversation as engines do.
fn blocks(messages: &[Message]) -> Prefix {
    Prefix::of(messages.iter().flat_map(|message| message.content.split_whitespace()))
}

struct Nowhere;

impl Sink for Nowhere {
    fn token(&mut self, _token: &str) -> std::io::Result<()> {
        Ok(())
    }
}

/// A streamed answer; its head is sent with the first token, so that an earlier failure still has a status of its own.
struct Stream<'a> {
    id: &'a RequestId,
    request: Option<Request>,
    out: Option<Box<dyn Write + Send>>,
}

impl Sink for Stream<'_> {
    fn token(&mut self, token: &str) -> std::io::Result<()> {
        let data = json!({"id": self.id, "object": "chat.completion.chunk",
            "choices": [{"index": 0, "delta": {"content": token}}]});
        self.event(&data.to_string())
    }
}

impl Stream<'_> {
    fn event(&mut self, data: &str) -> std::io::Result<()> {
        if let Some(request) = self.request.take() {
            let mut out = request.into_writer();
            write!(
                out,
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n\
                 {REQUEST_HEADER}: {}\r\nTransfer-Encoding: chunked\r\n\r\n",
                self.id
            )?;
            self.out = Some(out);
        }
        let out = self.out.as_mut().expect("the head was written just before");
        let text = format!("data: {data}\n\n");
        write!(out, "{:x}\r\n{text}\r\n", text.len())?;
        out.flush()
    }

    fn end(mut self, ended: Ended) -> std::io::Result<()> {
        match ended {
            Ended::CallerGone => return Ok(()),
            Ended::Failed(failure) => {
                if let Some(request) = self.request.take() {
                    problem::respond(request, &failure);
                    return Ok(());
                }
                self.event(&json!({"error": failure.body()}).to_string())?;
            }
            Ended::Whole(usage) => {
                self.event(&json!({"id": self.id, "choices": [], "usage": usage}).to_string())?;
                self.event("[DONE]")?;
            }
        }
        let out = self.out.as_mut().expect("an event was written before");
        out.write_all(b"0\r\n\r\n")?;
        out.flush()
    }
}
