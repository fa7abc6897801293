//! What the headers of callers and upstreams say; the platform's adapter knows their names.

use std::net::SocketAddr;
use std::time::Duration;

use contract::KeyHash;
use policy::place::PromptPart;

use crate::head::{Head, RequestLine, StatusLine};
use crate::moving::KvCopy;

/// What a request's head asks for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestInfo {
    /// The caller's id of this attempt.
    pub id: String,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// Hash of the key that it showed.
    pub key_hash: Option<KeyHash>,
    /// Id of the last event that the caller has of the stream.
    pub last_event: Option<u64>,
    /// Tokens of prompt and answer.
    pub tokens: Option<TokenCounts>,
    /// Parts of the prompt in order.
    pub prompt_parts: Vec<PromptPart>,
}

/// Size of a generation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenCounts {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Most tokens of the answer.
    pub max_output: u64,
}

/// What the head of one attempt says besides the caller's own lines.
#[derive(Clone, Copy, Debug)]
pub struct AttemptHeaders<'a> {
    /// Time that is left.
    pub remaining: Duration,
    /// The upstream's incarnation; any other refuses the request.
    pub incarnation: &'a str,
    /// Name of the client account.
    pub account: Option<&'a str>,
    /// Id of the last event that the caller has.
    pub after: Option<u64>,
    /// Rank, 0 is the most urgent.
    pub priority: u8,
    /// The copy of its KV cache with which the upstream goes on.
    pub kv_copy: Option<&'a KvCopy>,
}

/// A call that copies a stream's KV cache to another upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvCopyRequest {
    /// The upstream that runs the stream.
    pub source: SocketAddr,
    /// The request's id.
    pub request_id: String,
    /// The upstream that gets the copy.
    pub target: SocketAddr,
    /// Whether the stream stops first.
    pub stop_stream: bool,
}

/// What an upstream's answer says in its head.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseInfo {
    /// Id of the request that it answers.
    pub id: Option<String>,
    /// Whether it states that the request was not run.
    pub not_run: bool,
    /// Whether another incarnation answered than the one that was meant.
    pub wrong_incarnation: bool,
    /// Whether it bears the upstream's signature.
    pub signed: bool,
    /// Its load.
    pub load: Option<ReportedLoad>,
    /// How long the connection may stay idle.
    pub idle_timeout: Option<Duration>,
}

/// The load that an upstream tells.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that run at once.
    pub slots: u32,
}

/// Reads and writes the headers of callers and upstreams.
pub trait HeaderCodec {
    /// Reads a request's head.
    ///
    /// # Errors
    /// Returns what is wrong with it, in words.
    fn asked(&self, head: &Head<RequestLine>) -> Result<RequestInfo, String>;

    /// Tells whether a caller's header line is passed to upstreams as it is.
    fn passes(&self, name: &[u8]) -> bool;

    /// Writes the header lines of an attempt.
    fn write(&self, out: &mut Vec<u8>, attempt: &AttemptHeaders<'_>);

    /// Writes the whole request of a call that copies a KV cache.
    fn write_copy(&self, out: &mut Vec<u8>, copying: &KvCopyRequest);

    /// Reads the name of a copy from the body of the answer to such a call.
    fn copied(&self, body: &[u8]) -> Option<String>;

    /// Reads an answer's head.
    fn told(&self, head: &Head<StatusLine>) -> ResponseInfo;

    /// Gives the path that tells whether this entry host takes new connections.
    fn ready_path(&self) -> &'static str;
}
