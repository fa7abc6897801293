//! A streamed answer as server-sent events.

use std::io;
use std::net::TcpStream;

use contract::RequestId;
use serde_json::json;
use telemetry::clock::wall_ms;
use upstream::engine::{REQUEST_ID_HEADER, Usage};

use super::http::{Chunks, Head};
use super::problem::Problem;
use super::run::Sink;

/// A streamed answer; its head is sent with the first token, so that an earlier failure still has a status of its own.
#[derive(Debug)]
pub(super) struct Events<'a> {
    stream: &'a TcpStream,
    head: &'a Head,
    keep: bool,
    id: &'a RequestId,
    prefix: String,
    line: Vec<u8>,
    out: Option<Chunks<'a>>,
}

impl<'a> Events<'a> {
    pub(super) fn new(stream: &'a TcpStream, head: &'a Head, keep: bool, id: &'a RequestId, model: &str) -> Self {
        // Everything but the token is the same in each event, so it is written once.
        let prefix = format!(
            "{{\"id\":{},\"object\":\"chat.completion.chunk\",\"created\":{},\"model\":{},\"choices\":",
            json!(id),
            wall_ms() / 1_000,
            json!(model)
        );
        Self {
            stream,
            head,
            keep,
            id,
            prefix,
            line: Vec::new(),
            out: None,
        }
    }

    /// Tells whether the head was sent.
    pub(super) const fn is_begun(&self) -> bool {
        self.out.is_some()
    }

    /// Ends a whole answer.
    pub(super) fn end(mut self, usage: &Usage, finish: &str) -> io::Result<()> {
        let prefix = std::mem::take(&mut self.prefix);
        self.event(&format!(
            "{prefix}[{{\"index\":0,\"delta\":{{}},\"finish_reason\":\"{finish}\"}}]}}"
        ))?;
        self.event(&format!("{prefix}[],\"usage\":{}}}", json!(usage)))?;
        self.event("[DONE]")?;
        self.finish()
    }

    /// Ends an answer that is not whole.
    pub(super) fn fail(mut self, problem: &Problem) -> io::Result<()> {
        self.event(&json!({"error": problem.body()}).to_string())?;
        self.finish()
    }

    /// Ends an answer that a peer goes on with.
    pub(super) fn moved(mut self, resume: &str) -> io::Result<()> {
        self.event(&json!({"moved": {"resume": resume}}).to_string())?;
        self.finish()
    }

    fn event(&mut self, data: &str) -> io::Result<()> {
        let text = format!("data: {data}\n\n");
        self.out()?.piece(text.as_bytes())
    }

    fn finish(self) -> io::Result<()> {
        self.out.map_or(Ok(()), Chunks::end)
    }

    fn out(&mut self) -> io::Result<&mut Chunks<'a>> {
        if self.out.is_none() {
            let headers = [
                ("Content-Type".into(), "text/event-stream".to_owned()),
                ("Cache-Control".into(), "no-store".to_owned()),
                (REQUEST_ID_HEADER.into(), self.id.to_string()),
            ];
            self.out = Some(Chunks::begin(self.stream, self.head, &headers, self.keep)?);
        }
        Ok(self.out.as_mut().expect("it was put there just before"))
    }
}

impl Sink for Events<'_> {
    fn token(&mut self, token: &str) -> io::Result<()> {
        let mut line = std::mem::take(&mut self.line);
        line.clear();
        line.extend_from_slice(b"data: ");
        line.extend_from_slice(self.prefix.as_bytes());
        line.extend_from_slice(b"[{\"index\":0,\"delta\":{\"content\":");
        serde_json::to_writer(&mut line, token)?;
        line.extend_from_slice(b"},\"finish_reason\":null}]}\n\n");
        let sent = self.out()?.piece(&line);
        self.line = line;
        sent
    }
}
