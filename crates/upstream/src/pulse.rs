//! A connection that asks its owner, while it waits for bytes, whether to wait on.
//!
//! A frozen engine keeps its connection open and sends nothing, and a caller who leaves sends nothing either. Both
//! would hold the reading thread for minutes; the pulse looks at them every [`STEP`] without a thread of its own.

use std::fmt::Debug;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use ureq::Error;
use ureq::http::Uri;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::{Buffers, ConnectionDetails, Connector, LazyBuffers, NextTimeout, Transport};

/// Longest time between two questions whether to wait on.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time in which an upstream must take what is sent to it.
const SEND: Duration = Duration::from_secs(5);
/// Buffers of one connection, in bytes.
const BUFFER: usize = 16 * 1024;

/// The owner of a wait.
pub trait WaitMonitor: Debug + Send + Sync + 'static {
    /// Tells whether to wait on; called at least every [`STEP`].
    ///
    /// # Errors
    /// Returns why the wait ends.
    fn beat(&self) -> Result<(), &'static str>;
}

/// Opens connections that follow a pulse.
#[derive(Debug)]
pub(crate) struct PulseConnector {
    pub(crate) connect: Duration,
    pub(crate) pulse: Arc<dyn WaitMonitor>,
}

/// One connection that follows a pulse.
pub(crate) struct PulseTransport {
    stream: TcpStream,
    buffers: LazyBuffers,
    pulse: Arc<dyn WaitMonitor>,
}

impl Connector<()> for PulseConnector {
    type Out = PulseTransport;

    fn connect(&self, details: &ConnectionDetails<'_>, _chained: Option<()>) -> Result<Option<Self::Out>, Error> {
        let peer = details.addrs.first().ok_or(Error::HostNotFound)?;
        // Whatever goes wrong before the connection stands, no byte of the request can have left.
        let stream = TcpStream::connect_timeout(peer, self.connect).map_err(|_cause| Error::ConnectionFailed)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(CHECK_INTERVAL))?;
        stream.set_write_timeout(Some(SEND))?;
        Ok(Some(PulseTransport {
            stream,
            buffers: LazyBuffers::new(BUFFER, BUFFER),
            pulse: Arc::clone(&self.pulse),
        }))
    }
}

impl Transport for PulseTransport {
    fn buffers(&mut self) -> &mut dyn Buffers {
        &mut self.buffers
    }

    fn transmit_output(&mut self, amount: usize, _timeout: NextTimeout) -> Result<(), Error> {
        Ok(self.stream.write_all(&self.buffers.output()[..amount])?)
    }

    fn await_input(&mut self, _timeout: NextTimeout) -> Result<bool, Error> {
        loop {
            self.pulse
                .beat()
                .map_err(|why| io::Error::new(ErrorKind::TimedOut, why))?;
            match self.stream.read(self.buffers.input_append_buf()) {
                Ok(count) => {
                    self.buffers.input_appended(count);
                    return Ok(count > 0);
                }
                Err(error) if is_pause(error.kind()) => {}
                Err(error) => return Err(error.into()),
            }
        }
    }

    fn is_open(&mut self) -> bool {
        false
    }
}

impl Debug for PulseTransport {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PulseTransport")
            .field("stream", &self.stream)
            .finish_non_exhaustive()
    }
}

fn is_pause(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
    )
}

/// Takes addresses as they are written: the system talks by IP numbers.
///
/// The library's own resolver starts a thread for each call that has a timeout, also for an IP number.
#[derive(Debug)]
pub(crate) struct ByNumber;

impl Resolver for ByNumber {
    fn resolve(
        &self,
        uri: &Uri,
        _config: &ureq::config::Config,
        _timeout: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, Error> {
        let authority = uri.authority().ok_or(Error::HostNotFound)?;
        let address: SocketAddr = authority.as_str().parse().map_err(|_cause| Error::HostNotFound)?;
        let mut found = self.empty();
        found.push(address);
        Ok(found)
    }
}
