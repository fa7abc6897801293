//! Streamed completions: server-sent events in the `OpenAI` format.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;

use serde::Deserialize;

use crate::engine::{StreamEvent, Usage};
use crate::{Fate, UpstreamError};

/// Longest line of a stream; a longer one is an error, so that a faulty engine can't exhaust memory.
const MAX_LINE_BYTES: u64 = 1024 * 1024;

/// Events of one completion as they arrive.
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

impl TokenStream {
    /// Creates a stream that reads a response body; `peer` is the engine's address, for errors.
    #[must_use]
    pub fn new(peer: SocketAddr, body: Box<dyn Read + Send>) -> Self {
        Self {
            peer,
            lines: BufReader::with_capacity(1_024, body),
        }
    }

    /// Reads the next event; blocks until it has arrived.
    ///
    /// # Errors
    /// Fails if the stream ends before its end marker or holds an invalid event.
    pub fn next_event(&mut self) -> Result<StreamEvent, UpstreamError> {
        loop {
            let line = self.read_line()?;
            let Some(data) = line.strip_prefix("data:").map(str::trim) else {
                continue;
            };
            if data == "[DONE]" {
                return Ok(StreamEvent::Done);
            }
            let chunk: Chunk = serde_json::from_str(data).map_err(|error| self.error(error))?;
            let token = chunk.choices.into_iter().find_map(|choice| choice.delta.content);
            match (token, chunk.usage) {
                (Some(token), _) if !token.is_empty() => return Ok(StreamEvent::Token(token)),
                (_, Some(usage)) => return Ok(StreamEvent::Usage(usage)),
                _ => {}
            }
        }
    }

    fn read_line(&mut self) -> Result<String, UpstreamError> {
        let mut bytes = Vec::new();
        let read = (&mut self.lines).take(MAX_LINE_BYTES).read_until(b'\n', &mut bytes);
        read.map_err(|error| self.error(error))?;
        if bytes.last() != Some(&b'\n') {
            return Err(self.error("the stream ended before the response was complete"));
        }
        String::from_utf8(bytes).map_err(|error| self.error(error))
    }

    fn error(&self, reason: impl ToString) -> UpstreamError {
        UpstreamError::new("read stream", self.peer, Fate::Unknown, reason)
    }
}
