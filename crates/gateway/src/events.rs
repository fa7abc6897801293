//! Parses server-sent events, and checks that their ids are in order.

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use policy::event_ids::ExpectedId;

/// Longest event, so that an upstream which never ends one does not exhaust the memory.
const MAX_EVENT_BYTES: usize = 256 * 1024;
/// Bytes beyond a longest event that are kept, the next ones of the stream.
const READ_BYTES: usize = 8 * 1024;

/// One complete event with the empty line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The event as it was received.
    pub bytes: Bytes,
    /// Id of the event; `None` if it has none.
    pub id: Option<u64>,
}

/// Byte order mark with which a stream may begin.
const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();

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
    /// The first event of a response is not the one that earlier streams let expect.
    #[display("event {received} for {expected}")]
    Unexpected {
        /// Id of the event.
        received: u64,
        /// Id that was expected.
        expected: u64,
    },
}

/// Splits a stream into events.
#[derive(Clone, Debug, Default)]
pub struct EventParser {
    buffer: BytesMut,
    /// Memory that the buffer takes, with the events that were split from it.
    capacity: usize,
    scanner: LineScanner,
    /// Id of the last event returned.
    last_id: Option<u64>,
    /// Difference between consecutive ids; `None` until two were seen.
    id_step: Option<u64>,
    /// Id of the first event of a stream that began here.
    first_id: Option<u64>,
    /// Whether a caller has received events before.
    resumed: bool,
    /// What the next event should have for an id; `None` if it is not known.
    expected: Option<ExpectedId>,
    /// Number of events returned.
    event_count: u64,
    /// Whether an event with data and without an id was returned after the last one with an id.
    unnumbered: bool,
}

impl EventParser {
    /// Starts a stream after the last event that the caller has received.
    #[must_use]
    pub fn resume_after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            resumed: last_id.is_some(),
            ..Self::default()
        }
    }

    /// Discards an incomplete event, before the stream continues from another upstream.
    pub fn discard_partial(&mut self) {
        self.buffer = BytesMut::new();
        self.capacity = 0;
        self.scanner = LineScanner::default();
    }

    /// Returns whether another upstream can send what follows: after an event without an id, it would send that again.
    #[must_use]
    pub const fn is_resumable(&self) -> bool {
        !self.unnumbered
    }

    /// Sets what earlier streams let expect of the first event of a response. The ids of the stream itself go first.
    pub fn expect(&mut self, expected: Option<ExpectedId>) {
        self.expected = expected.filter(|_| self.id_step.is_none());
    }

    /// Returns the id of the first event, if the stream began with it.
    #[must_use]
    pub const fn first_id(&self) -> Option<u64> {
        self.first_id
    }

    /// Returns the difference between consecutive ids; `None` until two were seen.
    #[must_use]
    pub const fn id_step(&self) -> Option<u64> {
        self.id_step
    }

    /// Returns the memory that the parser takes once some more bytes are added.
    #[must_use]
    pub fn capacity_with(&self, more: usize) -> usize {
        let needed = self.buffer.len() + more;
        if needed <= self.capacity {
            return self.capacity;
        }
        needed.max((self.capacity * 2).min(MAX_EVENT_BYTES + READ_BYTES))
    }

    /// Gives back memory after events were returned; they must have been dropped. Returns the memory that is left.
    pub fn shrink(&mut self) -> usize {
        if !self.buffer.is_empty() || self.capacity > READ_BYTES {
            self.buffer = BytesMut::from(&*self.buffer);
            self.capacity = self.buffer.len();
        }
        self.capacity
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
        self.capacity = self.capacity_with(bytes.len());
        self.buffer.reserve(self.capacity - self.buffer.len());
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event, if there is one. Empty lines between events come as an event of their own, which
    /// is not counted.
    ///
    /// # Errors
    /// Fails on an event that is malformed or out of order.
    pub fn next_event(&mut self) -> Result<Option<Event>, EventError> {
        let Some(end) = self.scanner.event_end(&self.buffer) else {
            return if self.buffer.len() > MAX_EVENT_BYTES {
                Err(EventError::Malformed)
            } else {
                Ok(None)
            };
        };
        let bytes = self.buffer.split_to(end).freeze();
        let fields = EventFields::parse(&bytes)?;
        if let Some(id) = fields.id {
            self.check(id)?;
            self.unnumbered = false;
        } else if fields.has_data {
            self.unnumbered = true;
        }
        self.event_count += u64::from(!fields.is_empty);
        Ok(Some(Event { bytes, id: fields.id }))
    }

    fn check(&mut self, id: u64) -> Result<(), EventError> {
        if let Some(expected) = self.expected.take()
            && id != expected.id
            && Some(id) != expected.confirmed
            && self.last_id.is_none_or(|last| id > last)
        {
            return Err(EventError::Unexpected {
                received: id,
                expected: expected.id,
            });
        }
        if let Some(last) = self.last_id {
            let id_step = id.checked_sub(last).filter(|id_step| *id_step > 0);
            let is_expected = self.id_step.is_none_or(|expected_step| id_step == Some(expected_step));
            if id_step.is_none() || !is_expected {
                return Err(EventError::OutOfOrder { received: id, last });
            }
            self.id_step = id_step;
        }
        if !self.resumed && self.last_id.is_none() {
            self.first_id = Some(id);
        }
        self.last_id = Some(id);
        Ok(())
    }
}

/// Finds the empty line that ends an event, however its lines end. Goes on where it stopped when more bytes arrive.
#[derive(Clone, Debug, Default)]
struct LineScanner {
    /// Number of bytes looked at.
    scanned: usize,
    /// Whether the current line has bytes.
    in_line: bool,
    /// Whether the last byte was a carriage return, which a line feed may follow.
    after_return: bool,
}

impl LineScanner {
    /// Returns the length of the first event in the buffer if it is complete; the next call expects the rest.
    fn event_end(&mut self, buffer: &[u8]) -> Option<usize> {
        while let Some(byte) = buffer.get(self.scanned) {
            self.scanned += 1;
            let after_return = std::mem::replace(&mut self.after_return, *byte == b'\r');
            match byte {
                b'\n' if after_return => {}
                b'\n' | b'\r' if self.in_line => self.in_line = false,
                b'\n' | b'\r' => {
                    // A line feed that has not arrived yet comes as an empty line.
                    let ends_with_both = *byte == b'\r' && buffer.get(self.scanned) == Some(&b'\n');
                    let end = self.scanned + usize::from(ends_with_both);
                    *self = Self::default();
                    return Some(end);
                }
                _ => self.in_line = true,
            }
        }
        None
    }
}

/// Contents of an event that matter for its order.
#[derive(Clone, Copy, Debug)]
struct EventFields {
    /// The last id, which is the one that callers keep.
    id: Option<u64>,
    has_data: bool,
    is_empty: bool,
}

impl EventFields {
    fn parse(event: &[u8]) -> Result<Self, EventError> {
        let event = event.strip_prefix(BYTE_ORDER_MARK).unwrap_or(event);
        let mut fields = Self {
            id: None,
            has_data: false,
            is_empty: true,
        };
        for line in event.split(|byte| matches!(byte, b'\n' | b'\r')) {
            fields.is_empty &= line.is_empty();
            fields.has_data |= line == b"data" || line.starts_with(b"data:");
            if let Some(value) = line.strip_prefix(b"id:") {
                fields.id = Some(parse_id(value)?);
            }
        }
        Ok(fields)
    }
}

fn parse_id(value: &[u8]) -> Result<u64, EventError> {
    let text = std::str::from_utf8(value.trim_ascii()).map_err(|_not_text| EventError::Malformed)?;
    text.parse().map_err(|_no_number| EventError::Malformed)
}
