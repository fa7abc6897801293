//! Answers that the entry host gives itself.

use std::time::Duration;

use derive_more::Display;

/// An answer of the entry host's own.
#[derive(Clone, Debug, Display, PartialEq)]
#[display("{status} {why}")]
pub struct Refusal {
    /// Status code.
    pub status: u16,
    /// Why, in words.
    pub why: String,
    /// When to come back.
    pub retry: Option<Duration>,
    /// Whether the connection ends with it.
    pub close: bool,
}

impl Refusal {
    /// Makes an answer that keeps the connection.
    #[must_use]
    pub fn new(status: u16, why: impl Into<String>) -> Self {
        Self {
            status,
            why: why.into(),
            retry: None,
            close: false,
        }
    }

    /// Makes an answer after which nothing more can be read from the caller.
    #[must_use]
    pub fn closing(status: u16, why: impl Into<String>) -> Self {
        Self {
            close: true,
            ..Self::new(status, why)
        }
    }

    /// Tells the caller when to come back.
    #[must_use]
    pub fn retry_in(self, after: Duration) -> Self {
        Self {
            retry: Some(after),
            ..self
        }
    }

    /// Writes the answer.
    #[must_use]
    pub fn render(&self, close: bool) -> Vec<u8> {
        let status = format!("HTTP/1.1 {} {}\r\n", self.status, reason(self.status));
        let retry = self
            .retry
            .map(|after| format!("Retry-After: {:.2}\r\n", after.as_secs_f64()));
        let closes = if close || self.close {
            "Connection: close\r\n"
        } else {
            ""
        };
        let body = format!("{}\n", self.why);
        let length = body.len();
        let retry = retry.unwrap_or_default();
        format!("{status}{retry}{closes}Content-Type: text/plain\r\nContent-Length: {length}\r\n\r\n{body}")
            .into_bytes()
    }
}

/// Gives the usual words for a status.
#[must_use]
pub const fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Error",
    }
}
