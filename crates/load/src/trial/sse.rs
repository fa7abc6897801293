//! Reads a streamed answer.

use std::io::{BufRead, BufReader, Read};

use derive_more::{Display, Error};
use serde::Deserialize;

/// Longest line that is read, in bytes; a stream without line ends must not fill the memory.
pub const MAX_LINE: u64 = 256 * 1024;

/// One event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The next token.
    Token(String),
    /// The answer failed; whether it may have run is unknown.
    Failed,
    /// The answer is whole.
    Done,
}

/// Why a stream can't be read on.
#[derive(Debug, Display, Error)]
pub enum SseError {
    /// The connection broke.
    #[display("the connection broke: {_0}")]
    Broken(std::io::Error),
    /// It ended before the answer did.
    #[display("the stream ended early")]
    Early,
    /// An event is not what the convention says.
    #[display("an event can't be read")]
    Malformed,
}

/// A stream of events.
#[derive(Debug)]
pub struct Events<R> {
    lines: BufReader<R>,
}

#[derive(Debug, Deserialize)]
struct Data {
    #[serde(default)]
    choices: Vec<Choice>,
    error: Option<serde_json::Value>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
}

#[derive(Debug, Default, Deserialize)]
struct Delta {
    content: Option<String>,
}

impl<R: Read> Events<R> {
    /// Reads events from a body.
    pub fn new(body: R) -> Self {
        Self {
            lines: BufReader::new(body),
        }
    }

    /// Reads up to the next event that says something.
    ///
    /// # Errors
    /// Fails when the stream breaks, ends early or holds something else.
    pub fn next_event(&mut self) -> Result<Event, SseError> {
        loop {
            let line = self.line()?;
            let Some(data) = line.strip_prefix("data:") else {
                continue;
            };
            if let Some(event) = parse(data.trim())? {
                return Ok(event);
            }
        }
    }

    fn line(&mut self) -> Result<String, SseError> {
        let mut bytes = Vec::new();
        let read = (&mut self.lines).take(MAX_LINE).read_until(b'\n', &mut bytes);
        match read.map_err(SseError::Broken)? {
            0 => Err(SseError::Early),
            _ if bytes.last() == Some(&b'\n') => String::from_utf8(bytes).map_err(|_bytes| SseError::Malformed),
            count if count as u64 == MAX_LINE => Err(SseError::Malformed),
            _ => Err(SseError::Early),
        }
    }
}

fn parse(data: &str) -> Result<Option<Event>, SseError> {
    if data == "[DONE]" {
        return Ok(Some(Event::Done));
    }
    let data: Data = serde_json::from_str(data).map_err(|_error| SseError::Malformed)?;
    if data.error.is_some() {
        return Ok(Some(Event::Failed));
    }
    let token = data.choices.into_iter().next().and_then(|choice| choice.delta.content);
    Ok(token.filter(|token| !token.is_empty()).map(Event::Token))
}
