//! Decodes bodies that end by length, by the chunked coding or with the connection.

use bytes::{Buf, Bytes, BytesMut};
use derive_more::{Display, Error};

use crate::head::Framing;

/// Longest line with a chunk size and its extensions, and longest trailer line.
const MAX_LINE_BYTES: usize = 1_024;
/// Most bytes of chunk extensions and trailer lines of a body, so that one without end can't consist of them.
const MAX_OVERHEAD_BYTES: usize = 16 * 1024;

/// Bytes that violate the framing of a body.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("malformed body")]
pub struct BodyError;

/// Decodes a body and detects its end.
#[derive(Clone, Copy, Debug)]
pub struct BodyDecoder {
    state: State,
    /// Bytes of chunk extensions and trailer lines so far.
    overhead: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Remaining(u64),
    ChunkSize,
    Chunk(u64),
    ChunkEnd,
    Trailer,
    UntilClose,
    Done,
}

impl BodyDecoder {
    /// Starts a body.
    #[must_use]
    pub const fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Remaining(length),
            Framing::Chunked => State::ChunkSize,
            Framing::Close => State::UntilClose,
        };
        Self { state, overhead: 0 }
    }

    /// Returns whether the body is complete.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Returns whether only trailer lines are left.
    #[must_use]
    pub fn is_in_trailer(&self) -> bool {
        self.state == State::Trailer
    }

    /// Returns whether the body is complete if the connection ends now.
    #[must_use]
    pub fn ends_on_close(&self) -> bool {
        matches!(self.state, State::Done | State::UntilClose)
    }

    /// Takes bytes of the body from the front of a buffer; returns `None` if more bytes are needed, or the body is
    /// complete.
    ///
    /// # Errors
    /// Fails on bytes that violate the framing.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, BodyError> {
        loop {
            match self.state {
                State::Done => return Ok(None),
                State::UntilClose | State::Remaining(_) | State::Chunk(_) if buffer.is_empty() => return Ok(None),
                State::UntilClose => return Ok(Some(buffer.split().freeze())),
                State::Remaining(left) => return Ok(Some(self.take_part(buffer, left, State::Remaining, State::Done))),
                State::Chunk(left) => return Ok(Some(self.take_part(buffer, left, State::Chunk, State::ChunkEnd))),
                State::ChunkSize => match take_line(buffer)? {
                    None => return Ok(None),
                    Some(line) => {
                        let (size, extension) = chunk_size(&line)?;
                        self.add_overhead(extension)?;
                        self.state = if size == 0 { State::Trailer } else { State::Chunk(size) };
                    }
                },
                State::ChunkEnd => match take_line(buffer)? {
                    None => return Ok(None),
                    Some(line) if line.is_empty() => self.state = State::ChunkSize,
                    Some(_) => return Err(BodyError),
                },
                State::Trailer => match take_line(buffer)? {
                    None => return Ok(None),
                    Some(line) if line.is_empty() => self.state = State::Done,
                    Some(line) => self.add_overhead(line.len())?,
                },
            }
        }
    }

    fn add_overhead(&mut self, bytes: usize) -> Result<(), BodyError> {
        self.overhead += bytes;
        if self.overhead > MAX_OVERHEAD_BYTES {
            return Err(BodyError);
        }
        Ok(())
    }

    fn take_part(&mut self, buffer: &mut BytesMut, left: u64, more: fn(u64) -> State, end: State) -> Bytes {
        let length = (buffer.len() as u64).min(left);
        let part = buffer.split_to(length as usize).freeze();
        self.state = if length == left { end } else { more(left - length) };
        part
    }
}

fn take_line(buffer: &mut BytesMut) -> Result<Option<BytesMut>, BodyError> {
    let Some(line_end) = buffer.iter().position(|byte| *byte == b'\n') else {
        return if buffer.len() > MAX_LINE_BYTES {
            Err(BodyError)
        } else {
            Ok(None)
        };
    };
    if line_end == 0 || buffer[line_end - 1] != b'\r' || buffer[..line_end - 1].contains(&b'\r') {
        return Err(BodyError);
    }
    let line = buffer.split_to(line_end - 1);
    buffer.advance(2);
    Ok(Some(line))
}

/// Returns the size of a chunk, and the length of the extensions that follow it.
fn chunk_size(line: &[u8]) -> Result<(u64, usize), BodyError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let is_valid = !digits.is_empty() && digits.len() <= 15 && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).map_err(|_not_text| BodyError)?;
    if !is_valid {
        return Err(BodyError);
    }
    let size = u64::from_str_radix(text, 16).map_err(|_too_long| BodyError)?;
    Ok((size, line.len() - digits.len()))
}
