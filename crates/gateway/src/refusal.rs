//! Responses of the entry host's own.

use std::time::Duration;

use derive_more::Display;
use inbound::reason_phrase;

/// Longest retry delay as a share of the time left; with a longer one callers give up instead of trying again.
pub(crate) const MAX_RETRY_AFTER_SHARE: f64 = 0.33;

/// Retry delay for a caller refused by a stopping host. Its retry connects anew, and reaches another host.
pub(crate) const STOP_RETRY_AFTER: Duration = Duration::from_millis(50);

/// A response with which the entry host refuses a request.
#[derive(Clone, Debug, Display, PartialEq)]
#[display("{status} {reason}")]
pub struct Refusal {
    /// Status code.
    pub status: u16,
    /// Why the request was refused; sent as the body.
    pub reason: String,
    /// Delay after which the caller should try again; `None` if it need not.
    pub retry_after: Option<Duration>,
    /// Whether the connection is closed after the response.
    pub close: bool,
}

impl Refusal {
    /// Creates a response that keeps the connection open.
    #[must_use]
    pub fn new(status: u16, reason: impl Into<String>) -> Self {
        Self {
            status,
            reason: reason.into(),
            retry_after: None,
            close: false,
        }
    }

    /// Creates a response after which nothing more can be read from the caller.
    #[must_use]
    pub fn closing(status: u16, reason: impl Into<String>) -> Self {
        Self {
            close: true,
            ..Self::new(status, reason)
        }
    }

    /// Creates the response of a host that stops before the request would be certain to end.
    #[must_use]
    pub fn stopping() -> Self {
        Self::closing(503, "not run: the host stops").with_retry_after(STOP_RETRY_AFTER)
    }

    /// Sets the delay after which the caller should try again.
    #[must_use]
    pub fn with_retry_after(self, after: Duration) -> Self {
        Self {
            retry_after: Some(after),
            ..self
        }
    }

    /// Renders the response; `close` announces the end of the connection.
    #[must_use]
    pub fn render(&self, close: bool) -> Vec<u8> {
        let status = format!("HTTP/1.1 {} {}\r\n", self.status, reason_phrase(self.status));
        let retry_after = self
            .retry_after
            .map(|after| format!("Retry-After: {:.2}\r\n", after.as_secs_f64()));
        let connection = if close || self.close {
            "Connection: close\r\n"
        } else {
            ""
        };
        let body = format!("{}\n", self.reason);
        let length = body.len();
        let retry_after = retry_after.unwrap_or_default();
        format!("{status}{retry_after}{connection}Content-Type: text/plain\r\nContent-Length: {length}\r\n\r\n{body}")
            .into_bytes()
    }
}
