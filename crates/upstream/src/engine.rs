//! Model engines: chat completions in the `OpenAI` convention, load reports and cache events.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use contract::RequestId;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use ureq::Agent;
use ureq::unversioned::transport::TcpConnector;

use crate::limits::read_json;
use crate::pulse::{ByNumber, PulseConnector, WaitMonitor};
pub use crate::stream::TokenStream;
use crate::{Fate, UpstreamError};

/// Header that carries the request id.
pub const REQUEST_ID_HEADER: &str = "X-Request-Id";

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
pub struct ChatRequest {
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
pub enum StreamEvent {
    /// The next token, as text.
    Token(String),
    /// The engine's counts.
    Usage(Usage),
    /// The answer is whole.
    Done,
}

/// A load report; the time stamp is the engine's own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
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

/// Something that happened to a block of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Position among all events of the engine.
    pub sequence: u64,
    /// Hash of the prefix that ends with the block.
    pub block: u64,
    /// Stored when true, evicted when false.
    pub stored: bool,
}

/// A client for all engines.
#[derive(Clone, Debug)]
pub struct EngineClient {
    pub(crate) agent: Agent,
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
    pub fn with_monitor(connect: Duration, pulse: Arc<dyn WaitMonitor>) -> Self {
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
        chat: &ChatRequest,
        deadline: Duration,
    ) -> Result<TokenStream, UpstreamError> {
        const STEP: &str = "start stream";
        let call = self.agent.post(format!("http://{peer}/v1/chat/completions"));
        let call = call
            .header(REQUEST_ID_HEADER, request.as_str())
            .header("Connection", "close")
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
        Ok(TokenStream::new(peer, body))
    }

    /// Reads the load report.
    ///
    /// # Errors
    /// Fails when the engine can't be reached or sends something else.
    pub fn load(&self, peer: SocketAddr, timeout: Duration) -> Result<LoadReport, UpstreamError> {
        self.get("read load", peer, "/load", timeout)
    }

    /// Reads the cache events after a position; engines keep some only, so there may be a gap before the first.
    ///
    /// # Errors
    /// Fails when the engine can't be reached or sends something else.
    pub fn cache_events(
        &self,
        peer: SocketAddr,
        after: u64,
        timeout: Duration,
    ) -> Result<Vec<CacheEvent>, UpstreamError> {
        self.get("read cache events", peer, &format!("/kv/events?after={after}"), timeout)
    }

    pub(crate) fn get<T: DeserializeOwned>(
        &self,
        step: &'static str,
        peer: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<T, UpstreamError> {
        let call = self
            .agent
            .get(format!("http://{peer}{path}"))
            .header("Connection", "close")
            .config()
            .timeout_global(Some(timeout))
            .build();
        let answer = call
            .call()
            .map_err(|error| UpstreamError::from_client(step, peer, &error))?;
        read_json(step, peer, answer)
    }

    pub(crate) fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        step: &'static str,
        peer: SocketAddr,
        path: &str,
        body: &B,
        timeout: Duration,
    ) -> Result<T, UpstreamError> {
        let call = self
            .agent
            .post(format!("http://{peer}{path}"))
            .header("Connection", "close")
            .config()
            .timeout_global(Some(timeout))
            .build();
        let answer = call
            .send_json(body)
            .map_err(|error| UpstreamError::from_client(step, peer, &error))?;
        read_json(step, peer, answer)
    }
}

const fn yes() -> bool {
    true
}
