//! One attempt at one upstream: sending the request and reading the answer's head.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::body::Decoder;
use crate::dialect::{HeaderCodec, ResponseInfo};
use crate::head::{self, Head, StatusLine};
use crate::pool::Connection;

/// Longest head of an answer.
const MAX_HEAD: usize = 64 * 1024;
/// Longest answer that is read whole before it is passed on.
const MAX_WHOLE: usize = 8 * 1024 * 1024;
/// Answers to other requests that are skipped before the own one; an upstream that sends more has lost count.
const MAX_EXTRA: usize = 4;

/// What is certain about a request that got no answer.
///
/// Only the first two allow another attempt for what may run once, and only they allow an answer that says "not run".
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Fate {
    /// No byte was sent.
    #[display("not sent: {why}")]
    NotSent {
        /// Why.
        why: String,
    },
    /// The upstream stated that it did not run the request.
    #[display("refused with {status}")]
    Refused {
        /// Status of the statement.
        status: u16,
        /// Whether another incarnation answers at the address.
        other: bool,
    },
    /// It may have run.
    #[display("unknown: {why}")]
    Unknown {
        /// Why.
        why: String,
    },
}

impl Fate {
    pub(crate) fn unknown(why: impl Into<String>) -> Self {
        Self::Unknown { why: why.into() }
    }
}

/// An answer whose head has come.
#[derive(Debug)]
pub struct Opened {
    /// The connection.
    pub connection: Connection,
    /// The head.
    pub head: Head<StatusLine>,
    /// What it says.
    pub told: ResponseInfo,
    /// Finds the end of the body.
    pub decoder: Decoder,
    /// Whether the whole request was sent before the answer came.
    sent: bool,
}

/// Sends a request and reads the head of its answer; the caller of this ends the wait when the request's time is over.
///
/// # Errors
/// Tells what is certain about the request when no answer to it comes.
pub async fn open(
    mut connection: Connection,
    request: &[u8],
    id: &str,
    dialect: &dyn HeaderCodec,
) -> Result<Opened, Fate> {
    let (head, told, decoder, sent) = send_and_read(&mut connection, request, id, dialect).await?;
    if told.not_run || told.wrong_incarnation {
        let (status, other) = (head.start.status, told.wrong_incarnation);
        return Err(Fate::Refused { status, other });
    }
    Ok(Opened {
        connection,
        head,
        told,
        decoder,
        sent,
    })
}

/// Sends and reads at the same time: an upstream may answer before it has read a long body, and read on only later.
async fn send_and_read(
    connection: &mut Connection,
    request: &[u8],
    id: &str,
    dialect: &dyn HeaderCodec,
) -> Result<(Head<StatusLine>, ResponseInfo, Decoder, bool), Fate> {
    let Connection { stream, buffer, .. } = connection;
    let (mut reader, mut writer) = stream.split();
    let writing = writer.write_all(request);
    tokio::pin!(writing);
    let mut sent = false;
    let mut broken = false;
    let mut skipped = 0;
    loop {
        if let Some((head, told, decoder)) = next_answer(buffer, dialect)? {
            if told.id.as_deref().is_none_or(|answered| answered == id) {
                return Ok((head, told, decoder, sent && !broken));
            }
            // An answer to an earlier request that its caller no longer waits for. It must reach nobody, and what
            // follows it may be the answer to this one.
            skip(&mut reader, buffer, decoder).await?;
            skipped += 1;
            if skipped > MAX_EXTRA {
                return Err(Fate::unknown("answers of other requests"));
            }
            continue;
        }
        tokio::select! {
            written = &mut writing, if !sent => {
                sent = true;
                // The answer may be there already, although the upstream takes no more.
                broken = written.is_err();
            }
            read = reader.read_buf(buffer) => match read {
                Ok(0) => return Err(Fate::unknown("closed without an answer")),
                Ok(_) => {}
                Err(error) => return Err(Fate::unknown(format!("read: {error}"))),
            },
        }
    }
}

type Answer = (Head<StatusLine>, ResponseInfo, Decoder);

/// Takes the next head that is no interim answer.
fn next_answer(buffer: &mut BytesMut, dialect: &dyn HeaderCodec) -> Result<Option<Answer>, Fate> {
    loop {
        let taken = head::take_response(buffer, MAX_HEAD).map_err(|error| Fate::unknown(error.to_string()))?;
        let Some(head) = taken else {
            return Ok(None);
        };
        if head.start.status < 200 {
            continue;
        }
        let framing = head.framing().map_err(|error| Fate::unknown(error.to_string()))?;
        let told = dialect.told(&head);
        return Ok(Some((head, told, Decoder::new(framing))));
    }
}

async fn skip(
    reader: &mut tokio::net::tcp::ReadHalf<'_>,
    buffer: &mut BytesMut,
    mut decoder: Decoder,
) -> Result<(), Fate> {
    loop {
        while let Some(_other) = decoder.take(buffer).map_err(|error| Fate::unknown(error.to_string()))? {}
        if decoder.is_done() {
            return Ok(());
        }
        match reader.read_buf(buffer).await {
            Ok(count) if count > 0 => {}
            _ => return Err(Fate::unknown("closed within another answer")),
        }
    }
}

/// A part of a body.
#[derive(Debug, PartialEq, Eq)]
pub enum Piece {
    /// Bytes.
    Bytes(Bytes),
    /// The body is whole.
    End,
}

impl Opened {
    /// Reads on in the body.
    ///
    /// # Errors
    /// Fails when it ends before it is whole.
    pub async fn next(&mut self) -> Result<Piece, Fate> {
        loop {
            let taken = self.decoder.take(&mut self.connection.buffer);
            if let Some(bytes) = taken.map_err(|error| Fate::unknown(error.to_string()))? {
                return Ok(Piece::Bytes(bytes));
            }
            if self.decoder.is_done() {
                return Ok(Piece::End);
            }
            match self.connection.stream.read_buf(&mut self.connection.buffer).await {
                Ok(0) if self.decoder.may_end() => return Ok(Piece::End),
                Ok(0) => return Err(Fate::unknown("closed within the answer")),
                Ok(_) => {}
                Err(error) => return Err(Fate::unknown(format!("read: {error}"))),
            }
        }
    }

    /// Reads the whole body.
    ///
    /// # Errors
    /// Fails when it doesn't come whole, or is too long to be kept.
    pub async fn whole(&mut self) -> Result<Bytes, Fate> {
        let mut body = BytesMut::new();
        loop {
            match self.next().await? {
                Piece::End => return Ok(body.freeze()),
                Piece::Bytes(part) if body.is_empty() && self.decoder.is_done() => return Ok(part),
                Piece::Bytes(part) => body.extend_from_slice(&part),
            }
            if body.len() > MAX_WHOLE {
                return Err(Fate::unknown("the answer is too long"));
            }
        }
    }

    /// Gives the connection if another request may be sent on it, with the time that it may stay idle.
    #[must_use]
    pub fn reusable(self) -> Option<(Connection, Option<Duration>)> {
        // The rest of a body that the upstream has not read would be taken for the next request.
        let clean = self.sent && self.decoder.is_done() && self.connection.buffer.is_empty() && self.head.keeps();
        clean.then_some((self.connection, self.told.idle_timeout))
    }

    /// Tells whether it is a success that bears the upstream's signature and its own bytes.
    #[must_use]
    pub fn is_sound(&self) -> bool {
        let coded = self.head.get("content-encoding").is_some();
        !(200..300).contains(&self.head.start.status) || (self.told.signed && !coded)
    }
}
