//! Connections that ask a monitor, while they wait for bytes, whether to keep waiting.
//!
//! A frozen engine keeps its connection open without sending, and a caller that disconnects sends nothing either. Both
//! would block the reading thread for minutes; the monitor is asked at least every [`CHECK_INTERVAL`], and needs no
//! thread of its own.

use std::fmt::Debug;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use ureq::Error;
use ureq::http::Uri;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::{Buffers, ConnectionDetails, Connector, LazyBuffers, NextTimeout, Transport};

/// Longest time between two checks whether to keep waiting.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of a write to an upstream.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Size of the input buffer and of the output buffer of a connection.
const BUFFER_BYTES: usize = 16 * 1024;

/// Decides whether a connection keeps waiting for its upstream.
pub trait WaitMonitor: Debug + Send + Sync + 'static {
    /// Checks whether to keep waiting; called at least every [`CHECK_INTERVAL`].
    ///
    /// # Errors
    /// Returns the reason if the wait must end.
    fn beat(&self) -> Result<(), &'static str>;
}

/// Opens connections that a [`WaitMonitor`] can end.
#[derive(Debug)]
pub(crate) struct MonitoredConnector {
    pub(crate) connect: Duration,
    pub(crate) monitor: Arc<dyn WaitMonitor>,
}

/// A connection that a [`WaitMonitor`] can end.
pub(crate) struct MonitoredTransport {
    stream: TcpStream,
    buffers: LazyBuffers,
    monitor: Arc<dyn WaitMonitor>,
}

impl Connector<()> for MonitoredConnector {
    type Out = MonitoredTransport;

    fn connect(&self, details: &ConnectionDetails<'_>, _chained: Option<()>) -> Result<Option<Self::Out>, Error> {
        let peer = details.addrs.first().ok_or(Error::HostNotFound)?;
        // Until the connection is established, no byte of the request can have been sent, whatever fails.
        let stream = TcpStream::connect_timeout(peer, self.connect).map_err(|_cause| Error::ConnectionFailed)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(CHECK_INTERVAL))?;
        stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
        Ok(Some(MonitoredTransport {
            stream,
            buffers: LazyBuffers::new(BUFFER_BYTES, BUFFER_BYTES),
            monitor: Arc::clone(&self.monitor),
        }))
    }
}

impl Transport for MonitoredTransport {
    fn buffers(&mut self) -> &mut dyn Buffers {
        &mut self.buffers
    }

    fn transmit_output(&mut self, amount: usize, _timeout: NextTimeout) -> Result<(), Error> {
        Ok(self.stream.write_all(&self.buffers.output()[..amount])?)
    }

    fn await_input(&mut self, _timeout: NextTimeout) -> Result<bool, Error> {
        loop {
            self.monitor
                .beat()
                .map_err(|reason| io::Error::new(ErrorKind::TimedOut, reason))?;
            match self.stream.read(self.buffers.input_append_buf()) {
                Ok(count) => {
                    self.buffers.input_appended(count);
                    return Ok(count > 0);
                }
                Err(error) if is_read_timeout(error.kind()) => {}
                Err(error) => return Err(error.into()),
            }
        }
    }

    fn is_open(&mut self) -> bool {
        false
    }
}

impl Debug for MonitoredTransport {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("MonitoredTransport")
            .field("stream", &self.stream)
            .finish_non_exhaustive()
    }
}

fn is_read_timeout(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
    )
}

/// A resolver for literal IP addresses, the only ones that the system uses.
///
/// The default resolver of the library starts a thread for each call with a timeout, even for an IP address.
#[derive(Debug)]
pub(crate) struct LiteralResolver;

impl Resolver for LiteralResolver {
    fn resolve(
        &self,
        uri: &Uri,
        _config: &ureq::config::Config,
        _timeout: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, Error> {
        let authority = uri.authority().ok_or(Error::HostNotFound)?;
        let address: SocketAddr = authority.as_str().parse().map_err(|_cause| Error::HostNotFound)?;
        let mut resolved = self.empty();
        resolved.push(address);
        Ok(resolved)
    }
}
