//! Bounds what peers make a process hold, and selects whose connection closes when that is used up.
//!
//! Answers crowds of peers that open connections, send much and never finish. All connections of a listener share the
//! bounds. A connection can be closed for another one only while it waits for its peer; among those, the one goes that has
//! not advanced for longest, so that requests which keep arriving are completed.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::{Display, Error};

use crate::Tick;

/// Bytes by which a request or an answer has to advance to count as moving.
pub const ADVANCE_BYTES: usize = 4 * 1024;
/// Time without an advance from which a connection may be closed for another one.
pub const MIN_STALL: Duration = Duration::from_millis(250);
/// Bytes up to which a connection of a caller or an operator counts as small.
pub const SMALL_BYTES: usize = 32 * 1024;

/// Bounds that the connections of a listener share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IntakeBounds {
    /// Connections at once.
    pub connections: usize,
    /// Bytes that all of them hold.
    pub bytes: usize,
    /// Bytes up to which a connection counts as small.
    pub small_bytes: usize,
    /// Bytes that connections hold beyond `small_bytes` each. The rest is left to small requests.
    pub large_bytes: usize,
    /// Bytes of these that the connections of one account hold.
    pub account_bytes: usize,
}

/// Number of a connection.
pub type ConnectionId = u64;

/// What a connection is waiting for.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Phase {
    /// For its peer: for a request, the rest of it, or until the peer has read the answer.
    #[display("waiting")]
    Waiting,
    /// For the process, which works on a complete request.
    #[display("working")]
    Working,
}

/// Why a connection may not hold more.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum IntakeFull {
    /// All connections are in use.
    #[display("all connections are in use")]
    Connections,
    /// All memory for requests is in use.
    #[display("the memory for requests is in use")]
    Bytes,
    /// All memory for large requests is in use.
    #[display("the memory for large requests is in use")]
    LargeBytes,
    /// The client account holds as much as one account may.
    #[display("the client account's share of the memory for large requests is in use")]
    AccountBytes,
    /// The connection was closed for another one.
    #[display("the memory is needed for other requests")]
    Closed,
}

impl IntakeFull {
    /// Returns the label of the reason in metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::Bytes => "bytes",
            Self::LargeBytes => "large_bytes",
            Self::AccountBytes => "account_bytes",
            Self::Closed => "closed",
        }
    }
}

#[derive(Clone, Debug)]
struct Connection {
    bytes: usize,
    phase: Phase,
    account: Option<String>,
    /// When it last advanced by [`ADVANCE_BYTES`], or changed its phase.
    advanced_at: Tick,
    /// Bytes since then.
    advanced_bytes: usize,
}

impl Connection {
    fn is_stalled(&self, now: Tick) -> bool {
        self.phase == Phase::Waiting && now.since(self.advanced_at) >= MIN_STALL
    }
}

/// What the connections of a listener hold.
#[derive(Clone, Debug)]
pub struct Intake {
    bounds: IntakeBounds,
    connections: BTreeMap<ConnectionId, Connection>,
    next_id: ConnectionId,
    bytes: usize,
    large_bytes: usize,
    /// Connections that were closed for others and not reported yet.
    closed: Vec<ConnectionId>,
}

impl Intake {
    /// Creates an intake without connections.
    #[must_use]
    pub const fn new(bounds: IntakeBounds) -> Self {
        Self {
            bounds,
            connections: BTreeMap::new(),
            next_id: 0,
            bytes: 0,
            large_bytes: 0,
            closed: Vec::new(),
        }
    }

    /// Returns the bounds.
    #[must_use]
    pub const fn bounds(&self) -> IntakeBounds {
        self.bounds
    }

    /// Returns the number of connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns whether there are no connections.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Returns the bytes that all connections hold.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the bytes that connections hold beyond the bound of small ones.
    #[must_use]
    pub const fn large_bytes(&self) -> usize {
        self.large_bytes
    }

    /// Returns the client account whose connections hold most, with their bytes.
    #[must_use]
    pub fn largest_account(&self) -> Option<(&str, usize)> {
        let mut accounts: BTreeMap<&str, usize> = BTreeMap::new();
        for connection in self.connections.values() {
            if let Some(account) = &connection.account {
                *accounts.entry(account).or_default() += connection.bytes;
            }
        }
        accounts.into_iter().max_by_key(|(_, bytes)| *bytes)
    }

    /// Adds a connection that holds some bytes.
    ///
    /// # Errors
    /// Refuses the connection if others would have to be closed that are in use.
    pub fn open(&mut self, bytes: usize, now: Tick) -> Result<ConnectionId, IntakeFull> {
        if self.connections.len() >= self.bounds.connections {
            self.close_stalled(None, now, |_| true, IntakeFull::Connections)?;
        }
        let id = self.next_id;
        self.next_id += 1;
        let connection = Connection {
            bytes: 0,
            phase: Phase::Waiting,
            account: None,
            advanced_at: now,
            advanced_bytes: 0,
        };
        self.connections.insert(id, connection);
        self.grow(id, bytes, now).inspect_err(|_full| self.close(id))?;
        Ok(id)
    }

    /// Adds bytes to what a connection holds.
    ///
    /// # Errors
    /// Leaves the connection as it is if others would have to be closed that are in use, and fails if it was closed itself.
    pub fn grow(&mut self, id: ConnectionId, more: usize, now: Tick) -> Result<(), IntakeFull> {
        let connection = self.connections.get(&id).ok_or(IntakeFull::Closed)?;
        let small_bytes = self.bounds.small_bytes;
        let more_large = self.large_part(connection.bytes + more) - self.large_part(connection.bytes);
        if more_large > 0 {
            let is_large = |other: &Connection| other.bytes > small_bytes;
            if let Some(account) = connection.account.clone() {
                let is_rival = |other: &Connection| is_large(other) && other.account.as_ref() == Some(&account);
                while self.account_bytes(&account) + more_large > self.bounds.account_bytes {
                    self.close_stalled(Some(id), now, is_rival, IntakeFull::AccountBytes)?;
                }
            }
            while self.large_bytes + more_large > self.bounds.large_bytes {
                self.close_stalled(Some(id), now, is_large, IntakeFull::LargeBytes)?;
            }
        }
        while self.bytes + more > self.bounds.bytes {
            self.close_stalled(Some(id), now, |_| true, IntakeFull::Bytes)?;
        }
        self.bytes += more;
        self.large_bytes += more_large;
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.bytes += more;
        }
        Ok(())
    }

    /// Removes bytes from what a connection holds.
    pub fn shrink(&mut self, id: ConnectionId, less: usize) {
        if let Some(connection) = self.connections.get_mut(&id) {
            let before = connection.bytes;
            connection.bytes -= less;
            let after = connection.bytes;
            self.bytes -= less;
            self.large_bytes -= self.large_part(before) - self.large_part(after);
        }
    }

    /// Returns the connections that were closed for others since the last call.
    pub fn take_closed(&mut self) -> Vec<ConnectionId> {
        std::mem::take(&mut self.closed)
    }

    /// Records that a connection has sent or taken some bytes.
    pub fn advance(&mut self, id: ConnectionId, bytes: usize, now: Tick) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.advanced_bytes += bytes;
            if connection.advanced_bytes >= ADVANCE_BYTES {
                connection.advanced_bytes = 0;
                connection.advanced_at = now;
            }
        }
    }

    /// Records what a connection waits for from now on.
    pub fn set_phase(&mut self, id: ConnectionId, phase: Phase, now: Tick) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.phase = phase;
            connection.advanced_at = now;
            connection.advanced_bytes = 0;
        }
    }

    /// Records the client account of the request on a connection; `None` if it has none.
    pub fn set_account(&mut self, id: ConnectionId, account: Option<&str>) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.account = account.map(str::to_owned);
        }
    }

    /// Removes a connection with what it holds.
    pub fn close(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.remove(&id) {
            self.bytes -= connection.bytes;
            self.large_bytes -= self.large_part(connection.bytes);
        }
    }

    const fn large_part(&self, bytes: usize) -> usize {
        bytes.saturating_sub(self.bounds.small_bytes)
    }

    fn account_bytes(&self, account: &str) -> usize {
        let own = self.connections.values();
        let own = own.filter(|other| other.account.as_deref() == Some(account));
        own.map(|other| self.large_part(other.bytes)).sum()
    }

    /// Closes the connection that has stalled for longest among those that `is_rival` selects, other than `but`.
    fn close_stalled(
        &mut self,
        but: Option<ConnectionId>,
        now: Tick,
        is_rival: impl Fn(&Connection) -> bool,
        full: IntakeFull,
    ) -> Result<(), IntakeFull> {
        let rivals = self
            .connections
            .iter()
            .filter(|(other, connection)| Some(**other) != but && connection.is_stalled(now) && is_rival(connection));
        let longest = rivals.min_by_key(|(_, connection)| connection.advanced_at);
        let id = longest.map(|(id, _)| *id).ok_or(full)?;
        self.close(id);
        self.closed.push(id);
        Ok(())
    }
}

/// Bounds of the listeners of an entry host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostBounds {
    /// Bounds for callers.
    pub callers: IntakeBounds,
    /// Bounds for the balancer's probes and metrics scrapes.
    pub probes: IntakeBounds,
    /// Bounds for other entry hosts.
    pub hosts: IntakeBounds,
    /// Bounds for responses of upstreams, beyond the first buffer of their connections. The account is the upstream.
    pub upstreams: IntakeBounds,
    /// Connections that are relayed for other entry hosts.
    pub relayed: usize,
}

/// Most connections of probes, and most that are relayed.
const MAX_PROBES: usize = 64;
const MAX_RELAYED: usize = 256;
/// Connections of other hosts that have not told yet what they want.
const MAX_HELLOS: usize = 32;
/// Bytes of a connection that passes a few bytes at a time.
const SMALL_CONNECTION_BYTES: usize = 32 * 1024;
/// Most descriptors that are left to files.
const MAX_FILES: usize = 200;

/// The part of the memory for responses that are being read: one divided by this.
const RESPONSES_PART: usize = 16;

impl HostBounds {
    /// Returns the default bounds of a host that may use `memory` bytes and some file descriptors.
    ///
    /// Callers get half of the descriptors, and a quarter of the memory; responses that are being read get a sixteenth of the
    /// memory. What is left of the descriptors serves upstreams, relays and probes; what is left of the memory serves
    /// tables, first buffers of connections and the allocator.
    #[must_use]
    pub fn of(memory: usize, descriptors: usize) -> Self {
        let sockets = descriptors - MAX_FILES.min(descriptors / 4);
        let small = |connections: usize| IntakeBounds {
            connections,
            bytes: connections * SMALL_CONNECTION_BYTES,
            small_bytes: SMALL_BYTES,
            large_bytes: 0,
            account_bytes: 0,
        };
        // A relayed connection takes two descriptors.
        let relayed = MAX_RELAYED.min(sockets / 16);
        Self {
            callers: IntakeBounds::of(memory, sockets / 2),
            probes: small(MAX_PROBES.min(sockets / 16).max(1)),
            upstreams: IntakeBounds::of_responses(memory / RESPONSES_PART, descriptors),
            hosts: small(relayed + MAX_HELLOS.min(sockets / 32).max(1)),
            relayed,
        }
    }
}

impl IntakeBounds {
    /// Returns the default bounds of a listener for a process that may use `memory` bytes.
    #[must_use]
    pub const fn of(memory: usize, connections: usize) -> Self {
        let bytes = memory / 4;
        Self::of_bytes(bytes, connections)
    }

    /// Returns the default bounds of a listener whose connections may hold some bytes: half of them for large requests, and
    /// three quarters of these for those of one account.
    #[must_use]
    pub const fn of_bytes(bytes: usize, connections: usize) -> Self {
        let large_bytes = bytes / 2;
        Self {
            connections,
            bytes,
            small_bytes: SMALL_BYTES,
            large_bytes,
            account_bytes: large_bytes / 4 * 3,
        }
    }

    /// Returns the bounds of responses that may hold some bytes beyond the first buffer of their connections, three
    /// quarters of them for those of one upstream.
    #[must_use]
    pub const fn of_responses(bytes: usize, connections: usize) -> Self {
        Self {
            connections,
            bytes,
            small_bytes: 0,
            large_bytes: bytes,
            account_bytes: bytes / 4 * 3,
        }
    }
}
