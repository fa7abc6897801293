//! One attempt at one upstream: sending the request and reading the answer's head.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::body::BodyDecoder;
use crate::dialect::{HeaderCodec, ResponseInfo};
use crate::head::{self, Head, StatusLine};
use crate::pool::Connection;

/// Longest head of an answer.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Longest answer that is read whole before it is passed on.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Answers to other requests that are skipped before the own one; an upstream that sends more has lost count.
const MAX_SKIPPED: usize = 4;

/// What is certain about a request that got no answer.
///
/// Only the first two allow another attempt for what may run once, and only they allow an answer that says "not run".
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum AttemptError {
    /// No byte was sent.
    #[display("not sent: {reason}")]
    NotSent {
        /// Why.
        reason: String,
    },
    /// The upstream stated that it did not run the request.
    #[display("refused with {status}")]
    Refused {
        /// Status of the statement.
        status: u16,
        /// Whether another incarnation answers at the address.
        wrong_incarnation: bool,
    },
    /// It may have run.
    #[display("unknown: {reason}")]
    Unknown {
        /// Why.
        reason: String,
    },
}

impl AttemptError {
    pub(crate) fn unknown(reason: impl Into<String>) -> Self {
        Self::Unknown { reason: reason.into() }
    }
}

/// An answer whose head has come.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// The connection.
    pub connection: Connection,
    /// The head.
    pub head: Head<StatusLine>,
    /// What it says.
    pub info: ResponseInfo,
    /// Finds the end of the body.
    pub decoder: BodyDecoder,
    /// Whether the whole request was sent before the answer came.
    request_sent: bool,
}

/// Sends a request and reads the head of its answer; the caller of this ends the wait when the request's time is over.
///
/// # Errors
/// Tells what is certain about the request when no answer to it comes.
pub async fn send_request(
    mut connection: Connection,
    request: &[u8],
    id: &str,
    codec: &dyn HeaderCodec,
) -> Result<UpstreamResponse, AttemptError> {
    let (head, info, decoder, request_sent) = send_and_read(&mut connection, request, id, codec).await?;
    if info.not_run || info.wrong_incarnation {
        let (status, wrong_incarnation) = (head.start.status, info.wrong_incarnation);
        return Err(AttemptError::Refused {
            status,
            wrong_incarnation,
        });
    }
    Ok(UpstreamResponse {
        connection,
        head,
        info,
        decoder,
        request_sent,
    })
}

/// Sends and reads at the same time: an upstream may answer before it has read a long body, and read on only later.
async fn send_and_read(
    connection: &mut Connection,
    request: &[u8],
    id: &str,
    codec: &dyn HeaderCodec,
) -> Result<(Head<StatusLine>, ResponseInfo, BodyDecoder, bool), AttemptError> {
    let Connection { stream, buffer, .. } = connection;
    let (mut reader, mut writer) = stream.split();
    let writing = writer.write_all(request);
    tokio::pin!(writing);
    let mut request_sent = false;
    let mut write_failed = false;
    let mut skipped = 0;
    loop {
        if let Some((head, info, decoder)) = next_response(buffer, codec)? {
            if info.id.as_deref().is_none_or(|answered| answered == id) {
                return Ok((head, info, decoder, request_sent && !write_failed));
            }
            // An answer to an earlier request that its caller no longer waits for. It must reach nobody, and what
            // follows it may be the answer to this one.
            skip_body(&mut reader, buffer, decoder).await?;
            skipped += 1;
            if skipped > MAX_SKIPPED {
                return Err(AttemptError::unknown("answers of other requests"));
            }
            continue;
        }
        tokio::select! {
            written = &mut writing, if !request_sent => {
                request_sent = true;
                // The answer may be there already, although the upstream takes no more.
                write_failed = written.is_err();
            }
            read = reader.read_buf(buffer) => match read {
                Ok(0) => return Err(AttemptError::unknown("closed without an answer")),
                Ok(_) => {}
                Err(error) => return Err(AttemptError::unknown(format!("read: {error}"))),
            },
        }
    }
}

type ResponseHead = (Head<StatusLine>, ResponseInfo, BodyDecoder);

/// Takes the next head that is no interim answer.
fn next_response(buffer: &mut BytesMut, codec: &dyn HeaderCodec) -> Result<Option<ResponseHead>, AttemptError> {
    loop {
        let parsed =
            head::take_response(buffer, MAX_HEAD_BYTES).map_err(|error| AttemptError::unknown(error.to_string()))?;
        let Some(head) = parsed else {
            return Ok(None);
        };
        if head.start.status < 200 {
            continue;
        }
        let framing = head
            .framing()
            .map_err(|error| AttemptError::unknown(error.to_string()))?;
        let info = codec.told(&head);
        return Ok(Some((head, info, BodyDecoder::new(framing))));
    }
}

async fn skip_body(
    reader: &mut tokio::net::tcp::ReadHalf<'_>,
    buffer: &mut BytesMut,
    mut decoder: BodyDecoder,
) -> Result<(), AttemptError> {
    loop {
        while let Some(_other) = decoder
            .decode(buffer)
            .map_err(|error| AttemptError::unknown(error.to_string()))?
        {}
        if decoder.is_done() {
            return Ok(());
        }
        match reader.read_buf(buffer).await {
            Ok(count) if count > 0 => {}
            _ => return Err(AttemptError::unknown("closed within another answer")),
        }
    }
}

/// A part of a body.
#[derive(Debug, PartialEq, Eq)]
pub enum BodyChunk {
    /// Bytes.
    Bytes(Bytes),
    /// The body is whole.
    End,
}

impl UpstreamResponse {
    /// Reads on in the body.
    ///
    /// # Errors
    /// Fails when it ends before it is whole.
    pub async fn next_chunk(&mut self) -> Result<BodyChunk, AttemptError> {
        loop {
            let parsed = self.decoder.decode(&mut self.connection.buffer);
            if let Some(bytes) = parsed.map_err(|error| AttemptError::unknown(error.to_string()))? {
                return Ok(BodyChunk::Bytes(bytes));
            }
            if self.decoder.is_done() {
                return Ok(BodyChunk::End);
            }
            match self.connection.stream.read_buf(&mut self.connection.buffer).await {
                Ok(0) if self.decoder.ends_on_close() => return Ok(BodyChunk::End),
                Ok(0) => return Err(AttemptError::unknown("closed within the answer")),
                Ok(_) => {}
                Err(error) => return Err(AttemptError::unknown(format!("read: {error}"))),
            }
        }
    }

    /// Reads the whole body.
    ///
    /// # Errors
    /// Fails when it doesn't come whole, or is too long to be kept.
    pub async fn read_body(&mut self) -> Result<Bytes, AttemptError> {
        let mut body = BytesMut::new();
        loop {
            match self.next_chunk().await? {
                BodyChunk::End => return Ok(body.freeze()),
                BodyChunk::Bytes(part) if body.is_empty() && self.decoder.is_done() => return Ok(part),
                BodyChunk::Bytes(part) => body.extend_from_slice(&part),
            }
            if body.len() > MAX_BODY_BYTES {
                return Err(AttemptError::unknown("the answer is too long"));
            }
        }
    }

    /// Gives the connection if another request may be sent on it, with the time that it may stay idle.
    #[must_use]
    pub fn into_reusable(self) -> Option<(Connection, Option<Duration>)> {
        // The rest of a body that the upstream has not read would be taken for the next request.
        let is_clean =
            self.request_sent && self.decoder.is_done() && self.connection.buffer.is_empty() && self.head.keeps_alive();
        is_clean.then_some((self.connection, self.info.idle_timeout))
    }

    /// Tells whether it is a success that bears the upstream's signature and its own bytes.
    #[must_use]
    pub fn is_acceptable(&self) -> bool {
        let encoded = self.head.get("content-encoding").is_some();
        !(200..300).contains(&self.head.start.status) || (self.info.signed && !encoded)
    }
}
