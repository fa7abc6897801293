//! Model engines: chat completions in the `OpenAI` convention, load reports and cache events.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use contract::RequestId;
use serde::{Deserialize, Serialize};
use ureq::Agent;
use ureq::unversioned::transport::TcpConnector;

use crate::pulse::{ByNumber, Pulse, PulseConnector};
use crate::{Fate, UpstreamError};

/// Header that carries the request id.
pub const REQUEST_HEADER: &str = "X-Request-Id";
/// Longest line of a stream, in bytes; a longer one is an error, so that a broken engine can't exhaust memory.
const MAX_LINE: u64 = 1024 * 1024;

/// One message of a conversation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Who speaks: system, user or assistant.
    pub role: String,
    /// What is said.
    pub content: String,
}

/// A request to an engine.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Chat {
    /// The model.
    pub model: String,
    /// The conversation so far.
    pub messages: Vec<Message>,
    /// Most tokens of the answer.
    pub max_tokens: u64,
    /// Whether tokens are sent one by one.
    #[serde(default)]
    pub stream: bool,
    /// Lower numbers are served first.
    #[serde(default)]
    pub priority: i32,
    /// The last message is an answer that was begun and is to be continued.
    #[serde(default)]
    pub continue_final_message: bool,
    /// Whether a new answer is begun; the opposite of the field before.
    #[serde(default = "yes")]
    pub add_generation_prompt: bool,
    /// Other fields of the convention, passed on as they are.
    #[serde(flatten)]
    pub other: serde_json::Map<String, serde_json::Value>,
}

/// What an engine counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the prompt that were in the cache.
    #[serde(default)]
    pub cached_tokens: u64,
    /// Tokens of the answer.
    pub completion_tokens: u64,
}

/// What comes out of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The next token, as text.
    Token(String),
    /// The engine's counts.
    Usage(Usage),
    /// The answer is whole.
    Done,
}

/// A load report; the time stamp is the engine's own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Milliseconds since 1970 on the engine's clock when it was measured.
    pub at_ms: u64,
    /// Milliseconds since it was measured, when it was sent.
    pub age_ms: u64,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Used share of the KV cache, 0 to 1.
    pub kv_used: f32,
}

/// A client for all engines.
#[derive(Clone, Debug)]
pub struct EngineClient {
    agent: Agent,
}

/// Tokens of one answer as they come.
pub struct TokenStream {
    peer: SocketAddr,
    lines: BufReader<Box<dyn Read + Send>>,
}

impl std::fmt::Debug for TokenStream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("TokenStream")
            .field("peer", &self.peer)
            .finish_non_exhaustive()
    }
}

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<ChunkChoice>,
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct ChunkChoice {
    #[serde(default)]
    delta: Delta,
}

#[derive(Default, Deserialize)]
struct Delta {
    content: Option<String>,
}

impl EngineClient {
    /// Makes a client; the timeout holds for connecting.
    #[must_use]
    pub fn new(connect: Duration) -> Self {
        let config = Agent::config_builder()
            .timeout_connect(Some(connect))
            .http_status_as_error(false)
            .max_idle_connections(0)
            .proxy(None)
            .build();
        Self {
            agent: Agent::with_parts(config, TcpConnector::default(), ByNumber),
        }
    }

    /// Makes a client for one request that asks the pulse, while it waits, whether to wait on.
    #[must_use]
    pub fn watched(connect: Duration, pulse: Arc<dyn Pulse>) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_idle_connections(0)
            .proxy(None)
            .build();
        Self {
            agent: Agent::with_parts(config, PulseConnector { connect, pulse }, ByNumber),
        }
    }

    /// Starts an answer that is streamed, to be read until the deadline.
    ///
    /// # Errors
    /// Fails when the engine can't be reached, refuses, or answers nothing until the deadline.
    pub fn stream(
        &self,
        peer: SocketAddr,
        request: &RequestId,
        chat: &Chat,
        deadline: Duration,
    ) -> Result<TokenStream, UpstreamError> {
        const STEP: &str = "start stream";
        let call = self.agent.post(format!("http://{peer}/v1/chat/completions"));
        let call = call
            .header(REQUEST_HEADER, request.as_str())
            .config()
            .timeout_global(Some(deadline))
            .build();
        let answer = call
            .send_json(chat)
            .map_err(|error| UpstreamError::from_client(STEP, peer, &error))?;
        let status = answer.status();
        if !status.is_success() {
            let fate = if status.as_u16() == 503 || status.as_u16() == 429 {
                Fate::NotRun
            } else {
                Fate::Unknown
            };
            let error = UpstreamError::new(STEP, peer, fate, format!("status {status}"));
            return Err(error.with_status(status.as_u16()));
        }
        let body: Box<dyn Read + Send> = Box::new(answer.into_body().into_reader());
        Ok(TokenStream {
            peer,
            lines: BufReader::with_capacity(1_024, body),
        })
    }

    /// Reads the load report.
    ///
    /// # Errors
    /// Fails when the engine can't be reached or sends something else.
    pub fn load(&self, peer: SocketAddr, timeout: Duration) -> Result<Load, UpstreamError> {
        const STEP: &str = "read load";
        let call = self
            .agent
            .get(format!("http://{peer}/load"))
            .config()
            .timeout_global(Some(timeout))
            .build();
        let failed = |error: ureq::Error| UpstreamError::from_client(STEP, peer, &error);
        call.call().map_err(failed)?.body_mut().read_json().map_err(failed)
    }
}

impl TokenStream {
    /// Waits for the next event.
    ///
    /// # Errors
    /// Fails when the engine breaks off before the answer is whole, or sends something that is no event.
    pub fn next_event(&mut self) -> Result<Event, UpstreamError> {
        loop {
            let line = self.line()?;
            let Some(data) = line.strip_prefix("data:").map(str::trim) else {
                continue;
            };
            if data == "[DONE]" {
                return Ok(Event::Done);
            }
            let chunk: Chunk = serde_json::from_str(data).map_err(|error| self.broken(error))?;
            let token = chunk.choices.into_iter().find_map(|choice| choice.delta.content);
            match (token, chunk.usage) {
                (Some(token), _) if !token.is_empty() => return Ok(Event::Token(token)),
                (_, Some(usage)) => return Ok(Event::Usage(usage)),
                _ => {}
            }
        }
    }

    fn line(&mut self) -> Result<String, UpstreamError> {
        let mut bytes = Vec::new();
        let read = (&mut self.lines).take(MAX_LINE).read_until(b'\n', &mut bytes);
        read.map_err(|error| self.broken(error))?;
        if bytes.last() != Some(&b'\n') {
            return Err(self.broken("the stream ended before the answer was whole"));
        }
        String::from_utf8(bytes).map_err(|error| self.broken(error))
    }

    fn broken(&self, reason: impl ToString) -> UpstreamError {
        UpstreamError::new("read stream", self.peer, Fate::Unknown, reason)
    }
}

const fn yes() -> bool {
    true
}
