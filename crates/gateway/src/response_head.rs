//! Writes response heads for callers.

use inbound::reason_phrase;

use crate::head::{Head, StatusLine};

/// Initial buffer capacity for a message head; a larger head grows the buffer.
pub(crate) const HEAD_CAPACITY: usize = 512;

/// Writes the head of a response; without a length the body is chunked.
pub(crate) fn response_head(head: &Head<StatusLine>, length: Option<usize>, keep_alive: bool) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEAD_CAPACITY);
    let status = head.start.status;
    bytes.extend_from_slice(format!("HTTP/1.1 {status} ").as_bytes());
    if head.start.reason.is_empty() {
        bytes.extend_from_slice(reason_phrase(status).as_bytes());
    } else {
        bytes.extend_from_slice(&head.start.reason);
    }
    bytes.extend_from_slice(b"\r\n");
    for header in &head.headers {
        if !head.is_hop_by_hop(&header.name) {
            write_header(&mut bytes, &header.name, &header.value);
        }
    }
    match length {
        Some(length) => write_header(&mut bytes, b"Content-Length", length.to_string().as_bytes()),
        None => write_header(&mut bytes, b"Transfer-Encoding", b"chunked"),
    }
    if !keep_alive {
        write_header(&mut bytes, b"Connection", b"close");
    }
    bytes.extend_from_slice(b"\r\n");
    bytes
}

pub(crate) fn write_header(bytes: &mut Vec<u8>, name: &[u8], value: &[u8]) {
    for part in [name, b": ", value, b"\r\n"] {
        bytes.extend_from_slice(part);
    }
}
