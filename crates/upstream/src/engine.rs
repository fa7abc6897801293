//! Client for model engines: `OpenAI`-style chat completions, load reports and prefix cache events.

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
use crate::pulse::{LiteralResolver, MonitoredConnector, WaitMonitor};
pub use crate::stream::TokenStream;
use crate::{Fate, UpstreamError};

/// HTTP header that carries the request id to the engine.
pub const REQUEST_ID_HEADER: &str = "X-Request-Id";

/// A message of a chat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Author: system, user or assistant.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

/// A chat completion request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// Name of the model.
    pub model: String,
    /// Chat so far, oldest message first.
    pub messages: Vec<Message>,
    /// Most tokens of the completion.
    pub max_tokens: u64,
    /// Whether the completion is streamed token by token.
    #[serde(default)]
    pub stream: bool,
    /// Scheduling priority; lower numbers are served first.
    #[serde(default)]
    pub priority: i32,
    /// Whether the last message is a partial completion that the engine continues.
    #[serde(default)]
    pub continue_final_message: bool,
    /// Whether the engine starts a new assistant message; the opposite of `continue_final_message`.
    #[serde(default = "enabled")]
    pub add_generation_prompt: bool,
    /// Other request fields, forwarded unchanged.
    #[serde(flatten)]
    pub other: serde_json::Map<String, serde_json::Value>,
}

/// Token counts of a completion.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt, cached ones included.
    pub prompt_tokens: u64,
    /// Prompt tokens that were found in the prefix cache.
    #[serde(default)]
    pub cached_tokens: u64,
    /// Tokens of the completion.
    pub completion_tokens: u64,
}

/// An event of a streamed completion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// The text of the next token.
    Token(String),
    /// The token counts of the engine.
    Usage(Usage),
    /// The end marker of a complete stream.
    Done,
}

/// A load report; its timestamp is from the clock of the engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Measuring time in milliseconds since 1970, on the clock of the engine.
    pub at_ms: u64,
    /// Age of the report at sending time, in milliseconds.
    pub age_ms: u64,
    /// Requests that are running.
    pub running: u32,
    /// Requests that are queued.
    pub waiting: u32,
    /// Used fraction of the KV cache, 0 to 1.
    pub kv_used: f32,
}

/// A change of a block in the prefix cache of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number among all events of the engine.
    pub sequence: u64,
    /// Hash of the prompt prefix that ends with the block.
    pub block: u64,
    /// True if the block was stored, false if it was evicted.
    pub stored: bool,
}

/// An HTTP client for any engine.
#[derive(Clone, Debug)]
pub struct EngineClient {
    pub(crate) agent: Agent,
}

impl EngineClient {
    /// Creates a client; the timeout applies to connecting only.
    #[must_use]
    pub fn new(connect: Duration) -> Self {
        let config = Agent::config_builder()
            .timeout_connect(Some(connect))
            .http_status_as_error(false)
            .max_idle_connections(0)
            .proxy(None)
            .build();
        Self {
            agent: Agent::with_parts(config, TcpConnector::default(), LiteralResolver),
        }
    }

    /// Creates a client for one request that asks the monitor, while it waits for the engine, whether to keep waiting.
    #[must_use]
    pub fn with_monitor(connect: Duration, monitor: Arc<dyn WaitMonitor>) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_idle_connections(0)
            .proxy(None)
            .build();
        Self {
            agent: Agent::with_parts(config, MonitoredConnector { connect, monitor }, LiteralResolver),
        }
    }

    /// Starts a streamed completion; `deadline` limits the time until its end.
    ///
    /// # Errors
    /// Fails if the engine can't be reached, rejects the request, or does not respond before the deadline.
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
        let response = call
            .send_json(chat)
            .map_err(|error| UpstreamError::from_client(STEP, peer, &error))?;
        let status = response.status();
        if !status.is_success() {
            let fate = if status.as_u16() == 503 || status.as_u16() == 429 {
                Fate::NotRun
            } else {
                Fate::Unknown
            };
            let error = UpstreamError::new(STEP, peer, fate, format!("status {status}"));
            return Err(error.with_status(status.as_u16()));
        }
        let body: Box<dyn Read + Send> = Box::new(response.into_body().into_reader());
        Ok(TokenStream::new(peer, body))
    }

    /// Reads the load report of an engine.
    ///
    /// # Errors
    /// Fails if the engine can't be reached or sends an invalid response.
    pub fn load(&self, peer: SocketAddr, timeout: Duration) -> Result<LoadReport, UpstreamError> {
        self.get("read load", peer, "/load", timeout)
    }

    /// Reads the cache events after a sequence number; engines keep only recent events, so there may be a gap before the
    /// first one.
    ///
    /// # Errors
    /// Fails if the engine can't be reached or sends an invalid response.
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
        let response = call
            .call()
            .map_err(|error| UpstreamError::from_client(step, peer, &error))?;
        read_json(step, peer, response)
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
        let response = call
            .send_json(body)
            .map_err(|error| UpstreamError::from_client(step, peer, &error))?;
        read_json(step, peer, response)
    }
}

const fn enabled() -> bool {
    true
}
