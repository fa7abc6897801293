//! What a response makes this host hold beyond the first buffer of its connection.

use std::io;

use bytes::BytesMut;
use inbound::intake::{Held, Lease, SharedIntake};
use policy::intake::{IntakeFull, Phase};
use tokio::io::{AsyncRead, AsyncReadExt};

/// Capacity of the first buffer of a connection; longer heads and events take room that all responses share.
pub(crate) const BUFFER_BYTES: usize = 8 * 1024;

/// Memory of one response. While the host waits for the upstream, the response can fail for the sake of another one.
#[derive(Debug)]
pub struct ResponseRoom {
    lease: Lease,
    /// What the connection's buffer takes. The head keeps it until the response ends.
    buffer: Held,
    /// What the events that are not complete take.
    events: Held,
}

impl ResponseRoom {
    /// Opens the room of a response of an upstream.
    ///
    /// # Errors
    /// Fails if there are as many responses as there may be.
    pub(crate) fn open(responses: &SharedIntake, upstream: &str) -> Result<Self, IntakeFull> {
        let lease = responses.open_with(0)?;
        lease.set_account(Some(upstream));
        Ok(Self {
            buffer: lease.hold(0)?,
            events: lease.hold(0)?,
            lease,
        })
    }

    /// Returns whether the connection's buffer has grown.
    pub(crate) const fn has_grown(&self) -> bool {
        self.buffer.bytes() > 0
    }

    const fn is_used(&self) -> bool {
        self.buffer.bytes() + self.events.bytes() > 0
    }

    /// Reads bytes into the connection's buffer; returns their number.
    ///
    /// # Errors
    /// Fails if the connection does, or if there is no room for more.
    pub(crate) async fn read(
        &mut self,
        reader: &mut (impl AsyncRead + Unpin),
        buffer: &mut BytesMut,
    ) -> io::Result<usize> {
        if buffer.len() == buffer.capacity() {
            let capacity = (buffer.len() * 2).max(BUFFER_BYTES);
            let beyond = capacity - BUFFER_BYTES;
            if beyond > self.buffer.bytes() {
                self.grow(|room| room.buffer.resize(beyond))?;
            }
            buffer.reserve(capacity - buffer.len());
        }
        if !self.is_used() {
            return reader.read_buf(buffer).await;
        }
        let count = tokio::select! {
            biased;
            read = reader.read_buf(buffer) => read?,
            () = self.lease.wait_closed() => return Err(no_room(IntakeFull::Closed)),
        };
        self.lease.advance(count);
        Ok(count)
    }

    /// Reserves memory for events that are not complete; those of some KB need none.
    ///
    /// # Errors
    /// Fails if there is no room for it.
    pub(crate) fn hold_events(&mut self, capacity: usize) -> io::Result<()> {
        let beyond = capacity.saturating_sub(BUFFER_BYTES);
        if beyond > self.events.bytes() {
            return self.grow(|room| room.events.resize(beyond));
        }
        if beyond < self.events.bytes() {
            self.events.resize(beyond).map_err(no_room)?;
        }
        Ok(())
    }

    /// Waits for the caller, during which the response does not fail for the sake of another one.
    pub(crate) async fn wait_for_caller<T>(&self, waited: impl Future<Output = T>) -> T {
        if !self.is_used() {
            return waited.await;
        }
        self.lease.set_phase(Phase::Working);
        let done = waited.await;
        self.lease.set_phase(Phase::Waiting);
        done
    }

    fn grow(&mut self, resize: impl FnOnce(&mut Self) -> Result<(), IntakeFull>) -> io::Result<()> {
        if !self.is_used() {
            // Before this, the upstream was at work on the request.
            self.lease.set_phase(Phase::Waiting);
        }
        resize(self).map_err(no_room)
    }
}

fn no_room(full: IntakeFull) -> io::Error {
    io::Error::other(format!("no room for the answer: {full}"))
}
