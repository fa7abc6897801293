//! A log file of what a stand-in ran: one JSON line per event, written before the answer is sent.
//!
//! The memory of a killed stand-in is lost; with the file, tests can still compare what ran with what callers were
//! told.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// An event; its times are wall clock in microseconds since the Unix epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "did", rename_all = "snake_case")]
pub enum Line {
    /// An engine has prefilled a prompt.
    Begun {
        /// Start of the prefill.
        from_us: u64,
        /// End of the prefill.
        at_us: u64,
        /// The `X-Request-Id` header of the request; empty without one.
        request: String,
        /// Id of the conversation: the hash of its first user message.
        conversation: u64,
        /// Id of the prompt: the hash of its messages without a partial answer to continue.
        prompt: u64,
        /// Tokens of the prompt, prefilled or found in the cache.
        prompt_tokens: u64,
        /// Prompt tokens that were found in the prefix cache.
        cached_tokens: u64,
        /// Prompt tokens that belong to a partial answer, which the request continues.
        begun_tokens: u64,
    },
    /// A request has left the batch of an engine: answered, cut off, or its caller has disconnected.
    Ended {
        /// Time of the event.
        at_us: u64,
        /// The `X-Request-Id` header of the request; empty without one.
        request: String,
        /// Id of the conversation; 0 before the prefill.
        conversation: u64,
        /// Tokens of the prompt, a partial answer included.
        prompt_tokens: u64,
        /// Tokens that were generated.
        made_tokens: u64,
    },
    /// A service has run a booking.
    Ran {
        /// Time of the event.
        at_us: u64,
        /// Idempotency key of the call.
        key: String,
    },
    /// A service has answered a lookup.
    Read {
        /// Time of the event.
        at_us: u64,
        /// Path of the request.
        path: String,
    },
}

/// An event log, or a sink that drops events.
#[derive(Debug, Default)]
pub struct Record(Option<Mutex<File>>);

impl Record {
    /// Opens an event log; without a file, events are dropped.
    ///
    /// # Errors
    /// Fails when the file can't be opened for appending.
    pub fn open(file: Option<&Path>) -> anyhow::Result<Self> {
        let Some(path) = file else { return Ok(Self::default()) };
        let file = OpenOptions::new().create(true).append(true).open(path);
        let file = file.map_err(|error| anyhow::anyhow!("open {}: {error}", path.display()))?;
        Ok(Self(Some(Mutex::new(file))))
    }

    /// Writes an event without buffering in the process, so that a killed process loses none.
    ///
    /// # Panics
    /// Panics when the file can't be written, because a trial with an incomplete log would report wrong figures.
    pub fn write(&self, line: &Line) {
        let Some(file) = &self.0 else { return };
        let mut text = serde_json::to_string(line).expect("an event serializes to JSON");
        text.push('\n');
        file.lock().write_all(text.as_bytes()).expect("append to the event log");
    }
}

/// Returns the wall clock in microseconds since the Unix epoch.
#[must_use]
pub fn now_us() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    elapsed.as_micros() as u64
}
