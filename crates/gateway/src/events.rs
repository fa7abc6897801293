//! Server-sent events: whole ones only, with their ids in order.

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};

/// Longest event; an upstream that never ends one must not fill the memory.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// One whole event, with the empty line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its bytes.
    pub bytes: Bytes,
    /// Its id, if it has one.
    pub id: Option<u64>,
}

/// An event that must not be passed on.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum EventError {
    /// An event is too long, or its id is no number.
    #[display("malformed event")]
    Malformed,
    /// An event came twice or one before it is missing.
    #[display("event {received} after {last}")]
    OutOfOrder {
        /// The id that came.
        received: u64,
        /// The id before.
        last: u64,
    },
}

/// Cuts a stream into events.
#[derive(Clone, Debug, Default)]
pub struct EventParser {
    buffer: BytesMut,
    /// Id of the last event that was given out.
    last_id: Option<u64>,
    /// Distance of two ids, once two were seen.
    id_step: Option<u64>,
    /// Events that were given out.
    event_count: u64,
}

impl EventParser {
    /// Begins a stream after an event that the caller has already.
    #[must_use]
    pub fn resume_after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Goes on with what another upstream sends; an unfinished event is forgotten.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
    }

    /// Gives the id of the last event that was given out.
    #[must_use]
    pub const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Gives the number of events that were given out.
    #[must_use]
    pub const fn event_count(&self) -> u64 {
        self.event_count
    }

    /// Tells whether an event is unfinished.
    #[must_use]
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Adds bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next whole event.
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
            let expected = self.id_step.is_none_or(|known| id_step == Some(known));
            if id_step.is_none() || !expected {
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
