//! Kept connections to upstreams.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// Idle connections that are kept to one upstream; more would take places from other entry hosts.
const MAX_IDLE_PER_UPSTREAM: usize = 8;
/// How long a connection is kept whose upstream names no time.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time before an upstream closes an idle connection from which it is not used any more: a request that crosses the close
/// has an unknown outcome.
const CLOSE_MARGIN: Duration = Duration::from_millis(600);
/// Idle time after which a connection is not trusted with a request that may run only once.
const MAX_ONCE_IDLE: Duration = Duration::from_secs(1);
/// Longest wait for a connection. Data centres are a few milliseconds apart; an upstream without power never answers.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// A connection to an upstream.
#[derive(Debug)]
pub struct Connection {
    /// The stream.
    pub stream: TcpStream,
    /// What was read and not used yet.
    pub buffer: BytesMut,
    /// Whether it has served a request before.
    pub reused: bool,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
    expires_at: Instant,
}

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: HashMap<SocketAddr, Vec<IdleConnection>>,
}

impl ConnectionPool {
    /// Takes an idle connection that is still good; `once` asks for one that was in use a moment ago.
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

    /// Keeps a connection whose last answer was whole.
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

    /// Closes what has been idle for its time.
    pub fn close_expired(&mut self) {
        let now = Instant::now();
        for idle in self.idle.values_mut() {
            idle.retain(|connection| now < connection.expires_at);
        }
        self.idle.retain(|_, idle| !idle.is_empty());
    }
}

/// Tells whether nothing has arrived since the last answer, neither an end nor bytes that belong to no request.
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
/// Fails when the upstream doesn't accept one in time; nothing was sent then.
pub async fn connect(address: SocketAddr, max_wait: Duration) -> std::io::Result<Connection> {
    let stream = timeout(max_wait.min(CONNECT_TIMEOUT), TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    Ok(Connection {
        stream,
        buffer: BytesMut::with_capacity(8 * 1024),
        reused: false,
    })
}
