//! The stream of an answer: server-sent events in the `OpenAI` convention.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;

use serde::Deserialize;

use crate::engine::{StreamEvent, Usage};
use crate::{Fate, UpstreamError};

/// Longest line of a stream, in bytes; a longer one is an error, so that a broken engine can't exhaust memory.
const MAX_LINE: u64 = 1024 * 1024;

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

impl TokenStream {
    /// Reads an answer from its bytes.
    #[must_use]
    pub fn new(peer: SocketAddr, body: Box<dyn Read + Send>) -> Self {
        Self {
            peer,
            lines: BufReader::with_capacity(1_024, body),
        }
    }

    /// Waits for the next event.
    ///
    /// # Errors
    /// Fails when the engine breaks off before the answer is whole, or sends something that is no event.
    pub fn next_event(&mut self) -> Result<StreamEvent, UpstreamError> {
        loop {
            let line = self.line()?;
            let Some(data) = line.strip_prefix("data:").map(str::trim) else {
                continue;
            };
            if data == "[DONE]" {
                return Ok(StreamEvent::Done);
            }
            let chunk: Chunk = serde_json::from_str(data).map_err(|error| self.broken(error))?;
            let token = chunk.choices.into_iter().find_map(|choice| choice.delta.content);
            match (token, chunk.usage) {
                (Some(token), _) if !token.is_empty() => return Ok(StreamEvent::Token(token)),
                (_, Some(usage)) => return Ok(StreamEvent::Usage(usage)),
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
