//! Writes a request as an upstream gets it.

use bytes::Bytes;
use tokio::time::Instant;

use crate::dialect::AttemptHeaders;
use crate::gate::Gateway;
use crate::moving::KvCopy;
use crate::request::Request;
use crate::response_head::{HEAD_CAPACITY, write_header};
use crate::upstreams::ChosenUpstream;

/// Longest body that is sent in one piece with its head.
const MAX_JOINED_BYTES: usize = 8 * 1024;

/// A request as an upstream gets it.
#[derive(Debug)]
pub struct OutgoingRequest {
    /// Head, and the body unless that is long.
    pub head: Vec<u8>,
    /// A long body, which is not copied; empty otherwise.
    pub body: Bytes,
}

impl Request {
    /// Writes the request for the upstream.
    pub(crate) fn render(
        &self,
        gateway: &Gateway,
        chosen: &ChosenUpstream,
        after: Option<u64>,
        kv_copy: Option<&KvCopy>,
    ) -> OutgoingRequest {
        let body = self.body.bytes.clone();
        let is_joined = body.len() <= MAX_JOINED_BYTES;
        let mut out = Vec::with_capacity(HEAD_CAPACITY + if is_joined { body.len() } else { 0 });
        let start = &self.head.start;
        for part in [&*start.method, b" ", &*start.target, b" HTTP/1.1\r\n"] {
            out.extend_from_slice(part);
        }
        for header in &self.head.headers {
            if !self.head.is_hop_by_hop(&header.name) && gateway.codec.passes(&header.name) {
                write_header(&mut out, &header.name, &header.value);
            }
        }
        let attempt = AttemptHeaders {
            remaining: self.deadline.saturating_duration_since(Instant::now()),
            incarnation: &chosen.id,
            account: self.account.as_ref().map(|account| account.name.as_str()),
            after,
            priority: self.priority(),
            kv_copy,
            // The copy of the stream holds all of its prompt.
            fetch_from: chosen.fetch_from.filter(|_| kv_copy.is_none()),
        };
        gateway.codec.write(&mut out, &attempt);
        let bodyless = matches!(&*start.method, b"GET" | b"HEAD" | b"DELETE" | b"OPTIONS");
        if !body.is_empty() || !bodyless {
            write_header(&mut out, b"Content-Length", body.len().to_string().as_bytes());
        }
        out.extend_from_slice(b"\r\n");
        if !is_joined {
            return OutgoingRequest { head: out, body };
        }
        out.extend_from_slice(&body);
        OutgoingRequest {
            head: out,
            body: Bytes::new(),
        }
    }

    fn priority(&self) -> u8 {
        let account = self.account.as_ref().and_then(|account| account.priority);
        account.unwrap_or(self.route.priority)
    }
}
