//! The record of what a stand-in did, one JSON line each, written before anything is answered.
//!
//! A stand-in that is killed takes its memory with it. Its record stays, so that what ran can still be compared with
//! what callers were told.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// Something that a stand-in did; times are the machine's wall clock in microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "did", rename_all = "snake_case")]
pub enum Line {
    /// An engine has prefilled a prompt.
    Begun {
        /// When prefilling began.
        from_us: u64,
        /// When it ended.
        at_us: u64,
        /// The request id that it came with.
        request: String,
        /// Identity of the conversation: its first user message.
        conversation: u64,
        /// Identity of the prompt without a begun answer.
        prompt: u64,
        /// Tokens that were prefilled or found in the cache.
        prompt_tokens: u64,
        /// Tokens of these that were found in the cache.
        cached_tokens: u64,
        /// Tokens of a begun answer among them.
        begun_tokens: u64,
    },
    /// An engine has ended an answer or was left by its caller.
    Ended {
        /// When.
        at_us: u64,
        /// The request id that it came with.
        request: String,
        /// Identity of the conversation.
        conversation: u64,
        /// Tokens of the prompt, a begun answer included.
        prompt_tokens: u64,
        /// Tokens that were made.
        made_tokens: u64,
    },
    /// A service has run a call with an idempotency key.
    Ran {
        /// When.
        at_us: u64,
        /// The key.
        key: String,
    },
    /// A service has looked something up.
    Read {
        /// When.
        at_us: u64,
        /// Path below the service.
        path: String,
    },
}

/// Where lines go, if anywhere.
#[derive(Debug, Default)]
pub struct Record(Option<Mutex<File>>);

impl Record {
    /// Opens a record; without a file, lines are dropped.
    ///
    /// # Errors
    /// Fails when the file can't be opened for appending.
    pub fn open(file: Option<&Path>) -> anyhow::Result<Self> {
        let Some(path) = file else { return Ok(Self::default()) };
        let file = OpenOptions::new().create(true).append(true).open(path);
        let file = file.map_err(|error| anyhow::anyhow!("open {}: {error}", path.display()))?;
        Ok(Self(Some(Mutex::new(file))))
    }

    /// Writes a line straight to the operating system, so that a killed process loses none.
    ///
    /// # Panics
    /// Panics when the file can't be written: a trial with an incomplete record would report false figures.
    pub fn write(&self, line: &Line) {
        let Some(file) = &self.0 else { return };
        let mut text = serde_json::to_string(line).expect("a line is plain data");
        text.push('\n');
        file.lock()
            .write_all(text.as_bytes())
            .expect("the record of a trial can be written");
    }
}

/// Gives the wall clock in microseconds.
#[must_use]
pub fn now_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_micros() as u64
}
