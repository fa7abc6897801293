//! Kept connections to upstreams.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// Idle connections that are kept to one upstream; more would take places from other entry hosts.
const MAX_IDLE: usize = 8;
/// How long a connection is kept whose upstream names no time.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// Time before an upstream closes an idle connection from which it is not used any more: a request that crosses the close
/// has an unknown outcome.
const MARGIN: Duration = Duration::from_millis(600);
/// Idle time after which a connection is not trusted with a request that may run only once.
const TRUSTED: Duration = Duration::from_secs(1);
/// Longest wait for a connection. Data centres are a few milliseconds apart; an upstream without power never answers.
pub const CONNECT: Duration = Duration::from_millis(400);

/// A connection to an upstream.
#[derive(Debug)]
pub struct Connection {
    /// The stream.
    pub stream: TcpStream,
    /// What was read and not used yet.
    pub buffer: BytesMut,
    /// Whether it has served a request before.
    pub used: bool,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
    until: Instant,
}

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct Pool {
    idle: HashMap<SocketAddr, Vec<Idle>>,
}

impl Pool {
    /// Takes an idle connection that is still good; `once` asks for one that was in use a moment ago.
    pub fn take(&mut self, address: SocketAddr, once: bool) -> Option<Connection> {
        let idle = self.idle.get_mut(&address)?;
        let now = Instant::now();
        while let Some(mut kept) = idle.pop() {
            if now >= kept.until || !is_quiet(&mut kept.connection) {
                continue;
            }
            if once && now.duration_since(kept.since) > TRUSTED {
                idle.push(kept);
                return None;
            }
            return Some(kept.connection);
        }
        None
    }

    /// Keeps a connection whose last answer was whole.
    pub fn keep(&mut self, address: SocketAddr, connection: Connection, idle: Option<Duration>) {
        let since = Instant::now();
        let lasting = idle.unwrap_or(DEFAULT_IDLE).saturating_sub(MARGIN);
        let kept = self.idle.entry(address).or_default();
        if kept.len() >= MAX_IDLE {
            kept.remove(0);
        }
        kept.push(Idle {
            connection: Connection {
                used: true,
                ..connection
            },
            since,
            until: since + lasting,
        });
    }

    /// Closes what has been idle for its time.
    pub fn sweep(&mut self) {
        let now = Instant::now();
        for idle in self.idle.values_mut() {
            idle.retain(|kept| now < kept.until);
        }
        self.idle.retain(|_, idle| !idle.is_empty());
    }
}

/// Tells whether nothing has arrived since the last answer, neither an end nor bytes that belong to no request.
fn is_quiet(connection: &mut Connection) -> bool {
    let mut byte = [0; 1];
    let nothing = |error: &std::io::Error| error.kind() == ErrorKind::WouldBlock;
    connection.buffer.is_empty()
        && connection
            .stream
            .try_read(&mut byte)
            .is_err_and(|error| nothing(&error))
}

/// Opens a connection.
///
/// # Errors
/// Fails when the upstream doesn't accept one in time; nothing was sent then.
pub async fn connect(address: SocketAddr, patience: Duration) -> std::io::Result<Connection> {
    let stream = timeout(patience.min(CONNECT), TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    Ok(Connection {
        stream,
        buffer: BytesMut::with_capacity(8 * 1024),
        used: false,
    })
}
