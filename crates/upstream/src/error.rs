//! Errors that tell whether the upstream can have seen the request.

use std::io::ErrorKind;

use derive_more::{Display, Error};

/// Whether an upstream can have seen a request that failed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Fate {
    /// No byte was written, or the upstream refused it unseen; the request truly was not run.
    #[display("not run")]
    NotRun,
    /// Bytes were written and no answer came; it may have run.
    #[display("outcome unknown")]
    Unknown,
}

/// A call to an upstream that failed.
#[derive(Debug, Display, Error)]
#[display("{step} at {peer}: {fate}: {reason}")]
pub struct UpstreamError {
    /// The step that failed.
    pub step: &'static str,
    /// Address of the upstream.
    pub peer: String,
    /// Whether the upstream can have seen the request.
    pub fate: Fate,
    /// Whether a connection stood.
    pub connected: bool,
    /// Why it failed.
    pub reason: String,
    /// The status that the upstream answered with, if it did.
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

    /// Tells from a client error whether a byte can have left.
    ///
    /// Connections are never reused for calls that may run once only, so every failure before the connection stands
    /// means that nothing was written. All else counts as unknown, since a request that wrongly counts as not sent
    /// would be sent twice: a customer would pay twice.
    pub(crate) fn from_client(step: &'static str, peer: impl ToString, error: &ureq::Error) -> Self {
        let before = match error {
            ureq::Error::ConnectionFailed | ureq::Error::HostNotFound | ureq::Error::BadUri(_) => true,
            ureq::Error::Timeout(phase) => matches!(phase, ureq::Timeout::Resolve | ureq::Timeout::Connect),
            ureq::Error::Io(error) => error.kind() == ErrorKind::ConnectionRefused,
            _ => false,
        };
        let fate = if before { Fate::NotRun } else { Fate::Unknown };
        Self {
            connected: !before,
            ..Self::new(step, peer, fate, error)
        }
    }
}
