//! Pools idle connections to upstreams.

use std::collections::{HashMap, HashSet};
use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::BytesMut;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{Instant, timeout};
use wire::relay::EndMark;

use crate::relay::RelayLease;

/// Most idle connections to one upstream; more would take connection slots away from other entry hosts.
const MAX_IDLE_PER_UPSTREAM: usize = 8;
/// Idle timeout of a connection whose upstream announces none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Longest time for which a connection is kept idle, whatever its upstream announces; later times can't be represented.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_hours(1);
/// Time before an upstream closes an idle connection at which it is no longer used. A request sent while the upstream
/// closes the connection has an unknown outcome.
const CLOSE_MARGIN: Duration = Duration::from_millis(600);
/// Idle time after which a connection is not used for a request that must run at most once.
const MAX_ONCE_IDLE: Duration = Duration::from_secs(1);
/// Longest wait for a connection. Data centres are a few milliseconds apart, and an upstream without power never
/// answers.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Most bytes of a connection to an upstream that wait in the kernel; the kernel doubles it for its own needs. A caller
/// that does not read a stream lets its upstream fill this.
const RECEIVE_BUFFER_BYTES: u32 = 32 * 1024;

/// A connection to an upstream.
#[derive(Debug)]
pub struct Connection {
    /// Socket of the connection.
    pub stream: TcpStream,
    /// Bytes that were read but not parsed yet.
    pub buffer: BytesMut,
    /// Whether the connection has served a request before.
    pub reused: bool,
    /// Address of the upstream, also where another host relays.
    pub upstream: SocketAddr,
    /// The host that relays; `None` on the own link.
    pub relay: Option<RelayLease>,
    /// Last bytes if the upstream closes in order, where another host relays.
    pub(crate) end_mark: Option<EndMark>,
}

impl Connection {
    fn new(stream: TcpStream, upstream: SocketAddr, relay: Option<RelayLease>) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
            reused: false,
            upstream,
            relay,
            end_mark: None,
        }
    }

    /// Wraps a connection that another host relays.
    #[must_use]
    pub fn relayed(stream: TcpStream, upstream: SocketAddr, lease: RelayLease, end_mark: Option<EndMark>) -> Self {
        Self {
            end_mark,
            ..Self::new(stream, upstream, Some(lease))
        }
    }

    /// Removes the last bytes from the buffer that may belong to the mark of an orderly end.
    pub(crate) fn split_mark(&mut self) -> BytesMut {
        split_mark(&mut self.buffer, self.end_mark)
    }

    /// Returns whether the upstream closed the connection, rather than a host that relays, given that it has ended.
    pub(crate) fn ended_in_order(&self) -> bool {
        !self.is_relayed() || self.end_mark.is_some_and(|mark| *self.buffer == mark.0)
    }

    /// Returns whether another host relays the connection.
    #[must_use]
    pub const fn is_relayed(&self) -> bool {
        self.relay.is_some()
    }
}

/// Removes the last bytes from a buffer that may belong to the mark of an orderly end.
pub(crate) fn split_mark(buffer: &mut BytesMut, end_mark: Option<EndMark>) -> BytesMut {
    let overlap = end_mark.map_or(0, |mark| mark.overlap(buffer));
    buffer.split_off(buffer.len() - overlap)
}

/// Requirements of a request on an idle connection.
#[derive(Clone, Copy, Debug)]
pub struct IdleNeed {
    /// Whether the request must run at most once.
    pub runs_once: bool,
    /// Whether connections on the own link may be used.
    pub own_link: bool,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
    expires_at: Instant,
}

/// Idle connections by upstream address.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: HashMap<SocketAddr, Vec<IdleConnection>>,
}

impl ConnectionPool {
    /// Takes a usable idle connection; for a request that must run at most once only one that was in use a moment ago.
    pub fn take(&mut self, address: SocketAddr, need: IdleNeed) -> Option<Connection> {
        let idle = self.idle.get_mut(&address)?;
        let now = Instant::now();
        let fits = |idle: &IdleConnection| need.own_link || idle.connection.is_relayed();
        while let Some(index) = idle.iter().rposition(fits) {
            if need.runs_once && now.duration_since(idle[index].idle_since) > MAX_ONCE_IDLE {
                return None;
            }
            let mut candidate = idle.remove(index);
            if now < candidate.expires_at && is_quiet(&mut candidate.connection) {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Closes idle connections on the own link to some upstreams.
    pub fn drop_own(&mut self, upstreams: &HashSet<SocketAddr>) {
        for (_, idle) in self.idle.iter_mut().filter(|(address, _)| upstreams.contains(address)) {
            idle.retain(|idle| idle.connection.is_relayed());
        }
    }

    /// Takes out idle connections through the hosts for which `is_unused` holds.
    pub fn take_relayed(&mut self, is_unused: impl Fn(SocketAddr) -> bool) -> Vec<Connection> {
        let is_unused = |idle: &mut IdleConnection| {
            let relay = idle.connection.relay.as_ref();
            relay.is_some_and(|lease| is_unused(lease.host))
        };
        let taken = self.idle.values_mut().flat_map(|idle| idle.extract_if(.., is_unused));
        taken.map(|idle| idle.connection).collect()
    }

    /// Adds a connection whose last response is complete; `idle_timeout` is that of the upstream.
    pub fn put(&mut self, connection: Connection, idle_timeout: Option<Duration>) {
        let idle_since = Instant::now();
        let lifetime = idle_timeout
            .unwrap_or(DEFAULT_IDLE_TIMEOUT)
            .min(MAX_IDLE_TIMEOUT)
            .saturating_sub(CLOSE_MARGIN);
        let idle = self.idle.entry(connection.upstream).or_default();
        if idle.len() >= MAX_IDLE_PER_UPSTREAM {
            idle.remove(0);
        }
        idle.push(IdleConnection {
            connection: Connection {
                reused: true,
                // An idle connection keeps no memory.
                buffer: BytesMut::new(),
                ..connection
            },
            idle_since,
            expires_at: idle_since + lifetime,
        });
    }

    /// Closes connections that have been idle for too long.
    pub fn close_expired(&mut self) {
        let now = Instant::now();
        for idle in self.idle.values_mut() {
            idle.retain(|connection| now < connection.expires_at);
        }
        self.idle.retain(|_, idle| !idle.is_empty());
    }
}

/// Returns whether nothing has arrived since the last response, neither the end of the connection nor unexpected bytes.
fn is_quiet(connection: &mut Connection) -> bool {
    let mut byte = [0; 1];
    let no_data = |error: &std::io::Error| error.kind() == ErrorKind::WouldBlock;
    connection.buffer.is_empty()
        && connection
            .stream
            .try_read(&mut byte)
            .is_err_and(|error| no_data(&error))
}

/// Opens a connection, from the address `source` if that is given.
///
/// # Errors
/// Fails if the upstream does not accept the connection in time; nothing was sent then.
pub async fn connect(address: SocketAddr, source: Option<IpAddr>, max_wait: Duration) -> std::io::Result<Connection> {
    let stream = timeout(max_wait.min(CONNECT_TIMEOUT), open(address, source)).await??;
    stream.set_nodelay(true)?;
    Ok(Connection::new(stream, address, None))
}

pub(crate) async fn open(address: SocketAddr, source: Option<IpAddr>) -> std::io::Result<TcpStream> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    // Bytes that have arrived count even if nobody reads them. A system that does not support it keeps its own bound.
    let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    if let Some(source) = source {
        socket.bind(SocketAddr::new(source, 0))?;
    }
    socket.connect(address).await
}
