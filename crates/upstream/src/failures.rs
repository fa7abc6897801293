//! Connections that tell whether one of their writes or reads has failed.
//!
//! A socket reports its reset once. The write that takes it may be followed by reads that return what has arrived and then
//! an end as if the peer had closed in order, and the client library takes a reset in a body for such an end, too.

use std::fmt::Debug;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use ureq::Error;
use ureq::unversioned::transport::{Buffers, ConnectionDetails, Connector, NextTimeout, Transport};

/// Whether the connection of a call has failed.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionFailure(Arc<AtomicBool>);

impl ConnectionFailure {
    /// Returns whether a write or a read has failed.
    pub(crate) fn is_set(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }

    fn record<T>(&self, result: &Result<T, Error>) {
        if result.is_err() {
            self.0.store(true, Ordering::Release);
        }
    }
}

/// Wraps connections so that they record a failure.
#[derive(Debug)]
pub(crate) struct RecordingConnector(pub(crate) ConnectionFailure);

/// A connection that records a failure.
#[derive(Debug)]
pub(crate) struct RecordingTransport<T> {
    stream: T,
    failure: ConnectionFailure,
}

impl<T: Transport> Connector<T> for RecordingConnector {
    type Out = RecordingTransport<T>;

    fn connect(&self, _details: &ConnectionDetails<'_>, chained: Option<T>) -> Result<Option<Self::Out>, Error> {
        Ok(chained.map(|stream| RecordingTransport {
            stream,
            failure: self.0.clone(),
        }))
    }
}

impl<T: Transport> Transport for RecordingTransport<T> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.stream.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        let written = self.stream.transmit_output(amount, timeout);
        self.failure.record(&written);
        written
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        let read = self.stream.await_input(timeout);
        self.failure.record(&read);
        read
    }

    fn is_open(&mut self) -> bool {
        self.stream.is_open()
    }
}
