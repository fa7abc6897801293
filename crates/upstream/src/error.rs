//! Errors of upstream calls, which state whether the request may have run.

use std::io::ErrorKind;

use derive_more::{Display, Error};

/// Whether a failed request may have run at the upstream.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Fate {
    /// No byte was written, or the upstream rejected the request unprocessed; it certainly did not run.
    #[display("not run")]
    NotRun,
    /// Bytes were written and no complete response came; the request may have run.
    #[display("outcome unknown")]
    Unknown,
}

/// A failed call to an upstream.
#[derive(Debug, Display, Error)]
#[display("{step} at {peer}: {fate}: {reason}")]
pub struct UpstreamError {
    /// Name of the failed step, such as `start stream`.
    pub step: &'static str,
    /// Address of the upstream.
    pub peer: String,
    /// Whether the request may have run.
    pub fate: Fate,
    /// Whether the connection was established.
    pub connected: bool,
    /// Human-readable cause.
    pub reason: String,
    /// HTTP status of the upstream's response, if there was one.
    pub status: Option<u16>,
}

impl UpstreamError {
    pub(crate) fn new(step: &'static str, peer: impl ToString, fate: Fate, reason: impl ToString) -> Self {
        Self {
            step,
            peer: peer.to_string(),
            fate,
            connected: true,
            reason: reason.to_string(),
            status: None,
        }
    }

    pub(crate) fn with_status(self, status: u16) -> Self {
        Self {
            status: Some(status),
            ..self
        }
    }

    /// Converts a client error and derives from it whether any byte may have been written.
    ///
    /// Connections are never reused for calls that must run at most once, so a failure before the connection is
    /// established means that nothing was written. Any other failure counts as unknown, because a request that wrongly
    /// counts as not run would be sent twice, and the customer would pay twice.
    pub(crate) fn from_client(step: &'static str, peer: impl ToString, error: &ureq::Error) -> Self {
        let unconnected = match error {
            ureq::Error::ConnectionFailed | ureq::Error::HostNotFound | ureq::Error::BadUri(_) => true,
            ureq::Error::Timeout(phase) => matches!(phase, ureq::Timeout::Resolve | ureq::Timeout::Connect),
            ureq::Error::Io(error) => error.kind() == ErrorKind::ConnectionRefused,
            _ => false,
        };
        let fate = if unconnected { Fate::NotRun } else { Fate::Unknown };
        Self {
            connected: !unconnected,
            ..Self::new(step, peer, fate, error)
        }
    }
}
