//! Streams an answer as server-sent events.

use std::io;
use std::net::TcpStream;

use contract::RequestId;
use serde_json::json;
use telemetry::clock::wall_ms;
use upstream::engine::{REQUEST_ID_HEADER, Usage};

use super::http::{ChunkedReply, Head};
use super::problem::Problem;
use super::run::TokenSink;

/// A streamed response. Its head is sent with the first token, so that an error before that still gets its own status.
#[derive(Debug)]
pub(super) struct SseStream<'a> {
    stream: &'a TcpStream,
    head: &'a Head,
    keep_alive: bool,
    id: &'a RequestId,
    event_prefix: String,
    event_buffer: Vec<u8>,
    chunks: Option<ChunkedReply<'a>>,
}

impl<'a> SseStream<'a> {
    pub(super) fn new(stream: &'a TcpStream, head: &'a Head, keep_alive: bool, id: &'a RequestId, model: &str) -> Self {
        // All events of the answer begin alike, so their common part is formatted once.
        let event_prefix = format!(
            "{{\"id\":{},\"object\":\"chat.completion.chunk\",\"created\":{},\"model\":{},\"choices\":",
            json!(id),
            wall_ms() / 1_000,
            json!(model)
        );
        Self {
            stream,
            head,
            keep_alive,
            id,
            event_prefix,
            event_buffer: Vec::new(),
            chunks: None,
        }
    }

    /// Returns whether the head was sent.
    pub(super) const fn is_started(&self) -> bool {
        self.chunks.is_some()
    }

    /// Ends a complete answer with the finish reason, the usage and the end marker.
    pub(super) fn complete(mut self, usage: &Usage, finish: &str) -> io::Result<()> {
        let prefix = std::mem::take(&mut self.event_prefix);
        self.send_event(&format!(
            "{prefix}[{{\"index\":0,\"delta\":{{}},\"finish_reason\":\"{finish}\"}}]}}"
        ))?;
        self.send_event(&format!("{prefix}[],\"usage\":{}}}", json!(usage)))?;
        self.send_event("[DONE]")?;
        self.finish()
    }

    /// Ends an incomplete answer with an error event.
    pub(super) fn fail(mut self, problem: &Problem) -> io::Result<()> {
        self.send_event(&json!({"error": problem.body()}).to_string())?;
        self.finish()
    }

    /// Ends a stream whose answer a peer continues, with the path to resume from.
    pub(super) fn end_moved(mut self, resume: &str) -> io::Result<()> {
        self.send_event(&json!({"moved": {"resume": resume}}).to_string())?;
        self.finish()
    }

    fn send_event(&mut self, data: &str) -> io::Result<()> {
        let text = format!("data: {data}\n\n");
        self.started_chunks()?.send_piece(text.as_bytes())
    }

    fn finish(self) -> io::Result<()> {
        self.chunks.map_or(Ok(()), ChunkedReply::end)
    }

    fn started_chunks(&mut self) -> io::Result<&mut ChunkedReply<'a>> {
        if self.chunks.is_none() {
            let headers = [
                ("Content-Type".into(), "text/event-stream".to_owned()),
                ("Cache-Control".into(), "no-store".to_owned()),
                (REQUEST_ID_HEADER.into(), self.id.to_string()),
            ];
            self.chunks = Some(ChunkedReply::begin(self.stream, self.head, &headers, self.keep_alive)?);
        }
        Ok(self.chunks.as_mut().expect("inserted above"))
    }
}

impl TokenSink for SseStream<'_> {
    fn token(&mut self, token: &str) -> io::Result<()> {
        let mut line = std::mem::take(&mut self.event_buffer);
        line.clear();
        line.extend_from_slice(b"data: ");
        line.extend_from_slice(self.event_prefix.as_bytes());
        line.extend_from_slice(b"[{\"index\":0,\"delta\":{\"content\":");
        serde_json::to_writer(&mut line, token)?;
        line.extend_from_slice(b"},\"finish_reason\":null}]}\n\n");
        let sent = self.started_chunks()?.send_piece(&line);
        self.event_buffer = line;
        sent
    }
}
