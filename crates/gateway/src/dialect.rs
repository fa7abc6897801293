//! Interface for the headers of callers and upstreams; the platform's adapter knows their names.

use std::net::SocketAddr;
use std::time::Duration;

use contract::{KeyHash, PartId};
use policy::pace::moment::{BadPace, Pace};
use policy::place::PromptPart;

use crate::head::{Head, RequestLine, StatusLine};
use crate::moving::KvCopy;

/// What the headers of a request tell the gateway.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestInfo {
    /// The caller's id of this attempt; empty without one.
    pub id: String,
    /// How long the caller waits; `None` if it does not say.
    pub timeout: Option<Duration>,
    /// Hash of the caller's key; `None` without one.
    pub key_hash: Option<KeyHash>,
    /// Id of the last event of the stream that the caller has received.
    pub last_event: Option<u64>,
    /// Id of the try that brought the stream's first event, where the caller goes on with a stream; `None` if it does not
    /// say.
    pub began_as: Option<String>,
    /// Token counts of prompt and output; `None` if the caller does not say.
    pub tokens: Option<TokenCounts>,
    /// Parts of the prompt in order; prompts that start with the same parts share them in a cache.
    pub prompt_parts: Vec<PromptPart>,
    /// Parts of the prompt that other requests may have too: all but the last one.
    pub shared_parts: Vec<PartId>,
}

/// Most bytes of a caller's text in a log line; the lines that wait to be written are in memory.
const MAX_LOGGED_BYTES: usize = 256;

/// Returns the beginning of a caller's text for a log line.
#[must_use]
pub fn log_text(text: &str) -> &str {
    &text[..text.floor_char_boundary(MAX_LOGGED_BYTES)]
}

impl RequestInfo {
    /// Returns the caller's id of this attempt for a log line.
    #[must_use]
    pub fn log_id(&self) -> &str {
        log_text(&self.id)
    }

    /// Returns the id of the try that brought the stream's first event for a log line.
    #[must_use]
    pub fn log_began_as(&self) -> Option<&str> {
        self.began_as.as_deref().map(log_text)
    }

    /// Returns the bytes that the contents take.
    #[must_use]
    pub fn size(&self) -> usize {
        self.id.len()
            + self.began_as.as_ref().map_or(0, String::len)
            + self.prompt_parts.capacity() * size_of::<PromptPart>()
            + self.shared_parts.capacity() * size_of::<PartId>()
    }
}

/// Size of a generation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenCounts {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Most tokens of the output.
    pub max_output: u64,
}

/// What the gateway adds to the caller's headers in one attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptHeaders<'a> {
    /// Time left until the deadline.
    pub remaining: Duration,
    /// Incarnation of the upstream; any other one refuses the request.
    pub incarnation: &'a str,
    /// Name of the client account; `None` on public routes.
    pub account: Option<&'a str>,
    /// Id of the last event that the caller has received.
    pub after: Option<u64>,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// Copy of the stream's KV cache from which the upstream continues.
    pub kv_copy: Option<&'a KvCopy>,
    /// Upstream from which cached parts of the prompt are fetched first.
    pub fetch_from: Option<SocketAddr>,
}

/// A request to copy a stream's KV cache to another upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvCopyRequest {
    /// Address of the upstream that runs the stream.
    pub source: SocketAddr,
    /// Id of the request that started the stream.
    pub request_id: String,
    /// Address of the upstream that receives the copy.
    pub target: SocketAddr,
    /// Whether the stream is stopped before the copy.
    pub stop_stream: bool,
}

/// What the headers of an upstream's response tell the gateway.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseInfo {
    /// Id of the request that it responds to; `None` if it does not say.
    pub id: Option<String>,
    /// Whether the upstream states that it did not run the request.
    pub not_run: bool,
    /// Whether another incarnation responded than the requested one.
    pub wrong_incarnation: bool,
    /// Whether the response bears the upstream's signature.
    pub signed: bool,
    /// What the upstream says of itself.
    pub news: UpstreamNews,
    /// How long the upstream keeps an idle connection open; `None` if it does not say.
    pub idle_timeout: Option<Duration>,
}

/// What an upstream says of itself in a response, whichever request it responds to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpstreamNews {
    /// Load of the upstream; `None` if it does not say.
    pub load: Option<ReportedLoad>,
    /// What is wrong with the pace in the load; `None` if it is right or missing.
    pub bad_pace: Option<BadPace>,
    /// Requests per second that the upstream takes from all entry hosts together; `None` without a limit.
    pub rate_limit: Option<f64>,
    /// Rejections in a second beyond which the upstream fails; `None` if it bears any number.
    pub max_rejections: Option<u32>,
    /// For how long the upstream, which has turned a request away, wants no others from this host; `None` if it does not
    /// say.
    pub backoff: Option<BackoffHint>,
    /// Whether the upstream is about to stop and takes no new requests.
    pub leaving: bool,
}

/// The time for which an upstream wants no requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackoffHint {
    /// It lasts this long from the response on.
    Lasts(Duration),
    /// The header does not say how long in a form that can be read; this is its value.
    Unreadable(String),
}

/// Load as an upstream reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Most requests that run at once.
    pub slots: u32,
    /// Momentary pace of its machine; `None` if it reports none that can be read.
    pub pace: Option<Pace>,
}

/// Reads and writes the headers of callers and upstreams.
pub trait HeaderCodec {
    /// Reads the headers of a request.
    ///
    /// # Errors
    /// Returns a message on what is wrong with the headers.
    fn asked(&self, head: &Head<RequestLine>) -> Result<RequestInfo, String>;

    /// Returns whether a caller's header is forwarded to upstreams unchanged.
    fn passes(&self, name: &[u8]) -> bool;

    /// Writes the headers of an attempt.
    fn write(&self, out: &mut Vec<u8>, attempt: &AttemptHeaders<'_>);

    /// Writes the head and body of a request to copy a KV cache.
    fn write_copy(&self, out: &mut Vec<u8>, copying: &KvCopyRequest);

    /// Reads the name of the copy from the body of the response to such a request.
    fn copied(&self, body: &[u8]) -> Option<String>;

    /// Reads the headers of a response.
    fn told(&self, head: &Head<StatusLine>) -> ResponseInfo;

    /// Returns the path of the readiness probe.
    fn ready_path(&self) -> &'static str;
}
