//! Pools idle connections to upstreams.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// Most idle connections to one upstream; more would take connection slots away from other entry hosts.
const MAX_IDLE_PER_UPSTREAM: usize = 8;
/// Idle timeout of a connection whose upstream announces none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time before an upstream closes an idle connection at which it is no longer used. A request sent while the upstream
/// closes the connection has an unknown outcome.
const CLOSE_MARGIN: Duration = Duration::from_millis(600);
/// Idle time after which a connection is not used for a request that must run at most once.
const MAX_ONCE_IDLE: Duration = Duration::from_secs(1);
/// Longest wait for a connection. Data centres are a few milliseconds apart, and an upstream without power never
/// answers.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// A connection to an upstream.
#[derive(Debug)]
pub struct Connection {
    /// Socket of the connection.
    pub stream: TcpStream,
    /// Bytes that were read but not parsed yet.
    pub buffer: BytesMut,
    /// Whether the connection has served a request before.
    pub reused: bool,
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
    /// Takes a usable idle connection; with `runs_once` only one that was in use a moment ago.
    pub fn take(&mut self, address: SocketAddr, runs_once: bool) -> Option<Connection> {
        let idle = self.idle.get_mut(&address)?;
        let now = Instant::now();
        while let Some(mut candidate) = idle.pop() {
            if now >= candidate.expires_at || !is_quiet(&mut candidate.connection) {
                continue;
            }
            if runs_once && now.duration_since(candidate.idle_since) > MAX_ONCE_IDLE {
                idle.push(candidate);
                return None;
            }
            return Some(candidate.connection);
        }
        None
    }

    /// Adds a connection whose last response is complete; `idle_timeout` is that of the upstream.
    pub fn put(&mut self, address: SocketAddr, connection: Connection, idle_timeout: Option<Duration>) {
        let idle_since = Instant::now();
        let lifetime = idle_timeout
            .unwrap_or(DEFAULT_IDLE_TIMEOUT)
            .saturating_sub(CLOSE_MARGIN);
        let idle = self.idle.entry(address).or_default();
        if idle.len() >= MAX_IDLE_PER_UPSTREAM {
            idle.remove(0);
        }
        idle.push(IdleConnection {
            connection: Connection {
                reused: true,
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

/// Opens a connection.
///
/// # Errors
/// Fails if the upstream does not accept the connection in time; nothing was sent then.
pub async fn connect(address: SocketAddr, max_wait: Duration) -> std::io::Result<Connection> {
    let stream = timeout(max_wait.min(CONNECT_TIMEOUT), TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    Ok(Connection {
        stream,
        buffer: BytesMut::with_capacity(8 * 1024),
        reused: false,
    })
}
