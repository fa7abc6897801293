//! Heads of answers as callers get them.

use crate::head::{Head, StatusLine};
use crate::refusal::reason;

/// Largest answer, with its head, whose buffer is made at once.
pub(crate) const ROOM: usize = 512;

/// Writes the head of an answer; without a length the body comes in chunks.
pub(crate) fn answer_head(head: &Head<StatusLine>, length: Option<usize>, keep: bool) -> Vec<u8> {
    let mut out = Vec::with_capacity(ROOM + length.unwrap_or(0));
    let status = head.start.status;
    out.extend_from_slice(format!("HTTP/1.1 {status} ").as_bytes());
    if head.start.reason.is_empty() {
        out.extend_from_slice(reason(status).as_bytes());
    } else {
        out.extend_from_slice(&head.start.reason);
    }
    out.extend_from_slice(b"\r\n");
    for line in &head.lines {
        if !head.is_hop(&line.name) {
            write_line(&mut out, &line.name, &line.value);
        }
    }
    match length {
        Some(length) => write_line(&mut out, b"Content-Length", length.to_string().as_bytes()),
        None => write_line(&mut out, b"Transfer-Encoding", b"chunked"),
    }
    if !keep {
        write_line(&mut out, b"Connection", b"close");
    }
    out.extend_from_slice(b"\r\n");
    out
}

pub(crate) fn write_line(out: &mut Vec<u8>, name: &[u8], value: &[u8]) {
    for part in [name, b": ", value, b"\r\n"] {
        out.extend_from_slice(part);
    }
}
