//! Reads streamed answers (server-sent events).

use std::io::{BufRead, BufReader, Read};

use derive_more::{Display, Error};
use serde::Deserialize;

/// Longest line that is read, so that a stream without line ends can't exhaust memory.
pub const MAX_LINE_BYTES: u64 = 256 * 1024;

/// An event of a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Text of the next token.
    Token(String),
    /// The answer failed; whether the request ran is unknown.
    Failed,
    /// The answer is complete.
    Done,
}

/// Why reading a stream failed.
#[derive(Debug, Display, Error)]
pub enum SseError {
    /// Reading from the connection failed.
    #[display("the connection broke: {_0}")]
    Broken(std::io::Error),
    /// The stream ended before the answer was complete.
    #[display("the stream ended early")]
    EndedEarly,
    /// An event does not follow the format of the API.
    #[display("an event can't be read")]
    Malformed,
}

/// Reads the events of a stream.
#[derive(Debug)]
pub struct EventReader<R> {
    reader: BufReader<R>,
}

#[derive(Debug, Deserialize)]
struct EventData {
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

impl<R: Read> EventReader<R> {
    /// Creates a reader of a response body.
    pub fn new(body: R) -> Self {
        Self {
            reader: BufReader::new(body),
        }
    }

    /// Returns the next event; skips comments and events without text.
    ///
    /// # Errors
    /// Fails when the stream breaks, ends early or is malformed.
    pub fn next_event(&mut self) -> Result<Event, SseError> {
        loop {
            let line = self.read_line()?;
            let Some(data) = line.strip_prefix("data:") else {
                continue;
            };
            if let Some(event) = parse(data.trim())? {
                return Ok(event);
            }
        }
    }

    fn read_line(&mut self) -> Result<String, SseError> {
        let mut bytes = Vec::new();
        let result = (&mut self.reader).take(MAX_LINE_BYTES).read_until(b'\n', &mut bytes);
        match result.map_err(SseError::Broken)? {
            0 => Err(SseError::EndedEarly),
            _ if bytes.last() == Some(&b'\n') => String::from_utf8(bytes).map_err(|_bytes| SseError::Malformed),
            count if count as u64 == MAX_LINE_BYTES => Err(SseError::Malformed),
            _ => Err(SseError::EndedEarly),
        }
    }
}

fn parse(data: &str) -> Result<Option<Event>, SseError> {
    if data == "[DONE]" {
        return Ok(Some(Event::Done));
    }
    let data: EventData = serde_json::from_str(data).map_err(|_error| SseError::Malformed)?;
    if data.error.is_some() {
        return Ok(Some(Event::Failed));
    }
    let token = data.choices.into_iter().next().and_then(|choice| choice.delta.content);
    Ok(token.filter(|token| !token.is_empty()).map(Event::Token))
}
