//! Parses server-sent events, and checks that their ids are in order.

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};

/// Longest event, so that an upstream which never ends one does not exhaust the memory.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// One complete event with the empty line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The event as it was received.
    pub bytes: Bytes,
    /// Id of the event; `None` if it has none.
    pub id: Option<u64>,
}

/// Why an event must not be forwarded.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum EventError {
    /// The event is too long, or its id is not a number.
    #[display("malformed event")]
    Malformed,
    /// The event repeats an earlier one, or one before it is missing.
    #[display("event {received} after {last}")]
    OutOfOrder {
        /// Id of the event.
        received: u64,
        /// Id of the event before it.
        last: u64,
    },
}

/// Splits a stream into events.
#[derive(Clone, Debug, Default)]
pub struct EventParser {
    buffer: BytesMut,
    /// Id of the last event returned.
    last_id: Option<u64>,
    /// Difference between consecutive ids; `None` until two were seen.
    id_step: Option<u64>,
    /// Number of events returned.
    event_count: u64,
}

impl EventParser {
    /// Starts a stream after the last event that the caller has received.
    #[must_use]
    pub fn resume_after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Discards an incomplete event, before the stream continues from another upstream.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
    }

    /// Returns the id of the last event returned.
    #[must_use]
    pub const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the number of events returned.
    #[must_use]
    pub const fn event_count(&self) -> u64 {
        self.event_count
    }

    /// Returns whether an event is incomplete.
    #[must_use]
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Adds bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event, if there is one.
    ///
    /// # Errors
    /// Fails on an event that is malformed or out of order.
    pub fn next_event(&mut self) -> Result<Option<Event>, EventError> {
        let Some(end) = event_end(&self.buffer) else {
            return if self.buffer.len() > MAX_EVENT_BYTES {
                Err(EventError::Malformed)
            } else {
                Ok(None)
            };
        };
        let bytes = self.buffer.split_to(end).freeze();
        let id = event_id(&bytes)?;
        if let Some(id) = id {
            self.check(id)?;
        }
        self.event_count += 1;
        Ok(Some(Event { bytes, id }))
    }

    fn check(&mut self, id: u64) -> Result<(), EventError> {
        if let Some(last) = self.last_id {
            let id_step = id.checked_sub(last).filter(|id_step| *id_step > 0);
            let is_expected = self.id_step.is_none_or(|expected_step| id_step == Some(expected_step));
            if id_step.is_none() || !is_expected {
                return Err(EventError::OutOfOrder { received: id, last });
            }
            self.id_step = id_step;
        }
        self.last_id = Some(id);
        Ok(())
    }
}

fn event_end(bytes: &[u8]) -> Option<usize> {
    let end_after = |pattern: &[u8]| {
        let found = bytes.windows(pattern.len()).position(|window| window == pattern);
        found.map(|start| start + pattern.len())
    };
    match (end_after(b"\n\n"), end_after(b"\r\n\r\n")) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

fn event_id(event: &[u8]) -> Result<Option<u64>, EventError> {
    let line = event.split(|byte| *byte == b'\n').find(|line| line.starts_with(b"id:"));
    let Some(line) = line else {
        return Ok(None);
    };
    let text = std::str::from_utf8(line[3..].trim_ascii()).map_err(|_not_text| EventError::Malformed)?;
    text.parse().map(Some).map_err(|_no_number| EventError::Malformed)
}
